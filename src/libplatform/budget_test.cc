#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "camphorhoist/error.h"
#include "libplatform/budgeted_object_store.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};

/// A `BudgetedObjectStore` on the stand-in platform, with a clock that only the test advances.
struct BudgetedPlatform {
  explicit BudgetedPlatform(const StoreBudget& budget)
      : inner(platform.NewStore(kTimeout)),
        store(platform.base.get(), inner.get(), budget, [this] { return now; }) {}

  PutResult Put(const std::string& key) { return platform.Put(&store, key, "x", 0); }
  GetResult Get(const std::string& key) { return platform.Get(&store, key); }

  TestPlatform platform;
  std::chrono::steady_clock::time_point now;
  std::unique_ptr<HttpObjectStore> inner;
  BudgetedObjectStore store;
};

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(CallsBeyondBudgetAreNotSent);
  CPPUNIT_TEST(ReadsAreRetriedWithinBudget);
  CPPUNIT_TEST(WritesAreNeverRetried);
  CPPUNIT_TEST(MeterCountsCallsByKind);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that sends more calls to the platform than its budget allows.
  void CallsBeyondBudgetAreNotSent() {
    StoreBudget budget;
    budget.reads_per_second = 2;
    budget.read_burst = 3;
    budget.writes_per_second = 1;
    budget.write_burst = 1;
    BudgetedPlatform budgeted(budget);
    CPPUNIT_ASSERT(!budgeted.Put("a").error);
    CPPUNIT_ASSERT(budgeted.Put("b").error == Errc::kBudgetExhausted);
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(!budgeted.Get("a").error);
    CPPUNIT_ASSERT(budgeted.Get("a").error == Errc::kBudgetExhausted);
    CPPUNIT_ASSERT(budgeted.platform.List(&budgeted.store, "").error == Errc::kBudgetExhausted);
    CPPUNIT_ASSERT(budgeted.platform.Watch(&budgeted.store, "a", 0, kTimeout).error ==
                   Errc::kBudgetExhausted);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, budgeted.platform.server.meter().put);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, budgeted.platform.server.meter().get);

    budgeted.now += milliseconds(500);  // one read token, half a write token
    CPPUNIT_ASSERT(!budgeted.Get("a").error);
    CPPUNIT_ASSERT(budgeted.Get("a").error == Errc::kBudgetExhausted);
    CPPUNIT_ASSERT(budgeted.Put("b").error == Errc::kBudgetExhausted);
    budgeted.now += std::chrono::hours(1);  // the bucket holds at most the burst
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(!budgeted.Get("a").error);
    CPPUNIT_ASSERT(budgeted.Get("a").error == Errc::kBudgetExhausted);
  }

  void ReadsAreRetriedWithinBudget() {
    StoreBudget budget;
    budget.read_burst = 4;
    budget.reads_per_second = 0;
    BudgetedPlatform budgeted(budget);
    FaultRules& faults = budgeted.platform.server.faults();
    CPPUNIT_ASSERT(!budgeted.Put("a").error);
    faults.Set({FaultRule{FaultMode::kDropBefore, 1, milliseconds(0), "", {"GET"}}});
    CPPUNIT_ASSERT(!budgeted.Get("a").error);  // takes two tokens
    faults.Set({FaultRule{FaultMode::kDropBefore, 0, milliseconds(0), "", {"GET"}}});
    CPPUNIT_ASSERT(budgeted.Get("a").error == Errc::kUnavailable);  // takes the other two
    CPPUNIT_ASSERT(budgeted.Get("a").error == Errc::kBudgetExhausted);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, budgeted.platform.server.meter().get);
  }

  // Guards against a write that is applied twice because the store retried it.
  void WritesAreNeverRetried() {
    BudgetedPlatform budgeted{StoreBudget()};
    FaultRules& faults = budgeted.platform.server.faults();
    for (FaultMode mode : {FaultMode::kLostAnswer, FaultMode::kDropBefore, FaultMode::kDown}) {
      const uint64_t before = budgeted.platform.server.meter().put;
      faults.Set({FaultRule{mode, 1, milliseconds(0), "", {"PUT"}}});
      CPPUNIT_ASSERT(budgeted.Put("a" + std::to_string(before)).error == Errc::kUnknownEffect);
      CPPUNIT_ASSERT_EQUAL(before + 1, budgeted.platform.server.meter().put);
    }
  }

  void MeterCountsCallsByKind() {
    StoreBudget budget;
    budget.write_burst = 2;
    budget.writes_per_second = 0;
    BudgetedPlatform budgeted(budget);
    CPPUNIT_ASSERT(!budgeted.Put("a").error);
    CPPUNIT_ASSERT(budgeted.Get("b").error == Errc::kNotFound);
    budgeted.platform.server.faults().Set(
        {FaultRule{FaultMode::kLostAnswer, 1, milliseconds(0), "", {"PUT"}}});
    const auto lost = Await<PutResult>(budgeted.platform.base.get(), [&](auto done) {
      budgeted.store.Put("c", "x", 0, std::move(done));
      budgeted.now += milliseconds(30);
    });
    CPPUNIT_ASSERT(lost.error == Errc::kUnknownEffect);
    CPPUNIT_ASSERT(budgeted.Put("d").error == Errc::kBudgetExhausted);
    const StoreCallStats puts = budgeted.store.meter().Stats(StoreCall::kPut);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, puts.calls);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, puts.failures);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, puts.refused);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(15.0, puts.mean_ms, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, puts.max_ms, 1e-9);
    const StoreCallStats gets = budgeted.store.meter().Stats(StoreCall::kGet);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, gets.calls);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, gets.failures);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, budgeted.store.meter().Stats(StoreCall::kList).calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);

}  // namespace
}  // namespace camphorhoist
