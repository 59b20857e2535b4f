#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "camphorhoist/fleet_retry_budget.h"
#include "camphorhoist/upstream_registry.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = UpstreamRegistry::Change;

const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);

class FleetRetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRetryBudgetTest);
  CPPUNIT_TEST(FleetStaysWithinItsBudget);
  CPPUNIT_TEST(IgnoresRequestsBeforeTheWindow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sidecars that fail over at the same time and together exceed the retry budget.
  void FleetStaysWithinItsBudget() {
    constexpr size_t kSidecars = 13;
    constexpr int kRequestsEach = 100;
    RetryBudgetOptions options;
    options.ratio = 0.2;
    options.window = seconds(10);
    options.fixed_retries = 56;
    std::vector<FleetRetryBudget> budgets(kSidecars, FleetRetryBudget(options));
    int retries = 0;
    for (FleetRetryBudget& it : budgets) {
      for (int i = 0; i < kRequestsEach; ++i) it.OnRequest(kStart + milliseconds(i * 50), "s");
      while (it.TryTake(kStart + seconds(5), "s", kSidecars)) ++retries;
    }
    const double bound = options.ratio * kRequestsEach * kSidecars + options.fixed_retries;
    CPPUNIT_ASSERT(retries < bound);
    CPPUNIT_ASSERT(retries > bound / 3);
  }

  // Guards against a budget that still includes requests from before its window.
  void IgnoresRequestsBeforeTheWindow() {
    RetryBudgetOptions options;
    options.ratio = 0.2;
    options.window = seconds(10);
    FleetRetryBudget budget(options);
    for (int i = 0; i < 100; ++i) budget.OnRequest(kStart, "s");
    CPPUNIT_ASSERT(budget.TryTake(kStart + seconds(9), "s", 1));
    CPPUNIT_ASSERT(!budget.TryTake(kStart + seconds(11), "s", 1));
    CPPUNIT_ASSERT(!budget.TryTake(kStart, "other", 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetryBudgetTest);

UpstreamReport Report(const std::string& instance, int64_t started_ms, int64_t sequence,
                      UpstreamState state = UpstreamState::kReady) {
  UpstreamReport report;
  report.instance = instance;
  report.service = "orders";
  report.slots = 6;
  report.state = state;
  report.sequence = sequence;
  report.started_ms = started_ms;
  return report;
}

class UpstreamRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamRegistryTest);
  CPPUNIT_TEST(DelayedReportsDoNotUndoADrain);
  CPPUNIT_TEST(IgnoresReportsOfAnEarlierIncarnation);
  CPPUNIT_TEST(AcceptsANewIncarnationWithTheSameId);
  CPPUNIT_TEST(DeparturesSurviveARestartOfTheSidecar);
  CPPUNIT_TEST(DeregistrationBeforeTheFirstReport);
  CPPUNIT_TEST(ExpiresAfterMissedReports);
  CPPUNIT_TEST(UnreachableUntilItsNextReport);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to a draining server after a delayed report that it is ready.
  void DelayedReportsDoNotUndoADrain() {
    for (const UpstreamState leaving : {UpstreamState::kDraining, UpstreamState::kLeft}) {
      UpstreamRegistry registry(milliseconds(1500));
      CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 1)) == Change::kActivated);
      CPPUNIT_ASSERT(registry.Accepts(kStart, "orders", "i"));
      CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 4, leaving)) == Change::kDeactivated);
      CPPUNIT_ASSERT(!registry.Accepts(kStart, "orders", "i"));
      CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 3)) == Change::kIgnored);
      CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 9)) == Change::kIgnored);
      CPPUNIT_ASSERT(!registry.ready(kStart));
    }
  }

  // Guards against a delayed report of a crashed server that replaces the server now running at the
  // same address.
  void IgnoresReportsOfAnEarlierIncarnation() {
    UpstreamRegistry registry(milliseconds(1500));
    registry.Apply(kStart, Report("old", 5, 7));
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("new", 6, 1)) == Change::kActivated);
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("old", 5, 8)) == Change::kIgnored);
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("old", 5, 0, UpstreamState::kLeft)) ==
                   Change::kIgnored);
    CPPUNIT_ASSERT(registry.Accepts(kStart, "orders", "new"));
    CPPUNIT_ASSERT(!registry.Accepts(kStart, "orders", "old"));
    CPPUNIT_ASSERT(!registry.Accepts(kStart, "other", "new"));
  }

  // Guards against ignoring a server that has left and was restarted with the same instance id.
  void AcceptsANewIncarnationWithTheSameId() {
    UpstreamRegistry registry(milliseconds(1500));
    registry.Apply(kStart, Report("i", 5, 7));
    registry.Apply(kStart, Report("i", 5, 8, UpstreamState::kDraining));
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 9, 1)) == Change::kActivated);
    CPPUNIT_ASSERT(registry.Accepts(kStart, "orders", "i"));
  }

  // Guards against a restarted sidecar that considers a draining server ready.
  void DeparturesSurviveARestartOfTheSidecar() {
    UpstreamRegistry before(milliseconds(1500));
    before.Apply(kStart, Report("i", 5, 7));
    before.Apply(kStart, Report("i", 5, 8, UpstreamState::kDraining));
    UpstreamRegistry after(milliseconds(1500));
    for (const UpstreamDeparture& it : before.departures()) after.Restore(it);
    CPPUNIT_ASSERT(after.Apply(kStart, Report("i", 5, 7)) == Change::kIgnored);
    CPPUNIT_ASSERT(!after.ready(kStart));
    // The departure may also be restored after a delayed report was applied.
    UpstreamRegistry late(milliseconds(1500));
    late.Apply(kStart, Report("i", 5, 7));
    for (const UpstreamDeparture& it : before.departures()) late.Restore(it);
    CPPUNIT_ASSERT(!late.ready(kStart));
  }

  // Guards against a restarted sidecar that receives a deregistration without a start time and then
  // accepts a delayed report of the same server.
  void DeregistrationBeforeTheFirstReport() {
    UpstreamRegistry registry(milliseconds(1500));
    UpstreamReport left = Report("i", 0, 0, UpstreamState::kLeft);
    left.started_ms.reset();
    CPPUNIT_ASSERT(registry.Apply(kStart, left) == Change::kIgnored);
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 21)) == Change::kIgnored);
    CPPUNIT_ASSERT(!registry.ready(kStart));
    UpstreamRegistry later(milliseconds(1500));
    for (const UpstreamDeparture& it : registry.departures()) later.Restore(it);
    CPPUNIT_ASSERT(later.Apply(kStart, Report("i", 5, 22)) == Change::kIgnored);
    // A restarted server may reuse the instance id; its sequence numbers start again.
    CPPUNIT_ASSERT(later.Apply(kStart, Report("i", 9, 1)) == Change::kActivated);
  }

  // Guards against a crashed server that stays ready although it sends no more reports.
  void ExpiresAfterMissedReports() {
    UpstreamRegistry registry(milliseconds(1500));
    registry.Apply(kStart, Report("i", 5, 1));
    CPPUNIT_ASSERT(registry.ready(kStart + milliseconds(4500)));
    CPPUNIT_ASSERT(!registry.ready(registry.expiry()));
    CPPUNIT_ASSERT(registry.Apply(registry.expiry(), Report("i", 5, 2)) == Change::kActivated);
  }

  // Guards against calls to a server that refuses connections.
  void UnreachableUntilItsNextReport() {
    UpstreamRegistry registry(milliseconds(1500));
    registry.Apply(kStart, Report("i", 5, 1));
    registry.OnUnreachable();
    CPPUNIT_ASSERT(!registry.ready(kStart));
    CPPUNIT_ASSERT(registry.Apply(kStart, Report("i", 5, 2)) == Change::kActivated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRegistryTest);

}  // namespace
}  // namespace camphorhoist
