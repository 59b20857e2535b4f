#include "libproxy/testing/load_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>

#include "camphorhoist/call_placement.h"

namespace camphorhoist {

namespace {

ProxyTime At(double ms) {
  return ProxyTime() + ProxyDuration(static_cast<int64_t>(ms * 1000) + 1000000000);
}

/// Event loop with simulated time in ms.
class Clock {
 public:
  void Schedule(double at, std::function<void()> action) {
    events_.push({at, next_++, std::move(action)});
  }
  void Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }
  double now() const { return now_; }

 private:
  struct Event {
    double at;
    uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  std::priority_queue<Event> events_;
  uint64_t next_ = 0;
  double now_ = 0;
};

constexpr size_t kResponseBytes = 1500;

struct Attempt {
  size_t cls = 0;
  size_t sender = 0;
  double work_ms = 0;
  /// Arrival of the first attempt of the caller.
  double first_at = 0;
  double arrived = 0;
  double deadline = 0;
  int retries_left = 1;
  bool abusive = false;
  CallPlacement placement;
};

class Replay {
 public:
  explicit Replay(const ReplayScenario& scenario) : scenario_(scenario), rng_(scenario.seed) {
    result_.classes.resize(scenario.classes.size());
    for (const ReplayServer& it : scenario.servers) queues_.emplace_back(it.slots);
    const size_t senders = scenario.zones.size() * scenario.senders_per_zone;
    views_.resize(senders);
    for (auto& view : views_) {
      for (size_t i = 0; i < scenario.servers.size(); ++i) {
        ServerCandidate candidate;
        candidate.node = std::to_string(i);
        candidate.zone = scenario.servers[i].zone;
        candidate.load.limit = scenario.servers[i].slots;
        candidate.load.service_time = ServerQueue::kInitialServiceTime;
        candidate.load_time = At(0);
        view.push_back(candidate);
      }
    }
    wake_.resize(scenario.servers.size(), -1);
  }

  ReplayResult Run() {
    for (size_t zone = 0; zone < scenario_.zones.size(); ++zone) {
      for (size_t cls = 0; cls < scenario_.classes.size(); ++cls) ScheduleArrival(zone, cls, 0);
    }
    clock_.Run();
    double owed = 0;
    double earned = 0;
    for (size_t i = 0; i < result_.classes.size(); ++i) {
      const ReplayClassResult& it = result_.classes[i];
      owed += static_cast<double>(it.calls);
      earned += static_cast<double>(it.timely) +
                scenario_.classes[i].late_credit * static_cast<double>(it.late);
    }
    result_.credit = owed == 0 ? 0 : earned / owed;
    double cost = 0;
    for (const ReplayClassResult& it : result_.classes) cost += it.late_refusal_cost;
    result_.net = owed == 0 ? 0 : (earned - cost) / owed;
    double slots = 0;
    for (const ReplayServer& it : scenario_.servers) slots += it.slots;
    result_.utilisation = busy_ms_ / (slots * scenario_.seconds * 1000);
    result_.offers =
        static_cast<double>(offers_) / static_cast<double>(std::max<uint64_t>(attempts_, 1));
    return result_;
  }

