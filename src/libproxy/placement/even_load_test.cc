#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "libproxy/testing/load_scenarios.h"

namespace camphorhoist {
namespace {

// Targets of docs/design/callers-and-organisations.md, section 11.
constexpr double kMaxBusiest = 1.3;
constexpr double kMaxOffers = 1.2;
// Load at which these targets hold, as a share of the capacity.
constexpr double kOrdinaryLoad = 0.5;
constexpr size_t kFleets[] = {20, 72, 194, 600};

const ReplayResult& OrdinaryDay(size_t vms) {
  static std::map<size_t, ReplayResult> replayed;
  const auto it = replayed.find(vms);
  if (it != replayed.end()) return it->second;
  return replayed[vms] = RunReplay(UnevenFleet(vms, kOrdinaryLoad));
}

// Returns the most offers that a server may get when `offers` are made in all: 1.3 times its part,
// and four standard deviations, since the number in one second is random. Its part is that by
// capacity or an equal one, whichever is larger, since its speed is not known after a restart.
double MaxOffers(const ReplayScenario& scenario, size_t server, uint64_t offers) {
  double capacity = 0;
  for (const ReplayServer& it : scenario.servers) capacity += it.slots * it.speed;
  const ReplayServer& it = scenario.servers[server];
  const double part =
      std::max(it.slots * it.speed / capacity, 1 / static_cast<double>(scenario.servers.size()));
  const double expected = kMaxBusiest * static_cast<double>(offers) * part;
  return expected + 4 * std::sqrt(expected);
}

// The data centres have the same constant demand, so that no excess of one adds to the calls that a
// server may get.
ReplayScenario FleetWithConstantDemand(size_t vms, double seconds) {
  ReplayScenario scenario = UnevenFleet(vms, kOrdinaryLoad);
  scenario.seconds = seconds;
  scenario.demand_factor = [](size_t, double) { return 1.0; };
  return scenario;
}

uint64_t Sum(const std::vector<uint64_t>& counts) {
  return std::accumulate(counts.begin(), counts.end(), uint64_t{0});
}

class EvenLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvenLoadTest);
  CPPUNIT_TEST(CompletesCallsInUnevenFleets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refused and late calls at ordinary load. Stragglers, 3% of the calls with seven
  // times the work, miss their objective on any server.
  void CompletesCallsInUnevenFleets() {
    for (const size_t vms : kFleets) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(vms), OrdinaryDay(vms).credit > 0.95);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvenLoadTest);

// Targets that are not met yet, see KNOWN-RED.txt. They run as the test proxy_even_load_targets.
class EvenLoadTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvenLoadTargetsTest);
  CPPUNIT_TEST(BusiestServer);
  CPPUNIT_TEST(OffersPerCall);
  CPPUNIT_TEST(SendersWithEqualViewsAfterARestartOfAll);
  CPPUNIT_TEST(ServerThatComesBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a server that is overloaded while others are idle.
  void BusiestServer() {
    std::string failures;
    for (const size_t vms : kFleets) {
      const double busiest = OrdinaryDay(vms).busiest;
      if (busiest <= kMaxBusiest) continue;
      failures += std::to_string(vms) + " VMs: " + std::to_string(busiest) + "; ";
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  // Guards against calls that spend their time on trips to servers that decline them.
  void OffersPerCall() {
    std::string failures;
    for (const size_t vms : kFleets) {
      const double offers = OrdinaryDay(vms).offers;
      if (offers <= kMaxOffers) continue;
      failures += std::to_string(vms) + " VMs: " + std::to_string(offers) + "; ";
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  // Guards against senders that all choose the same servers in the second after a restart, when
  // none of them has a report.
  void SendersWithEqualViewsAfterARestartOfAll() {
    std::string failures;
    for (const size_t vms : kFleets) {
      const ReplayScenario scenario = FleetWithConstantDemand(vms, 1);
      const ReplayResult result = RunReplay(scenario);
      const std::vector<uint64_t>& offers = result.offers_by_second.at(0);
      for (size_t i = 0; i < offers.size(); ++i) {
        const double most = MaxOffers(scenario, i, Sum(offers));
        if (static_cast<double>(offers[i]) <= most) continue;
        failures += std::to_string(vms) + " VMs, server " + std::to_string(i) + ": " +
                    std::to_string(offers[i]) + " offers, at most " + std::to_string(most) + "; ";
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  // Guards against senders that all choose a server which has just come back, since all of them
  // learn at once that it is idle.
  void ServerThatComesBack() {
    std::string failures;
    for (const size_t vms : kFleets) {
      constexpr size_t kSecond = 5;
      ReplayScenario scenario = FleetWithConstantDemand(vms, kSecond + 1);
      scenario.servers[0].starts_at = kSecond;
      const ReplayResult result = RunReplay(scenario);
      const std::vector<uint64_t>& offers = result.offers_by_second.at(kSecond);
      const double most = MaxOffers(scenario, 0, Sum(offers));
      if (static_cast<double>(offers[0]) <= most) continue;
      failures += std::to_string(vms) + " VMs: " + std::to_string(offers[0]) + " offers, at most " +
                  std::to_string(most) + "; ";
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EvenLoadTargetsTest, "unmet targets");

}  // namespace
}  // namespace camphorhoist
