#include "camphorhoist/server_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorhoist {

namespace {

// All profiles are discarded when there are this many: bounds memory if senders create arbitrary
// profiles.
constexpr size_t kMaxProfiles = 256;

ProxyDuration FromMicros(double us) { return ProxyDuration(static_cast<int64_t>(us)); }

}  // namespace

ProxyDuration ServerQueue::ExpectedServiceTime(uint64_t profile) const {
  const auto it = profile_us_.find(profile);
  return FromMicros(slowdown_ * (it == profile_us_.end() ? mean_us_ : it->second));
}

ProxyTime ServerQueue::LatestStart(const PendingCall& call) const {
  const ProxyDuration service = ExpectedServiceTime(call.profile);
  const ProxyTime latest =
      call.deadline - call.delivery() -
      FromMicros(kMinRemainingServiceShare * static_cast<double>(service.count()));
  if (!call.nested) return latest;
  const double time_us = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(call.deadline - call.offered_at).count());
  return std::min(latest, call.offered_at + FromMicros(kMaxNestedWaitShare * time_us));
}

bool ServerQueue::HasPrecedence(ProxyTime now, const PendingCall& a, const PendingCall& b) const {
  const auto rank = [this, now](const PendingCall& call) {
    return std::make_tuple(!call.nested, WillMissObjective(now, call), call.priority,
                           call.objective);
  };
  return rank(a) < rank(b);
}

ProxyDuration ServerQueue::ExpectedWait(ProxyTime now, const PendingCall& call) const {
  if (CanStart(now) && queued_.empty()) return ProxyDuration(0);
  if (slots_ == 0) return std::chrono::hours(1);
  double wait_us = 0;
  if (running_.size() >= slots_) {
    wait_us = MicrosUntilFreeSlot(now) * (static_cast<double>(running_.size()) + 1 - slots_);
  }
  const double overdue = OverdueFactor(now);
  size_t ahead = 0;
  for (const PendingCall& it : queued_) {
    if (HasPrecedence(now, call, it)) continue;
    ++ahead;
    wait_us += overdue * static_cast<double>(ExpectedServiceTime(it.profile).count()) / slots_;
  }
  return std::max(FromMicros(wait_us), rate_limit_.Wait(now, ahead));
}

// A call that would miss its objective even on an idle link delays the responses behind it. It is
// admitted only while the wait for the link is short.
bool ServerQueue::LinkIsCongested(ProxyTime now, const PendingCall& call) const {
  if (call.delivery_wait.count() == 0) return false;
  const double service_us = static_cast<double>(ExpectedServiceTime(call.profile).count());
  const ProxyTime earliest_done =
      now + FromMicros(kPredictionMargin * service_us) + call.delivery_time;
  if (earliest_done <= call.objective) {
    const ProxyDuration max_wait =
        FromMicros(kMaxLinkWaitShare * static_cast<double>(call.objective_time.count()));
    const bool leaves_no_time_for_retries =
        call.objective_time.count() > 0 && call.delivery_wait > max_wait;
    return leaves_no_time_for_retries || earliest_done + call.delivery_wait > call.objective;
  }
  const double left_us =
      static_cast<double>(std::chrono::duration_cast<ProxyDuration>(call.deadline - now).count());
  return static_cast<double>(call.delivery_wait.count()) > kMaxLateWaitShare * left_us;
}

ServerQueue::Admission ServerQueue::Offer(ProxyTime now, const PendingCall& call,
                                          ProxyDuration max_wait) {
  if (now >= LatestStart(call) || LinkIsCongested(now, call)) {
    return {Verdict::kWouldMissDeadline, ProxyDuration(0)};
  }
  if (CanStart(now) && queued_.empty()) {
    Start(now, call);
    return {Verdict::kStart, ProxyDuration(0)};
  }
  const ProxyDuration wait = ExpectedWait(now, call);
  if (HasLostItsObjective(now, call)) return {Verdict::kWouldMissDeadline, wait};
  if (queued_.size() >= kMaxQueuePerSlot * std::max<size_t>(slots_, 1)) {
    return {Verdict::kBusy, wait};
  }
  if (wait > max_wait) return {Verdict::kBusy, wait};
  const double service_us =
      OverdueFactor(now) * static_cast<double>(ExpectedServiceTime(call.profile).count());
  const double expected_us = kPredictionMargin * static_cast<double>(wait.count()) + service_us;
  const ProxyTime expected_done = now + FromMicros(expected_us) + call.delivery();
  if (now + wait > LatestStart(call) ||
      (!WillMissObjective(now, call) && expected_done > call.objective)) {
    return {Verdict::kWouldMissDeadline, wait};
  }
  queued_.push_back(call);
  return {Verdict::kQueued, wait};
}

