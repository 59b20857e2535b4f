#include "libsidecar/local_upstream.h"

#include <algorithm>
#include <vector>

#include "libbase/log.h"
#include "platform/message_headers.h"

namespace camphorhoist {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

LocalUpstream::LocalUpstream(event_base* base, const SidecarSettings& settings,
                             std::function<void()> on_status)
    : base_(base),
      on_status_(std::move(on_status)),
      registry_(settings.announce_interval),
      queue_(kInitialSlots),
      pool_(base, settings.upstream),
      expiry_timer_(base, [this] { NotifyIfChanged(); }),
      queue_timer_(base, [this] { Advance(); }) {}

UpstreamRegistry::Change LocalUpstream::Apply(const UpstreamReport& report) {
  const auto now = steady_clock::now();
  const auto change = registry_.Apply(now, report);
  if (change == UpstreamRegistry::Change::kIgnored) return change;
  if (registry_.current()) queue_.set_slots(registry_.current()->slots);
  if (change == UpstreamRegistry::Change::kActivated) pool_.CloseIdle();
  if (change == UpstreamRegistry::Change::kDeactivated) {
    const std::vector<uint64_t> keys = queue_.RemoveAllQueued();
    for (const uint64_t key : keys) Refuse(by_key_.at(key), ResultReason::kNoUpstream);
  }
  NotifyIfChanged();
  const ProxyDuration left = duration_cast<ProxyDuration>(registry_.expiry() - now);
  expiry_timer_.StartOnce(std::max(ProxyDuration(0), left) + milliseconds(1));
  return change;
}

void LocalUpstream::NotifyIfChanged() {
  const bool ready = !stopping_ && registry_.ready(steady_clock::now());
  if (ready == was_ready_) return;
  was_ready_ = ready;
  LogEvent(LogLevel::kInfo, "upstream", ready ? "takes_calls" : "takes_no_calls")
      .Add("instance", registry_.current() ? registry_.current()->instance : "")
      .Add("stopping", stopping_);
  on_status_();
}

void LocalUpstream::SetEgress(double bytes_per_second, std::function<size_t()> backlog) {
  egress_rate_ = bytes_per_second;
  egress_backlog_ = std::move(backlog);
}

ProxyDuration LocalUpstream::LinkTime(double bytes) const {
  return duration_cast<ProxyDuration>(std::chrono::duration<double>(bytes / egress_rate_));
}

ProxyDuration LocalUpstream::DeliveryWait() const {
  if (egress_rate_ == 0) return ProxyDuration(0);
  return LinkTime(static_cast<double>(egress_backlog_()) +
                  static_cast<double>(bulk_active_) * bulk_bytes_);
}

ServerLoad LocalUpstream::load() const {
  ServerLoad load = queue_.load(steady_clock::now());
  load.delivery_wait = DeliveryWait();
  return load;
}

UpstreamStatus LocalUpstream::status() const {
  UpstreamStatus status;
  const auto now = steady_clock::now();
  if (registry_.current()) {
    status.service = registry_.current()->service;
    status.instance = registry_.current()->instance;
  }
  status.ready = !stopping_ && registry_.ready(now);
  status.warm_up = registry_.warm_up_left(now);
  status.load = load();
  return status;
}

bool LocalUpstream::RunsParentOf(const std::string& request_id) const {
  const size_t separator = request_id.find_last_of(".:/_-");
  if (separator == std::string::npos) return false;
  return running_ids_.count(request_id.substr(0, separator)) != 0;
}

CallResult LocalUpstream::NewResult(const CallId& id, ResultKind kind, ResultReason reason) const {
  CallResult result;
  result.id = id;
  result.kind = kind;
  result.reason = reason;
  return result;
}

void LocalUpstream::Offer(CallOffer offer, Source source, Reply reply) {
  ForgetOld();
  const auto now = steady_clock::now();
  const CallId id = offer.id;
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    Entry& entry = known->second;
    entry.source = source;
    if (entry.state == State::kDone) {
      entry.result.load = load();
      return reply(entry.result);
    }
    entry.reply = std::move(reply);
    return;
  }
  Entry& entry = entries_[id];
  entry.source = source;
  entry.reply = std::move(reply);
  entry.deadline = now + offer.time_left;
  entry.idempotent = offer.idempotent;
  entry.key = next_key_++;
  PendingCall call;
  call.key = entry.key;
  call.deadline = entry.deadline;
  call.objective = now + offer.objective_left;
  call.profile = offer.profile;
  call.priority = offer.priority;
  call.nested = offer.nested;
  call.offered_at = now;
  const ProxyDuration max_wait = offer.max_wait;
  entry.offer = std::move(offer);
  if (stopping_ || entry.deadline > last_deadline_) return Refuse(id, ResultReason::kStopping);
  if (!registry_.Accepts(now, entry.offer.service, entry.offer.instance)) {
    return Refuse(id, ResultReason::kNoUpstream);
  }
  by_key_[entry.key] = id;
  entry.bulk = entry.offer.bulk && source != 0 && egress_rate_ != 0;
  if (entry.bulk) {
    call.delivery_wait = DeliveryWait();
    call.delivery_time = LinkTime(bulk_bytes_);
    ++bulk_active_;
  }
  const ServerQueue::Admission admission = queue_.Offer(now, call, max_wait);
  switch (admission.verdict) {
    case ServerQueue::Verdict::kStart:
      return Run(id, &entry);
    case ServerQueue::Verdict::kQueued:
      if (!queue_timer_.pending()) Advance();
      return;
    case ServerQueue::Verdict::kBusy:
      return Refuse(id, ResultReason::kBusy);
    case ServerQueue::Verdict::kWouldMissDeadline:
      return Refuse(id, ResultReason::kHopeless);
  }
}

