#include <cppunit/extensions/HelperMacros.h>

#include <memory_resource>

#include "camphorhoist/balancer.h"
#include "camphorhoist/call_budget.h"
#include "camphorhoist/outcome.h"
#include "camphorhoist/upstream_gate.h"
#include "camphorhoist/work_classifier.h"

namespace camphorhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const CallTime kStart{std::chrono::hours(1)};

class CountingMemory : public std::pmr::memory_resource {
 public:
  size_t used = 0;

 private:
  void* do_allocate(size_t bytes, size_t alignment) override {
    used += bytes;
    return std::pmr::new_delete_resource()->allocate(bytes, alignment);
  }
  void do_deallocate(void* p, size_t bytes, size_t alignment) override {
    used -= bytes;
    std::pmr::new_delete_resource()->deallocate(p, bytes, alignment);
  }
  bool do_is_equal(const memory_resource& other) const noexcept override { return this == &other; }
};

GateCall Call(uint64_t n, WorkClass work_class = WorkClass::kShort) {
  GateCall call;
  call.id = CallId(1, n);
  call.deadline = kStart + seconds(2);
  call.work_class = work_class;
  return call;
}

std::string Shape(const GateEffects& effects) {
  std::string text;
  for (const GateEffect& it : effects) {
    if (std::holds_alternative<StartCall>(it)) text += "start ";
    if (std::holds_alternative<Queued>(it)) text += "queued ";
    if (std::holds_alternative<CancelRunning>(it)) text += "cancel ";
    if (const auto* refuse = std::get_if<Refuse>(&it)) {
      text += std::string(ToText(refuse->reason)) + " ";
    }
  }
  return text;
}

class GateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GateTest);
  CPPUNIT_TEST(OutcomesMapToHttp);
  CPPUNIT_TEST(LongWorkLeavesSlotsFree);
  CPPUNIT_TEST(QueueIsBoundedByExpectedWait);
  CPPUNIT_TEST(SlowUpstreamLowersLimit);
  CPPUNIT_TEST(SlowIdleUpstreamKeepsLimit);
  CPPUNIT_TEST(ColdStartWarmsUp);
  CPPUNIT_TEST(FullLedgerRefusesAndForgetsNothing);
  CPPUNIT_TEST(RefusedCallStaysRefused);
  CPPUNIT_TEST(LedgerEntryHasStatedSize);
  CPPUNIT_TEST(FailuresEjectAndReturnGradually);
  CPPUNIT_TEST(OneIncidentEjectsOnce);
  CPPUNIT_TEST(PanicIgnoresEjection);
  CPPUNIT_TEST(FullTierSpillsOver);
  CPPUNIT_TEST(BudgetBoundsRetries);
  CPPUNIT_TEST(RoutesAreClassified);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards the contract with callers of section 6.
  void OutcomesMapToHttp() {
    CPPUNIT_ASSERT_EQUAL(503, (CallOutcome{Outcome::kNotRun, CallReason::kDraining}).http_status());
    CPPUNIT_ASSERT_EQUAL(404, (CallOutcome{Outcome::kNotRun, CallReason::kNoRoute}).http_status());
    CPPUNIT_ASSERT_EQUAL(502, (CallOutcome{Outcome::kUnknown, CallReason::kSilent}).http_status());
    for (int i = 0; i <= static_cast<int>(CallReason::kUpstreamFailed); ++i) {
      const auto reason = static_cast<CallReason>(i);
      CPPUNIT_ASSERT(ParseCallReason(ToText(reason)) == reason);
    }
  }

  // Guards against long work in all slots, which blocks short work.
  void LongWorkLeavesSlotsFree() {
    GateOptions options;
    options.slots = 4;
    UpstreamGate gate(options, kStart);
    for (uint64_t n = 1; n <= 3; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("start "),
                           Shape(gate.Offer(kStart, Call(n, WorkClass::kLong))));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("queued "),
                         Shape(gate.Offer(kStart, Call(4, WorkClass::kLong))));
    CPPUNIT_ASSERT_EQUAL(std::string("start "), Shape(gate.Offer(kStart, Call(5))));
  }

  // Guards against calls that wait for a place they cannot get in time.
  void QueueIsBoundedByExpectedWait() {
    GateOptions options;
    options.slots = 1;
    UpstreamGate gate(options, kStart);
    gate.Offer(kStart, Call(1));
    gate.OnFinish(kStart + milliseconds(100), CallId(1, 1), milliseconds(100), FinishKind::kOk);
    for (uint64_t n = 2; n <= 7; ++n) gate.Offer(kStart + milliseconds(100), Call(n));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, gate.queued());
    CPPUNIT_ASSERT_EQUAL(std::string("queue-full "),
                         Shape(gate.Offer(kStart + milliseconds(100), Call(8))));
    const auto expired = gate.Tick(kStart + milliseconds(601));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, expired.size());
  }

  // Guards against pushing more work at an upstream that has slowed down.
  void SlowUpstreamLowersLimit() {
    ConcurrencyLimit limit(8);
    CallTime now = kStart;
    for (int i = 0; i < 500; ++i) {
      limit.OnFinish(now += milliseconds(2), WorkClass::kShort, milliseconds(5), false);
    }
    CPPUNIT_ASSERT_EQUAL(8u, limit.limit());
    for (int i = 0; i < 500; ++i) {
      limit.OnFinish(now += milliseconds(2), WorkClass::kShort, milliseconds(50), false);
    }
    CPPUNIT_ASSERT_EQUAL(4u, limit.limit());
  }

  // Guards against halving the capacity because of delays that the calls did not cause: at a sixth
  // of the capacity the lower limit filled the queue, which kept the limit low.
  void SlowIdleUpstreamKeepsLimit() {
    ConcurrencyLimit limit(12);
    CallTime now = kStart;
    for (const int service_ms : {1, 3}) {
      for (int i = 0; i < 4000; ++i) {
        limit.OnFinish(now += microseconds(500), WorkClass::kShort, milliseconds(service_ms),
                       false);
        CPPUNIT_ASSERT_EQUAL(12u, limit.limit());
      }
    }
  }

  // Guards against a full load on an upstream that has just started.
  void ColdStartWarmsUp() {
    GateOptions options;
    options.slots = 8;
    options.warm_up = seconds(4);
    UpstreamGate gate(options, kStart);
    CPPUNIT_ASSERT_EQUAL(2u, gate.limit(kStart));
    CPPUNIT_ASSERT_EQUAL(5u, gate.limit(kStart + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(8u, gate.limit(kStart + seconds(4)));
  }

  // Guards P6: a tombstone that is forgotten early lets a withdrawn call run.
  void FullLedgerRefusesAndForgetsNothing() {
    GateOptions options;
    options.ledger_capacity = 2;
    UpstreamGate gate(options, kStart);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 1), 0).state == ResolveState::kVoided);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 2), 0).state == ResolveState::kVoided);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 3), 0).state == ResolveState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger-full "), Shape(gate.Offer(kStart, Call(3))));
    CPPUNIT_ASSERT_EQUAL(std::string("voided "), Shape(gate.Offer(kStart, Call(1))));
    GateCall later = Call(3);
    later.deadline = kStart + seconds(70);
    const CallTime before = kStart + seconds(60) - milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger-full "), Shape(gate.Offer(before, later)));
    CPPUNIT_ASSERT_EQUAL(std::string("start "), Shape(gate.Offer(kStart + seconds(60), later)));
  }

  // Guards P5: a late copy of a refused call must not run after the caller was told `not_run`.
  void RefusedCallStaysRefused() {
    GateOptions options;
    UpstreamGate gate(options, kStart);
    GateCall late = Call(1);
    late.deadline = kStart;
    CPPUNIT_ASSERT_EQUAL(std::string("deadline "), Shape(gate.Offer(kStart, late)));
    CPPUNIT_ASSERT_EQUAL(std::string("voided "), Shape(gate.Offer(kStart, Call(1))));
  }

  // Guards the memory figure that the capacity is derived from.
  void LedgerEntryHasStatedSize() {
    constexpr size_t kEntries = 100000;
    CountingMemory memory;
    CallLedger ledger(kEntries, &memory);
    const size_t empty = memory.used;
    for (size_t n = 1; n <= kEntries; ++n) ledger.Void(CallId(1, n), kStart);
    CPPUNIT_ASSERT_EQUAL(kEntries, ledger.size());
    CPPUNIT_ASSERT_LESSEQUAL(kEntries * CallLedger::kBytesPerEntry, memory.used - empty);
  }

  // Guards against sending on to a broken upstream, and against flooding it when it returns.
  void FailuresEjectAndReturnGradually() {
    Balancer balancer = Of(3, 1);
    Fail(&balancer, 1);
    CPPUNIT_ASSERT_EQUAL(0, CountPicks(&balancer, 1, kStart));
    const int early = CountPicks(&balancer, 1, kStart + milliseconds(1500));
    const int late = CountPicks(&balancer, 1, kStart + seconds(7));
    CPPUNIT_ASSERT(early > 0);
    CPPUNIT_ASSERT(early * 3 < late);
  }

  // Guards against a long ejection after a short pause of a busy upstream: all calls that were in
  // flight fail together, which is one incident and not many.
  void OneIncidentEjectsOnce() {
    Balancer balancer = Of(3, 1);
    for (int i = 0; i < 20; ++i) Fail(&balancer, 1);
    CPPUNIT_ASSERT_EQUAL(0, CountPicks(&balancer, 1, kStart));
    CPPUNIT_ASSERT(CountPicks(&balancer, 1, kStart + 2 * Balancer::kEjectBase) > 0);
  }

  // Guards against emptying a tier when the cause lies with the sender.
  void PanicIgnoresEjection() {
    Balancer balancer = Of(3, 1);
    Fail(&balancer, 1);
    Fail(&balancer, 2);
    CPPUNIT_ASSERT(CountPicks(&balancer, 1, kStart) > 0);
  }

  // Guards against queues in the near tier while the far one is idle.
  void FullTierSpillsOver() {
    Balancer balancer = Of(2, 2);
    CPPUNIT_ASSERT_EQUAL(0, CountPicks(&balancer, 2, kStart));
    for (int i = 0; i < 30; ++i) balancer.OnSent(Candidate(1, 2).endpoint, kStart);
    CPPUNIT_ASSERT(CountPicks(&balancer, 2, kStart) > 0);
  }

  // Guards against retries that multiply the load.
  void BudgetBoundsRetries() {
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnSuccess();
      if (budget.TryTake()) ++taken;
    }
    CPPUNIT_ASSERT(taken <= 1000 * RetryBudget::kRetryShare + RetryBudget::kInitialTokens);
    CPPUNIT_ASSERT(taken >= 1000 * RetryBudget::kRetryShare);
  }

  // Guards against long routes in the queue of short work.
  void RoutesAreClassified() {
    WorkClassifier classifier;
    for (int i = 0; i < 200; ++i) {
      classifier.OnFinished("lookup", milliseconds(5), 1000);
      if (i % 50 == 0) classifier.OnFinished("report", milliseconds(250), 1000);
      if (i % 50 == 0) classifier.OnFinished("drawing", milliseconds(5), 1 << 20);
    }
    CPPUNIT_ASSERT(classifier.Classify("lookup") == WorkClass::kShort);
    CPPUNIT_ASSERT(classifier.Classify("report") == WorkClass::kLong);
    CPPUNIT_ASSERT(classifier.Classify("drawing") == WorkClass::kLong);
  }

 private:
  static BalancerCandidate Candidate(int n, int tiers) {
    BalancerCandidate it;
    const std::string ip = "10.0.0." + std::to_string(n);
    it.endpoint = {"service", NetAddress(ip, 80), NetAddress(ip, 7000), 1};
    it.slots = 10;
    const bool near = tiers == 1 || n == 1;
    it.tier = near ? LocalityTier::kSameDataCentre : LocalityTier::kOtherRegion;
    return it;
  }

  static Balancer Of(int count, int tiers) {
    std::vector<BalancerCandidate> candidates;
    for (int n = 1; n <= count; ++n) candidates.push_back(Candidate(n, tiers));
    Balancer balancer;
    balancer.SetCandidates(candidates);
    return balancer;
  }

  static void Fail(Balancer* balancer, int n) {
    const CallEndpoint endpoint = Candidate(n, 1).endpoint;
    for (int i = 0; i < Balancer::kEjectFailures; ++i) {
      balancer->OnSent(endpoint, kStart);
      balancer->OnResult(endpoint, kStart,
                         {AttemptEnd::kFailed, milliseconds(1), WorkClass::kShort, {}});
    }
  }

  static int CountPicks(Balancer* balancer, int n, CallTime now) {
    std::mt19937_64 rng(1);
    const CallEndpoint wanted = Candidate(n, 1).endpoint;
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      if (balancer->Pick("service", now, rng, {}) == wanted) ++count;
    }
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateTest);

}  // namespace
}  // namespace camphorhoist
