#include "camphorhoist/server_queue.h"

#include <algorithm>
#include <tuple>

namespace camphorhoist {

namespace {

// Forgets all profiles when there are more; bounds memory against senders that invent profiles.
constexpr size_t kMaxProfiles = 256;

ProxyDuration FromMicros(double us) { return ProxyDuration(static_cast<int64_t>(us)); }

}  // namespace

ProxyDuration ServerQueue::ExpectedServiceTime(uint64_t profile) const {
  const auto it = profile_us_.find(profile);
  return FromMicros(slowdown_ * (it == profile_us_.end() ? mean_us_ : it->second));
}

ProxyTime ServerQueue::LatestStart(const PendingCall& call) const {
  const ProxyDuration service = ExpectedServiceTime(call.profile);
  const ProxyTime latest = call.deadline - call.delivery() -
                           FromMicros(kMinUsefulShare * static_cast<double>(service.count()));
  if (!call.nested) return latest;
  const double time_us = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(call.deadline - call.offered_at).count());
  return std::min(latest, call.offered_at + FromMicros(kMaxNestedWaitShare * time_us));
}

bool ServerQueue::GoesBefore(ProxyTime now, const PendingCall& a, const PendingCall& b) const {
  const auto rank = [this, now](const PendingCall& call) {
    return std::make_tuple(!call.nested, Late(now, call), call.priority, call.objective);
  };
  return rank(a) < rank(b);
}

ProxyDuration ServerQueue::ExpectedWait(ProxyTime now, const PendingCall& call) const {
  if (running_.size() < slots_ && waiting_.empty()) return ProxyDuration(0);
  if (slots_ == 0) return std::chrono::hours(1);
  // Slots come free one after the other, on average one per mean service time over their number.
  double work_us = MeanServiceTime(now) * (static_cast<double>(running_.size()) + 1 - slots_);
  for (const PendingCall& it : waiting_) {
    if (GoesBefore(now, call, it)) continue;
    work_us += static_cast<double>(ExpectedServiceTime(it.profile).count());
  }
  return FromMicros(std::max(work_us, 0.0) / slots_);
}

// A call that would be late on a free link, too, takes the link from those that follow, and is
// admitted only while the wait for the link is short.
bool ServerQueue::LinkIsFull(ProxyTime now, const PendingCall& call) const {
  if (call.delivery_wait.count() == 0) return false;
  const double service = static_cast<double>(ExpectedServiceTime(call.profile).count());
  const ProxyTime at_best = now + FromMicros(kPredictionMargin * service) + call.delivery_time;
  if (at_best <= call.objective) return at_best + call.delivery_wait > call.objective;
  const double left =
      static_cast<double>(std::chrono::duration_cast<ProxyDuration>(call.deadline - now).count());
  return static_cast<double>(call.delivery_wait.count()) > kMaxLateWaitShare * left;
}

ServerQueue::Admission ServerQueue::Offer(ProxyTime now, const PendingCall& call,
                                          ProxyDuration max_wait) {
  if (now >= LatestStart(call) || LinkIsFull(now, call)) {
    return {Verdict::kWouldMissDeadline, ProxyDuration(0)};
  }
  if (running_.size() < slots_ && waiting_.empty()) {
    Start(now, call);
    return {Verdict::kStart, ProxyDuration(0)};
  }
  const ProxyDuration wait = ExpectedWait(now, call);
  if (waiting_.size() >= kMaxQueuePerSlot * std::max<size_t>(slots_, 1)) {
    return {Verdict::kBusy, wait};
  }
  if (wait > max_wait) return {Verdict::kBusy, wait};
  const double expected = static_cast<double>((wait + ExpectedServiceTime(call.profile)).count());
  const ProxyTime done = now + FromMicros(kPredictionMargin * expected) + call.delivery();
  if (now + wait > LatestStart(call) || (!Late(now, call) && done > call.objective)) {
    return {Verdict::kWouldMissDeadline, wait};
  }
  waiting_.push_back(call);
  return {Verdict::kQueued, wait};
}

void ServerQueue::Start(ProxyTime now, const PendingCall& call) {
  running_[call.key] = Running{now, call.profile, slowdown_};
}

bool ServerQueue::Late(ProxyTime now, const PendingCall& call) const {
  return now + ExpectedServiceTime(call.profile) + call.delivery() > call.objective;
}

