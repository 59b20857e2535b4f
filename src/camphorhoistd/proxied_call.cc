#include "camphorhoistd/proxied_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorhoist/outcome.h"
#include "libbase/log.h"

namespace camphorhoist {

namespace {

CallTime Now() { return std::chrono::steady_clock::now(); }

LoadReport ToLoad(const NodeCallResult& result) {
  return {result.queue_length, result.running, result.limit};
}

}  // namespace

/// One attempt: the answer is held until the coordinator decides to pass it on.
class ProxiedCall::Attempt final : public ResponseHandler {
 public:
  Attempt(ProxiedCall* owner, const CallId& id) : owner_(owner), id_(id) {}

  const CallId& id() const { return id_; }
  void set_handle(CallTransport::Handle handle) { handle_ = handle; }
  CallTransport::Handle handle() const { return handle_; }
  bool ended() const { return ended_; }
  bool has_head() const { return has_head_; }

  void OnHead(int status, HttpHeaders headers) override {
    has_head_ = true;
    status_ = status;
    headers_ = std::move(headers);
    owner_->Carry(owner_->coordinator_.OnHead(Now(), id_));
  }

  void OnChunk(std::string data, std::function<void()> ready) override {
    if (streaming_) {
      owner_->PassChunk(data, std::move(ready));
      return owner_->Carry(owner_->coordinator_.OnProgress(Now(), id_));
    }
    // Not released: the peer stops at its window until this answer is chosen or dropped.
    pending_.emplace_back(std::move(data), std::move(ready));
  }

  void OnEnd() override { ended_ = true; }

  void OnDone(PeerCallStatus status, NodeCallResult result) override {
    owner_->OnAttemptDone(this, status, result);
  }

  /// Passes what was held, and all that follows, to the caller.
  void StartStreaming() {
    streaming_ = true;
    owner_->SendHead(status_, std::move(headers_));
    for (auto& it : pending_) owner_->PassChunk(it.first, std::move(it.second));
    pending_.clear();
  }

 private:
  ProxiedCall* owner_;
  CallId id_;
  CallTransport::Handle handle_ = 0;
  bool has_head_ = false;
  bool streaming_ = false;
  bool ended_ = false;
  int status_ = 0;
  HttpHeaders headers_;
  std::vector<std::pair<std::string, std::function<void()>>> pending_;
};

ProxiedCall::ProxiedCall(CallTask* owner, Parts parts)
    : owner_(owner),
      parts_(std::move(parts)),
      coordinator_(CallContext{&owner->balancer_, &owner->retry_budget_,
                               owner->HedgeOf(parts_.facts.service), owner->rng_,
                               [owner] { return owner->NextId(); }},
                   parts_.facts),
      timer_(owner->base_, [this] { OnTimer(); }) {}

ProxiedCall::~ProxiedCall() {
  *alive_ = false;
  parts_.reply->SetOnDisconnect(nullptr);
  parts_.reply->SetOnWritable(nullptr);
  for (const auto& it : attempts_) owner_->transport_->Cancel(it.second->handle());
}

void ProxiedCall::Start() {
  parts_.reply->SetOnWritable([this] { OnWritable(); });
  parts_.reply->SetOnDisconnect([this] {
    if (ended_) return;
    ++owner_->counters_.abandoned;
    Carry(coordinator_.OnCallerAbandoned(Now()));
    End();
  });
  Carry(coordinator_.Start(Now()));
}

void ProxiedCall::Carry(const CallEffects& effects) {
  for (const CallEffect& it : effects) {
    if (const auto* send = std::get_if<SendAttempt>(&it)) {
      Send(*send);
    } else if (const auto* resolve = std::get_if<ResolveAttempt>(&it)) {
      Resolve(*resolve);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&it)) {
      Cancel(cancel->attempt);
    } else if (const auto* stream = std::get_if<StreamResponse>(&it)) {
      Stream(stream->attempt);
    } else if (const auto* outcome = std::get_if<ReplyOutcome>(&it)) {
      Reply(*outcome);
    } else if (const auto* timer = std::get_if<SetTimer>(&it)) {
      const auto delay = std::max(timer->at - Now(), CallDuration::zero());
      timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(delay));
    }
  }
}

void ProxiedCall::OnTimer() {
  // A caller that reads slowly holds the answer back; that is not a stalled upstream.
  if (!held_.empty()) Carry(coordinator_.OnProgress(Now(), streamed_));
  Carry(coordinator_.OnTimer(Now()));
}

