#ifndef CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_
#define CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// A simulated server.
struct ReplayServer {
  std::string data_centre;
  uint32_t slots = 6;
  size_t service = 0;
  /// Usual speed; used only to compare the work of servers, `slowdown` has to include it.
  double speed = 1;
  /// Time at which the server starts, in seconds. All senders learn of it at that time.
  double starts_at = 0;
  /// Factor on the execution time of work at `t` seconds from the start.
  std::function<double(double t)> slowdown = [](double) { return 1.0; };
};

/// Calls that a server makes for a call that it runs, one after the other.
struct ReplayNestedCalls {
  /// Index of their class.
  size_t cls = 0;
  int times = 0;
  /// Share of the calls that make them.
  double share = 0;
};

/// A class of calls with the same objective, deadline and distribution of work.
struct ReplayClass {
  /// Arrival rate over all data centres at a demand factor of 1.
  double calls_per_second = 0;
  /// Mean work per call, without stragglers.
  double work_ms = 0;
  /// Sigma of the lognormal distribution of the work.
  double sigma = 0.5;
  /// Share of calls that take `straggler_factor` times as long.
  double straggler_share = 0.03;
  double straggler_factor = 7;
  double objective_ms = 0;
  double deadline_ms = 0;
  size_t response_bytes = 1500;
  int priority = 1;
  /// Service whose servers run the calls.
  size_t service = 0;
  std::optional<ReplayNestedCalls> nested_calls;
  /// Credit for a response after the objective; one within the objective earns 1.
  double late_credit = 0.5;
  /// Credit deducted if a call is finally refused after a retry.
  double second_refusal_penalty = 0.3;
  /// Maximum credit deducted for a late final refusal; see `ReplayResult::net`.
  double late_refusal_penalty = 0.5;
};

/// How a sender selects the servers that `CallPlacement` chooses among.
enum class ReplayStrategy : uint8_t {
  /// All servers of the service.
  kAllServers,
  /// Two random servers that have not been tried for the call.
  kTwoRandomServers,
  /// Two random servers of the own data centre and one of the others that have not been tried.
  kRandomServersNearby,
  /// All servers. A server with free slots sends its load to two random senders whenever a call
  /// ends.
  kFreeSlotsAnnounced,
  /// A subset of the servers, the same for all calls of the sender: at most two in each data
  /// centre.
  kFixedSubset,
  /// Servers whose share of this sender is not used up. The slots of each server are divided among
  /// the senders that used it in the last second, with one slot more for a new sender.
  kCapacityShares,
};

/// A load pattern and the servers it is applied to.
struct ReplayScenario {
  double seconds = 30;
  std::vector<std::string> data_centres = {"a", "b", "c"};
  size_t senders_per_data_centre = 4;
  std::vector<ReplayServer> servers;
  std::vector<ReplayClass> classes;
  /// Factor on the arrival rate of a data centre at `t` seconds.
  std::function<double(size_t data_centre, double t)> demand_factor = [](size_t, double) {
    return 1.0;
  };
  /// One-way network delay between two sidecars in different data centres.
  double cross_data_centre_delay_ms = 0.9;
  /// Time by which load reports arrive later than the result that they belong to.
  double report_delay_ms = 0;
  ReplayStrategy strategy = ReplayStrategy::kAllServers;
  /// Share of callers that ignore Retry-After: they retry almost at once and
  /// `abusive_caller_retries` times. Other callers retry once, after the Retry-After.
  double abusive_caller_share = 0;
  int abusive_caller_retries = 3;
  uint64_t seed = 1;
};

struct ReplayClassResult {
  uint64_t calls = 0;
  /// Calls with a response within the objective, after it, and calls without a response because
  /// their last attempt was refused.
  uint64_t timely = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  /// Calls that failed because a nested call of theirs did, or that were aborted at their deadline.
  uint64_t failed = 0;
  /// Sum of the times from the arrival of an attempt to its refusal.
  double refusal_latency_ms = 0;
  /// Refused attempts.
  uint64_t refusals = 0;
  /// Sum of the credits deducted for final refusals.
  double refusal_penalty = 0;
};

/// The calls that arrived in one second, and the credit that they earned, at any time.
struct ReplaySecond {
  uint64_t calls = 0;
  double credit = 0;

  double share() const { return calls == 0 ? 1 : credit / static_cast<double>(calls); }
};

struct ReplayResult {
  std::vector<ReplayClassResult> classes;
  std::vector<ReplaySecond> seconds;
  /// Slot time spent on complete responses, as a share of the slot time available.
  double utilisation = 0;
  /// Offers per call attempt.
  double offers = 0;
  /// Offers to other data centres, per call attempt.
  double remote_offers = 0;
  /// Share of the responses that came from another data centre.
  double remote_responses = 0;
  /// Work that was completed by the busiest server relative to the mean over the servers of its
  /// service, as work per slot and speed; the maximum over the services.
  double busiest = 0;
  /// Bytes sent between data centres per call attempt.
  double remote_bytes = 0;
  /// Announcements of free slots per call attempt.
  double announcements = 0;
  /// Latency from the first attempt to the response, over calls with a response.
  double median_latency_ms = 0;
  double p99_latency_ms = 0;
  /// Offers to each server in each second, by second and server.
  std::vector<std::vector<uint64_t>> offers_by_second;
  /// Mean credit per call.
  double credit = 0;
  /// Mean credit per call after the deductions for refusals. `late_refusal_penalty` grows linearly
  /// from 0, for a refusal within an eighth of the objective, to the full value at three quarters
  /// of the deadline.
  double net = 0;
};

/// Discrete-event simulation of `ServerQueue`, `CallEstimates` and `CallPlacement` under a load
/// pattern, with load reports that are delayed by the network. Deterministic for a given seed.
ReplayResult RunReplay(const ReplayScenario& scenario);

/// Slowdown of a server on a host with noisy neighbours. Time is divided into periods of `period_s`
/// seconds. In a random `share` of them the slowdown is `base * factor`, otherwise `base`.
std::function<double(double)> NoisyNeighbourSlowdown(double base, double share, double factor,
                                                     double period_s, uint64_t seed);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_
