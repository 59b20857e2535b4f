#include "libproxy/testing/load_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "camphorhoist/call_estimates.h"
#include "camphorhoist/call_placement.h"

namespace camphorhoist {

namespace {

// Converts simulated time in milliseconds.
ProxyTime At(double ms) {
  return ProxyTime() + ProxyDuration(static_cast<int64_t>(ms * 1000) + 1000000000);
}

/// Event loop on simulated time, in milliseconds.
class EventLoop {
 public:
  void Schedule(double at, std::function<void()> action) {
    events_.push({at, next_sequence_++, std::move(action)});
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
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  std::priority_queue<Event> events_;
  uint64_t next_sequence_ = 0;
  double now_ = 0;
};

// Sizes of the messages between sidecars, for the bytes between data centres.
constexpr double kOfferBytes = 330;
constexpr double kRejectionBytes = 190;

/// One attempt of a caller to make a call.
struct Attempt {
  size_t cls = 0;
  size_t sender = 0;
  double work_ms = 0;
  /// Arrival of the first attempt for the same call.
  double first_arrived_at = 0;
  double arrived_at = 0;
  double deadline = 0;
  int retries_left = 1;
  bool is_abusive = false;
  CallPlacement placement;
  /// Servers that the call was offered to.
  std::set<size_t> tried;
  /// For a nested call: continues its parent. The argument tells whether there is a response.
  std::function<void(bool)> on_nested_end;

  bool nested() const { return on_nested_end != nullptr; }
};

/// A call that occupies a slot of a server.
struct RunningCall {
  std::shared_ptr<Attempt> attempt;
  size_t server = 0;
  uint64_t key = 0;
  double started = 0;
  int nested_calls_left = 0;
  bool ended = false;
};

class Replay {
 public:
  explicit Replay(const ReplayScenario& scenario) : scenario_(scenario), rng_(scenario.seed) {
    result_.classes.resize(scenario.classes.size());
    for (const ReplayServer& it : scenario.servers) queues_.emplace_back(it.slots);
    const size_t senders = scenario.data_centres.size() * scenario.senders_per_data_centre;
    candidates_by_sender_.resize(senders);
    estimates_by_sender_.resize(senders);
    for (auto& servers : candidates_by_sender_) {
      for (size_t i = 0; i < scenario.servers.size(); ++i) {
        ServerCandidate candidate;
        candidate.node = std::to_string(i);
        candidate.data_centre = scenario.servers[i].data_centre;
        candidate.load.limit = scenario.servers[i].slots;
        candidate.load.service_time = ServerQueue::kInitialServiceTime;
        candidate.load_time = At(0);
        servers.push_back(candidate);
      }
    }
    next_wakeup_ms_.resize(scenario.servers.size(), -1);
    work_ms_.resize(scenario.servers.size(), 0);
    shares_.resize(scenario.servers.size());
    in_flight_.resize(senders, std::vector<uint32_t>(scenario.servers.size(), 0));
  }

  ReplayResult Run() {
    for (size_t data_centre = 0; data_centre < scenario_.data_centres.size(); ++data_centre) {
      for (size_t cls = 0; cls < scenario_.classes.size(); ++cls) {
        // Classes without a rate of their own are only called by other classes.
        if (scenario_.classes[cls].calls_per_second > 0) ScheduleArrival(data_centre, cls, 0);
      }
    }
    for (size_t i = 0; i < scenario_.servers.size(); ++i) {
      const double starts_at = scenario_.servers[i].starts_at;
      if (starts_at > 0) loop_.Schedule(starts_at * 1000, [this, i] { OnServerStart(i); });
    }
    loop_.Run();
    double max_credit = 0;
    double earned = 0;
    for (size_t i = 0; i < result_.classes.size(); ++i) {
      const ReplayClassResult& it = result_.classes[i];
      max_credit += static_cast<double>(it.calls);
      earned += static_cast<double>(it.timely) +
                scenario_.classes[i].late_credit * static_cast<double>(it.late);
    }
    result_.credit = max_credit == 0 ? 0 : earned / max_credit;
    double penalty = 0;
    for (const ReplayClassResult& it : result_.classes) penalty += it.refusal_penalty;
    result_.net = max_credit == 0 ? 0 : (earned - penalty) / max_credit;
    double slots = 0;
    for (const ReplayServer& it : scenario_.servers) slots += it.slots;
    result_.utilisation = busy_ms_ / (slots * scenario_.seconds * 1000);
    const auto attempts = static_cast<double>(std::max<uint64_t>(attempts_, 1));
    result_.offers = static_cast<double>(offers_) / attempts;
    result_.remote_offers = static_cast<double>(remote_offers_) / attempts;
    result_.remote_responses = static_cast<double>(remote_responses_) /
                               static_cast<double>(std::max<uint64_t>(responses_, 1));
    result_.remote_bytes = remote_bytes_ / attempts;
    result_.announcements = static_cast<double>(announcements_) / attempts;
    result_.busiest = Busiest();
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    if (!latencies_ms_.empty()) {
      result_.median_latency_ms = latencies_ms_[latencies_ms_.size() / 2];
      result_.p99_latency_ms = latencies_ms_[latencies_ms_.size() * 99 / 100];
    }
    return result_;
  }

