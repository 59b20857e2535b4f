#include "camphorhoist/server_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);

PendingCall Call(uint64_t key, int objective_ms, int deadline_ms, int priority = 1) {
  PendingCall call;
  call.key = key;
  call.objective = kStart + milliseconds(objective_ms);
  call.deadline = kStart + milliseconds(deadline_ms);
  call.offered_at = kStart;
  call.profile = 1;
  call.priority = priority;
  return call;
}

class ServerQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerQueueTest);
  CPPUNIT_TEST(NeverExceedsItsSlots);
  CPPUNIT_TEST(RejectsCallsThatWouldMissTheirObjective);
  CPPUNIT_TEST(RejectsWaitsAboveTheMaximum);
  CPPUNIT_TEST(DispatchesInPriorityOrder);
  CPPUNIT_TEST(DropsLateCallsInFavourOfTimelyOnes);
  CPPUNIT_TEST(DropsCallsTooCloseToTheirDeadline);
  CPPUNIT_TEST(EstimatesServiceTimes);
  CPPUNIT_TEST(EstimatesServiceTimesFromAbortedCalls);
  CPPUNIT_TEST(DetectsASlowServerByTheAgesOfRunningCalls);
  CPPUNIT_TEST(PredictionsScaleWithTheReportedSlowdown);
  CPPUNIT_TEST(LimitsTheWaitOfNestedCalls);
  CPPUNIT_TEST(RejectsCallsWhenTheLinkIsCongested);
  CPPUNIT_TEST(LinkHasTimeForRetries);
  CPPUNIT_TEST(QueuesTimelyCallsWhenServiceTimesApproachTheObjective);
  CPPUNIT_TEST(CallsThatLostTheirObjectiveDoNotQueue);
  CPPUNIT_TEST(ComparesServiceTimesOfTheSameKindOfCalls);
  CPPUNIT_TEST(ShortCallsFreeSlotsSooner);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that queue inside the server, which resets connections when it is full.
  void NeverExceedsItsSlots() {
    ServerQueue queue(2);
    for (uint64_t key = 1; key <= 6; ++key) {
      queue.Offer(kStart, Call(key, 900, 2000), std::chrono::seconds(10));
      CPPUNIT_ASSERT(queue.running() <= 2);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, queue.queued());
    queue.OnFinish(1, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.DispatchQueued(kStart + milliseconds(50)).size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, queue.running());
    queue.set_slots(1);
    queue.OnFinish(2, milliseconds(50));
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(60)).empty());
  }

  // Guards against a queue that grows under overload until every call in it misses its objective.
  void RejectsCallsThatWouldMissTheirObjective() {
    ServerQueue queue(1);
    uint64_t key = 1;
    size_t admitted = 0;
    for (; key <= 50; ++key) {
      const auto admission = queue.Offer(kStart, Call(key, 300, 2000), std::chrono::seconds(10));
      if (admission.verdict == ServerQueue::Verdict::kWouldMissDeadline) break;
      ++admitted;
    }
    // Of sequential calls of 50 ms, six would finish within 300 ms. With the margin on the
    // prediction, four are admitted.
    const double expected_admitted = 300 / (50 * ServerQueue::kPredictionMargin);
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(expected_admitted), admitted);
  }

  // Guards against a call that is queued although its sender knows a server with a shorter queue.
  void RejectsWaitsAboveTheMaximum() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 2000), milliseconds(0));
    const auto rejected = queue.Offer(kStart, Call(2, 900, 2000), milliseconds(5));
    CPPUNIT_ASSERT(rejected.verdict == ServerQueue::Verdict::kBusy);
    CPPUNIT_ASSERT(rejected.expected_wait > milliseconds(5));
    const auto accepted = queue.Offer(kStart, Call(3, 900, 2000), milliseconds(500));
    CPPUNIT_ASSERT(accepted.verdict == ServerQueue::Verdict::kQueued);
  }

  // Guards against nested calls that wait behind new calls while their parent occupies a slot, and
  // against calls that are dispatched after calls of lower priority.
  void DispatchesInPriorityOrder() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 2000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(2, 800, 2000, 2), std::chrono::seconds(10));
    queue.Offer(kStart, Call(3, 900, 2000, 1), std::chrono::seconds(10));
    queue.Offer(kStart, Call(4, 700, 2000, 1), std::chrono::seconds(10));
    PendingCall nested = Call(5, 900, 2000, 3);
    nested.nested = true;
    queue.Offer(kStart, nested, std::chrono::seconds(10));
    std::vector<uint64_t> order;
    uint64_t running = 1;
    for (int i = 1; i <= 4; ++i) {
      queue.OnFinish(running, milliseconds(50));
      const auto dequeued = queue.DispatchQueued(kStart + milliseconds(50 * i));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
      running = dequeued[0].key;
      order.push_back(running);
    }
    CPPUNIT_ASSERT(order == std::vector<uint64_t>({5, 4, 3, 2}));
  }

  // Guards against a call that has missed its objective and waits behind new calls until its
  // deadline, and against dropping it while the queue is otherwise empty.
  void DropsLateCallsInFavourOfTimelyOnes() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 5000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(2, 200, 1000), std::chrono::seconds(10));
    // Call 2 misses its objective at 200 ms. It stays queued while it is alone.
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(250)).empty());
    for (uint64_t key = 3; key <= 12; ++key) {
      queue.Offer(kStart + milliseconds(250), Call(key, 2000, 5000), std::chrono::seconds(10));
    }
    const auto dequeued = queue.DispatchQueued(kStart + milliseconds(251));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, dequeued[0].key);
    CPPUNIT_ASSERT(!dequeued[0].start);
  }

  // Guards against starting calls whose response would come after the deadline.
  void DropsCallsTooCloseToTheirDeadline() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 5000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(2, 400, 500), std::chrono::seconds(10));
    CPPUNIT_ASSERT(queue.NextExpiry() <= kStart + milliseconds(500));
    queue.OnFinish(1, milliseconds(495));
    const auto dequeued = queue.DispatchQueued(kStart + milliseconds(495));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
    CPPUNIT_ASSERT(!dequeued[0].start);
  }

  // Guards against large responses that queue for a slow link until all of them are late.
  void RejectsCallsWhenTheLinkIsCongested() {
    ServerQueue queue(4);
    PendingCall call = Call(1, 600, 2000);
    call.delivery_time = milliseconds(80);
    call.delivery_wait = milliseconds(220);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    call = Call(2, 600, 2000);
    call.delivery_time = milliseconds(80);
    call.delivery_wait = milliseconds(500);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kWouldMissDeadline);
    // A response that exceeds its objective even on an idle link is served if the link is idle.
    call = Call(5, 600, 2000);
    call.delivery_time = milliseconds(900);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    // A call that will miss its objective anyway is served only if the wait for the link is short.
    call = Call(3, 10, 2000);
    call.delivery_wait = milliseconds(100);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    call = Call(4, 10, 2000);
    call.delivery_wait = milliseconds(500);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kWouldMissDeadline);
  }

  // Guards against new calls that fill the queue of a slow link up to their objective, so that the
  // retries of rejected calls, which have less time left, are always rejected again.
  void LinkHasTimeForRetries() {
    ServerQueue queue(4);
    PendingCall call = Call(1, 1000, 2000);
    call.objective_time = milliseconds(1000);
    call.delivery_time = milliseconds(80);
    call.delivery_wait = milliseconds(700);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kWouldMissDeadline);
    call.delivery_wait = milliseconds(550);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    PendingCall retry = Call(2, 740, 1740);
    retry.objective_time = milliseconds(1000);
    retry.delivery_time = milliseconds(80);
    retry.delivery_wait = milliseconds(550);
    CPPUNIT_ASSERT(queue.Offer(kStart, retry, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
  }

  // Guards against a server that becomes so slow that all its calls are aborted while its estimated
  // service time stays low. A call that is aborted early must not change the estimate.
  void EstimatesServiceTimesFromAbortedCalls() {
    ServerQueue queue(1);
    uint64_t key = 1;
    for (; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(20));
    }
    for (; key <= 90; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnAbort(kStart + milliseconds(5), key);
    }
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) <= milliseconds(21));
    for (; key <= 120; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnAbort(kStart + milliseconds(250), key);
    }
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) > milliseconds(200));
    CPPUNIT_ASSERT(queue.load(kStart).service_time > milliseconds(200));
  }

  // Guards against a server that has become slow and admits calls by the old estimate until the
  // first slow call finishes. A single straggler must not change the estimate.
  void DetectsASlowServerByTheAgesOfRunningCalls() {
    ServerQueue queue(4);
    uint64_t key = 1;
    for (; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(50));
    }
    const ProxyTime now = kStart + milliseconds(400);
    queue.Offer(kStart, Call(key++, 900000, 2000000), std::chrono::seconds(10));
    for (int i = 0; i < 3; ++i) {
      queue.Offer(now - milliseconds(10), Call(key++, 900000, 2000000), std::chrono::seconds(10));
    }
    CPPUNIT_ASSERT(queue.load(now).service_time <= milliseconds(51));
    CPPUNIT_ASSERT(queue.load(now + milliseconds(400)).service_time >= milliseconds(400));
    const auto admission =
        queue.Offer(now + milliseconds(400), Call(key++, 1000, 3000), std::chrono::seconds(10));
    CPPUNIT_ASSERT(admission.verdict == ServerQueue::Verdict::kWouldMissDeadline);
  }

  // Guards against calls that are admitted by the normal service time while noisy neighbours slow
  // the VM down, and against an estimate of the normal service time that includes the slowdown.
  void PredictionsScaleWithTheReportedSlowdown() {
    ServerQueue queue(1);
    queue.SetSlowdown(2.5);
    uint64_t key = 1;
    for (; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(250));
    }
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) >= milliseconds(240));
    queue.SetSlowdown(1);
    const ProxyDuration normal = queue.ExpectedServiceTime(1);
    CPPUNIT_ASSERT(normal >= milliseconds(95) && normal <= milliseconds(100));
    CPPUNIT_ASSERT(queue.load(kStart).service_time <= milliseconds(100));
    queue.SetSlowdown(0);
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) > milliseconds(0));
    queue.SetSlowdown(1e9);
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) < std::chrono::seconds(10));
  }

  // Guards against a nested call that waits at a slow server until both it and its parent time out
  // although another server has free slots.
  void LimitsTheWaitOfNestedCalls() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 2000), std::chrono::seconds(10));
    PendingCall nested = Call(2, 250, 250);
    nested.nested = true;
    CPPUNIT_ASSERT(queue.Offer(kStart, nested, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kQueued);
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(50)).empty());
    CPPUNIT_ASSERT(queue.NextExpiry() <= kStart + milliseconds(100));
    const auto dequeued = queue.DispatchQueued(kStart + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
    CPPUNIT_ASSERT(!dequeued[0].start);
  }

  // Guards against a queue that admits only calls that are late already, since the service time
  // with a margin exceeds the objective. Such a service never serves a timely call again.
  void QueuesTimelyCallsWhenServiceTimesApproachTheObjective() {
    ServerQueue queue(12);
    uint64_t key = RunCalls(&queue, 1, 60, milliseconds(400));
    for (int i = 0; i < 12; ++i) {
      queue.Offer(kStart, Call(key++, 500, 1500), std::chrono::seconds(10));
    }
    const auto admission = queue.Offer(kStart, Call(key, 500, 1500), std::chrono::seconds(10));
    CPPUNIT_ASSERT(admission.verdict == ServerQueue::Verdict::kQueued);
  }

  // Guards against calls that were refused elsewhere until they are late, and then make timely
  // calls wait. A call that is late by nature has to be served even so.
  void CallsThatLostTheirObjectiveDoNotQueue() {
    ServerQueue queue(1);
    uint64_t key = RunCalls(&queue, 1, 60, milliseconds(100));
    PendingCall lost = Call(key++, 50, 1500);
    lost.objective_time = milliseconds(500);
    CPPUNIT_ASSERT(queue.Offer(kStart, lost, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kStart);
    lost.key = key++;
    CPPUNIT_ASSERT(queue.Offer(kStart, lost, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kWouldMissDeadline);
    PendingCall slow_by_nature = Call(key++, 50, 1500);
    slow_by_nature.objective_time = milliseconds(50);
    CPPUNIT_ASSERT(queue.Offer(kStart, slow_by_nature, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kQueued);
    // A call that loses its objective in the queue leaves it as soon as a timely one waits.
    PendingCall waiting = Call(key++, 400, 1500);
    waiting.objective_time = milliseconds(400);
    CPPUNIT_ASSERT(queue.Offer(kStart, waiting, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kQueued);
    const ProxyTime later = kStart + milliseconds(310);
    queue.Offer(later, Call(key++, 2000, 3000), std::chrono::seconds(10));
    const auto dequeued = queue.DispatchQueued(later);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
    CPPUNIT_ASSERT_EQUAL(waiting.key, dequeued[0].key);
    CPPUNIT_ASSERT(!dequeued[0].start);
  }

  // Guards against comparing servers by the mean over all their calls: it is low for a server that
  // happens to run short calls, whatever its speed.
  void ComparesServiceTimesOfTheSameKindOfCalls() {
    ServerQueue slow_with_short_calls(1);
    ServerQueue fast_with_long_calls(1);
    for (uint64_t key = 1; key <= 200; ++key) {
      PendingCall call = Call(key, 900000, 2000000);
      call.typical_service_time = milliseconds(50);
      slow_with_short_calls.Offer(kStart, call, std::chrono::seconds(10));
      slow_with_short_calls.OnFinish(key, milliseconds(100));
      call.typical_service_time = milliseconds(800);
      fast_with_long_calls.Offer(kStart, call, std::chrono::seconds(10));
      fast_with_long_calls.OnFinish(key, milliseconds(400));
    }
    const ServerLoad slow = slow_with_short_calls.load(kStart);
    const ServerLoad fast = fast_with_long_calls.load(kStart);
    CPPUNIT_ASSERT(slow.service_time < fast.service_time);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, slow.relative_service_time, 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fast.relative_service_time, 0.05);
    CPPUNIT_ASSERT_EQUAL(1.0, ServerQueue::ClampRelativeServiceTime(NAN));
    CPPUNIT_ASSERT(ServerQueue::ClampRelativeServiceTime(1e9) < 100);
  }

  // Guards against a predicted wait by the mean over all calls, when the slots are held by calls
  // that end much later, or much sooner.
  void ShortCallsFreeSlotsSooner() {
    ServerQueue queue(2);
    uint64_t key = RunCalls(&queue, 1, 60, milliseconds(800));
    key = RunCalls(&queue, key, 60, milliseconds(40), 2);
    queue.Offer(kStart, Call(key++, 900000, 2000000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(key++, 900000, 2000000), std::chrono::seconds(10));
    const ProxyDuration behind_long_calls = queue.load(kStart).expected_wait;
    CPPUNIT_ASSERT(behind_long_calls > milliseconds(300));
    queue.OnFinish(key - 1, milliseconds(800));
    PendingCall short_call = Call(key++, 900000, 2000000);
    short_call.profile = 2;
    queue.Offer(kStart, short_call, std::chrono::seconds(10));
    CPPUNIT_ASSERT(queue.load(kStart).expected_wait < milliseconds(60));
  }

  // Guards against predictions that do not adapt to the service times of the server.
  void EstimatesServiceTimes() {
    ServerQueue queue(1);
    for (uint64_t key = 1; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(200));
    }
    const ProxyDuration estimate = queue.ExpectedServiceTime(1);
    CPPUNIT_ASSERT(estimate > milliseconds(190) && estimate <= milliseconds(200));
    queue.Offer(kStart, Call(100, 900, 2000), std::chrono::seconds(10));
    const auto admission = queue.Offer(kStart, Call(101, 300, 2000), std::chrono::seconds(10));
    CPPUNIT_ASSERT(admission.verdict == ServerQueue::Verdict::kWouldMissDeadline);
  }

 private:
  /// Runs `count` calls one after the other, with keys from `key` on; returns the next key.
  static uint64_t RunCalls(ServerQueue* queue, uint64_t key, int count, milliseconds service_time,
                           uint64_t profile = 1) {
    for (int i = 0; i < count; ++i, ++key) {
      PendingCall call = Call(key, 900000, 2000000);
      call.profile = profile;
      queue->Offer(kStart, call, std::chrono::seconds(10));
      queue->OnFinish(key, service_time);
    }
    return key;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerQueueTest);

}  // namespace
}  // namespace camphorhoist
