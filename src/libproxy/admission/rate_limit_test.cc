#include "camphorhoist/rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <random>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);

class RateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTest);
  CPPUNIT_TEST(UnlimitedServerIsAlwaysPermitted);
  CPPUNIT_TEST(NeverExceedsNamedRateInAnyWindow);
  CPPUNIT_TEST(RateOfZeroStillReachesServer);
  CPPUNIT_TEST(LimitedQueueRefusesEarlyWhatDoesNotFit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnlimitedServerIsAlwaysPermitted() {
    RateLimit limit;
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(limit.HasPermit(kStart));
      limit.Take(kStart);
    }
    CPPUNIT_ASSERT(limit.Wait(kStart, 100).count() == 0);
    limit.Set(kStart, 1);
    limit.Take(kStart);
    CPPUNIT_ASSERT(!limit.HasPermit(kStart));
    limit.Set(kStart, std::nullopt);
    CPPUNIT_ASSERT(limit.HasPermit(kStart));
  }

  // Guards against a server that gets more requests than it has named, also right after it names a
  // limit and while the limit changes: in no window of 4 s more than the highest rate in force, and
  // one burst.
  void NeverExceedsNamedRateInAnyWindow() {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      std::mt19937 rng(seed);
      RateLimit limit;
      double rate = 15;
      double highest = rate;
      limit.Set(kStart, rate);
      std::deque<ProxyTime> sent;
      for (ProxyTime now = kStart; now < kStart + seconds(40);
           now += milliseconds(1 + rng() % 20)) {
        if (rng() % 200 == 0) {
          rate = 0.5 + static_cast<double>(rng() % 400) / 10;
          highest = std::max(highest, rate);
          limit.Set(now, rate);
        }
        if (!limit.HasPermit(now)) {
          CPPUNIT_ASSERT(limit.Wait(now, 0).count() > 0);
          continue;
        }
        limit.Take(now);
        sent.push_back(now);
        while (sent.front() <= now - seconds(4)) sent.pop_front();
        CPPUNIT_ASSERT(static_cast<double>(sent.size()) <=
                       highest * (4 + RateLimit::kBurstSeconds) + 1);
      }
    }
  }

  // Guards against a server that can never name a higher limit, since it gets no request.
  void RateOfZeroStillReachesServer() {
    RateLimit limit;
    limit.Set(kStart, 0);
    limit.Take(kStart);
    CPPUNIT_ASSERT(!limit.HasPermit(kStart + milliseconds(1900)));
    CPPUNIT_ASSERT(limit.HasPermit(kStart + milliseconds(2000)));
  }

  // Guards against calls that wait for a permit until their deadline although it is known on
  // arrival that they will not get one in time.
  void LimitedQueueRefusesEarlyWhatDoesNotFit() {
    ServerQueue queue(8);
    queue.SetRateLimit(kStart, 10);
    size_t started = 0;
    size_t queued = 0;
    size_t refused = 0;
    for (uint64_t key = 1; key <= 40; ++key) {
      PendingCall call;
      call.key = key;
      call.objective = kStart + milliseconds(600);
      call.deadline = kStart + milliseconds(2000);
      call.offered_at = kStart;
      const auto admission = queue.Offer(kStart, call, seconds(10));
      if (admission.verdict == ServerQueue::Verdict::kStart) ++started;
      if (admission.verdict == ServerQueue::Verdict::kQueued) ++queued;
      if (admission.verdict == ServerQueue::Verdict::kWouldMissDeadline) ++refused;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{5}, started);
    // A permit each 100 ms, and predictions are multiplied by the margin of 1.5: 0.35 s remain.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, queued);
    CPPUNIT_ASSERT_EQUAL(size_t{32}, refused);
    CPPUNIT_ASSERT(queue.load(kStart).permit_wait > milliseconds(300));
    CPPUNIT_ASSERT(queue.DispatchQueued(kStart + milliseconds(50)).empty());
    CPPUNIT_ASSERT(*queue.NextDispatch(kStart) == kStart + milliseconds(100));
    const auto dequeued = queue.DispatchQueued(kStart + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dequeued.size());
    CPPUNIT_ASSERT(dequeued[0].start);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

}  // namespace
}  // namespace camphorhoist
