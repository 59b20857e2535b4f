// Queueing benchmark of the call path: a discrete-event simulation with the real CallCoordinator,
// Balancer and UpstreamGate, and the site sizes of section 1.6 of the design page. Time is
// simulated and seeds are fixed. Usage: call_bench [boston|bengal] [peak|blocking|tail] [seed]

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <unordered_map>

#include "camphorhoist/balancer.h"
#include "camphorhoist/call_coordinator.h"
#include "camphorhoist/upstream_gate.h"
#include "camphorhoist/work_classifier.h"

namespace camphorhoist {
namespace {

namespace acc = boost::accumulators;
using MeanAccumulator = acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::count>>;

constexpr double kMinShortServiceSeconds = 0.001;
constexpr double kMeanShortServiceSeconds = 0.005;
constexpr double kLongServiceFactor = 50;
constexpr double kSlowServiceFactor = 10;
constexpr double kTimeoutSeconds = 2;
constexpr double kReportLagSeconds = 5;
constexpr double kTickSeconds = 0.01;

struct Profile {
  const char* name;
  int data_centres;
  int servers;  // per data centre
  uint32_t slots;
  uint32_t connections;
  double remote_delay_seconds;  // one way between data centres
};
constexpr Profile kProfiles[] = {{"boston", 3, 4, 6, 110, 0.0005},
                                 {"bengal", 4, 5, 12, 130, 0.00025}};
constexpr double kLocalDelaySeconds = 0.0001;

struct Policy {
  const char* name;
  const char* balancer;
  const char* gate;
  bool hedge;
};
constexpr Policy kPolicies[] = {{"default", "p2c", "default", true},
                                {"round_robin+default", "round_robin", "default", false},
                                {"p2c+single_queue", "p2c", "single_queue", false},
                                {"round_robin+no_limit", "round_robin", "no_limit", false}};

struct Scenario {
  std::string name;
  double seconds = 6;
  std::function<double(double)> load;  // offered load at a time, as a share of the capacity
  double long_share = 0;
  bool has_slow_upstreams = false;
};

CallDuration ToDuration(double seconds) {
  return std::chrono::duration_cast<CallDuration>(std::chrono::duration<double>(seconds));
}

double Quantile(std::vector<double>* values, double q) {
  if (values->empty()) return 0;
  const auto at = static_cast<size_t>(q * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + static_cast<std::ptrdiff_t>(at),
                   values->end());
  return (*values)[at];
}

struct Result {
  double offered = 0;
  double good = 0;
  double not_run = 0;
  double unknown = 0;
  double best_good = 0;
  std::vector<double> latency;     // seconds, answered short calls
  std::vector<double> short_wait;  // seconds in the queue of the upstream's node
  MeanAccumulator mean_wait;
};

/// Runs one scenario under one policy. Values of type `double` for times and delays are in seconds.
class Simulation {
 public:
  Simulation(const Profile& profile, const Policy& policy, const Scenario& scenario, uint64_t seed)
      : profile_(profile),
        policy_(policy),
        scenario_(scenario),
        arrival_rng_(seed),
        choice_rng_(seed + 1) {
    for (int i = 0; i < profile.data_centres * profile.servers; ++i) AddNode(i);
    for (auto& it : nodes_) SetCandidates(it.get());
  }

  Result Run() {
    ScheduleNextArrival();
    for (size_t i = 0; i < nodes_.size(); ++i) Tick(i);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return std::move(result_);
  }

  double capacity() const {
    const double mean =
        kMeanShortServiceSeconds * (1 + scenario_.long_share * (kLongServiceFactor - 1));
    return static_cast<double>(nodes_.size()) * profile_.slots / mean;
  }

 private:
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Node {
    CallEndpoint endpoint;
    int data_centre = 0;
    std::optional<Balancer> balancer;
    RetryBudget retry_budget;
    HedgePolicy hedge;
    WorkClassifier classifier;
    std::optional<UpstreamGate> gate;
    std::deque<std::pair<double, LoadReport>> reports;
  };
  struct Call {
    size_t sender = 0;
    double start = 0;
    double service = 0;
    bool is_long = false;
    bool waited = false;
    std::unique_ptr<CallCoordinator> coordinator;
    int timer = 0;
    double stop = 0;
  };
  struct Attempt {
    std::shared_ptr<Call> call;
    size_t node = 0;
    double arrived = 0;
  };