void LocalUpstream::Run(const CallId& id, Entry* entry) {
  const auto now = steady_clock::now();
  entry->state = State::kRunning;
  entry->started = now;
  entry->request_id = entry->offer.request_id;
  running_ids_.insert(entry->request_id);
  const auto left = std::max(milliseconds(1), duration_cast<milliseconds>(entry->deadline - now));
  UpstreamCall call;
  call.request_id = entry->offer.request_id;
  call.method = entry->offer.method;
  call.target = entry->offer.target;
  call.headers =
      platform::EncodeUpstreamHeaders(std::move(entry->offer.headers), left,
                                      registry_.current()->instance, entry->offer.origin_service);
  call.body = std::move(entry->offer.body);
  call.idempotent = entry->idempotent;
  entry->timer = std::make_unique<Timer>(base_, [this, id] { OnDeadline(id); });
  entry->timer->StartOnce(left + kResponseSlack);
  entry->handle = pool_.Start(
      std::move(call), [this, id](UpstreamOutcome outcome) { OnOutcome(id, std::move(outcome)); });
}

void LocalUpstream::OnOutcome(const CallId& id, UpstreamOutcome outcome) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.state != State::kRunning) return;
  Entry& entry = it->second;
  CallResult result = NewResult(id, outcome.kind, outcome.reason);
  result.reached_upstream = outcome.sent;
  result.status = outcome.status;
  result.headers = std::move(outcome.headers);
  result.body = std::move(outcome.body);
  const auto now = steady_clock::now();
  if (outcome.decoded.load) queue_.SetSlowdown(outcome.decoded.load->slowdown);
  if (outcome.kind == ResultKind::kResponse) {
    queue_.OnFinish(entry.key, duration_cast<ProxyDuration>(now - entry.started));
  } else {
    queue_.OnAbort(now, entry.key);
  }
  if (outcome.kind != ResultKind::kResponse) {
    LogNoResponse(entry, outcome.reason, outcome.sent);
  }
  if (outcome.reason == ResultReason::kUpstreamUnreachable) {
    registry_.OnUnreachable();
    NotifyIfChanged();
  }
  Finish(id, &entry, std::move(result));
  Advance();
}

void LocalUpstream::OnDeadline(const CallId& id) {
  Entry& entry = entries_.at(id);
  if (entry.state != State::kRunning) return;
  LogNoResponse(entry, ResultReason::kTimeout, true);
  Abort(id, &entry, ResultReason::kTimeout);
}

void LocalUpstream::LogNoResponse(const Entry& entry, ResultReason reason, bool sent) const {
  LogEvent(LogLevel::kInfo, "upstream", "no_response")
      .Add("request", entry.request_id)
      .Add("instance", registry_.current()->instance)
      .Add("reason", ToString(reason))
      .Add("sent", sent)
      .Add("after_ms", (steady_clock::now() - entry.started) / milliseconds(1));
}

