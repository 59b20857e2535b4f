// Runs the load simulation for all scenarios and prints the mean results over several seeds.

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "libproxy/testing/load_scenarios.h"

namespace camphorhoist {
namespace {

struct NamedStrategy {
  const char* name;
  ReplayStrategy strategy;
};

constexpr NamedStrategy kStrategies[] = {
    {"all servers", ReplayStrategy::kAllServers},
    {"two random servers", ReplayStrategy::kTwoRandomServers},
    {"random servers nearby", ReplayStrategy::kRandomServersNearby},
    {"free slots announced", ReplayStrategy::kFreeSlotsAnnounced},
    {"fixed subset", ReplayStrategy::kFixedSubset},
    {"shares of capacity", ReplayStrategy::kCapacityShares},
};

// Prints the mean results of the uneven fleets with the strategy of this name, or with all
// strategies for "strategies".
void PrintUnevenFleets(const std::string& name) {
  std::printf("%4s %4s %-22s %7s %7s %7s %8s %7s %7s %7s %7s\n", "vms", "load", "strategy",
              "busiest", "offers", "r.resp", "r.bytes", "p50_ms", "p99_ms", "credit", "announ");
  for (const size_t vms : {20, 72, 194, 600}) {
    for (const double load : {0.5, 0.8}) {
      for (const NamedStrategy& it : kStrategies) {
        if (name != "strategies" && name != it.name) continue;
        constexpr int kSeeds = 3;
        ReplayResult mean;
        for (int seed = 1; seed <= kSeeds; ++seed) {
          ReplayScenario scenario = UnevenFleet(vms, load);
          scenario.strategy = it.strategy;
          scenario.seed = static_cast<uint64_t>(seed);
          const ReplayResult result = RunReplay(scenario);
          for (double ReplayResult::*field :
               {&ReplayResult::busiest, &ReplayResult::offers, &ReplayResult::remote_responses,
                &ReplayResult::remote_bytes, &ReplayResult::median_latency_ms,
                &ReplayResult::p99_latency_ms, &ReplayResult::credit,
                &ReplayResult::announcements}) {
            mean.*field += result.*field / kSeeds;
          }
        }
        std::printf("%4zu %4.1f %-22s %7.2f %7.2f %7.3f %8.0f %7.0f %7.0f %7.3f %7.2f\n", vms, load,
                    it.name, mean.busiest, mean.offers, mean.remote_responses, mean.remote_bytes,
                    mean.median_latency_ms, mean.p99_latency_ms, mean.credit, mean.announcements);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace camphorhoist

// Arguments: none for the scenarios of the tests; the name of a strategy, e.g. "all servers", for
// the uneven fleets with that strategy; `strategies` for these with all strategies.
int main(int argc, char** argv) {
  using namespace camphorhoist;  // NOLINT(google-build-using-namespace): short program
  if (argc > 1) {
    PrintUnevenFleets(argv[1]);
    return 0;
  }
  std::printf("%-28s %7s %7s %7s %7s %7s %8s %7s %7s %7s %9s %7s %7s\n", "scenario", "credit",
              "net", "timely", "late", "refused", "held_ms", "offers", "r.offer", "r.resp", "busy",
              "p50_ms", "p99_ms");
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
    double median_ms = 0;
    double p99_ms = 0;
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
      median_ms += result.median_latency_ms / kSeeds;
      p99_ms += result.p99_latency_ms / kSeeds;
    }
    std::printf("%-28s %7.3f %7.3f %7.3f %7.3f %7.3f %8.1f %7.2f %7.2f %7.2f %9.3f %7.0f %7.0f\n",
                it.name.c_str(), credit, net, timely, late, refused, refusal_ms, offers,
                remote_offers, remote_responses, utilisation, median_ms, p99_ms);
  }
  return 0;
}