bool ServerQueue::CanStart(ProxyTime now) const {
  return running_.size() < slots_ && rate_limit_.HasPermit(now);
}

void ServerQueue::Start(ProxyTime now, const PendingCall& call) {
  rate_limit_.Take(now);
  running_[call.key] = Running{now, call.profile, slowdown_, call.typical_service_time};
}

bool ServerQueue::WillMissObjective(ProxyTime now, const PendingCall& call) const {
  return now + ExpectedServiceTime(call.profile) + call.delivery() > call.objective;
}

bool ServerQueue::HasLostItsObjective(ProxyTime now, const PendingCall& call) const {
  return !call.nested && WillMissObjective(now, call) &&
         ExpectedServiceTime(call.profile) + call.delivery_time <= call.objective_time;
}

// If enough queued work can still meet its objective, a call that cannot would not be started
// before its deadline. Dropping it at once lets its caller react sooner.
bool ServerQueue::ShouldDropLate(ProxyTime now, const PendingCall& call, double timely_work_us,
                                 size_t timely_calls) const {
  if (!WillMissObjective(now, call)) return false;
  if (HasLostItsObjective(now, call)) return timely_calls > 0;
  const double wait_us = std::max(timely_work_us / std::max<uint32_t>(slots_, 1),
                                  static_cast<double>(rate_limit_.Wait(now, timely_calls).count()));
  const double left_us = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(LatestStart(call) - now).count());
  return wait_us > kMaxLateWaitShare * left_us;
}

std::vector<ServerQueue::DequeuedCall> ServerQueue::DispatchQueued(ProxyTime now) {
  std::vector<DequeuedCall> dequeued;
  double timely_work_us = 0;
  size_t timely_calls = 0;
  for (const PendingCall& it : queued_) {
    if (!WillMissObjective(now, it)) {
      ++timely_calls;
      timely_work_us += static_cast<double>(ExpectedServiceTime(it.profile).count());
    }
  }
  for (auto it = queued_.begin(); it != queued_.end();) {
    if (now >= LatestStart(*it) || ShouldDropLate(now, *it, timely_work_us, timely_calls)) {
      dequeued.push_back({it->key, false});
      it = queued_.erase(it);
    } else {
      ++it;
    }
  }
  while (!queued_.empty() && CanStart(now)) {
    const auto it = std::min_element(queued_.begin(), queued_.end(),
                                     [this, now](const PendingCall& a, const PendingCall& b) {
                                       return HasPrecedence(now, a, b);
                                     });
    Start(now, *it);
    dequeued.push_back({it->key, true});
    queued_.erase(it);
  }
  return dequeued;
}

void ServerQueue::SetSlowdown(double slowdown) {
  slowdown_ = std::min(std::max(slowdown, kMinSlowdown), kMaxSlowdown);
}

void ServerQueue::RecordServiceTime(const Running& call, double us) {
  const double normal_us = us / ((call.slowdown + slowdown_) / 2);
  mean_us_ += kServiceTimeEwmaWeight * (normal_us - mean_us_);
  if (profile_us_.size() >= kMaxProfiles) profile_us_.clear();
  const auto [it, is_new] = profile_us_.try_emplace(call.profile, normal_us);
  if (!is_new) it->second += kServiceTimeEwmaWeight * (normal_us - it->second);
  if (call.typical_service_time.count() > 0) {
    const auto typical_us = static_cast<double>(call.typical_service_time.count());
    compared_us_ += kRelativeServiceTimeEwmaWeight * (normal_us - compared_us_);
    typical_us_ += kRelativeServiceTimeEwmaWeight * (typical_us - typical_us_);
  }
}