  CallTime Clock() const { return CallTime(std::chrono::hours(1)) + ToDuration(now_); }
  void RunAt(double at, std::function<void()> run) { events_.push({at, order_++, std::move(run)}); }

  void AddNode(int index) {
    auto node = std::make_unique<Node>();
    const std::string ip =
        "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1);
    node->endpoint = {"service", NetAddress(ip, 80), NetAddress(ip, 7000), 1};
    node->data_centre = index / profile_.servers;
    node->balancer = Balancer::Create(policy_.balancer);
    GateOptions options;
    options.slots = profile_.slots;
    options.connections = profile_.connections;
    options.incarnation = 1;
    node->gate = UpstreamGate::Create(policy_.gate, options, Clock());
    by_address_[node->endpoint.upstream.ToString()] = nodes_.size();
    nodes_.push_back(std::move(node));
  }

  void SetCandidates(Node* sender) {
    std::vector<BalancerCandidate> candidates;
    for (const auto& it : nodes_) {
      const bool near = it->data_centre == sender->data_centre;
      const auto tier = near ? LocalityTier::kSameDataCentre : LocalityTier::kSameRegion;
      candidates.push_back({it->endpoint, tier, 1, profile_.slots});
    }
    sender->balancer->SetCandidates(candidates);
  }

  double NetworkDelay(size_t a, size_t b) const {
    return nodes_[a]->data_centre == nodes_[b]->data_centre ? kLocalDelaySeconds
                                                            : profile_.remote_delay_seconds;
  }

  /// One in four upstreams is slow in the second quarter of every 8 s.
  bool IsSlow(size_t node) const {
    const double phase = std::fmod(now_, 8.0);
    return scenario_.has_slow_upstreams && node % 4 == 0 && phase >= 2 && phase < 4;
  }

  void ScheduleNextArrival() {
    const double rate = std::max(scenario_.load(now_), 0.01) * capacity();
    const double at = now_ + std::exponential_distribution<double>(rate)(arrival_rng_);
    if (at >= scenario_.seconds) return;
    RunAt(at, [this] {
      BeginCall();
      ScheduleNextArrival();
    });
  }

  void BeginCall() {
    auto call = std::make_shared<Call>();
    call->sender = std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(arrival_rng_);
    call->start = now_;
    call->is_long =
        std::uniform_real_distribution<double>(0, 1)(arrival_rng_) < scenario_.long_share;
    const double rate = 1 / (kMeanShortServiceSeconds - kMinShortServiceSeconds);
    call->service =
        kMinShortServiceSeconds + std::exponential_distribution<double>(rate)(arrival_rng_);
    if (call->is_long) call->service *= kLongServiceFactor;
    Node& sender = *nodes_[call->sender];
    CallSpec spec;
    spec.service = "service";
    spec.idempotent = true;
    spec.hedge = policy_.hedge;
    spec.work_class = sender.classifier.Classify(call->is_long ? "long" : "short");
    spec.deadline = Deadline(Clock() + ToDuration(kTimeoutSeconds));
    CallContext context{&*sender.balancer, &sender.retry_budget, &sender.hedge, &choice_rng_,
                        [this] { return CallId(1, ++next_id_); }};
    call->coordinator = std::make_unique<CallCoordinator>(context, spec);
    ++result_.offered;
    Apply(call, call->coordinator->Start(Clock()));
  }

  void Apply(const std::shared_ptr<Call>& call, const CallEffects& effects) {
    for (const CallEffect& it : effects) {
      if (const auto* send = std::get_if<SendAttempt>(&it)) OnSend(call, *send);
      if (const auto* cancel = std::get_if<CancelAttempt>(&it)) OnCancel(call, *cancel);
      if (const auto* resolve = std::get_if<ResolveAttempt>(&it)) OnResolve(call, *resolve);
      if (const auto* timer = std::get_if<SetTimer>(&it)) OnSetTimer(call, timer->at);
      if (const auto* reply = std::get_if<ReplyOutcome>(&it)) OnReply(*call, reply->result);
    }
  }