 private:
  // Thinning of a Poisson process at the highest rate.
  void ScheduleArrival(size_t zone, size_t cls, double from) {
    constexpr double kMaxDemand = 4;
    const double rate = scenario_.classes[cls].per_second * kMaxDemand /
                        static_cast<double>(scenario_.zones.size()) / 1000;
    double at = from;
    while (true) {
      at += std::exponential_distribution<double>(rate)(rng_);
      if (at > scenario_.seconds * 1000) return;
      if (Uniform() * kMaxDemand < scenario_.demand(zone, at / 1000)) break;
    }
    clock_.Schedule(at, [this, zone, cls, at] {
      Arrive(zone, cls);
      ScheduleArrival(zone, cls, at);
    });
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void Arrive(size_t zone, size_t cls) {
    const ReplayClass& kind = scenario_.classes[cls];
    ++result_.classes[cls].calls;
    auto attempt = std::make_shared<Attempt>();
    attempt->cls = cls;
    attempt->sender =
        zone * scenario_.senders_per_zone +
        std::uniform_int_distribution<size_t>(0, scenario_.senders_per_zone - 1)(rng_);
    const double mu = std::log(kind.work_ms) - kind.spread * kind.spread / 2;
    attempt->work_ms = std::lognormal_distribution<double>(mu, kind.spread)(rng_);
    if (Uniform() < kind.tail) attempt->work_ms *= kind.tail_factor;
    attempt->first_at = clock_.now();
    attempt->arrived = clock_.now();
    attempt->deadline = clock_.now() + kind.deadline_ms;
    attempt->abusive = Uniform() < scenario_.abusive_share;
    attempt->retries_left = attempt->abusive ? scenario_.abusive_retries : 1;
    ++attempts_;
    Place(attempt);
  }

  const std::string& ZoneOf(size_t sender) const {
    return scenario_.zones[sender / scenario_.senders_per_zone];
  }

  double NetworkMs(size_t sender, size_t server) const {
    return ZoneOf(sender) == scenario_.servers[server].zone ? 0.2 : scenario_.network_ms;
  }

  void Place(const std::shared_ptr<Attempt>& attempt) {
    auto& view = views_[attempt->sender];
    ServerCandidates candidates;
    for (const ServerCandidate& it : view) candidates.push_back(&it);
    const auto offer = attempt->placement.NextOffer(At(clock_.now()), ZoneOf(attempt->sender),
                                                    kResponseBytes, candidates, &rng_);
    if (!offer) return Refused(attempt);
    ++offers_;
    ++view[offer->index].offers_since_report;
    const size_t server = offer->index;
    const ProxyDuration max_wait = offer->max_wait;
    clock_.Schedule(clock_.now() + NetworkMs(attempt->sender, server),
                    [this, attempt, server, max_wait] { Offered(attempt, server, max_wait); });
  }

  void Offered(const std::shared_ptr<Attempt>& attempt, size_t server, ProxyDuration max_wait) {
    const ReplayClass& kind = scenario_.classes[attempt->cls];
    PendingCall call;
    call.key = next_key_++;
    call.deadline = At(attempt->deadline);
    call.objective = At(attempt->first_at + kind.objective_ms);
    call.profile = attempt->cls;
    call.priority = kind.priority;
    const auto admission = queues_[server].Offer(At(clock_.now()), call, max_wait);
    switch (admission.verdict) {
      case ServerQueue::Verdict::kStart:
        return Run(attempt, server, call.key);
      case ServerQueue::Verdict::kQueued:
        waiting_[call.key] = attempt;
        return Advance(server);
      case ServerQueue::Verdict::kBusy:
      case ServerQueue::Verdict::kWouldMissDeadline:
        return Decline(attempt, server);
    }
  }

  void Decline(const std::shared_ptr<Attempt>& attempt, size_t server) {
    const ServerLoad load = queues_[server].load(At(clock_.now()));
    clock_.Schedule(clock_.now() + NetworkMs(attempt->sender, server),
                    [this, attempt, server, load] {
                      Report(attempt->sender, server, load);
                      attempt->placement.OnBusy(std::to_string(server), load.expected_wait);
                      Place(attempt);
                    });
  }

  void Report(size_t sender, size_t server, const ServerLoad& load) {
    ServerPicker::UpdateLoad(At(clock_.now()), load, &views_[sender][server]);
  }

  void Run(const std::shared_ptr<Attempt>& attempt, size_t server, uint64_t key) {
    const double started = clock_.now();
    const double full = attempt->work_ms * scenario_.servers[server].slowness(started / 1000);
    // A server stops work at the deadline.
    const bool whole = started + full <= attempt->deadline;
    const double took = whole ? full : attempt->deadline - started;
    clock_.Schedule(started + took, [this, attempt, server, key, took, whole] {
      // A response tells how fast the server's VM is at this moment.
      queues_[server].SetSlowdown(scenario_.servers[server].slowness(clock_.now() / 1000));
      if (whole) {
        queues_[server].OnFinish(key, ProxyDuration(static_cast<int64_t>(took * 1000)));
      } else {
        queues_[server].OnAbort(At(clock_.now()), key);
      }
      if (whole) busy_ms_ += took;
      const ServerLoad load = queues_[server].load(At(clock_.now()));
      clock_.Schedule(clock_.now() + NetworkMs(attempt->sender, server),
                      [this, attempt, server, load, whole] {
                        Report(attempt->sender, server, load);
                        if (whole) Answered(*attempt);
                      });
      Advance(server);
    });
  }

  void Answered(const Attempt& attempt) {
    const ReplayClass& kind = scenario_.classes[attempt.cls];
    ReplayClassResult& result = result_.classes[attempt.cls];
    if (clock_.now() <= attempt.first_at + kind.objective_ms) {
      ++result.timely;
    } else {
      ++result.late;
    }
  }

  void Advance(size_t server) {
    ServerQueue& queue = queues_[server];
    for (const ServerQueue::DequeuedCall& step : queue.DispatchQueued(At(clock_.now()))) {
      const std::shared_ptr<Attempt> attempt = waiting_.at(step.key);
      waiting_.erase(step.key);
      if (step.start) {
        Run(attempt, server, step.key);
      } else {
        Decline(attempt, server);
      }
    }
    const auto expiry = queue.NextExpiry();
    if (!expiry) return;
    const double at = static_cast<double>((*expiry - At(0)).count()) / 1e6;
    if (wake_[server] >= clock_.now() && wake_[server] <= at) return;
    wake_[server] = at;
    clock_.Schedule(std::max(at, clock_.now()), [this, server] { Advance(server); });
  }

  void Refused(const std::shared_ptr<Attempt>& attempt) {
    ReplayClassResult& result = result_.classes[attempt->cls];
    ++result.refusals;
    result.refusal_held_ms += clock_.now() - attempt->arrived;
    const double left = attempt->deadline - clock_.now();
    if (attempt->retries_left == 0 || left <= 0) {
      ++result.refused;
      const ReplayClass& kind = scenario_.classes[attempt->cls];
      const double free = kind.objective_ms / 8;
      const double held = clock_.now() - attempt->arrived;
      if (attempt->first_at < attempt->arrived) {
        result.late_refusal_cost += kind.second_refusal_price;
      }
      const double whole = 0.75 * (attempt->deadline - attempt->arrived);
      result.late_refusal_cost +=
          kind.late_refusal_price * std::clamp((held - free) / (whole - free), 0.0, 1.0);
      return;
    }
    const ProxyDuration delay =
        attempt->placement.RetryAfter(ProxyDuration(static_cast<int64_t>(left * 1000)));
    constexpr double kAbusiveDelayMs = 10;
    const double wait = attempt->abusive
                            ? kAbusiveDelayMs
                            : std::min(static_cast<double>(delay.count()) / 1000, left / 3);
    auto next = std::make_shared<Attempt>(*attempt);
    next->placement = CallPlacement();
    next->retries_left = attempt->retries_left - 1;
    clock_.Schedule(clock_.now() + wait, [this, next] {
      next->arrived = clock_.now();
      ++attempts_;
      Place(next);
    });
  }

  const ReplayScenario& scenario_;
  std::mt19937_64 rng_;
  Clock clock_;
  ReplayResult result_;
  std::vector<ServerQueue> queues_;
  std::vector<double> wake_;
  /// What each sender knows of the servers.
  std::vector<std::vector<ServerCandidate>> views_;
  std::map<uint64_t, std::shared_ptr<Attempt>> waiting_;
  uint64_t next_key_ = 1;
  uint64_t offers_ = 0;
  uint64_t attempts_ = 0;
  double busy_ms_ = 0;
};

}  // namespace

ReplayResult RunReplay(const ReplayScenario& scenario) { return Replay(scenario).Run(); }

std::function<double(double)> NoisySlowness(double base, double share, double factor,
                                            double period_s, uint64_t seed) {
  return [=](double t) {
    const auto period = static_cast<uint64_t>(t / period_s);
    std::mt19937_64 rng(seed * 1000003 + period);
    rng.discard(3);
    const bool noisy = std::uniform_real_distribution<double>(0, 1)(rng) < share;
    return noisy ? base * factor : base;
  };
}

}  // namespace camphorhoist
