#include "libsidecar/servers/local_upstream.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "camphorhoist/caller_identity.h"
#include "libbase/log.h"
#include "platform/message_headers.h"

namespace camphorhoist {

namespace {

constexpr int kInternalError = 500;

}  // namespace

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

LocalUpstream::LocalUpstream(event_base* base, const SidecarSettings& settings,
                             std::function<void()> on_status_changed)
    : base_(base),
      on_status_changed_(std::move(on_status_changed)),
      registry_(settings.announce_interval),
      queue_(kInitialSlots),
      pool_(base, settings.upstream),
      expiry_timer_(base, [this] { NotifyIfChanged(); }),
      queue_timer_(base, [this] { DispatchQueued(); }) {}

UpstreamRegistry::Change LocalUpstream::Apply(const UpstreamReport& report) {
  const auto now = steady_clock::now();
  const std::optional<UpstreamReport> before = registry_.current();
  const auto change = registry_.Apply(now, report);
  if (change == UpstreamRegistry::Change::kIgnored) {
    NotifyIfChanged();
    return change;
  }
  if (registry_.current()) queue_.set_slots(registry_.current()->slots);
  if (change == UpstreamRegistry::Change::kActivated) pool_.CloseIdle();
  const bool same_instance = before && before->instance == registry_.current()->instance &&
                             before->started_ms == registry_.current()->started_ms;
  if (!same_instance) OnNewInstance();
  if (change == UpstreamRegistry::Change::kDeactivated) RefuseQueued();
  NotifyIfChanged();
  const ProxyDuration left = duration_cast<ProxyDuration>(registry_.expiry() - now);
  expiry_timer_.StartOnce(std::max(ProxyDuration(0), left) + milliseconds(1));
  return change;
}

void LocalUpstream::RefuseQueued() {
  const std::vector<uint64_t> keys = queue_.RemoveAllQueued();
  for (const uint64_t key : keys) Refuse(ids_by_queue_key_.at(key), ResultReason::kNoUpstream);
}

void LocalUpstream::Restore(const std::vector<UpstreamDeparture>& departures) {
  const auto now = steady_clock::now();
  const bool was_ready = registry_.ready(now);
  for (const UpstreamDeparture& it : departures) registry_.Restore(it);
  if (was_ready && !registry_.ready(now)) {
    LogEvent(LogLevel::kInfo, "upstream", "departure_restored")
        .Add("instance", registry_.current()->instance);
    RefuseQueued();
  }
  NotifyIfChanged();
}

void LocalUpstream::OnLeaving(const UpstreamReport& instance) {
  const bool is_ready = registry_.current() && registry_.current()->state == UpstreamState::kReady;
  UpstreamReport report = instance;
  report.state = UpstreamState::kLeft;
  if (is_ready && Apply(report) == UpstreamRegistry::Change::kDeactivated) {
    LogEvent(LogLevel::kInfo, "upstream", "leaving").Add("instance", instance.instance);
  }
}

void LocalUpstream::OnNewInstance() {
  upstream_answered_ = false;
  rate_limit_.reset();
  failure_share_ = FailureShare(kFailureShareEwmaWeight);
  queue_.SetRateLimit(steady_clock::now(), std::nullopt);
  RestoreRateLimit();
}

void LocalUpstream::OnRememberedStatus(const UpstreamStatus& remembered) {
  if (upstream_answered_ || remembered.load.request_interval.count() == 0) return;
  if (remembered_intervals_.size() >= kMaxRememberedInstances) remembered_intervals_.clear();
  ProxyDuration& interval = remembered_intervals_[remembered.instance];
  interval = std::max(interval, remembered.load.request_interval);
  RestoreRateLimit();
}

void LocalUpstream::RestoreRateLimit() {
  if (upstream_answered_ || !registry_.current()) return;
  const auto it = remembered_intervals_.find(registry_.current()->instance);
  if (it == remembered_intervals_.end()) return;
  const double per_second = 1 / std::chrono::duration<double>(it->second).count();
  LogEvent(LogLevel::kInfo, "upstream", "rate_limit_restored")
      .Add("instance", it->first)
      .Add("per_second", per_second);
  queue_.SetRateLimit(steady_clock::now(), per_second);
}

void LocalUpstream::ApplyRateLimit(std::optional<double> per_second) {
  upstream_answered_ = true;
  queue_.SetRateLimit(steady_clock::now(), per_second);
  if (per_second == rate_limit_) return;
  LogEvent(LogLevel::kInfo, "upstream", per_second ? "rate_limited" : "rate_limit_lifted")
      .Add("instance", registry_.current()->instance)
      .Add("per_second", per_second.value_or(0));
  rate_limit_ = per_second;
}

void LocalUpstream::NotifyIfChanged() {
  const bool ready = !stopping_ && registry_.ready(steady_clock::now());
  const bool departed = reported_departures_ != registry_.departures();
  if (ready == was_ready_ && !departed) return;
  if (departed) reported_departures_ = registry_.departures();
  if (ready != was_ready_) {
    was_ready_ = ready;
    LogEvent(LogLevel::kInfo, "upstream", ready ? "takes_calls" : "takes_no_calls")
        .Add("instance", registry_.current() ? registry_.current()->instance : "")
        .Add("stopping", stopping_);
  }
  on_status_changed_();
}

void LocalUpstream::SetEgress(std::function<double()> bytes_per_second,
                              std::function<size_t()> backlog) {
  egress_bytes_per_second_ = std::move(bytes_per_second);
  egress_backlog_ = std::move(backlog);
}

ProxyDuration LocalUpstream::TransferTime(double bytes) const {
  return duration_cast<ProxyDuration>(
      std::chrono::duration<double>(bytes / egress_bytes_per_second_()));
}

ProxyDuration LocalUpstream::DeliveryWait() const {
  if (!egress_bytes_per_second_) return ProxyDuration(0);
  return TransferTime(static_cast<double>(egress_backlog_()) +
                      static_cast<double>(bulk_active_) * mean_bulk_bytes_);
}

ServerLoad LocalUpstream::load() const {
  ServerLoad load = queue_.load(steady_clock::now());
  load.delivery_wait = DeliveryWait();
  load.failure_share = failure_share_.Get(steady_clock::now());
  return load;
}

UpstreamStatus LocalUpstream::status() const {
  UpstreamStatus status;
  const auto now = steady_clock::now();
  if (registry_.current()) {
    status.service = registry_.current()->service;
    status.instance = registry_.current()->instance;
    status.started_ms = registry_.current()->started_ms;
    status.version = registry_.current()->version;
  }
  status.departures.assign(registry_.departures().begin(), registry_.departures().end());
  status.ready = !stopping_ && registry_.ready(now);
  status.warm_up = registry_.warm_up_left(now);
  status.load = load();
  return status;
}

bool LocalUpstream::IsRunningParentOf(const std::string& request_id) const {
  const std::optional<std::string_view> parent = ParentRequestId(request_id);
  return parent && running_request_ids_.count(std::string(*parent)) != 0;
}

CallResult LocalUpstream::NewResult(const CallId& id, ResultKind kind, ResultReason reason) const {
  CallResult result;
  result.id = id;
  result.kind = kind;
  result.reason = reason;
  return result;
}

void LocalUpstream::Offer(CallOffer offer, ConnectionId connection_id, Reply reply) {
  EvictExpiredResults();
  const auto now = steady_clock::now();
  const CallId id = offer.id;
  const auto rejected = rejected_calls_.find(id);
  if (rejected != rejected_calls_.end()) {
    CallResult result = NewResult(id, ResultKind::kNotRun, rejected->second);
    result.load = load();
    return reply(std::move(result));
  }
  const auto known = tracked_calls_.find(id);
  if (known != tracked_calls_.end()) {
    TrackedCall& tracked = known->second;
    tracked.connection_id = connection_id;
    if (tracked.state == State::kDone) {
      tracked.result.load = load();
      return reply(tracked.result);
    }
    tracked.reply = std::move(reply);
    return;
  }
  TrackedCall& tracked = tracked_calls_[id];
  tracked.connection_id = connection_id;
  tracked.reply = std::move(reply);
  tracked.deadline = now + offer.time_left;
  tracked.idempotent = offer.idempotent;
  tracked.queue_key = next_queue_key_++;
  PendingCall call;
  call.key = tracked.queue_key;
  call.deadline = tracked.deadline;
  call.objective = now + offer.objective_left;
  call.profile = offer.profile;
  call.priority = offer.priority;
  call.nested = offer.nested;
  call.offered_at = now;
  call.typical_service_time = offer.typical_service_time;
  call.objective_time = offer.objective_time;
  const ProxyDuration max_wait = offer.max_wait;
  tracked.offer = std::move(offer);
  if (stopping_ || tracked.deadline > latest_deadline_) return Refuse(id, ResultReason::kStopping);
  if (!registry_.Accepts(now, tracked.offer.service, tracked.offer.instance)) {
    return Refuse(id, ResultReason::kNoUpstream);
  }
  ids_by_queue_key_[tracked.queue_key] = id;
  tracked.bulk = tracked.offer.bulk && connection_id != 0 && egress_bytes_per_second_ != nullptr;
  if (tracked.bulk) {
    call.delivery_wait = DeliveryWait();
    call.delivery_time = TransferTime(mean_bulk_bytes_);
    ++bulk_active_;
  }
  const ServerQueue::Admission admission = queue_.Offer(now, call, max_wait);
  switch (admission.verdict) {
    case ServerQueue::Verdict::kStart:
      return Run(id, &tracked);
    case ServerQueue::Verdict::kQueued:
      if (!queue_timer_.pending()) DispatchQueued();
      return;
    case ServerQueue::Verdict::kBusy:
      return Refuse(id, ResultReason::kBusy);
    case ServerQueue::Verdict::kWouldMissDeadline:
      return Refuse(id, ResultReason::kHopeless);
  }
}

void LocalUpstream::Run(const CallId& id, TrackedCall* tracked) {
  const auto now = steady_clock::now();
  tracked->state = State::kRunning;
  tracked->started_at = now;
  tracked->request_id = tracked->offer.request_id;
  tracked->upstream = *registry_.current();
  running_request_ids_.insert(tracked->request_id);
  if (observer_.on_sent) observer_.on_sent(tracked->upstream);
  const auto left = std::max(milliseconds(1), duration_cast<milliseconds>(tracked->deadline - now));
  UpstreamCall call;
  call.request_id = tracked->offer.request_id;
  call.method = tracked->offer.method;
  call.target = tracked->offer.target;
  call.headers =
      platform::EncodeUpstreamHeaders(tracked->offer.headers, left, registry_.current()->instance,
                                      tracked->offer.origin_service, tracked->offer.organisation);
  call.body = std::move(tracked->offer.body);
  call.idempotent = tracked->idempotent;
  tracked->timer = std::make_unique<Timer>(base_, [this, id] { OnDeadline(id); });
  tracked->timer->StartOnce(left + kResponseSlack);
  const CallId started = id;
  const UpstreamPool::Handle handle = pool_.Start(
      std::move(call),
      [this, started](UpstreamOutcome outcome) { OnOutcome(started, std::move(outcome)); });
  // A call that fails at once is completed, and may be erased, before Start() returns.
  const auto it = tracked_calls_.find(started);
  if (it != tracked_calls_.end()) it->second.handle = handle;
}

void LocalUpstream::OnOutcome(const CallId& id, UpstreamOutcome outcome) {
  const auto it = tracked_calls_.find(id);
  if (it == tracked_calls_.end() || it->second.state != State::kRunning) return;
  TrackedCall& tracked = it->second;
  CallResult result = NewResult(id, outcome.kind, outcome.reason);
  result.reached_upstream = outcome.sent;
  result.status = outcome.status;
  result.headers = std::move(outcome.headers);
  result.body = std::move(outcome.body);
  const auto now = steady_clock::now();
  if (outcome.answered()) ApplyRateLimit(outcome.decoded.requests_per_second);
  if (outcome.decoded.load) queue_.SetSlowdown(outcome.decoded.load->slowdown);
  RecordFailure(outcome.kind != ResultKind::kResponse || outcome.status >= kInternalError);
  if (outcome.kind == ResultKind::kResponse) {
    result.service_time = duration_cast<ProxyDuration>(now - tracked.started_at);
    queue_.OnFinish(tracked.queue_key, result.service_time);
  } else {
    queue_.OnAbort(now, tracked.queue_key);
  }
  Observe(tracked, result);
  if (outcome.kind != ResultKind::kResponse) {
    LogNoResponse(tracked, outcome.reason, outcome.sent);
  }
  if (outcome.reason == ResultReason::kUpstreamUnreachable) {
    registry_.OnUnreachable();
    NotifyIfChanged();
  }
  const bool leaving = outcome.decoded.leaving;
  const UpstreamReport upstream = tracked.upstream;
  if (leaving) result.leaving = {upstream.instance, upstream.started_ms};
  Finish(id, &tracked, std::move(result));
  if (leaving) OnLeaving(upstream);
  DispatchQueued();
}

void LocalUpstream::OnDeadline(const CallId& id) {
  TrackedCall& tracked = tracked_calls_.at(id);
  if (tracked.state != State::kRunning) return;
  LogNoResponse(tracked, ResultReason::kTimeout, true);
  RecordFailure(true);
  Abort(id, &tracked, ResultReason::kTimeout);
}

// Senders would learn one by one that the upstream fails calls, each from its own ones. The sidecar
// beside it sees all outcomes and reports them to all senders.
void LocalUpstream::RecordFailure(bool failed) {
  const auto now = steady_clock::now();
  failure_share_.Record(now, failed);
  const double share = failure_share_.Get(now);
  const bool failing =
      share >= (reported_failing_ ? kMaxSoundFailureShare / 2 : kMaxSoundFailureShare);
  if (failing == reported_failing_) return;
  reported_failing_ = failing;
  LogEvent(LogLevel::kInfo, "upstream", failing ? "failing" : "sound")
      .Add("instance", registry_.current() ? registry_.current()->instance : "")
      .Add("failure_share", share);
  on_status_changed_();
}

void LocalUpstream::LogNoResponse(const TrackedCall& tracked, ResultReason reason,
                                  bool sent) const {
  LogEvent(LogLevel::kInfo, "upstream", "no_response")
      .Add("request", tracked.request_id)
      .Add("instance", registry_.current()->instance)
      .Add("reason", ToString(reason))
      .Add("sent", sent)
      .Add("after_ms", (steady_clock::now() - tracked.started_at) / milliseconds(1));
}

void LocalUpstream::Abort(CallId id, TrackedCall* tracked, ResultReason reason) {
  pool_.Cancel(tracked->handle);
  queue_.OnAbort(steady_clock::now(), tracked->queue_key);
  CallResult result = NewResult(id, ResultKind::kUnknown, reason);
  result.reached_upstream = true;
  Observe(*tracked, result);
  Finish(id, tracked, std::move(result));
  DispatchQueued();
}

void LocalUpstream::Observe(const TrackedCall& tracked, const CallResult& result) {
  if (!observer_.on_response) return;
  const bool responded = result.kind == ResultKind::kResponse;
  const bool failed = responded ? result.status >= kInternalError
                                : result.reason == ResultReason::kTimeout ||
                                      result.reason == ResultReason::kConnectionLost ||
                                      result.reason == ResultReason::kBrokenResponse;
  if (!responded && !failed) return;
  const bool warm = registry_.warm_up_left(steady_clock::now()).count() == 0;
  observer_.on_response(tracked.upstream, tracked.offer.route, failed,
                        warm && !failed ? result.service_time : ProxyDuration(0));
}

void LocalUpstream::Refuse(CallId id, ResultReason reason) {
  Finish(id, &tracked_calls_.at(id), NewResult(id, ResultKind::kNotRun, reason));
}

void LocalUpstream::Finish(CallId id, TrackedCall* tracked, CallResult result) {
  ids_by_queue_key_.erase(tracked->queue_key);
  const auto running = running_request_ids_.find(tracked->request_id);
  if (tracked->state == State::kRunning && running != running_request_ids_.end()) {
    running_request_ids_.erase(running);
  }
  tracked->state = State::kDone;
  if (std::exchange(tracked->bulk, false)) {
    --bulk_active_;
    const auto size = static_cast<double>(result.body.size());
    if (result.kind == ResultKind::kResponse) {
      mean_bulk_bytes_ +=
          (mean_bulk_bytes_ == 0 ? 1 : kBulkSizeEwmaWeight) * (size - mean_bulk_bytes_);
    }
  }
  tracked->timer.reset();
  // Assigning an empty string would keep the memory of the body for `kResultRetention`.
  { const CallOffer discarded = std::exchange(tracked->offer, CallOffer()); }
  result.load = load();
  const Reply reply = std::move(tracked->reply);
  tracked->reply = nullptr;
  Retain(id, tracked, result);
  if (reply) reply(std::move(result));
}

void LocalUpstream::Retain(const CallId& id, TrackedCall* tracked, const CallResult& result) {
  if (tracked->connection_id == 0) {
    tracked_calls_.erase(id);
    return;
  }
  completed_.emplace_back(steady_clock::now(), id);
  if (result.kind == ResultKind::kNotRun) {
    rejected_calls_[id] = result.reason;
    tracked_calls_.erase(id);
    return;
  }
  // The response to an idempotent call is not retained, since the call may run again instead.
  const bool has_response = result.kind == ResultKind::kResponse;
  const bool retained =
      !has_response ||
      (!tracked->idempotent && retained_bytes_ + result.body.size() <= kMaxRetainedBytes);
  if (retained) {
    tracked->result = result;
  } else {
    tracked->result = NewResult(id, ResultKind::kUnknown, ResultReason::kConnectionLost);
    tracked->result.reached_upstream = true;
  }
  retained_bytes_ += tracked->result.body.size();
}

void LocalUpstream::EvictExpiredResults() {
  const auto start = steady_clock::now() - kResultRetention;
  while (!completed_.empty() && completed_.front().first < start) {
    const auto it = tracked_calls_.find(completed_.front().second);
    if (it != tracked_calls_.end()) {
      retained_bytes_ -= it->second.result.body.size();
      tracked_calls_.erase(it);
    }
    rejected_calls_.erase(completed_.front().second);
    completed_.pop_front();
  }
}

void LocalUpstream::DispatchQueued() {
  const auto now = steady_clock::now();
  for (const ServerQueue::DequeuedCall& dequeued : queue_.DispatchQueued(now)) {
    const CallId id = ids_by_queue_key_.at(dequeued.key);
    if (dequeued.start) {
      Run(id, &tracked_calls_.at(id));
    } else {
      Refuse(id, ResultReason::kHopeless);
    }
  }
  const std::optional<ProxyTime> next = queue_.NextDispatch(now);
  if (!next) return queue_timer_.Stop();
  queue_timer_.StartOnce(std::max(ProxyDuration(0), std::chrono::ceil<ProxyDuration>(*next - now)));
}

void LocalUpstream::Cancel(const CallId& id) {
  const auto it = tracked_calls_.find(id);
  if (it == tracked_calls_.end()) {
    if (rejected_calls_.emplace(id, ResultReason::kCancelled).second) {
      completed_.emplace_back(steady_clock::now(), id);
    }
    return;
  }
  TrackedCall& tracked = it->second;
  tracked.reply = nullptr;
  if (tracked.state == State::kQueued) {
    queue_.RemoveQueued(tracked.queue_key);
    Finish(id, &tracked, NewResult(id, ResultKind::kNotRun, ResultReason::kCancelled));
  } else if (tracked.state == State::kRunning && tracked.idempotent) {
    Abort(id, &tracked, ResultReason::kCancelled);
  }
}

void LocalUpstream::OnConnectionClosed(ConnectionId connection_id) {
  std::vector<CallId> queued;
  std::vector<CallId> running;
  for (auto& [id, tracked] : tracked_calls_) {
    if (tracked.connection_id != connection_id || tracked.state == State::kDone) continue;
    tracked.reply = nullptr;
    if (tracked.state == State::kQueued) queued.push_back(id);
    if (tracked.state == State::kRunning && tracked.idempotent) running.push_back(id);
  }
  for (const CallId& id : queued) Cancel(id);
  if (running.empty()) return;
  // One-shot timer that owns itself until it fires.
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = std::make_unique<Timer>(base_, [this, running, connection_id, timer] {
    for (const CallId& id : running) {
      const auto it = tracked_calls_.find(id);
      if (it != tracked_calls_.end() && it->second.connection_id == connection_id) Cancel(id);
    }
    timer->reset();
  });
  (*timer)->StartOnce(kReconnectGracePeriod);
}

void LocalUpstream::Stop() {
  stopping_ = true;
  NotifyIfChanged();
}

}  // namespace camphorhoist
