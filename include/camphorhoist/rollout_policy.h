#ifndef CAMPHORHOIST_ROLLOUT_POLICY_H_
#define CAMPHORHOIST_ROLLOUT_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Request of an operator to shift the traffic of a service to servers of one version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  /// Time within which the traffic is to be shifted.
  ProxyDuration period{};

  friend bool operator==(const RolloutOrder& a, const RolloutOrder& b) {
    return std::tie(a.service, a.target_version, a.period) ==
           std::tie(b.service, b.target_version, b.period);
  }
  friend bool operator!=(const RolloutOrder& a, const RolloutOrder& b) { return !(a == b); }
};

/// Bounds on what a bad version may get until it is rolled back.
struct RolloutBounds {
  /// Share of the requests of the service between the order and its deadline.
  double exposure_share = 0.1;
  /// Requests in addition to that share.
  double exposure_slack = 50;
  /// Time after the 50th bad response by which no more requests are sent.
  ProxyDuration rollback_time = std::chrono::seconds(5);

  friend bool operator==(const RolloutBounds& a, const RolloutBounds& b) {
    return std::tie(a.exposure_share, a.exposure_slack, a.rollback_time) ==
           std::tie(b.exposure_share, b.exposure_slack, b.rollback_time);
  }
};

/// Responses of one server to requests of one route.
struct RouteCounts {
  /// Hash of the name of the route.
  uint64_t route = 0;
  /// Responses, and requests that the server has not answered in time.
  uint64_t responses = 0;
  /// Those of them that failed.
  uint64_t failures = 0;
  /// Responses that are not failures and not from the warm-up of the server.
  uint64_t timed = 0;
  /// Sums over the service times of those, as binary logarithms of microseconds. Logarithms, so
  /// that a few long requests do not hide a difference between two versions.
  double log_time_sum = 0;
  double log_time_squares = 0;

  friend bool operator==(const RouteCounts& a, const RouteCounts& b) {
    return std::tie(a.route, a.responses, a.failures, a.timed, a.log_time_sum,
                    a.log_time_squares) ==
           std::tie(b.route, b.responses, b.failures, b.timed, b.log_time_sum, b.log_time_squares);
  }
};

/// What one server has done since it was first counted.
struct ServerCounts {
  std::string version;
  /// Changes when the counts start again from 0.
  uint64_t generation = 0;
  /// Requests that were sent to the server.
  uint64_t requests = 0;
  /// Requests that are queued or running now.
  uint32_t active = 0;
  /// At most `kMaxRoutes`; those of other routes are counted as route 0.
  std::vector<RouteCounts> routes;

  static constexpr size_t kMaxRoutes = 64;

  /// Adds a response. `service_time`: 0 if the time does not count, e.g. during the warm-up.
  void AddResponse(uint64_t route, bool failed, ProxyDuration service_time);

  friend bool operator==(const ServerCounts& a, const ServerCounts& b) {
    return std::tie(a.version, a.generation, a.requests, a.active, a.routes) ==
           std::tie(b.version, b.generation, b.requests, b.active, b.routes);
  }
};

enum class RolloutVerdict : uint8_t { kNone, kGood, kBad };

struct RolloutDecision {
  RolloutVerdict verdict = RolloutVerdict::kNone;
  /// Share of the requests of the service that the target version gets now, 0 to 1.
  double share = 0;
  /// Number of servers of the target version that share is sent to; 0 for all.
  uint32_t servers = 0;
  /// Time for which the share applies, and after which senders use `kSmallestShare`; 0 until the
  /// next decision. Bounds a burst without a message to all senders at its end.
  ProxyDuration valid_for{};
  /// Why a version is bad: stable name for logs and metrics; empty otherwise.
  const char* reason = "";

  friend bool operator==(const RolloutDecision& a, const RolloutDecision& b) {
    return std::tie(a.verdict, a.share, a.servers, a.valid_for) ==
               std::tie(b.verdict, b.share, b.servers, b.valid_for) &&
           std::string(a.reason) == b.reason;
  }
  friend bool operator!=(const RolloutDecision& a, const RolloutDecision& b) { return !(a == b); }
};