  void OnSetTimer(const std::shared_ptr<Call>& call, CallTime at) {
    const int timer = ++call->timer;
    const double seconds = std::chrono::duration<double>(at - Clock()).count();
    RunAt(now_ + std::max(seconds, 0.0) + 1e-6, [this, call, timer] {
      if (timer != call->timer || call->coordinator->done()) return;
      Apply(call, call->coordinator->OnTimer(Clock()));
    });
  }

  void OnSend(const std::shared_ptr<Call>& call, const SendAttempt& send) {
    const size_t node = by_address_.at(send.endpoint.upstream.ToString());
    const CallTime deadline = Clock() + send.timeout;
    attempts_[send.attempt] = {call, node, 0};
    RunAt(now_ + NetworkDelay(call->sender, node), [this, call, send, node, deadline] {
      attempts_[send.attempt].arrived = now_;
      GateCall offer;
      offer.id = send.attempt;
      offer.target_incarnation = 1;
      offer.deadline = deadline;
      offer.idempotent = true;
      offer.work_class =
          nodes_[call->sender]->classifier.Classify(call->is_long ? "long" : "short");
      Apply(node, nodes_[node]->gate->Offer(Clock(), offer));
    });
  }

  void OnCancel(const std::shared_ptr<Call>& call, const CancelAttempt& effect) {
    const CallId id = effect.attempt;
    const size_t node = by_address_.at(effect.endpoint.upstream.ToString());
    RunAt(now_ + NetworkDelay(call->sender, node),
          [this, node, id] { Apply(node, nodes_[node]->gate->Cancel(Clock(), id)); });
  }

  void OnResolve(const std::shared_ptr<Call>& call, const ResolveAttempt& effect) {
    const CallId id = effect.attempt;
    const size_t node = by_address_.at(effect.endpoint.upstream.ToString());
    const double delay = NetworkDelay(call->sender, node);
    RunAt(now_ + delay, [this, call, node, id, delay] {
      const auto resolution = nodes_[node]->gate->Resolve(Clock(), id, 1);
      const ResolveState state = resolution.state;
      RunAt(now_ + delay, [this, call, id, state] {
        Apply(call, call->coordinator->OnResolved(Clock(), id, state));
      });
    });
  }

  void OnReply(const Call& call, const CallOutcome& outcome) {
    if (outcome.outcome == Outcome::kNotRun) ++result_.not_run;
    if (outcome.outcome == Outcome::kUnknown) ++result_.unknown;
    if (outcome.outcome != Outcome::kAnswered) return;
    ++result_.good;
    if (!call.is_long) result_.latency.push_back(now_ - call.start);
  }

  void Apply(size_t node, const GateEffects& effects) {
    for (const GateEffect& it : effects) {
      if (const auto* start = std::get_if<StartCall>(&it)) OnStart(node, start->id);
      if (const auto* refuse = std::get_if<Refuse>(&it)) OnRefuse(node, *refuse);
      if (const auto* cancel = std::get_if<CancelRunning>(&it)) OnAbort(node, cancel->id);
    }
  }

  void OnStart(size_t node, const CallId& id) {
    const auto call = attempts_.at(id).call;
    const double wait = now_ - attempts_.at(id).arrived;
    if (!call->is_long && !call->waited) {
      call->waited = true;
      result_.short_wait.push_back(wait);
      result_.mean_wait(wait);
    }
    // If more calls run than there are slots, they share the slots.
    const double running = static_cast<double>(nodes_[node]->gate->running());
    const double contention = std::max(1.0, running / profile_.slots);
    const double service = call->service * contention * (IsSlow(node) ? kSlowServiceFactor : 1);
    RunAt(now_ + service, [this, node, id, service] { OnServed(node, id, service); });
  }