double ServerQueue::ClampRelativeServiceTime(double value) {
  if (std::isnan(value)) return 1;
  return std::clamp(value, kMinRelativeServiceTime, kMaxRelativeServiceTime);
}

void ServerQueue::OnFinish(uint64_t key, ProxyDuration service_time) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  RecordServiceTime(it->second, static_cast<double>(service_time.count()));
  running_.erase(it);
}

void ServerQueue::OnAbort(ProxyTime now, uint64_t key) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  const auto run_time = std::chrono::duration_cast<ProxyDuration>(now - it->second.started_at);
  if (run_time > ExpectedServiceTime(it->second.profile)) {
    RecordServiceTime(it->second, static_cast<double>(run_time.count()));
  }
  running_.erase(it);
}

// If half of the running calls have already run for longer than calls of their profile usually do,
// the server has become slow. Their median age shows this before any of them finishes.
double ServerQueue::OverdueFactor(ProxyTime now) const {
  if (running_.empty()) return 1;
  std::vector<double> ages;
  ages.reserve(running_.size());
  for (const auto& [key, call] : running_) {
    const auto age = std::chrono::duration_cast<ProxyDuration>(now - call.started_at);
    const auto expected_us = static_cast<double>(ExpectedServiceTime(call.profile).count());
    ages.push_back(static_cast<double>(age.count()) / std::max(expected_us, 1.0));
  }
  const auto median = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
  std::nth_element(ages.begin(), median, ages.end());
  return std::max(1.0, *median);
}

double ServerQueue::MeanServiceTime(ProxyTime now) const {
  return slowdown_ * mean_us_ * OverdueFactor(now);
}

// Short and long calls run side by side, and the short ones free their slots more often than their
// share of the slots suggests. The rates at which the slots become free add up.
double ServerQueue::MicrosUntilFreeSlot(ProxyTime now) const {
  double per_us = 0;
  for (const auto& [key, call] : running_) {
    const auto expected_us = static_cast<double>(ExpectedServiceTime(call.profile).count());
    per_us += 1 / std::max(expected_us, 1.0);
  }
  return OverdueFactor(now) / per_us;
}

bool ServerQueue::RemoveQueued(uint64_t key) {
  const auto it = std::find_if(queued_.begin(), queued_.end(),
                               [key](const PendingCall& call) { return call.key == key; });
  if (it == queued_.end()) return false;
  queued_.erase(it);
  return true;
}

std::vector<uint64_t> ServerQueue::RemoveAllQueued() {
  std::vector<uint64_t> keys;
  keys.reserve(queued_.size());
  for (const PendingCall& it : queued_) keys.push_back(it.key);
  queued_.clear();
  return keys;
}

ServerLoad ServerQueue::load(ProxyTime now) const {
  ServerLoad load;
  load.running = static_cast<uint32_t>(running_.size());
  load.queued = static_cast<uint32_t>(queued_.size());
  load.limit = slots_;
  load.service_time = FromMicros(MeanServiceTime(now));
  PendingCall lowest_priority;
  lowest_priority.objective = ProxyTime::max();
  lowest_priority.priority = INT32_MAX;
  load.expected_wait = ExpectedWait(now, lowest_priority);
  load.request_interval = rate_limit_.interval();
  load.permit_wait = rate_limit_.Wait(now, queued_.size());
  load.relative_service_time =
      ClampRelativeServiceTime(slowdown_ * OverdueFactor(now) * compared_us_ / typical_us_);
  return load;
}

std::optional<ProxyTime> ServerQueue::NextExpiry() const {
  std::optional<ProxyTime> next;
  for (const PendingCall& it : queued_) {
    const ProxyTime latest = LatestStart(it);
    if (!next || latest < *next) next = latest;
  }
  return next;
}

std::optional<ProxyTime> ServerQueue::NextDispatch(ProxyTime now) const {
  std::optional<ProxyTime> next = NextExpiry();
  if (next && running_.size() < slots_) {
    next = std::min<ProxyTime>(*next, now + rate_limit_.Wait(now, 0));
  }
  return next;
}

}  // namespace camphorhoist
