// Runs the load simulation for all scenarios and prints the mean results over several seeds.

#include <cmath>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "libproxy/testing/load_scenarios.h"

int main() {
  using namespace camphorhoist;  // NOLINT(google-build-using-namespace): short program
  std::printf("%-28s %7s %7s %7s %7s %7s %8s %7s %7s %7s %9s\n", "scenario", "credit", "net",
              "timely", "late", "refused", "held_ms", "offers", "r.offer", "r.resp", "busy");
  for (const NamedScenario& it : AllScenarios()) {
    constexpr int kSeeds = 5;
    double credit = 0;
    double net = 0;
    double timely = 0;
    double late = 0;
    double refused = 0;
    double refusal_ms = 0;
    double offers = 0;
    double remote_offers = 0;
    double remote_responses = 0;
    double utilisation = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      ReplayScenario scenario = it.scenario;
      scenario.seed = static_cast<uint64_t>(seed);
      const ReplayResult result = RunReplay(scenario);
      ReplayClassResult sum;
      for (const ReplayClassResult& cls : result.classes) {
        sum.calls += cls.calls;
        sum.timely += cls.timely;
        sum.late += cls.late;
        sum.refused += cls.refused;
        sum.refusals += cls.refusals;
        sum.refusal_latency_ms += cls.refusal_latency_ms;
      }
      const auto calls = static_cast<double>(sum.calls);
      credit += result.credit / kSeeds;
      net += result.net / kSeeds;
      timely += static_cast<double>(sum.timely) / calls / kSeeds;
      late += static_cast<double>(sum.late) / calls / kSeeds;
      refused += static_cast<double>(sum.refused) / calls / kSeeds;
      if (sum.refusals > 0) {
        refusal_ms += sum.refusal_latency_ms / static_cast<double>(sum.refusals) / kSeeds;
      }
      offers += result.offers / kSeeds;
      remote_offers += result.remote_offers / kSeeds;
      remote_responses += result.remote_responses / kSeeds;
      utilisation += result.utilisation / kSeeds;
    }
    std::printf("%-28s %7.3f %7.3f %7.3f %7.3f %7.3f %8.1f %7.2f %7.2f %7.2f %9.3f\n",
                it.name.c_str(), credit, net, timely, late, refused, refusal_ms, offers,
                remote_offers, remote_responses, utilisation);
  }
  return 0;
}