  void OnServed(size_t node, const CallId& id, double service) {
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    const auto call = attempt->second.call;
    attempts_.erase(attempt);
    Node& it = *nodes_[node];
    const CallDuration time = ToDuration(service);
    Apply(node, it.gate->OnFinish(Clock(), id, time, FinishKind::kOk));
    const LoadReport load = DelayedReport(&it);
    RunAt(now_ + NetworkDelay(call->sender, node), [this, call, id, load, time] {
      const char* route = call->is_long ? "long" : "short";
      nodes_[call->sender]->classifier.OnFinished(route, time, 0);
      Apply(call, call->coordinator->OnHead(Clock(), id));
      Apply(call, call->coordinator->OnFinished(Clock(), id, load));
    });
  }

  void OnAbort(size_t node, const CallId& id) {
    attempts_.erase(id);
    RunAt(now_ + kLocalDelaySeconds, [this, node, id] {
      Apply(node, nodes_[node]->gate->OnFinish(Clock(), id, {}, FinishKind::kError));
    });
  }

  void OnRefuse(size_t node, const Refuse& refuse) {
    const auto attempt = attempts_.find(refuse.id);
    if (attempt == attempts_.end()) return;
    const auto call = attempt->second.call;
    attempts_.erase(attempt);
    RunAt(now_ + NetworkDelay(call->sender, node), [this, call, refuse] {
      Apply(call, call->coordinator->OnNotRun(Clock(), refuse.id, refuse.reason, std::nullopt));
    });
  }

  LoadReport DelayedReport(Node* node) const {
    LoadReport report;
    if (!scenario_.has_slow_upstreams) return node->gate->load(Clock());
    while (!node->reports.empty() && node->reports.front().first <= now_ - kReportLagSeconds) {
      report = node->reports.front().second;
      if (node->reports.size() == 1 || node->reports[1].first > now_ - kReportLagSeconds) break;
      node->reports.pop_front();
    }
    return report;
  }

  void Tick(size_t node) {
    if (now_ > scenario_.seconds + kTimeoutSeconds) return;
    Node& it = *nodes_[node];
    Apply(node, it.gate->Tick(Clock()));
    if (scenario_.has_slow_upstreams) it.reports.emplace_back(now_, it.gate->load(Clock()));
    RunAt(now_ + kTickSeconds, [this, node] { Tick(node); });
  }

