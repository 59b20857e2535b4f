#ifndef CAMPHORHOIST_LIBPROXY_TESTING_LOAD_SCENARIOS_H_
#define CAMPHORHOIST_LIBPROXY_TESTING_LOAD_SCENARIOS_H_

#include <string>
#include <vector>

#include "libproxy/testing/load_replay.h"

namespace camphorhoist {

struct NamedScenario {
  std::string name;
  ReplayScenario scenario;
};

/// Servers of uneven speed that neighbours disturb, four of 6 slots.
ReplayScenario UnevenServers();
/// Demand in waves that begin at different times in the zones.
void AddWaves(double swing, double period_s, ReplayScenario* scenario);
/// Demand times `factor` from `from` to `to` seconds.
void AddSurge(double factor, double from, double to, ReplayScenario* scenario);

/// All scenarios, for the benchmark.
std::vector<NamedScenario> AllScenarios();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_TESTING_LOAD_SCENARIOS_H_