 private:
  double Busiest() const {
    std::map<size_t, std::vector<double>> by_service;
    for (size_t i = 0; i < work_ms_.size(); ++i) {
      const ReplayServer& it = scenario_.servers[i];
      by_service[it.service].push_back(work_ms_[i] / it.slots / it.speed);
    }
    double busiest = 0;
    for (const auto& [service, loads] : by_service) {
      const double mean =
          std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
      if (mean > 0) {
        busiest = std::max(busiest, *std::max_element(loads.begin(), loads.end()) / mean);
      }
    }
    return busiest;
  }

  // Samples a Poisson process of varying rate by thinning one of the maximum rate.
  void ScheduleArrival(size_t data_centre, size_t cls, double from) {
    constexpr double kMaxDemandFactor = 4;
    const double rate = scenario_.classes[cls].calls_per_second * kMaxDemandFactor /
                        static_cast<double>(scenario_.data_centres.size()) / 1000;
    double at = from;
    while (true) {
      at += std::exponential_distribution<double>(rate)(rng_);
      if (at > scenario_.seconds * 1000) return;
      if (Uniform() * kMaxDemandFactor < scenario_.demand_factor(data_centre, at / 1000)) break;
    }
    loop_.Schedule(at, [this, data_centre, cls, at] {
      OnArrival(data_centre, cls);
      ScheduleArrival(data_centre, cls, at);
    });
  }