void LocalUpstream::Abort(CallId id, Entry* entry, ResultReason reason) {
  pool_.Cancel(entry->handle);
  queue_.OnAbort(steady_clock::now(), entry->key);
  CallResult result = NewResult(id, ResultKind::kUnknown, reason);
  result.reached_upstream = true;
  Finish(id, entry, std::move(result));
  Advance();
}

void LocalUpstream::Refuse(CallId id, ResultReason reason) {
  Finish(id, &entries_.at(id), NewResult(id, ResultKind::kNotRun, reason));
}

void LocalUpstream::Finish(CallId id, Entry* entry, CallResult result) {
  const auto now = steady_clock::now();
  by_key_.erase(entry->key);
  const auto running = running_ids_.find(entry->request_id);
  if (entry->state == State::kRunning && running != running_ids_.end()) running_ids_.erase(running);
  entry->state = State::kDone;
  if (std::exchange(entry->bulk, false)) {
    --bulk_active_;
    const auto size = static_cast<double>(result.body.size());
    if (result.kind == ResultKind::kResponse) {
      bulk_bytes_ += (bulk_bytes_ == 0 ? 1 : kBulkSizeGain) * (size - bulk_bytes_);
    }
  }
  entry->timer.reset();
  entry->offer = CallOffer();
  result.load = load();
  const Reply reply = std::move(entry->reply);
  entry->reply = nullptr;
  // An idempotent call may run again instead.
  const bool has_response = result.kind == ResultKind::kResponse;
  const bool retained =
      !has_response ||
      (!entry->idempotent && retained_bytes_ + result.body.size() <= kMaxRetainedBytes);
  if (retained) {
    entry->result = result;
  } else {
    entry->result = NewResult(id, ResultKind::kUnknown, ResultReason::kConnectionLost);
    entry->result.reached_upstream = true;
  }
  retained_bytes_ += entry->result.body.size();
  ended_.emplace_back(now, id);
  if (reply) reply(std::move(result));
}

void LocalUpstream::ForgetOld() {
  const auto start = steady_clock::now() - kResultRetention;
  while (!ended_.empty() && ended_.front().first < start) {
    const auto it = entries_.find(ended_.front().second);
    if (it != entries_.end()) {
      retained_bytes_ -= it->second.result.body.size();
      entries_.erase(it);
    }
    ended_.pop_front();
  }
}

void LocalUpstream::Advance() {
  const auto now = steady_clock::now();
  for (const ServerQueue::DequeuedCall& step : queue_.DispatchQueued(now)) {
    const CallId id = by_key_.at(step.key);
    if (step.start) {
      Run(id, &entries_.at(id));
    } else {
      Refuse(id, ResultReason::kHopeless);
    }
  }
  const std::optional<ProxyTime> expiry = queue_.NextExpiry();
  if (!expiry) return queue_timer_.Stop();
  queue_timer_.StartOnce(std::max(ProxyDuration(0), duration_cast<ProxyDuration>(*expiry - now)));
}

void LocalUpstream::Cancel(const CallId& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    Entry& entry = entries_[id];
    return Finish(id, &entry, NewResult(id, ResultKind::kNotRun, ResultReason::kCancelled));
  }
  Entry& entry = it->second;
  entry.reply = nullptr;
  if (entry.state == State::kWaiting) {
    queue_.RemoveQueued(entry.key);
    Finish(id, &entry, NewResult(id, ResultKind::kNotRun, ResultReason::kCancelled));
  } else if (entry.state == State::kRunning && entry.idempotent) {
    Abort(id, &entry, ResultReason::kCancelled);
  }
}

void LocalUpstream::OnSourceClosed(Source source) {
  std::vector<CallId> waiting;
  std::vector<CallId> running;
  for (auto& [id, entry] : entries_) {
    if (entry.source != source || entry.state == State::kDone) continue;
    entry.reply = nullptr;
    if (entry.state == State::kWaiting) waiting.push_back(id);
    if (entry.state == State::kRunning && entry.idempotent) running.push_back(id);
  }
  for (const CallId& id : waiting) Cancel(id);
  if (running.empty()) return;
  // One-shot timer that owns itself until it has fired.
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = std::make_unique<Timer>(base_, [this, running, source, timer] {
    for (const CallId& id : running) {
      const auto it = entries_.find(id);
      if (it != entries_.end() && it->second.source == source) Cancel(id);
    }
    timer->reset();
  });
  (*timer)->StartOnce(kOrphanGrace);
}

void LocalUpstream::Stop() {
  stopping_ = true;
  NotifyIfChanged();
}

}  // namespace camphorhoist
