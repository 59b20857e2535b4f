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

/// An upstream that may be chosen. Draining and down upstreams are left out of the list.
struct BalancerCandidate {
  CallEndpoint endpoint;
  LocalityTier tier = LocalityTier::kSameDataCentre;
  /// Share relative to the other upstreams of the service, 1 to 100.
  uint32_t weight = 1;
  /// Calls that the upstream runs at once.
  uint32_t slots = 1;
};

/// How an attempt ended, as seen by the sender.
enum class AttemptEnd : uint8_t {
  /// A head arrived. `latency` is the time from sending to the head.
  kAnswered,
  /// Refused because of load; says nothing about health.
  kOverloaded,
  /// Refused for another reason before it ran, or withdrawn.
  kNotRun,
  /// Connection failed or lost, silence, or a broken response.
  kFailed,
  /// Given up by the sender; `latency` is a lower bound.
  kAbandoned,
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  CallDuration latency{};
  WorkClass work_class = WorkClass::kShort;
  std::optional<LoadReport> load;
};

/// Chooses the upstream of each attempt from what this sender has observed itself: in-flight
/// attempts, latency and failures. Load reports count little and fade.
///
/// Strategies by name: "p2c" (default) and "round_robin" (baseline for measurements: rotates over
/// the nearest tier and ignores load and health).
///
/// Thread safety: none; use from one thread.
class Balancer {
 public:
  /// Latency samples below the estimate lower it with this time constant.
  static constexpr std::chrono::milliseconds kLatencyDecayTime{2000};
  /// Load reports lose their weight with this time constant; they are old when they arrive.
  static constexpr std::chrono::milliseconds kReportDecayTime{250};
  /// Weight of a fresh load report against the sender's own observation.
  static constexpr double kReportWeight = 0.25;
  /// Failures in a row that eject an upstream.
  static constexpr int kEjectFailures = 5;
  /// First ejection; doubled at each repetition up to the limit.
  static constexpr std::chrono::milliseconds kBaseEjectionTime{1000};
  static constexpr std::chrono::milliseconds kMaxEjectionTime{30000};
  /// After an ejection the share of traffic grows linearly over this time.
  static constexpr std::chrono::milliseconds kReadmissionRamp{5000};
  /// If more than this share of a tier is ejected, ejection is ignored there: the cause is more
  /// likely on the sender's side, and the rest could not carry the load.
  static constexpr double kPanicThreshold = 0.5;

  /// Returns nothing for an unknown strategy name.
  static std::optional<Balancer> Create(const std::string& strategy);
  static std::vector<std::string> StrategyNames();
  Balancer();

  /// Replaces the candidates of all services. What was observed of an upstream is kept while its
  /// endpoint, with the same incarnation, stays in the list.
  void SetCandidates(const std::vector<BalancerCandidate>& candidates);

  /// Chooses an upstream of `service` that is not in `excluded`; nothing if there is none. Does not
  /// count the attempt; call `OnSent` when it is sent.
  std::optional<CallEndpoint> Pick(const std::string& service, CallTime now, std::mt19937_64& rng,
                                   const std::vector<CallEndpoint>& excluded);
  /// The candidate of `service` with this upstream address, for routes bound to one endpoint.
  std::optional<CallEndpoint> Find(const std::string& service, const NetAddress& upstream) const;

  /// Each `OnSent` is followed by exactly one `OnResult`. Endpoints no longer listed are ignored.
  void OnSent(const CallEndpoint& endpoint, CallTime now);
  void OnResult(const CallEndpoint& endpoint, CallTime now, const AttemptResult& result);

  /// Observed state of one upstream, for dumps and tests.
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
  static UpstreamList EligibleUpstreams(const Service& service, LocalityTier tier, CallTime now,
                                        std::mt19937_64& rng,
                                        const std::vector<CallEndpoint>& excluded);
  static double SpillShare(const UpstreamList& eligible, CallTime now);
  static const Upstream* ChooseOfTwo(const Service& service, const UpstreamList& eligible,
                                     CallTime now, std::mt19937_64& rng);
  static double ReportedLoad(const Upstream& upstream, CallTime now);
  static double DecayedLatency(const Upstream& upstream, CallTime now);
  static double Cost(const Upstream& upstream, double default_micros, CallTime now);
  static void AddLatency(Upstream* upstream, CallTime now, const AttemptResult& result);
  static void Eject(Upstream* upstream, CallTime now);
  Upstream* FindUpstream(const CallEndpoint& endpoint);

  const Strategy* strategy_;
  std::map<std::string, Service> services_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_BALANCER_H_
