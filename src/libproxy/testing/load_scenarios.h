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

/// Four servers of different speed with 6 slots each, slowed down at times by noisy neighbours.
ReplayScenario ServersOfUnevenSpeed();
/// Multiplies the demand by a sine wave around 1 with a phase shift between the data centres.
void AddPeriodicDemand(double amplitude, double period_s, ReplayScenario* scenario);
/// Multiplies the demand by `factor` from `from` to `to` seconds.
void AddSurge(double factor, double from, double to, ReplayScenario* scenario);
/// Three services near their capacity. The calls of the first one make short nested calls to the
/// second one, whose own calls are long and make short nested calls to the third one, whose own
/// calls are longer still. `demand`: factor on the load.
ReplayScenario NestedCallsBetweenServices(double demand);

/// Mesh of `vms` sidecars in four data centres. A third of the VMs run the called service, at
/// 0.6, 1.0 and 1.4 times the usual speed, slowed down 2.5 times for parts of a second. The demand
/// of the data centres fluctuates by 55%, out of phase; its mean is `load` times the capacity. Load
/// reports are 100 ms old.
ReplayScenario UnevenFleet(size_t vms, double load);

/// All scenarios of the tests and the benchmark.
std::vector<NamedScenario> AllScenarios();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_TESTING_LOAD_SCENARIOS_H_
