#include "camphorhoistd/proxied_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorhoist/outcome.h"
#include "libbase/log.h"

namespace camphorhoist {

namespace {

CallTime Now() { return std::chrono::steady_clock::now(); }

LoadReport ToLoadReport(const NodeCallResult& result) {
  return {result.queue_length, result.running, result.limit};
}

}  // namespace

/// One attempt of the call. Its response is buffered until the coordinator decides to stream it to
/// the caller.
class ProxiedCall::Attempt final : public ResponseHandler {
 public:
  Attempt(ProxiedCall* owner, const CallId& id) : owner_(owner), id_(id) {}

  const CallId& id() const { return id_; }
  void set_handle(CallTransport::Handle handle) { handle_ = handle; }
  CallTransport::Handle handle() const { return handle_; }
  bool response_complete() const { return response_complete_; }
  bool has_head() const { return has_head_; }

  void OnHead(int status, HttpHeaders headers) override {
    has_head_ = true;
    status_ = status;
    headers_ = std::move(headers);
    owner_->Execute(owner_->coordinator_.OnHead(Now(), id_));
  }

  void OnChunk(std::string data, std::function<void()> ready) override {
    if (streaming_) {
      owner_->ForwardChunk(data, std::move(ready));
      return owner_->Execute(owner_->coordinator_.OnProgress(Now(), id_));
    }
    // `ready` is not called yet, so the peer sends no more than its window until this response is
    // streamed or the attempt is cancelled.
    buffered_chunks_.emplace_back(std::move(data), std::move(ready));
  }

  void OnEnd() override { response_complete_ = true; }

  void OnDone(PeerCallStatus status, NodeCallResult result) override {
    owner_->OnAttemptDone(this, status, result);
  }

  /// Forwards the buffered part of the response, and everything that follows, to the caller.
  void StartStreaming() {
    streaming_ = true;
    owner_->SendHead(status_, std::move(headers_));
    for (auto& it : buffered_chunks_) owner_->ForwardChunk(it.first, std::move(it.second));
    buffered_chunks_.clear();
  }

 private:
  ProxiedCall* owner_;
  CallId id_;
  CallTransport::Handle handle_ = 0;
  bool has_head_ = false;
  bool streaming_ = false;
  bool response_complete_ = false;
  int status_ = 0;
  HttpHeaders headers_;
  std::vector<std::pair<std::string, std::function<void()>>> buffered_chunks_;
};

ProxiedCall::ProxiedCall(CallTask* owner, Params params)
    : owner_(owner),
      params_(std::move(params)),
      coordinator_(CallContext{&owner->balancer_, &owner->retry_budget_,
                               owner->HedgePolicyFor(params_.spec.service), owner->rng_,
                               [owner] { return owner->NextCallId(); }},
                   params_.spec),
      timer_(owner->base_, [this] { OnTimer(); }) {}

ProxiedCall::~ProxiedCall() {
  *alive_ = false;
  params_.reply->SetOnDisconnect(nullptr);
  params_.reply->SetOnWritable(nullptr);
  for (const auto& it : attempts_) owner_->transport_->Cancel(it.second->handle());
}

void ProxiedCall::Start() {
  params_.reply->SetOnWritable([this] { OnWritable(); });
  params_.reply->SetOnDisconnect([this] {
    if (ended_) return;
    ++owner_->counters_.abandoned;
    Execute(coordinator_.OnCallerAbandoned(Now()));
    End();
  });
  Execute(coordinator_.Start(Now()));
}

void ProxiedCall::Execute(const CallEffects& effects) {
  for (const CallEffect& it : effects) {
    if (const auto* send = std::get_if<SendAttempt>(&it)) {
      Send(*send);
    } else if (const auto* resolve = std::get_if<ResolveAttempt>(&it)) {
      Resolve(*resolve);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&it)) {
      Cancel(cancel->attempt);
    } else if (const auto* stream = std::get_if<StreamResponse>(&it)) {
      StreamFrom(stream->attempt);
    } else if (const auto* outcome = std::get_if<ReplyOutcome>(&it)) {
      Reply(*outcome);
    } else if (const auto* timer = std::get_if<SetTimer>(&it)) {
      const auto delay = std::max(timer->at - Now(), CallDuration::zero());
      timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(delay));
    }
  }
}

void ProxiedCall::OnTimer() {
  // While the caller reads slowly, the response must not count as stalled by the upstream.
  if (!deferred_ready_.empty()) Execute(coordinator_.OnProgress(Now(), streamed_attempt_));
  Execute(coordinator_.OnTimer(Now()));
}

void ProxiedCall::Send(const SendAttempt& send) {
  NodeCallRequest request;
  request.id = send.attempt;
  request.target_incarnation = send.endpoint.node_incarnation;
  request.service = send.endpoint.service;
  request.endpoint = send.endpoint.upstream.ToString();
  request.method = params_.request.method;
  request.target = params_.request.target;
  request.headers = params_.request.headers;
  request.body = params_.request.body;
  request.timeout_ms = static_cast<uint32_t>(send.timeout.count());
  request.max_queue_ms = params_.max_queue_ms;
  request.long_work = params_.spec.work_class == WorkClass::kLong;
  request.idempotent = params_.spec.idempotent;
  request.depth = params_.spec.depth + 1;
  ++owner_->counters_.attempts;
  auto attempt = std::make_unique<Attempt>(this, send.attempt);
  Attempt* raw = attempt.get();
  attempts_.emplace(send.attempt, std::move(attempt));
  raw->set_handle(owner_->transport_->Call(send.endpoint.node, request.long_work, request, raw));
}