/// Decides what share of the requests of a service the target version of a roll-out gets, and
/// whether that version is good.
///
/// The control group are the servers of the other versions. Both are compared in time slices and
/// by route, since load, and with it service times and failures, changes with time for both. The
/// failures are compared with the Cochran-Mantel-Haenszel test, the logarithms of the service
/// times by the weighted mean of their differences.
///
/// The target version first gets a small share, then a larger one, and then bursts in which each
/// of a few servers gets as much as it would after the roll-out: some faults show only under load.
/// All requests to the target version are counted against the bound on exposure, so that a version
/// that turns bad just before the verdict has not got more than that either.
///
/// Reads no clock. Thread safety: none; use from one thread.
class RolloutPolicy {
 public:
  /// Share that is always safe; also used by senders that do not know the present one.
  static constexpr double kSmallestShare = 0.01;
  /// Parts of the exposure bound that the first and the second step use.
  static constexpr double kFirstStep = 0.2;
  static constexpr double kSecondStep = 0.5;
  /// Part of the observation after which each of these steps ends.
  static constexpr double kFirstStepEnd = 0.2;
  static constexpr double kSecondStepEnd = 0.4;
  /// Part of the observation that servers which start accepting calls late still get.
  static constexpr double kLateObservation = 0.2;
  /// Part of the exposure bound that is planned for. The rest covers requests that are not yet
  /// reported and senders that learn of a lower share late.
  static constexpr double kPlannedExposure = 0.8;
  static constexpr double kPlannedSlack = 0.8;
  /// Part of the requests until the deadline that is expected to arrive at the present rate. A
  /// burst may use what they add to the bound.
  static constexpr double kExpectedRequests = 0.5;
  /// Largest share before the verdict: without a control group nothing can be compared.
  static constexpr double kLargestBurst = 0.8;
  static constexpr std::chrono::milliseconds kBurstTime{2000};
  /// Time until the requests of a burst are reported.
  static constexpr std::chrono::milliseconds kReportDelay{700};
  /// A process that has just become the writer waits this long for the counts of all servers.
  static constexpr std::chrono::milliseconds kSettleTime{1500};
  /// Number of servers between which the target version's requests are divided, if it has them. A
  /// single server that hangs is a fault of its VM, not of the version.
  static constexpr uint32_t kMinServers = 2;
  /// Minimum duration of a time slice, and the maximum while one of the groups has fewer responses
  /// than `kMinSliceResponses`.
  static constexpr std::chrono::milliseconds kMinSlice{1000};
  static constexpr std::chrono::milliseconds kMaxSlice{15000};
  static constexpr double kMinSliceResponses = 8;
  /// Ages up to which slices are compared; all of them are also compared together. A version that
  /// turns bad late is noticed in the recent ones.
  static constexpr std::chrono::milliseconds kShortWindow{5000};
  static constexpr std::chrono::milliseconds kLongWindow{20000};
  /// A version is bad at this many standard errors. Comparisons are made several times a second,
  /// for every route.
  static constexpr double kStandardErrors = 4.5;
  static constexpr uint64_t kMinFailures = 4;
  static constexpr uint64_t kMinTimed = 8;
  /// A version is slow if its service times are this many times those of the others.
  static constexpr double kSlowFactor = 1.8;
  /// The same at the end of the observation, where one comparison decides, also with few samples.
  /// The times are compared for each route, so that a chance difference is more likely.
  static constexpr double kFinalFailureErrors = 2.5;
  static constexpr double kFinalTimeErrors = 3;
  static constexpr uint64_t kFinalMinFailures = 3;
  static constexpr uint64_t kFinalMinTimed = 4;

  /// `ordered_at`: time of the order. `started_at`: time at which this process became the writer.
  RolloutPolicy(RolloutOrder order, RolloutBounds bounds, ProxyTime ordered_at,
                ProxyTime started_at);

  /// Takes the counts of the server of `node`. Counts of a server that has not been reported before
  /// are compared as a whole.
  void OnCounts(ProxyTime now, const std::string& node, const ServerCounts& counts);
  /// Sets the number of servers that accept calls.
  void SetServers(size_t target, size_t others);
  /// Returns the decision for now. A verdict is final.
  RolloutDecision Decide(ProxyTime now);

