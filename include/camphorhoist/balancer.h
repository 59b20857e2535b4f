#ifndef CAMPHORHOIST_BALANCER_H_
#define CAMPHORHOIST_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// An upstream that may be chosen. Upstreams that are draining or down are not candidates.
struct BalancerCandidate {
  CallEndpoint endpoint;
  LocalityTier tier = LocalityTier::kSameDataCentre;
  /// Traffic weight relative to the other upstreams of the service, 1 to 100.
  uint32_t weight = 1;
  /// Number of calls that the upstream can run concurrently.
  uint32_t slots = 1;
};

/// Result of an attempt as observed by the sender.
enum class AttemptEnd : uint8_t {
  /// A complete response arrived. `latency` is the time from sending to the response head.
  kAnswered,
  /// Refused because of load; no sign of bad health.
  kOverloaded,
  /// Refused before it ran for a reason other than load, or withdrawn.
  kNotRun,
  /// The connection failed, was lost or went silent, or the response broke off.
  kFailed,
  /// Cancelled by the sender; `latency` is a lower bound.
  kAbandoned,
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  CallDuration latency{};
  WorkClass work_class = WorkClass::kShort;
  std::optional<LoadReport> load;
};

/// Chooses the upstream of each attempt, mainly from the in-flight attempts, latency and failures
/// that this sender has observed itself. Load reports have a low weight that decays with their age.
///
/// Strategies by name: "p2c" (default, power of two choices) and "round_robin" (a baseline for
/// benchmarks that rotates over the nearest tier and ignores load and health).
///
/// Thread safety: none; use from one thread.
class Balancer {
 public:
  /// Time constant with which the latency estimate falls, towards lower samples and while no
  /// samples arrive.
  static constexpr std::chrono::milliseconds kLatencyDecayTime{2000};
  /// Time constant with which load reports decay; they are already old when they arrive.
  static constexpr std::chrono::milliseconds kReportDecayTime{250};
  /// Weight of a fresh load report relative to the sender's own in-flight count.
  static constexpr double kReportWeight = 0.25;
  /// Number of consecutive failures after which an upstream is ejected.
  static constexpr int kEjectFailures = 5;
  /// Duration of the first ejection; doubled at each further one up to `kMaxEjectionTime`.
  static constexpr std::chrono::milliseconds kBaseEjectionTime{1000};
  static constexpr std::chrono::milliseconds kMaxEjectionTime{30000};
  /// Time in which the traffic share of an upstream grows linearly back to normal after an
  /// ejection.
  static constexpr std::chrono::milliseconds kReadmissionRamp{5000};
  /// If more than this share of a tier is ejected, ejections are ignored in that tier: the cause is
  /// then more likely at the sender, and the remaining upstreams could not carry the load.
  static constexpr double kPanicThreshold = 0.5;

  /// Returns nothing for an unknown strategy name.
  static std::optional<Balancer> Create(const std::string& strategy);
  static std::vector<std::string> StrategyNames();
  Balancer();

  /// Replaces the candidates of all services. The observed state of an upstream is kept if the new
  /// list has the same endpoint with the same incarnation.
  void SetCandidates(const std::vector<BalancerCandidate>& candidates);

  /// Chooses an upstream of `service` that is not in `excluded`; nothing if there is none. The
  /// attempt is counted as in flight only by `OnSent`.
  std::optional<CallEndpoint> Pick(const std::string& service, CallTime now, std::mt19937_64& rng,
                                   const std::vector<CallEndpoint>& excluded);
  /// The candidate of `service` with this upstream address, for routes that name a single endpoint.
  std::optional<CallEndpoint> Find(const std::string& service, const NetAddress& upstream) const;

  /// Each `OnSent` must be followed by exactly one `OnResult`. Endpoints that are no longer
  /// candidates are ignored.
  void OnSent(const CallEndpoint& endpoint, CallTime now);
  void OnResult(const CallEndpoint& endpoint, CallTime now, const AttemptResult& result);

  /// Observed state of one upstream, for status dumps and tests.
  struct View {
    CallEndpoint endpoint;
    uint32_t in_flight = 0;
    double latency_micros = 0;
    bool ejected = false;
  };
  std::vector<View> Views(CallTime now) const;

 private:
  struct Upstream {
    BalancerCandidate candidate;
    uint32_t in_flight = 0;
    double latency_micros = 0;
    CallTime latency_at{};
    double reported_load = 0;
    CallTime reported_at{};
    int consecutive_failures = 0;
    int ejections = 0;
    CallTime ejected_until{};
  };
  struct Service {
    std::vector<Upstream> upstreams;
    uint64_t next = 0;
  };
  using UpstreamList = std::vector<const Upstream*>;
  using Choose = const Upstream* (Balancer::*)(Service&, CallTime, std::mt19937_64&,
                                               const std::vector<CallEndpoint>&);
  struct Strategy {
    const char* name;
    Choose choose;
  };
  static const Strategy kStrategies[];

  explicit Balancer(const Strategy& strategy) : strategy_(&strategy) {}

  const Upstream* ChooseP2c(Service& service, CallTime now, std::mt19937_64& rng,
                            const std::vector<CallEndpoint>& excluded);
  const Upstream* ChooseRoundRobin(Service& service, CallTime now, std::mt19937_64& rng,
                                   const std::vector<CallEndpoint>& excluded);
  /// The upstreams of a tier that are neither excluded nor ejected; an upstream in its readmission
  /// ramp is included at random, according to its traffic share. If the panic threshold is
  /// exceeded, all upstreams of the tier that are not excluded.
  static UpstreamList EligibleUpstreams(const Service& service, LocalityTier tier, CallTime now,
                                        std::mt19937_64& rng,
                                        const std::vector<CallEndpoint>& excluded);
  /// Share of the calls that spills over to the next tier because these upstreams are at capacity.
  static double SpillShare(const UpstreamList& eligible, CallTime now);
  /// Picks two upstreams at random and returns the one with the lower cost.
  static const Upstream* ChooseOfTwo(const Service& service, const UpstreamList& eligible,
                                     CallTime now, std::mt19937_64& rng);
  static double ReportedLoad(const Upstream& upstream, CallTime now);
  static double DecayedLatency(const Upstream& upstream, CallTime now);
  /// Latency times load, divided by the product of weight and slots.
  static double Cost(const Upstream& upstream, double default_micros, CallTime now);
  static void AddLatency(Upstream* upstream, CallTime now, const AttemptResult& result);
  static void Eject(Upstream* upstream, CallTime now);
  Upstream* FindUpstream(const CallEndpoint& endpoint);

  const Strategy* strategy_;
  std::map<std::string, Service> services_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_BALANCER_H_
