#include <cppunit/extensions/HelperMacros.h>

#include "libproxy/testing/load_scenarios.h"

namespace camphorhoist {
namespace {

class NestedLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NestedLoadTest);
  CPPUNIT_TEST(NestedCallsDoNotCauseCollapseAtOrdinaryLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a mesh that tips over without any fault: short nested calls crowd on servers
  // whose mean service time they lower, their parents keep slots for longer, and queues fill with
  // calls that are late already while timely ones are refused. The target is 0.9 of the credit.
  void NestedCallsDoNotCauseCollapseAtOrdinaryLoad() {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      ReplayScenario scenario = NestedCallsBetweenServices(1);
      scenario.seed = seed;
      const ReplayResult result = RunReplay(scenario);
      CPPUNIT_ASSERT(result.credit > 0.9);
      for (size_t second = 1; second < 20; ++second) {
        CPPUNIT_ASSERT(result.seconds[second].share() > 0.85);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestedLoadTest);

}  // namespace
}  // namespace camphorhoist
