#ifndef CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_
#define CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// A server of a replay.
struct ReplayServer {
  std::string zone;
  uint32_t slots = 6;
  /// Work of one second takes this many seconds, at `t` seconds from the start.
  std::function<double(double t)> slowness = [](double) { return 1.0; };
};

/// Calls of one kind.
struct ReplayClass {
  double per_second = 0;
  double work_ms = 0;
  /// Sigma of the lognormal distribution of the work.
  double spread = 0.5;
  /// Share of calls that take `tail_factor` times as long.
  double tail = 0.03;
  double tail_factor = 7;
  double objective_ms = 0;
  double deadline_ms = 0;
  int priority = 1;
  /// Credit for a response after the objective, where one within it earns 1.
  double late_credit = 0.5;
  /// Part of the credit that it costs when a caller came back after a refusal in vain.
  double second_refusal_price = 0.3;
  /// Part of the credit that a refusal at the end costs.
  double late_refusal_price = 0.5;
};

/// A load pattern, and the servers that it meets.
struct ReplayScenario {
  double seconds = 30;
  std::vector<std::string> zones = {"a", "b", "c"};
  size_t senders_per_zone = 4;
  std::vector<ReplayServer> servers;
  std::vector<ReplayClass> classes;
  /// Factor on the arrival rate of a zone at `t` seconds.
  std::function<double(size_t zone, double t)> demand = [](size_t, double) { return 1.0; };
  /// One way between two sidecars of different zones.
  double network_ms = 0.9;
  /// Callers that return at once and this many times, instead of once after the Retry-After.
  double abusive_share = 0;
  int abusive_retries = 3;
  uint64_t seed = 1;
};

struct ReplayClassResult {
  uint64_t calls = 0;
  uint64_t timely = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  /// Time from the arrival of an attempt to its refusal, summed up.
  double refusal_held_ms = 0;
  uint64_t refusals = 0;
  /// Sum of the parts of their credit that final refusals cost by coming late.
  double late_refusal_cost = 0;
};

struct ReplayResult {
  std::vector<ReplayClassResult> classes;
  /// Work done for responses, over what the servers could have done in the time.
  double utilisation = 0;
  /// Offers per call attempt.
  double offers = 0;
  /// Credit earned over credit owed.
  double credit = 0;
  /// Credit less the cost of refusals that came late: none up to an eighth of the objective, the
  /// whole at three quarters of the deadline.
  double net = 0;
};

/// Runs `ServerQueue` and `CallPlacement` against a load pattern, with reports that are as late as
/// the network makes them. Deterministic for a seed.
ReplayResult RunReplay(const ReplayScenario& scenario);

/// Slowness of a server that neighbours disturb for a share of the time.
std::function<double(double)> NoisySlowness(double base, double share, double factor,
                                            double period_s, uint64_t seed);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_TESTING_LOAD_REPLAY_H_