  Profile profile_;
  Policy policy_;
  Scenario scenario_;
  std::mt19937_64 arrival_rng_;
  std::mt19937_64 choice_rng_;
  double now_ = 0;
  uint64_t order_ = 0;
  uint64_t next_id_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<std::string, size_t> by_address_;
  std::unordered_map<CallId, Attempt> attempts_;
  Result result_;
};

/// Share of the calls that can ideally be served, from a fluid model: the capacity, plus a backlog
/// of up to the maximum wait, which is served after the arrivals end.
double BestGoodShare(const Scenario& scenario) {
  constexpr double kStepSeconds = 0.001;
  constexpr double kMaxWaitSeconds = 0.5;
  double offered = 0;
  double lost = 0;
  double backlog = 0;
  for (double t = 0; t < scenario.seconds; t += kStepSeconds) {
    offered += scenario.load(t) * kStepSeconds;
    backlog = std::max(0.0, backlog + (scenario.load(t) - 1) * kStepSeconds);
    lost += std::max(0.0, backlog - kMaxWaitSeconds);
    backlog = std::min(backlog, kMaxWaitSeconds);
  }
  return 1 - lost / offered;
}

/// The 0.99 quantile of the wait by the Erlang C formula, as if all upstreams formed one pool and
/// all calls were short.
double BestWaitP99(double servers, double load) {
  const double offered = servers * load;
  double inverse = 1;
  for (double n = 1; n <= servers; ++n) inverse = 1 + inverse * n / offered;
  const double blocking = 1 / inverse;
  const double waiting = blocking / (1 - load * (1 - blocking));
  const double rate = servers * (1 - load) / kMeanShortServiceSeconds;
  return std::max(0.0, std::log(waiting / 0.01) / rate);
}

/// Latency quantile of short calls that do not wait and are served in the same data centre.
double BestLatency(double q) {
  return kMinShortServiceSeconds -
         (kMeanShortServiceSeconds - kMinShortServiceSeconds) * std::log(1 - q) +
         2 * kLocalDelaySeconds;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> list;
  for (const double load : {0.5, 1.0, 2.0, 4.0}) {
    char name[32];
    std::snprintf(name, sizeof(name), "peak %.1fx", load);
    list.push_back({name, 6, [load](double) { return load; }});
  }
  list.push_back({"peak swing", 8, [](double t) {
                    if (t < 2 || t > 6) return 0.5;
                    return t < 4 ? 0.5 + 3.5 * (t - 2) / 2 : 4 - 3.5 * (t - 4) / 2;
                  }});
  list.push_back({"blocking", 20, [](double) { return 0.7; }, 0.02});
  list.push_back({"tail", 24, [](double) { return 0.5; }, 0, true});
  return list;
}

void Print(const Profile& profile, const Policy& policy, const Scenario& scenario, uint64_t seed,
           Result result) {
  const double servers =
      profile.data_centres * profile.servers * static_cast<double>(profile.slots);
  const double short_load = 0.7 / (1 + 0.02 * (kLongServiceFactor - 1));
  nlohmann::json line = {{"profile", profile.name},
                         {"scenario", scenario.name},
                         {"policy", policy.name},
                         {"seed", seed},
                         {"offered", result.offered},
                         {"good_share", result.good / result.offered},
                         {"best_good_share", BestGoodShare(scenario)},
                         {"not_run_share", result.not_run / result.offered},
                         {"unknown_share", result.unknown / result.offered},
                         {"wait_mean_ms", 1000 * acc::mean(result.mean_wait)},
                         {"wait_p99_ms", 1000 * Quantile(&result.short_wait, 0.99)},
                         {"best_wait_p99_ms", 1000 * BestWaitP99(servers, short_load)},
                         {"p50_ms", 1000 * Quantile(&result.latency, 0.5)},
                         {"p99_ms", 1000 * Quantile(&result.latency, 0.99)},
                         {"best_p99_ms", 1000 * BestLatency(0.99)},
                         {"p999_ms", 1000 * Quantile(&result.latency, 0.999)},
                         {"best_p999_ms", 1000 * BestLatency(0.999)}};
  std::printf(
      "%-7s %-11s %-21s good %5.1f%% (best %5.1f%%) not run %5.1f%% unknown %4.1f%% | wait p99 "
      "%7.2f ms (best %5.2f) | p50 %6.1f p99 %7.1f (best %4.1f) p99.9 %7.1f (best %4.1f) ms\n",
      profile.name, scenario.name.c_str(), policy.name, 100 * line["good_share"].get<double>(),
      100 * line["best_good_share"].get<double>(), 100 * line["not_run_share"].get<double>(),
      100 * line["unknown_share"].get<double>(), line["wait_p99_ms"].get<double>(),
      line["best_wait_p99_ms"].get<double>(), line["p50_ms"].get<double>(),
      line["p99_ms"].get<double>(), line["best_p99_ms"].get<double>(),
      line["p999_ms"].get<double>(), line["best_p999_ms"].get<double>());
  std::cout << std::flush;
  std::cout << line.dump() << "\n" << std::flush;
}

int Main(int argc, char** argv) {
  const std::string profile_name = argc > 1 ? argv[1] : "";
  const std::string scenario_name = argc > 2 ? argv[2] : "";
  const uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
  int runs = 0;
  for (const Profile& profile : kProfiles) {
    if (!profile_name.empty() && profile_name != profile.name) continue;
    for (const Scenario& scenario : Scenarios()) {
      if (scenario.name.compare(0, scenario_name.size(), scenario_name) != 0) continue;
      for (const Policy& policy : kPolicies) {
        Simulation simulation(profile, policy, scenario, seed);
        Print(profile, policy, scenario, seed, simulation.Run());
        ++runs;
      }
    }
  }
  if (runs > 0) return 0;
  std::cerr << "usage: call_bench [boston|bengal] [peak|blocking|tail] [seed]\n";
  return 2;
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) { return camphorhoist::Main(argc, argv); }