void ProxiedCall::Resolve(const ResolveAttempt& resolve) {
  const CallId id = resolve.attempt;
  owner_->transport_->Resolve(
      resolve.endpoint.node, id, resolve.endpoint.node_incarnation,
      [this, id, alive = alive_](std::error_code ec, const ResolveReply& reply) {
        if (!*alive || ended_) return;
        if (ec) {
          Execute(coordinator_.OnResolveFailed(Now(), id));
        } else {
          Execute(coordinator_.OnResolved(Now(), id, static_cast<ResolveState>(reply.state)));
        }
      });
}

// The attempt is kept until the call ends, because this may run in one of its callbacks.
void ProxiedCall::Cancel(const CallId& attempt) {
  const auto it = attempts_.find(attempt);
  if (it != attempts_.end()) owner_->transport_->Cancel(it->second->handle());
}

void ProxiedCall::StreamFrom(const CallId& attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  streamed_attempt_ = attempt;
  it->second->StartStreaming();
}

void ProxiedCall::SendHead(int status, HttpHeaders headers) {
  headers.emplace_back(kOutcomeHeader, OutcomeHeaderValue(Outcome::kAnswered));
  params_.reply->SendHead(status, headers);
}

void ProxiedCall::ForwardChunk(const std::string& data, std::function<void()> ready) {
  body_bytes_ += data.size();
  params_.reply->SendChunk(data);
  if (params_.reply->buffered_bytes() < CallReply::kHighWaterBytes) {
    ready();
  } else {
    deferred_ready_.push_back(std::move(ready));
  }
}

void ProxiedCall::OnWritable() {
  std::vector<std::function<void()>> deferred_ready;
  deferred_ready.swap(deferred_ready_);
  for (const auto& it : deferred_ready) it();
}

void ProxiedCall::OnAttemptDone(Attempt* attempt, PeerCallStatus status,
                                const NodeCallResult& result) {
  const CallId id = attempt->id();
  owner_->transport_->Cancel(attempt->handle());
  switch (status) {
    case PeerCallStatus::kResult:
      return OnResult(attempt, result);
    case PeerCallStatus::kNotSent:
      return Execute(coordinator_.OnConnectionLost(Now(), id, false));
    case PeerCallStatus::kLost:
      return Execute(coordinator_.OnConnectionLost(Now(), id, true));
    case PeerCallStatus::kSilent:
      return Execute(coordinator_.OnSilent(Now(), id));
  }
}

void ProxiedCall::OnResult(Attempt* attempt, const NodeCallResult& result) {
  const CallId id = attempt->id();
  const CallReason reason = ParseCallReason(result.reason).value_or(CallReason::kUpstreamFailed);
  switch (result.outcome) {
    case NodeOutcome::kAnswered:
      return OnAnswered(attempt, result);
    case NodeOutcome::kNotRun:
      return Execute(coordinator_.OnNotRun(Now(), id, reason, ToLoadReport(result)));
    case NodeOutcome::kUnknown:
      return Execute(attempt->has_head() ? coordinator_.OnBroken(Now(), id)
                                         : coordinator_.OnUnknown(Now(), id, reason));
  }
}

void ProxiedCall::OnAnswered(Attempt* attempt, const NodeCallResult& result) {
  const CallId id = attempt->id();
  if (result.inline_response) {
    attempt->OnHead(result.status, result.headers);
    attempt->OnChunk(result.body, [] {});
  } else if (!attempt->response_complete()) {
    return Execute(coordinator_.OnBroken(Now(), id));
  }
  UpdateClassifier(result);
  Execute(coordinator_.OnFinished(Now(), id, ToLoadReport(result)));
}

void ProxiedCall::UpdateClassifier(const NodeCallResult& result) {
  const size_t bytes = result.inline_response ? result.body.size() : body_bytes_;
  owner_->classifier_.OnFinished(params_.route, std::chrono::microseconds(result.service_micros),
                                 bytes);
}

void ProxiedCall::Reply(const ReplyOutcome& outcome) {
  const CallOutcome& result = outcome.result;
  CallTask::Counters& counters = owner_->counters_;
  ++(result.outcome == Outcome::kAnswered ? counters.answered
     : result.outcome == Outcome::kNotRun ? counters.not_run
                                          : counters.unknown);
  if (!outcome.head_sent) {
    SendOutcome(params_.reply.get(), result);
  } else if (result.outcome == Outcome::kAnswered) {
    params_.reply->Finish();
  } else {
    params_.reply->Abort();
  }
  End();
}

void ProxiedCall::End() {
  if (ended_) return;
  ended_ = true;
  timer_.Stop();
  owner_->Remove(this);
}

void SendOutcome(CallReply* reply, const CallOutcome& outcome) {
  const nlohmann::json body = {{"outcome", outcome.header_value()},
                               {"reason", ToText(outcome.reason)}};
  HttpHeaders headers = {{std::string(kOutcomeHeader), std::string(outcome.header_value())},
                         {"Content-Type", "application/json"}};
  SendWholeReply(reply, outcome.http_status(), std::move(headers), body.dump() + "\n");
}

}  // namespace camphorhoist