  /// Requests to the target version, and to all versions, that were reported.
  uint64_t exposed() const { return exposed_; }
  uint64_t requests() const { return requests_; }
  /// Time from the order by which the verdict is made. The rest of the period is for shifting the
  /// traffic and for writing the result.
  static ProxyDuration ObservationTime(ProxyDuration period);

 private:
  /// Responses to one route in one time slice.
  struct Cell {
    double responses = 0;
    double failures = 0;
    double timed = 0;
    double log_time_sum = 0;
    double log_time_squares = 0;
    void Add(const Cell& other);
  };
  struct Slice {
    ProxyTime start{};
    /// By route; those of the target version also by node.
    std::map<uint64_t, Cell> control;
    std::map<uint64_t, std::map<std::string, Cell>> target;
  };
  /// Comparison of a number of slices.
  struct Evidence {
    double failures = 0;
    double excess = 0;
    double variance = 0;
    double timed = 0;
    double weight = 0;
    double weighted_difference = 0;
    double squares = 0;
    double degrees = 0;
    /// Number of slices in which the target version failed more requests, and was slower.
    int failing_slices = 0;
    int slow_slices = 0;
    void Add(const Evidence& other);
  };
  /// Comparison of one server of the target version with all servers of the others.
  struct ServerEvidence {
    Evidence evidence;
    double responses = 0;
    double failures = 0;
    void Add(const ServerEvidence& other);
  };
  /// Comparison of the responses to one route, or to all of them.
  struct RouteEvidence {
    Evidence evidence;
    std::map<std::string, ServerEvidence> servers;
    void Add(const RouteEvidence& other);
  };
  struct Comparison {
    std::map<uint64_t, RouteEvidence> routes;
    /// Failures without regard to the route, for times in which no route has many requests.
    RouteEvidence all_routes;
    void Add(const Comparison& other);
  };
  struct ClosedSlice {
    ProxyTime end{};
    Comparison comparison;
  };
  struct Thresholds {
    double failure_errors;
    double time_errors;
    double min_failures;
    double min_timed;
    double min_failures_per_server;
    /// A single slice may begin with requests to one version and end with those to the other one.
    int min_slices;
  };

  static void CompareFailures(const Cell& target, const Cell& control, Evidence* evidence);
  static void CompareTimes(const Cell& target, const Cell& control, Evidence* evidence);
  /// Sets the numbers of slices of the comparison of one slice.
  static void CountSlices(Evidence* evidence);
  static Comparison Compare(const Slice& slice);
  static bool IsFailing(const Evidence& evidence, const Thresholds& thresholds);
  static bool IsSlow(const Evidence& evidence, const Thresholds& thresholds);
  /// Whether more than one server of the target version contributes, if it has more.
  static bool IsFailingOnServers(const RouteEvidence& route, bool single_server,
                                 const Thresholds& thresholds);
  static bool IsSlowOnServers(const RouteEvidence& route, bool single_server);
  /// Returns why the target version is bad in these slices; nullptr if it is not.
  static const char* Judge(const Comparison& comparison, const Thresholds& thresholds);
  const char* JudgeWindows(ProxyTime now, bool is_last) const;
  void CloseSlice(ProxyTime now);
  /// Sets the share and for how long it applies.
  void SetShare(ProxyTime now, RolloutDecision* decision);
  double RequestRate(ProxyTime now);
  /// Time at which the comparison ends.
  ProxyTime ObservationEnd() const;

  RolloutOrder order_;
  RolloutBounds bounds_;
  ProxyTime ordered_at_;
  ProxyTime started_at_;
  std::map<std::string, ServerCounts> counts_;
  uint64_t exposed_ = 0;
  uint64_t requests_ = 0;
  size_t target_servers_ = 0;
  size_t other_servers_ = 0;
  /// First decision for which the target version had servers.
  std::optional<ProxyTime> target_since_;
  Slice slice_;
  std::deque<ClosedSlice> recent_;
  /// All closed slices.
  Comparison total_;
  /// Number of requests at earlier times.
  std::deque<std::pair<ProxyTime, uint64_t>> rate_samples_;
  /// End of the last burst.
  ProxyTime burst_end_{};
  RolloutDecision decision_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ROLLOUT_POLICY_H_
