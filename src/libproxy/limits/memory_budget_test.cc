#include "camphorhoist/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMemoryBytes = size_t{110} * 1000 * 1000;
constexpr size_t kLargestBody = size_t{20} * 1000 * 1000;
const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(MissingLimitsLimitNothing);
  CPPUNIT_TEST(ReservationsNeverExceedTheShareOfTheVm);
  CPPUNIT_TEST(LargestBodyFitsThreeTimesOnTheSmallestVm);
  CPPUNIT_TEST(SmallRequestFitsBesideLargeOnes);
  CPPUNIT_TEST(ClosedConnectionReleasesEverything);
  CPPUNIT_TEST(StalledLargeRequestMakesRoom);
  CPPUNIT_TEST(SteadyTransferIsNotEvicted);
  CPPUNIT_TEST(RequestInProgressIsNotEvicted);
  CPPUNIT_TEST(NothingIsEvictedInVain);
  CPPUNIT_TEST(ControlAddressCannotTakeTheMemoryOfCallers);
  CPPUNIT_TEST(DescriptorsAreTakenFromTheLongestWaiting);
  CPPUNIT_TEST(BusyConnectionsKeepTheirDescriptors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against limits on a deployment whose settings have none.
  void MissingLimitsLimitNothing() {
    MemoryBudget budget{VmLimits()};
    for (int i = 0; i < 10000; ++i) {
      CPPUNIT_ASSERT(budget.Reserve(Open(&budget), size_t{1} << 40, kStart));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, budget.evictions());
  }

  // Guards against a process that reserves more memory than its VM has.
  void ReservationsNeverExceedTheShareOfTheVm() {
    MemoryBudget budget({kMemoryBytes, 0});
    for (int i = 0; i < 100000; ++i) {
      const auto id = budget.Open(ListenAddress::kCallers, kStart, [](MemoryBudget::Reason) {});
      if (id) budget.Reserve(*id, static_cast<size_t>(i % 100) * 1000, kStart);
    }
    CPPUNIT_ASSERT(static_cast<double>(budget.used_bytes()) <=
                   MemoryBudget::kMemoryShare * kMemoryBytes);
  }

  // Guards against limits that reject a legal request in calm: a body is held up to three times
  // while it is forwarded.
  void LargestBodyFitsThreeTimesOnTheSmallestVm() {
    MemoryBudget budget({kMemoryBytes, 0});
    CPPUNIT_ASSERT(budget.Reserve(Open(&budget), 3 * kLargestBody, kStart));
    CPPUNIT_ASSERT(budget.CanEverFit(ListenAddress::kCallers, 3 * kLargestBody));
    CPPUNIT_ASSERT(!budget.CanEverFit(ListenAddress::kCallers, 4 * kLargestBody));
  }

  // Guards against large requests that keep ordinary callers out.
  void SmallRequestFitsBesideLargeOnes() {
    MemoryBudget budget({kMemoryBytes, 0});
    while (budget.Reserve(Open(&budget), 100000, kStart)) continue;
    CPPUNIT_ASSERT(budget.Reserve(Open(&budget), 20000, kStart));
  }

  // Guards against a budget that shrinks with each connection.
  void ClosedConnectionReleasesEverything() {
    MemoryBudget budget({kMemoryBytes, 0});
    for (int i = 0; i < 100; ++i) {
      const MemoryBudget::ConnectionId id = Open(&budget);
      CPPUNIT_ASSERT(budget.Reserve(id, 3 * kLargestBody, kStart));
      budget.Close(id);
      budget.Close(id);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.used_bytes());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.connections(ListenAddress::kCallers));
  }

  // Guards against an incomplete large request that keeps its memory from others.
  void StalledLargeRequestMakesRoom() {
    MemoryBudget budget({kMemoryBytes, 0});
    const MemoryBudget::ConnectionId stalled = Open(&budget);
    CPPUNIT_ASSERT(budget.Reserve(stalled, 3 * kLargestBody, kStart));
    budget.StartWaiting(stalled, kStart);
    const MemoryBudget::ConnectionId other = Open(&budget);
    CPPUNIT_ASSERT(!budget.Reserve(other, 3 * kLargestBody, kStart + milliseconds(900)));
    CPPUNIT_ASSERT(budget.Reserve(other, 3 * kLargestBody, kStart + milliseconds(1100)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, evicted_.size());
    CPPUNIT_ASSERT(evicted_[0] == MemoryBudget::Reason::kMemory);
  }

  // Guards against rejected requests of callers that are merely large.
  void SteadyTransferIsNotEvicted() {
    MemoryBudget budget({kMemoryBytes, 0});
    const MemoryBudget::ConnectionId steady = Open(&budget);
    CPPUNIT_ASSERT(budget.Reserve(steady, 3 * kLargestBody, kStart));
    budget.StartWaiting(steady, kStart);
    const MemoryBudget::ConnectionId other = Open(&budget);
    for (int i = 1; i <= 20; ++i) {
      budget.OnTransfer(steady, 1000000);
      CPPUNIT_ASSERT(!budget.Reserve(other, 3 * kLargestBody, kStart + seconds(i)));
    }
    CPPUNIT_ASSERT(evicted_.empty());
  }

  // Guards against the loss of a request that is being executed.
  void RequestInProgressIsNotEvicted() {
    MemoryBudget budget({kMemoryBytes, 0});
    const MemoryBudget::ConnectionId busy = Open(&budget);
    CPPUNIT_ASSERT(budget.Reserve(busy, 3 * kLargestBody, kStart));
    budget.StopWaiting(busy);
    CPPUNIT_ASSERT(!budget.Reserve(Open(&budget), 3 * kLargestBody, kStart + seconds(100)));
    CPPUNIT_ASSERT(evicted_.empty());
  }

  // Guards against requests that are rejected although nobody gains from it.
  void NothingIsEvictedInVain() {
    MemoryBudget budget({kMemoryBytes, 0});
    for (int i = 0; i < 10; ++i) budget.StartWaiting(Open(&budget), kStart);
    CPPUNIT_ASSERT(!budget.Reserve(Open(&budget), 4 * kLargestBody, kStart + seconds(100)));
    CPPUNIT_ASSERT(evicted_.empty());
  }

  // Guards against readiness checks or announcements that crowd out requests.
  void ControlAddressCannotTakeTheMemoryOfCallers() {
    MemoryBudget budget({kMemoryBytes, 0});
    for (int i = 0; i < 1000; ++i) {
      const auto id = budget.Open(ListenAddress::kReadiness, kStart, [](MemoryBudget::Reason) {});
      if (id) budget.Reserve(*id, 60000, kStart);
    }
    CPPUNIT_ASSERT(budget.Reserve(Open(&budget), 3 * kLargestBody, kStart));
  }

  // Guards against silent connections that keep out new ones.
  void DescriptorsAreTakenFromTheLongestWaiting() {
    MemoryBudget budget({0, 96});
    const MemoryBudget::ConnectionId oldest = Open(&budget);
    size_t opened = 1;
    while (evicted_.empty()) {
      Open(&budget);
      CPPUNIT_ASSERT(++opened < 96);
    }
    CPPUNIT_ASSERT(evicted_[0] == MemoryBudget::Reason::kDescriptors);
    CPPUNIT_ASSERT(!budget.Reserve(oldest, 1, kStart));
    CPPUNIT_ASSERT_EQUAL(opened - 1, budget.connections(ListenAddress::kCallers));
  }

  // Guards against the loss of requests that are being executed, and of the limit.
  void BusyConnectionsKeepTheirDescriptors() {
    MemoryBudget budget({0, 96});
    size_t opened = 0;
    while (const auto id =
               budget.Open(ListenAddress::kCallers, kStart,
                           [this](MemoryBudget::Reason it) { evicted_.push_back(it); })) {
      budget.StopWaiting(*id);
      CPPUNIT_ASSERT(++opened < 96);
    }
    CPPUNIT_ASSERT(opened > 0);
    CPPUNIT_ASSERT(evicted_.empty());
  }

 private:
  MemoryBudget::ConnectionId Open(MemoryBudget* budget) {
    const auto id = budget->Open(ListenAddress::kCallers, kStart,
                                 [this](MemoryBudget::Reason it) { evicted_.push_back(it); });
    CPPUNIT_ASSERT(id.has_value());
    return *id;
  }

  std::vector<MemoryBudget::Reason> evicted_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace
}  // namespace camphorhoist