// With enough waiting work that can still meet its objective, a late call would not be reached
// before its deadline; its caller is better told at once.
bool ServerQueue::Displaced(ProxyTime now, const PendingCall& call, double timely_us) const {
  if (!Late(now, call)) return false;
  const double wait_us = timely_us / std::max<uint32_t>(slots_, 1);
  const double left_us = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(LatestStart(call) - now).count());
  return wait_us > kMaxLateWaitShare * left_us;
}

std::vector<ServerQueue::DequeuedCall> ServerQueue::DispatchQueued(ProxyTime now) {
  std::vector<DequeuedCall> steps;
  double timely_us = 0;
  for (const PendingCall& it : waiting_) {
    if (!Late(now, it)) timely_us += static_cast<double>(ExpectedServiceTime(it.profile).count());
  }
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now >= LatestStart(*it) || Displaced(now, *it, timely_us)) {
      steps.push_back({it->key, false});
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
  while (!waiting_.empty() && running_.size() < slots_) {
    const auto it = std::min_element(
        waiting_.begin(), waiting_.end(),
        [this, now](const PendingCall& a, const PendingCall& b) { return GoesBefore(now, a, b); });
    Start(now, *it);
    steps.push_back({it->key, true});
    waiting_.erase(it);
  }
  return steps;
}

void ServerQueue::SetSlowdown(double slowdown) {
  slowdown_ = std::min(std::max(slowdown, kMinSlowdown), kMaxSlowdown);
}

void ServerQueue::Observe(const Running& call, double us) {
  const double normal_us = us / ((call.slowdown + slowdown_) / 2);
  mean_us_ += kServiceTimeGain * (normal_us - mean_us_);
  if (profile_us_.size() >= kMaxProfiles) profile_us_.clear();
  const auto [it, is_new] = profile_us_.try_emplace(call.profile, normal_us);
  if (!is_new) it->second += kServiceTimeGain * (normal_us - it->second);
}

void ServerQueue::OnFinish(uint64_t key, ProxyDuration service_time) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  Observe(it->second, static_cast<double>(service_time.count()));
  running_.erase(it);
}

void ServerQueue::OnAbort(ProxyTime now, uint64_t key) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  const auto ran = std::chrono::duration_cast<ProxyDuration>(now - it->second.since);
  if (ran > ExpectedServiceTime(it->second.profile)) {
    Observe(it->second, static_cast<double>(ran.count()));
  }
  running_.erase(it);
}

// Half of the running calls having run for longer than the mean shows a server that has turned slow
// before any of them ends.
double ServerQueue::MeanServiceTime(ProxyTime now) const {
  if (running_.empty()) return slowdown_ * mean_us_;
  std::vector<double> ages;
  ages.reserve(running_.size());
  for (const auto& it : running_) {
    const auto age = std::chrono::duration_cast<ProxyDuration>(now - it.second.since);
    ages.push_back(static_cast<double>(age.count()));
  }
  const auto median = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
  std::nth_element(ages.begin(), median, ages.end());
  return std::max(slowdown_ * mean_us_, *median);
}

bool ServerQueue::RemoveQueued(uint64_t key) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [key](const PendingCall& call) { return call.key == key; });
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

std::vector<uint64_t> ServerQueue::RemoveAllQueued() {
  std::vector<uint64_t> keys;
  keys.reserve(waiting_.size());
  for (const PendingCall& it : waiting_) keys.push_back(it.key);
  waiting_.clear();
  return keys;
}

ServerLoad ServerQueue::load(ProxyTime now) const {
  ServerLoad load;
  load.running = static_cast<uint32_t>(running_.size());
  load.queued = static_cast<uint32_t>(waiting_.size());
  load.limit = slots_;
  load.service_time = FromMicros(MeanServiceTime(now));
  PendingCall ordinary;
  ordinary.objective = ProxyTime::max();
  ordinary.priority = INT32_MAX;
  load.expected_wait = ExpectedWait(now, ordinary);
  return load;
}

std::optional<ProxyTime> ServerQueue::NextExpiry() const {
  std::optional<ProxyTime> next;
  for (const PendingCall& it : waiting_) {
    const ProxyTime latest = LatestStart(it);
    if (!next || latest < *next) next = latest;
  }
  return next;
}

}  // namespace camphorhoist
