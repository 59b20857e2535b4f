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

std::string Describe(const GateEffects& effects) {
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
  CPPUNIT_TEST(OutcomesMapToHttpStatus);
  CPPUNIT_TEST(LongWorkLeavesSlotsFree);
  CPPUNIT_TEST(QueueIsBoundedByExpectedWait);
  CPPUNIT_TEST(SlowUpstreamLowersLimit);
  CPPUNIT_TEST(SlowUnderusedUpstreamKeepsLimit);
  CPPUNIT_TEST(LimitGrowsAfterColdStart);
  CPPUNIT_TEST(FullLedgerRefusesNewCalls);
  CPPUNIT_TEST(RefusedCallStaysRefused);
  CPPUNIT_TEST(LedgerEntryFitsStatedSize);
  CPPUNIT_TEST(FailuresEjectAndReturnGradually);
  CPPUNIT_TEST(OneIncidentEjectsOnce);
  CPPUNIT_TEST(EjectionIsIgnoredAbovePanicThreshold);
  CPPUNIT_TEST(FullTierSpillsOver);
  CPPUNIT_TEST(BudgetBoundsRetries);
  CPPUNIT_TEST(RoutesAreClassified);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards the HTTP status codes and reason texts that callers rely on.
  void OutcomesMapToHttpStatus() {
    CPPUNIT_ASSERT_EQUAL(503, (CallOutcome{Outcome::kNotRun, CallReason::kDraining}).http_status());
    CPPUNIT_ASSERT_EQUAL(404, (CallOutcome{Outcome::kNotRun, CallReason::kNoRoute}).http_status());
    CPPUNIT_ASSERT_EQUAL(502, (CallOutcome{Outcome::kUnknown, CallReason::kSilent}).http_status());
    for (int i = 0; i <= static_cast<int>(CallReason::kUpstreamFailed); ++i) {
      const auto reason = static_cast<CallReason>(i);
      CPPUNIT_ASSERT(ParseCallReason(ToText(reason)) == reason);
    }
  }

  // Guards against long calls that occupy all slots and block short ones.
  void LongWorkLeavesSlotsFree() {
    GateOptions options;
    options.slots = 4;
    UpstreamGate gate(options, kStart);
    for (uint64_t n = 1; n <= 3; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("start "),
                           Describe(gate.Offer(kStart, Call(n, WorkClass::kLong))));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("queued "),
                         Describe(gate.Offer(kStart, Call(4, WorkClass::kLong))));
    CPPUNIT_ASSERT_EQUAL(std::string("start "), Describe(gate.Offer(kStart, Call(5))));
  }

  // Guards against queueing calls that cannot start within their maximum queue time.
  void QueueIsBoundedByExpectedWait() {
    GateOptions options;
    options.slots = 1;
    UpstreamGate gate(options, kStart);
    gate.Offer(kStart, Call(1));
    gate.OnFinish(kStart + milliseconds(100), CallId(1, 1), milliseconds(100), FinishKind::kOk);
    for (uint64_t n = 2; n <= 7; ++n) gate.Offer(kStart + milliseconds(100), Call(n));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, gate.queued());
    CPPUNIT_ASSERT_EQUAL(std::string("queue-full "),
                         Describe(gate.Offer(kStart + milliseconds(100), Call(8))));
    const auto expired = gate.Tick(kStart + milliseconds(601));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, expired.size());
  }

  // Guards against keeping the full load on an upstream that has slowed down.
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

  // Guards against lowering the limit because of delays that concurrency did not cause: at a load
  // of a sixth of the capacity the lower limit filled the queue, which in turn kept the limit low.
  void SlowUnderusedUpstreamKeepsLimit() {
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

  // Guards against the full load on an upstream that has just started.
  void LimitGrowsAfterColdStart() {
    GateOptions options;
    options.slots = 8;
    options.warm_up = seconds(4);
    UpstreamGate gate(options, kStart);
    CPPUNIT_ASSERT_EQUAL(2u, gate.limit(kStart));
    CPPUNIT_ASSERT_EQUAL(5u, gate.limit(kStart + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(8u, gate.limit(kStart + seconds(4)));
  }

  // Guards against removing a tombstone early, which would let a withdrawn call run (P6).
  void FullLedgerRefusesNewCalls() {
    GateOptions options;
    options.ledger_capacity = 2;
    UpstreamGate gate(options, kStart);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 1), 0).state == ResolveState::kVoided);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 2), 0).state == ResolveState::kVoided);
    CPPUNIT_ASSERT(gate.Resolve(kStart, CallId(1, 3), 0).state == ResolveState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger-full "), Describe(gate.Offer(kStart, Call(3))));
    CPPUNIT_ASSERT_EQUAL(std::string("voided "), Describe(gate.Offer(kStart, Call(1))));
    GateCall later = Call(3);
    later.deadline = kStart + seconds(70);
    const CallTime before = kStart + seconds(60) - milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger-full "), Describe(gate.Offer(before, later)));
    CPPUNIT_ASSERT_EQUAL(std::string("start "), Describe(gate.Offer(kStart + seconds(60), later)));
  }

  // Guards against running a late copy of a refused call after `not_run` was reported (P5).
  void RefusedCallStaysRefused() {
    GateOptions options;
    UpstreamGate gate(options, kStart);
    GateCall late = Call(1);
    late.deadline = kStart;
    CPPUNIT_ASSERT_EQUAL(std::string("deadline "), Describe(gate.Offer(kStart, late)));
    CPPUNIT_ASSERT_EQUAL(std::string("voided "), Describe(gate.Offer(kStart, Call(1))));
  }

  // Guards the memory per entry from which the default capacity is derived.
  void LedgerEntryFitsStatedSize() {
    constexpr size_t kEntries = 100000;
    CountingMemory memory;
    CallLedger ledger(kEntries, &memory);
    const size_t empty = memory.used;
    for (size_t n = 1; n <= kEntries; ++n) ledger.Void(CallId(1, n), kStart);
    CPPUNIT_ASSERT_EQUAL(kEntries, ledger.size());
    CPPUNIT_ASSERT_LESSEQUAL(kEntries * CallLedger::kBytesPerEntry, memory.used - empty);
  }

  // Guards against sending calls to a failing upstream, and against overloading it when its
  // ejection ends.
  void FailuresEjectAndReturnGradually() {
    Balancer balancer = MakeBalancer(3, 1);
    EjectUpstream(&balancer, 1);
    CPPUNIT_ASSERT_EQUAL(0, CountPicks(&balancer, 1, kStart));
    const int early = CountPicks(&balancer, 1, kStart + milliseconds(1500));
    const int late = CountPicks(&balancer, 1, kStart + seconds(7));
    CPPUNIT_ASSERT(early > 0);
    CPPUNIT_ASSERT(early * 3 < late);
  }

  // Guards against a long ejection after a short pause of a busy upstream: the calls in flight all
  // fail together, which must count as one incident.
  void OneIncidentEjectsOnce() {
    Balancer balancer = MakeBalancer(3, 1);
    for (int i = 0; i < 20; ++i) EjectUpstream(&balancer, 1);
    CPPUNIT_ASSERT_EQUAL(0, CountPicks(&balancer, 1, kStart));
    CPPUNIT_ASSERT(CountPicks(&balancer, 1, kStart + 2 * Balancer::kBaseEjectionTime) > 0);
  }

  // Guards against ejecting most of a tier when the cause lies at the sender.
  void EjectionIsIgnoredAbovePanicThreshold() {
    Balancer balancer = MakeBalancer(3, 1);
    EjectUpstream(&balancer, 1);
    EjectUpstream(&balancer, 2);
    CPPUNIT_ASSERT(CountPicks(&balancer, 1, kStart) > 0);
  }

  // Guards against queueing in the nearest tier while a farther one is idle.
  void FullTierSpillsOver() {
    Balancer balancer = MakeBalancer(2, 2);
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
    CPPUNIT_ASSERT(taken <= 1000 * RetryBudget::kRetryRatio + RetryBudget::kInitialTokens);
    CPPUNIT_ASSERT(taken >= 1000 * RetryBudget::kRetryRatio);
  }

  // Guards against routes with long calls or large responses that count as short work.
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

  static Balancer MakeBalancer(int count, int tiers) {
    std::vector<BalancerCandidate> candidates;
    for (int n = 1; n <= count; ++n) candidates.push_back(Candidate(n, tiers));
    Balancer balancer;
    balancer.SetCandidates(candidates);
    return balancer;
  }

  static void EjectUpstream(Balancer* balancer, int n) {
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