void ProxiedCall::Send(const SendAttempt& send) {
  NodeCallRequest request;
  request.id = send.attempt;
  request.target_incarnation = send.endpoint.node_incarnation;
  request.service = send.endpoint.service;
  request.endpoint = send.endpoint.upstream.ToString();
  request.method = parts_.request.method;
  request.target = parts_.request.target;
  request.headers = parts_.request.headers;
  request.body = parts_.request.body;
  request.timeout_ms = static_cast<uint32_t>(send.timeout.count());
  request.max_queue_ms = parts_.max_queue_ms;
  request.long_work = parts_.facts.work_class == WorkClass::kLong;
  request.idempotent = parts_.facts.idempotent;
  request.depth = parts_.facts.depth + 1;
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
          Carry(coordinator_.OnResolveFailed(Now(), id));
        } else {
          Carry(coordinator_.OnResolved(Now(), id, static_cast<ResolveState>(reply.state)));
        }
      });
}

// The attempt itself stays until the call ends: it may be the one whose callback is running.
void ProxiedCall::Cancel(const CallId& attempt) {
  const auto it = attempts_.find(attempt);
  if (it != attempts_.end()) owner_->transport_->Cancel(it->second->handle());
}

void ProxiedCall::Stream(const CallId& attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  streamed_ = attempt;
  it->second->StartStreaming();
}

void ProxiedCall::SendHead(int status, HttpHeaders headers) {
  headers.emplace_back(kOutcomeHeader, OutcomeHeaderValue(Outcome::kAnswered));
  parts_.reply->SendHead(status, headers);
}

void ProxiedCall::PassChunk(const std::string& data, std::function<void()> ready) {
  body_bytes_ += data.size();
  parts_.reply->SendChunk(data);
  if (parts_.reply->buffered_bytes() < CallReply::kHighWaterBytes) {
    ready();
  } else {
    held_.push_back(std::move(ready));
  }
}

void ProxiedCall::OnWritable() {
  std::vector<std::function<void()>> held;
  held.swap(held_);
  for (const auto& it : held) it();
}

void ProxiedCall::OnAttemptDone(Attempt* attempt, PeerCallStatus status,
                                const NodeCallResult& result) {
  const CallId id = attempt->id();
  owner_->transport_->Cancel(attempt->handle());
  switch (status) {
    case PeerCallStatus::kResult:
      return OnResult(attempt, result);
    case PeerCallStatus::kNotSent:
      return Carry(coordinator_.OnConnectionLost(Now(), id, false));
    case PeerCallStatus::kLost:
      return Carry(coordinator_.OnConnectionLost(Now(), id, true));
    case PeerCallStatus::kSilent:
      return Carry(coordinator_.OnSilent(Now(), id));
  }
}

void ProxiedCall::OnResult(Attempt* attempt, const NodeCallResult& result) {
  const CallId id = attempt->id();
  const CallReason reason = ParseCallReason(result.reason).value_or(CallReason::kUpstreamFailed);
  switch (result.outcome) {
    case NodeOutcome::kAnswered:
      return OnAnswer(attempt, result);
    case NodeOutcome::kNotRun:
      return Carry(coordinator_.OnNotRun(Now(), id, reason, ToLoad(result)));
    case NodeOutcome::kUnknown:
      return Carry(attempt->has_head() ? coordinator_.OnBroken(Now(), id)
                                       : coordinator_.OnUnknown(Now(), id, reason));
  }
}

void ProxiedCall::OnAnswer(Attempt* attempt, const NodeCallResult& result) {
  const CallId id = attempt->id();
  if (result.inline_response) {
    attempt->OnHead(result.status, result.headers);
    attempt->OnChunk(result.body, [] {});
  } else if (!attempt->ended()) {
    return Carry(coordinator_.OnBroken(Now(), id));
  }
  Learn(result);
  Carry(coordinator_.OnFinished(Now(), id, ToLoad(result)));
}

void ProxiedCall::Learn(const NodeCallResult& result) {
  const size_t bytes = result.inline_response ? result.body.size() : body_bytes_;
  owner_->classifier_.OnFinished(parts_.route, std::chrono::microseconds(result.service_micros),
                                 bytes);
}

void ProxiedCall::Reply(const ReplyOutcome& outcome) {
  const CallOutcome& result = outcome.result;
  CallTask::Counters& counters = owner_->counters_;
  ++(result.outcome == Outcome::kAnswered ? counters.answered
     : result.outcome == Outcome::kNotRun ? counters.not_run
                                          : counters.unknown);
  if (!outcome.head_sent) {
    SendOutcome(parts_.reply.get(), result);
  } else if (result.outcome == Outcome::kAnswered) {
    parts_.reply->Finish();
  } else {
    parts_.reply->Abort();
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