  ReplaySecond& SecondOf(double at_ms) {
    const auto second = static_cast<size_t>(at_ms / 1000);
    if (result_.seconds.size() <= second) result_.seconds.resize(second + 1);
    return result_.seconds[second];
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void OnArrival(size_t data_centre, size_t cls) {
    const ReplayClass& call_class = scenario_.classes[cls];
    ++result_.classes[cls].calls;
    ++SecondOf(loop_.now()).calls;
    auto attempt = std::make_shared<Attempt>();
    attempt->cls = cls;
    attempt->sender =
        data_centre * scenario_.senders_per_data_centre +
        std::uniform_int_distribution<size_t>(0, scenario_.senders_per_data_centre - 1)(rng_);
    attempt->work_ms = SampleWork(call_class);
    attempt->first_arrived_at = loop_.now();
    attempt->arrived_at = loop_.now();
    attempt->deadline = loop_.now() + call_class.deadline_ms;
    attempt->is_abusive = Uniform() < scenario_.abusive_caller_share;
    attempt->retries_left = attempt->is_abusive ? scenario_.abusive_caller_retries : 1;
    ++attempts_;
    SendOffer(attempt);
  }

  double SampleWork(const ReplayClass& call_class) {
    const double mu = std::log(call_class.work_ms) - call_class.sigma * call_class.sigma / 2;
    const double work_ms = std::lognormal_distribution<double>(mu, call_class.sigma)(rng_);
    return Uniform() < call_class.straggler_share ? work_ms * call_class.straggler_factor : work_ms;
  }

  const std::string& DataCentreOf(size_t sender) const {
    return scenario_.data_centres[sender / scenario_.senders_per_data_centre];
  }

  bool IsRemote(size_t sender, size_t server) const {
    return DataCentreOf(sender) != scenario_.servers[server].data_centre;
  }

  double NetworkDelayMs(size_t sender, size_t server) const {
    return IsRemote(sender, server) ? scenario_.cross_data_centre_delay_ms : 0.2;
  }

  void SendOffer(const std::shared_ptr<Attempt>& attempt) {
    auto& servers = candidates_by_sender_[attempt->sender];
    const std::vector<size_t> indices = SelectServers(*attempt);
    ServerCandidates candidates;
    candidates.reserve(indices.size());
    for (const size_t i : indices) candidates.push_back(&servers[i]);
    const auto offer = attempt->placement.NextOffer(
        At(loop_.now()), DataCentreOf(attempt->sender),
        estimates_by_sender_[attempt->sender].Get(attempt->cls), candidates, &rng_);
    if (!offer) return OnRefused(attempt);
    ++offers_;
    const size_t server = indices[offer->index];
    if (IsRemote(attempt->sender, server)) {
      ++remote_offers_;
      remote_bytes_ += kOfferBytes;
    }
    const auto second = static_cast<size_t>(loop_.now() / 1000);
    if (result_.offers_by_second.size() <= second) {
      result_.offers_by_second.resize(second + 1, std::vector<uint64_t>(servers.size(), 0));
    }
    ++result_.offers_by_second[second][server];
    ++servers[server].offers_since_report;
    ++in_flight_[attempt->sender][server];
    attempt->tried.insert(server);
    shares_[server][attempt->sender] = loop_.now();
    const ProxyDuration max_wait = offer->max_wait;
    loop_.Schedule(loop_.now() + NetworkDelayMs(attempt->sender, server),
                   [this, attempt, server, max_wait] { OnOffer(attempt, server, max_wait); });
  }

  /// Returns the servers that the strategy of the scenario lets the sender choose among. All
  /// servers are returned for the last offer of a call, which accepts any wait.
  std::vector<size_t> SelectServers(const Attempt& attempt) {
    std::vector<size_t> servers;
    for (size_t i = 0; i < scenario_.servers.size(); ++i) {
      const ReplayServer& it = scenario_.servers[i];
      if (it.service != scenario_.classes[attempt.cls].service) continue;
      if (it.starts_at * 1000 <= loop_.now()) servers.push_back(i);
    }
    if (attempt.placement.offers() >= CallPlacement::kMaxOffers) return servers;
    std::vector<size_t> selected;
    switch (scenario_.strategy) {
      case ReplayStrategy::kAllServers:
      case ReplayStrategy::kFreeSlotsAnnounced:
        return servers;
      case ReplayStrategy::kTwoRandomServers: {
        std::shuffle(servers.begin(), servers.end(), rng_);
        for (const size_t i : servers) {
          if (attempt.tried.count(i) == 0 && selected.size() < 2) selected.push_back(i);
        }
        break;
      }
      case ReplayStrategy::kRandomServersNearby: {
        std::shuffle(servers.begin(), servers.end(), rng_);
        size_t nearby = 0;
        size_t remote = 0;
        for (const size_t i : servers) {
          if (attempt.tried.count(i) != 0) continue;
          const bool is_remote = IsRemote(attempt.sender, i);
          if (is_remote ? remote++ < 1 : nearby++ < 2) selected.push_back(i);
        }
        break;
      }
      case ReplayStrategy::kFixedSubset: {
        // A server is in the subset if it is one of the first two of its data centre in an order
        // that depends on the sender.
        std::vector<size_t> order = servers;
        std::mt19937_64 rng(attempt.sender + 1);
        std::shuffle(order.begin(), order.end(), rng);
        std::map<std::string, size_t> count;
        for (const size_t i : order) {
          if (++count[scenario_.servers[i].data_centre] <= 2) selected.push_back(i);
        }
        break;
      }
      case ReplayStrategy::kCapacityShares:
        for (const size_t i : servers) {
          if (in_flight_[attempt.sender][i] < ShareOf(attempt.sender, i)) selected.push_back(i);
        }
        break;
    }
    return selected.empty() ? servers : selected;
  }

  double ShareOf(size_t sender, size_t server) {
    constexpr double kShareTimeoutMs = 1000;
    std::map<size_t, double>& users = shares_[server];
    for (auto it = users.begin(); it != users.end();) {
      it = it->second + kShareTimeoutMs < loop_.now() ? users.erase(it) : std::next(it);
    }
    const double slots = scenario_.servers[server].slots;
    if (users.count(sender) == 0) return 1;
    return std::max(1.0, slots / static_cast<double>(users.size()));
  }

  void AnnounceFreeSlots(size_t server, const ServerLoad& load) {
    if (scenario_.strategy != ReplayStrategy::kFreeSlotsAnnounced) return;
    if (load.running >= load.limit) return;
    std::uniform_int_distribution<size_t> any(0, candidates_by_sender_.size() - 1);
    for (int i = 0; i < 2; ++i) {
      const size_t sender = any(rng_);
      ++announcements_;
      if (IsRemote(sender, server)) remote_bytes_ += kRejectionBytes;
      loop_.Schedule(loop_.now() + NetworkDelayMs(sender, server),
                     [this, sender, server, load] { UpdateLoad(sender, server, load); });
    }
  }

  void OnOffer(const std::shared_ptr<Attempt>& attempt, size_t server, ProxyDuration max_wait) {
    const ReplayClass& call_class = scenario_.classes[attempt->cls];
    PendingCall call;
    call.key = next_key_++;
    call.deadline = At(attempt->deadline);
    call.objective =
        attempt->nested() ? call.deadline : At(attempt->first_arrived_at + call_class.objective_ms);
    call.objective_time = ProxyDuration(static_cast<int64_t>(call_class.objective_ms * 1000));
    call.nested = attempt->nested();
    call.offered_at = At(loop_.now());
    call.typical_service_time =
        estimates_by_sender_[attempt->sender].Get(attempt->cls).service_time;
    call.profile = attempt->cls;
    call.priority = call_class.priority;
    const auto admission = queues_[server].Offer(At(loop_.now()), call, max_wait);
    switch (admission.verdict) {
      case ServerQueue::Verdict::kStart:
        return RunCall(attempt, server, call.key);
      case ServerQueue::Verdict::kQueued:
        queued_attempts_[call.key] = attempt;
        return DispatchQueued(server);
      case ServerQueue::Verdict::kBusy:
        return RejectOffer(attempt, server, false);
      case ServerQueue::Verdict::kWouldMissDeadline:
        return RejectOffer(attempt, server, true);
    }
  }

  void RejectOffer(const std::shared_ptr<Attempt>& attempt, size_t server, bool hopeless) {
    const ServerLoad load = queues_[server].load(At(loop_.now()));
    if (IsRemote(attempt->sender, server)) remote_bytes_ += kRejectionBytes;
    loop_.Schedule(loop_.now() + NetworkDelayMs(attempt->sender, server),
                   [this, attempt, server, load, hopeless] {
                     --in_flight_[attempt->sender][server];
                     ReportLoad(attempt->sender, server, load);
                     const std::string node = std::to_string(server);
                     if (hopeless) {
                       attempt->placement.OnHopeless(node, load.expected_wait);
                     } else {
                       attempt->placement.OnBusy(node, load.expected_wait);
                     }
                     SendOffer(attempt);
                   });
  }

  void OnServerStart(size_t server) {
    const ServerLoad load = queues_[server].load(At(loop_.now()));
    for (size_t sender = 0; sender < candidates_by_sender_.size(); ++sender) {
      UpdateLoad(sender, server, load);
    }
  }

  void ReportLoad(size_t sender, size_t server, const ServerLoad& load) {
    if (scenario_.report_delay_ms == 0) return UpdateLoad(sender, server, load);
    loop_.Schedule(loop_.now() + scenario_.report_delay_ms,
                   [this, sender, server, load] { UpdateLoad(sender, server, load); });
  }

  void UpdateLoad(size_t sender, size_t server, const ServerLoad& load) {
    ServerPicker::UpdateLoad(At(loop_.now()), load, &candidates_by_sender_[sender][server]);
  }

  void RunCall(const std::shared_ptr<Attempt>& attempt, size_t server, uint64_t key) {
    auto run = std::make_shared<RunningCall>();
    run->attempt = attempt;
    run->server = server;
    run->key = key;
    run->started = loop_.now();
    const auto& nested = scenario_.classes[attempt->cls].nested_calls;
    if (nested && Uniform() < nested->share) run->nested_calls_left = nested->times;
    // A server aborts a call at its deadline.
    loop_.Schedule(attempt->deadline, [this, run] { EndRun(run, false); });
    ContinueRun(run);
  }

  void ContinueRun(const std::shared_ptr<RunningCall>& run) {
    if (run->ended) return;
    if (run->nested_calls_left-- > 0) return SendNestedCall(run);
    const double slowdown = scenario_.servers[run->server].slowdown(run->started / 1000);
    loop_.Schedule(loop_.now() + run->attempt->work_ms * slowdown,
                   [this, run] { EndRun(run, true); });
  }

  void SendNestedCall(const std::shared_ptr<RunningCall>& run) {
    const Attempt& parent = *run->attempt;
    const size_t cls = scenario_.classes[parent.cls].nested_calls->cls;
    const ReplayClass& call_class = scenario_.classes[cls];
    auto attempt = std::make_shared<Attempt>();
    attempt->cls = cls;
    attempt->sender = SenderBeside(run->server);
    attempt->work_ms = SampleWork(call_class);
    attempt->first_arrived_at = attempt->arrived_at = loop_.now();
    attempt->deadline = std::min(parent.deadline, loop_.now() + call_class.deadline_ms);
    attempt->retries_left = 0;
    attempt->on_nested_end = [this, run](bool responded) {
      if (responded) return ContinueRun(run);
      EndRun(run, false);
    };
    ++attempts_;
    SendOffer(attempt);
  }

  /// The sidecar on the VM of the server, which sends its nested calls.
  size_t SenderBeside(size_t server) const {
    const auto& names = scenario_.data_centres;
    const auto it = std::find(names.begin(), names.end(), scenario_.servers[server].data_centre);
    return static_cast<size_t>(it - names.begin()) * scenario_.senders_per_data_centre +
           server % scenario_.senders_per_data_centre;
  }

  void EndRun(const std::shared_ptr<RunningCall>& run, bool completes) {
    if (std::exchange(run->ended, true)) return;
    const size_t server = run->server;
    if (completes) {
      ++responses_;
      work_ms_[server] += run->attempt->work_ms;
      if (IsRemote(run->attempt->sender, server)) {
        ++remote_responses_;
        remote_bytes_ += static_cast<double>(scenario_.classes[run->attempt->cls].response_bytes);
      }
    }
    const std::shared_ptr<Attempt>& attempt = run->attempt;
    const double run_ms = loop_.now() - run->started;
    const ProxyDuration service_time(static_cast<int64_t>(run_ms * 1000));
    // A response reports the current slowdown of the server's VM.
    queues_[server].SetSlowdown(scenario_.servers[server].slowdown(loop_.now() / 1000));
    if (completes) {
      queues_[server].OnFinish(run->key, service_time);
      busy_ms_ += run_ms;
    } else {
      queues_[server].OnAbort(At(loop_.now()), run->key);
    }
    const ServerLoad load = queues_[server].load(At(loop_.now()));
    AnnounceFreeSlots(server, load);
    loop_.Schedule(loop_.now() + NetworkDelayMs(attempt->sender, server),
                   [this, attempt, server, load, completes, service_time] {
                     --in_flight_[attempt->sender][server];
                     ReportLoad(attempt->sender, server, load);
                     if (completes) {
                       estimates_by_sender_[attempt->sender].Record(
                           attempt->cls, scenario_.classes[attempt->cls].response_bytes,
                           service_time);
                     }
                     if (attempt->nested()) return attempt->on_nested_end(completes);
                     if (completes) return OnResponse(*attempt);
                     ++result_.classes[attempt->cls].failed;
                   });
    DispatchQueued(server);
  }

  void OnResponse(const Attempt& attempt) {
    const ReplayClass& call_class = scenario_.classes[attempt.cls];
    ReplayClassResult& result = result_.classes[attempt.cls];
    ReplaySecond& second = SecondOf(attempt.first_arrived_at);
    latencies_ms_.push_back(loop_.now() - attempt.first_arrived_at);
    if (loop_.now() <= attempt.first_arrived_at + call_class.objective_ms) {
      ++result.timely;
      second.credit += 1;
    } else {
      ++result.late;
      second.credit += call_class.late_credit;
    }
  }

  void DispatchQueued(size_t server) {
    ServerQueue& queue = queues_[server];
    for (const ServerQueue::DequeuedCall& dequeued : queue.DispatchQueued(At(loop_.now()))) {
      const std::shared_ptr<Attempt> attempt = queued_attempts_.at(dequeued.key);
      queued_attempts_.erase(dequeued.key);
      if (dequeued.start) {
        RunCall(attempt, server, dequeued.key);
      } else {
        RejectOffer(attempt, server, true);
      }
    }
    const auto expiry = queue.NextExpiry();
    if (!expiry) return;
    const double at = static_cast<double>((*expiry - At(0)).count()) / 1e6;
    if (next_wakeup_ms_[server] >= loop_.now() && next_wakeup_ms_[server] <= at) return;
    next_wakeup_ms_[server] = at;
    loop_.Schedule(std::max(at, loop_.now()), [this, server] { DispatchQueued(server); });
  }

  void OnRefused(const std::shared_ptr<Attempt>& attempt) {
    if (attempt->nested()) return attempt->on_nested_end(false);
    ReplayClassResult& result = result_.classes[attempt->cls];
    ++result.refusals;
    result.refusal_latency_ms += loop_.now() - attempt->arrived_at;
    const double left = attempt->deadline - loop_.now();
    if (attempt->retries_left == 0 || left <= 0) {
      ++result.refused;
      const ReplayClass& call_class = scenario_.classes[attempt->cls];
      const double penalty_free_ms = call_class.objective_ms / 8;
      const double latency_ms = loop_.now() - attempt->arrived_at;
      if (attempt->first_arrived_at < attempt->arrived_at) {
        result.refusal_penalty += call_class.second_refusal_penalty;
      }
      const double full_penalty_ms = 0.75 * (attempt->deadline - attempt->arrived_at);
      result.refusal_penalty +=
          call_class.late_refusal_penalty *
          std::clamp((latency_ms - penalty_free_ms) / (full_penalty_ms - penalty_free_ms), 0.0,
                     1.0);
      return;
    }
    const ProxyDuration delay =
        attempt->placement.RetryAfter(ProxyDuration(static_cast<int64_t>(left * 1000)));
    constexpr double kAbusiveRetryDelayMs = 10;
    const double wait = attempt->is_abusive
                            ? kAbusiveRetryDelayMs
                            : std::min(static_cast<double>(delay.count()) / 1000, left / 3);
    auto next = std::make_shared<Attempt>(*attempt);
    next->placement = CallPlacement();
    next->tried.clear();
    next->retries_left = attempt->retries_left - 1;
    loop_.Schedule(loop_.now() + wait, [this, next] {
      next->arrived_at = loop_.now();
      ++attempts_;
      SendOffer(next);
    });
  }

  const ReplayScenario& scenario_;
  std::mt19937_64 rng_;
  EventLoop loop_;
  ReplayResult result_;
  std::vector<ServerQueue> queues_;
  std::vector<double> next_wakeup_ms_;
  /// State of the servers as known to each sender.
  std::vector<std::vector<ServerCandidate>> candidates_by_sender_;
  std::map<uint64_t, std::shared_ptr<Attempt>> queued_attempts_;
  std::vector<CallEstimates> estimates_by_sender_;
  uint64_t next_key_ = 1;
  uint64_t offers_ = 0;
  uint64_t remote_offers_ = 0;
  uint64_t attempts_ = 0;
  uint64_t responses_ = 0;
  uint64_t remote_responses_ = 0;
  double busy_ms_ = 0;
  uint64_t announcements_ = 0;
  double remote_bytes_ = 0;
  /// Completed work of each server, at the usual speed.
  std::vector<double> work_ms_;
  std::vector<double> latencies_ms_;
  /// Calls of each sender at each server that have no result yet.
  std::vector<std::vector<uint32_t>> in_flight_;
  /// For each server, the senders and the times of their last offers.
  std::vector<std::map<size_t, double>> shares_;
};

}  // namespace

ReplayResult RunReplay(const ReplayScenario& scenario) { return Replay(scenario).Run(); }

std::function<double(double)> NoisyNeighbourSlowdown(double base, double share, double factor,
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
