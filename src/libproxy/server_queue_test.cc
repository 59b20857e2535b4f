#include "camphorhoist/server_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
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
  CPPUNIT_TEST(NeverRunsMoreThanTheSlots);
  CPPUNIT_TEST(RefusesWhatCannotMeetItsObjective);
  CPPUNIT_TEST(DeclinesALongerWaitThanAccepted);
  CPPUNIT_TEST(OrdersByRank);
  CPPUNIT_TEST(TimelyCallsDisplaceLateOnes);
  CPPUNIT_TEST(DropsWhatTheDeadlineOverran);
  CPPUNIT_TEST(LearnsServiceTimes);
  CPPUNIT_TEST(LearnsFromCallsThatAreGivenUp);
  CPPUNIT_TEST(AgesOfRunningCallsShowASlowServer);
  CPPUNIT_TEST(PredictionsFollowTheSlowdownOfTheVm);
  CPPUNIT_TEST(NestedCallDoesNotWaitUntilItsDeadline);
  CPPUNIT_TEST(RefusesWhatTheLinkCannotDeliver);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work that waits inside the server, which would reset connections when full.
  void NeverRunsMoreThanTheSlots() {
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

  // Guards against a queue that grows under overload until nothing in it is timely.
  void RefusesWhatCannotMeetItsObjective() {
    ServerQueue queue(1);
    uint64_t key = 1;
    size_t admitted = 0;
    for (; key <= 50; ++key) {
      const auto admission = queue.Offer(kStart, Call(key, 300, 2000), std::chrono::seconds(10));
      if (admission.verdict == ServerQueue::Verdict::kWouldMissDeadline) break;
      ++admitted;
    }
    // Calls of 50 ms one after the other: six would end within 300 ms, and with the margin on the
    // prediction four are certain enough.
    const double certain = 300 / (50 * ServerQueue::kPredictionMargin);
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(certain), admitted);
  }

  // Guards against a call that waits here though its sender knows a shorter queue.
  void DeclinesALongerWaitThanAccepted() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 2000), milliseconds(0));
    const auto declined = queue.Offer(kStart, Call(2, 900, 2000), milliseconds(5));
    CPPUNIT_ASSERT(declined.verdict == ServerQueue::Verdict::kBusy);
    CPPUNIT_ASSERT(declined.expected_wait > milliseconds(5));
    const auto taken = queue.Offer(kStart, Call(3, 900, 2000), milliseconds(500));
    CPPUNIT_ASSERT(taken.verdict == ServerQueue::Verdict::kQueued);
  }

  // Guards against nested calls that wait behind new work while their parent holds a slot, and
  // against an urgent class that is served after a less urgent one.
  void OrdersByRank() {
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
      const auto steps = queue.DispatchQueued(kStart + milliseconds(50 * i));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
      running = steps[0].key;
      order.push_back(running);
    }
    CPPUNIT_ASSERT(order == std::vector<uint64_t>({5, 4, 3, 2}));
  }

  // Guards against a late call that is held until its deadline behind fresh ones, and against
  // refusing it while there is room.
  void TimelyCallsDisplaceLateOnes() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 5000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(2, 200, 1000), std::chrono::seconds(10));
    // Two expire at 200 ms: alone in the queue, the call waits on.
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(250)).empty());
    for (uint64_t key = 3; key <= 12; ++key) {
      queue.Offer(kStart + milliseconds(250), Call(key, 2000, 5000), std::chrono::seconds(10));
    }
    const auto steps = queue.DispatchQueued(kStart + milliseconds(251));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, steps[0].key);
    CPPUNIT_ASSERT(!steps[0].start);
  }

  // Guards against starting work that no one can use any more.
  void DropsWhatTheDeadlineOverran() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 5000), std::chrono::seconds(10));
    queue.Offer(kStart, Call(2, 400, 500), std::chrono::seconds(10));
    CPPUNIT_ASSERT(queue.NextExpiry() <= kStart + milliseconds(500));
    queue.OnFinish(1, milliseconds(495));
    const auto steps = queue.DispatchQueued(kStart + milliseconds(495));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT(!steps[0].start);
  }

  // Guards against large responses that pile up behind a slow link until all of them are late.
  void RefusesWhatTheLinkCannotDeliver() {
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
    // A response that takes longer than its objective even alone is served while the link is free.
    call = Call(5, 600, 2000);
    call.delivery_time = milliseconds(900);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    // A call that is late anyway takes the link only while that is nearly free.
    call = Call(3, 10, 2000);
    call.delivery_wait = milliseconds(100);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kStart);
    call = Call(4, 10, 2000);
    call.delivery_wait = milliseconds(500);
    CPPUNIT_ASSERT(queue.Offer(kStart, call, milliseconds(0)).verdict ==
                   ServerQueue::Verdict::kWouldMissDeadline);
  }

  // Guards against a server that turns so slow that all callers leave, and is still taken to be as
  // fast as before. A call that is given up early says nothing.
  void LearnsFromCallsThatAreGivenUp() {
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

  // Guards against a server that has just turned slow and takes calls by its earlier times until
  // the first of the slow ones ends. One straggler says nothing.
  void AgesOfRunningCallsShowASlowServer() {
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

  // Guards against calls that are admitted by the usual speed while neighbours slow the VM down,
  // and against a usual speed that is learned from such times.
  void PredictionsFollowTheSlowdownOfTheVm() {
    ServerQueue queue(1);
    queue.SetSlowdown(2.5);
    uint64_t key = 1;
    for (; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(250));
    }
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) >= milliseconds(240));
    queue.SetSlowdown(1);
    const ProxyDuration usual = queue.ExpectedServiceTime(1);
    CPPUNIT_ASSERT(usual >= milliseconds(95) && usual <= milliseconds(100));
    CPPUNIT_ASSERT(queue.load(kStart).service_time <= milliseconds(100));
    queue.SetSlowdown(0);
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) > milliseconds(0));
    queue.SetSlowdown(1e9);
    CPPUNIT_ASSERT(queue.ExpectedServiceTime(1) < std::chrono::seconds(10));
  }

  // Guards against a nested call that waits at a slow server until its parent fails with it, though
  // another server has room.
  void NestedCallDoesNotWaitUntilItsDeadline() {
    ServerQueue queue(1);
    queue.Offer(kStart, Call(1, 900, 2000), std::chrono::seconds(10));
    PendingCall nested = Call(2, 250, 250);
    nested.nested = true;
    CPPUNIT_ASSERT(queue.Offer(kStart, nested, std::chrono::seconds(10)).verdict ==
                   ServerQueue::Verdict::kQueued);
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(50)).empty());
    CPPUNIT_ASSERT(queue.NextExpiry() <= kStart + milliseconds(100));
    const auto steps = queue.DispatchQueued(kStart + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT(!steps[0].start);
  }

  // Guards against predictions that do not follow the speed of the server.
  void LearnsServiceTimes() {
    ServerQueue queue(1);
    for (uint64_t key = 1; key <= 60; ++key) {
      queue.Offer(kStart, Call(key, 900000, 2000000), std::chrono::seconds(10));
      queue.OnFinish(key, milliseconds(200));
    }
    const ProxyDuration learned = queue.ExpectedServiceTime(1);
    CPPUNIT_ASSERT(learned > milliseconds(190) && learned <= milliseconds(200));
    queue.Offer(kStart, Call(100, 900, 2000), std::chrono::seconds(10));
    const auto admission = queue.Offer(kStart, Call(101, 300, 2000), std::chrono::seconds(10));
    CPPUNIT_ASSERT(admission.verdict == ServerQueue::Verdict::kWouldMissDeadline);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerQueueTest);

}  // namespace
}  // namespace camphorhoist
