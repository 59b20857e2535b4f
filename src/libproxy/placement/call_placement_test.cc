#include "camphorhoist/call_placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "camphorhoist/call_estimates.h"
#include "camphorhoist/failure_share.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

const ProxyTime kNow = ProxyTime() + std::chrono::hours(1);

ServerCandidates Pointers(const std::vector<ServerCandidate>& candidates) {
  ServerCandidates pointers;
  for (const ServerCandidate& it : candidates) pointers.push_back(&it);
  return pointers;
}

ServerCandidate Candidate(const std::string& node, const std::string& data_centre, uint32_t running,
                          int service_ms = 50) {
  ServerCandidate candidate;
  candidate.node = node;
  candidate.data_centre = data_centre;
  candidate.load.limit = 6;
  candidate.load.running = running;
  candidate.load.service_time = milliseconds(service_ms);
  candidate.load_time = kNow;
  return candidate;
}

class CallPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallPlacementTest);
  CPPUNIT_TEST(PrefersIdleServers);
  CPPUNIT_TEST(PrefersTheOwnZoneForLargeResponses);
  CPPUNIT_TEST(TriesAllBusyServersThenAcceptsAnyWait);
  CPPUNIT_TEST(HopelessServersAreNotOfferedTheCallAgain);
  CPPUNIT_TEST(FirstOffersLookForAFreeSlot);
  CPPUNIT_TEST(LargeRequestsAreOfferedLessOften);
  CPPUNIT_TEST(NeverRetriesAFailedServer);
  CPPUNIT_TEST(AvoidsServersWithManyFailures);
  CPPUNIT_TEST(DistributesCallsOverEqualServers);
  CPPUNIT_TEST(LargeResponsesAvoidCongestedLinks);
  CPPUNIT_TEST(ShortCallsDoNotMakeAServerLookFast);
  CPPUNIT_TEST(FailureShareFollowsOutcomesAndFades);
  CPPUNIT_TEST(EstimatesOfCallsAreMeansOfTheirProfile);
  CPPUNIT_TEST(RetryAfterDependsOnTheShortestWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that queue at one server while another one is idle.
  void PrefersIdleServers() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("full", "a", 12),
                                                     Candidate("free", "b", 0)};
    for (int i = 0; i < 50; ++i) {
      CallPlacement placement;
      const auto offer = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, offer->index);
      CPPUNIT_ASSERT(offer->max_wait < CallPlacement::kUnlimitedWait);
    }
  }

  // Guards against traffic between data centres for a negligible gain, and against calls that wait
  // in an overloaded data centre.
  void PrefersTheOwnZoneForLargeResponses() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> slower = {Candidate("near", "a", 2, 90),
                                                 Candidate("far", "b", 0, 40)};
    const std::vector<ServerCandidate> full = {Candidate("near", "a", 30, 90),
                                               Candidate("far", "b", 0, 40)};
    constexpr size_t kLargeResponseBytes = 100000;
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(size_t{0},
                           CallPlacement()
                               .NextOffer(kNow, "a", {kLargeResponseBytes}, Pointers(slower), &rng)
                               ->index);
      CPPUNIT_ASSERT_EQUAL(
          size_t{1},
          CallPlacement().NextOffer(kNow, "a", {kLargeResponseBytes}, Pointers(full), &rng)->index);
      CPPUNIT_ASSERT_EQUAL(
          size_t{1}, CallPlacement().NextOffer(kNow, "a", {1000}, Pointers(slower), &rng)->index);
    }
  }

  // Guards against an unbounded number of offers, and against refusing a call that was never
  // offered with an unlimited wait.
  void TriesAllBusyServersThenAcceptsAnyWait() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {
        Candidate("0", "a", 12), Candidate("1", "a", 12), Candidate("2", "a", 12)};
    CallPlacement placement;
    std::set<size_t> offered;
    for (int i = 0; i < 3; ++i) {
      const auto offer = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
      CPPUNIT_ASSERT(offer.has_value());
      offered.insert(offer->index);
      placement.OnBusy(candidates[offer->index].node, milliseconds(100 + 50 * i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, offered.size());
    const auto last = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
    CPPUNIT_ASSERT(last.has_value());
    CPPUNIT_ASSERT(last->max_wait == CallPlacement::kUnlimitedWait);
    placement.OnBusy(candidates[last->index].node, milliseconds(300));
    CPPUNIT_ASSERT(!placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng).has_value());
    CPPUNIT_ASSERT(placement.overloaded());
  }

  // Guards against calls that are offered again to a server which has stated that they cannot
  // complete there in time: each offer delays the refusal and loads the server's link.
  void HopelessServersAreNotOfferedTheCallAgain() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {
        Candidate("0", "a", 12), Candidate("1", "a", 12), Candidate("2", "a", 12)};
    CallPlacement placement;
    const auto first = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
    placement.OnHopeless(candidates[first->index].node, milliseconds(300));
    for (int i = 0; i < 2; ++i) {
      const auto offer = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
      CPPUNIT_ASSERT(offer.has_value());
      CPPUNIT_ASSERT(offer->index != first->index);
      placement.OnBusy(candidates[offer->index].node, milliseconds(400));
    }
    const auto last = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
    CPPUNIT_ASSERT(last.has_value());
    CPPUNIT_ASSERT(last->index != first->index);
    CPPUNIT_ASSERT(last->max_wait == CallPlacement::kUnlimitedWait);
    placement.OnHopeless(candidates[last->index].node, milliseconds(400));
    CPPUNIT_ASSERT(!placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng).has_value());
    CPPUNIT_ASSERT(placement.overloaded());
    CPPUNIT_ASSERT(placement.shortest_wait() == milliseconds(300));
  }

  // Guards against a call that queues at one server while others are idle, although their last
  // reports show full queues.
  void FirstOffersLookForAFreeSlot() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {
        Candidate("0", "a", 12), Candidate("1", "a", 24), Candidate("2", "a", 36)};
    CallEstimate call;
    call.service_time = milliseconds(200);
    CallPlacement placement;
    for (size_t i = 0; i < 2; ++i) {
      const auto offer = placement.NextOffer(kNow, "a", call, Pointers(candidates), &rng);
      CPPUNIT_ASSERT_EQUAL(i, offer->index);
      CPPUNIT_ASSERT(offer->max_wait < milliseconds(50));
      placement.OnBusy(candidates[offer->index].node, milliseconds(400));
    }
    const auto third = placement.NextOffer(kNow, "a", call, Pointers(candidates), &rng);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, third->index);
    CPPUNIT_ASSERT(third->max_wait <= milliseconds(400));
  }

  // Guards against large requests that cross the links several times to save a short wait, and
  // that go to another data centre for a small gain.
  void LargeRequestsAreOfferedLessOften() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("near", "a", 0, 90),
                                                     Candidate("far", "b", 0, 40)};
    CallEstimate call;
    call.request_bytes = 100000;
    for (int i = 0; i < 50; ++i) {
      const auto offer = CallPlacement().NextOffer(kNow, "a", call, Pointers(candidates), &rng);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, offer->index);
      CPPUNIT_ASSERT(offer->max_wait >= milliseconds(200));
    }
  }

  // Guards against sending a call again to a server that failed it.
  void NeverRetriesAFailedServer() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("x", "a", 0),
                                                     Candidate("y", "a", 0)};
    CallPlacement placement;
    const auto first = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
    placement.OnFailed(candidates[first->index].node);
    CPPUNIT_ASSERT(placement.HasAlternative(Pointers(candidates)));
    const auto second = placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng);
    CPPUNIT_ASSERT(second->index != first->index);
    placement.OnFailed(candidates[second->index].node);
    CPPUNIT_ASSERT(!placement.HasAlternative(Pointers(candidates)));
    // The servers failed the call without being overloaded, so the caller may retry at once.
    CPPUNIT_ASSERT(placement.RetryAfter(std::chrono::seconds(1)) == CallPlacement::kMinRetryAfter);
    CPPUNIT_ASSERT(CallPlacement().RetryAfter(std::chrono::seconds(1)) ==
                   CallPlacement::kNoServerRetryAfter);
    CPPUNIT_ASSERT(!placement.NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng).has_value());
    CPPUNIT_ASSERT(!placement.overloaded());
  }

  // Guards against a server that attracts calls because it fails them quickly.
  void AvoidsServersWithManyFailures() {
    std::mt19937_64 rng(1);
    std::vector<ServerCandidate> candidates = {Candidate("failing", "a", 0, 20),
                                               Candidate("sound", "b", 3, 50)};
    candidates[0].failure_share = 0.45;
    int chosen = 0;
    for (int i = 0; i < 100; ++i) {
      chosen += CallPlacement().NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng)->index == 1
                    ? 1
                    : 0;
    }
    CPPUNIT_ASSERT(chosen > 90);
  }

  // Guards against a thundering herd: all senders choose the same one of several equal servers.
  void DistributesCallsOverEqualServers() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("0", "a", 2), Candidate("1", "a", 2),
                                                     Candidate("2", "a", 2),
                                                     Candidate("3", "a", 2)};
    std::vector<int> count(4, 0);
    for (int i = 0; i < 400; ++i) {
      ++count[CallPlacement().NextOffer(kNow, "a", {1500}, Pointers(candidates), &rng)->index];
    }
    for (const int n : count) CPPUNIT_ASSERT(n > 50 && n < 150);
  }

  // Guards against large responses that wait for the link of one server while the link of another
  // one is idle.
  void LargeResponsesAvoidCongestedLinks() {
    std::mt19937_64 rng(1);
    std::vector<ServerCandidate> candidates = {Candidate("full", "a", 0),
                                               Candidate("free", "a", 2)};
    candidates[0].load.delivery_wait = milliseconds(400);
    int large_to_free = 0;
    int small_to_free = 0;
    for (int i = 0; i < 50; ++i) {
      large_to_free += static_cast<int>(
          CallPlacement().NextOffer(kNow, "a", {90000}, Pointers(candidates), &rng)->index);
      small_to_free += static_cast<int>(
          CallPlacement().NextOffer(kNow, "a", {900}, Pointers(candidates), &rng)->index);
    }
    CPPUNIT_ASSERT_EQUAL(50, large_to_free);
    CPPUNIT_ASSERT(small_to_free < 50);
  }

  // Guards against calls of all kinds that crowd on a server whose mean service time is low because
  // it runs short calls.
  void ShortCallsDoNotMakeAServerLookFast() {
    std::mt19937_64 rng(1);
    std::vector<ServerCandidate> candidates = {Candidate("short calls", "a", 40, 60),
                                               Candidate("long calls", "a", 3, 600)};
    for (const int service_ms : {50, 800}) {
      CallEstimate call;
      call.service_time = milliseconds(service_ms);
      for (int i = 0; i < 50; ++i) {
        CPPUNIT_ASSERT_EQUAL(
            size_t{1},
            CallPlacement().NextOffer(kNow, "a", call, Pointers(candidates), &rng)->index);
      }
    }
    // A server that is slow for the same kind of calls is avoided.
    candidates[1].load.relative_service_time = 10;
    CallEstimate call;
    call.service_time = milliseconds(50);
    CPPUNIT_ASSERT_EQUAL(
        size_t{0}, CallPlacement().NextOffer(kNow, "a", call, Pointers(candidates), &rng)->index);
  }

  // Guards against an average that is dominated by its first sample, and fades when it should not.
  void FailureShareFollowsOutcomesAndFades() {
    FailureShare share(0.1);
    ProxyTime now = kNow;
    for (int i = 0; i < 50; ++i) share.Record(now, i % 2 == 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, share.Get(now), 0.1);
    CPPUNIT_ASSERT(share.Get(now + FailureShare::kDecayTime) < 0.25);
    for (int i = 0; i < 50; ++i) share.Record(now, false);
    CPPUNIT_ASSERT(share.Get(now) < 0.01);
  }

  // Guards against an estimate that one unusual call determines, and against profiles that
  // accumulate.
  void EstimatesOfCallsAreMeansOfTheirProfile() {
    CallEstimates estimates;
    CPPUNIT_ASSERT(estimates.Get(1).service_time == milliseconds(0));
    estimates.Record(1, 9000, milliseconds(1000));
    for (int i = 0; i < 9; ++i) estimates.Record(1, 1000, milliseconds(100));
    CPPUNIT_ASSERT(estimates.Get(1).service_time == milliseconds(190));
    CPPUNIT_ASSERT_EQUAL(size_t{1800}, estimates.Get(1).response_bytes);
    estimates.Record(2, 10, milliseconds(0));
    CPPUNIT_ASSERT(estimates.Get(2).service_time == milliseconds(0));
    CPPUNIT_ASSERT(estimates.Get(1).service_time == milliseconds(190));
    for (uint64_t profile = 0; profile < 2 * CallEstimates::kMaxProfiles; ++profile) {
      estimates.Record(profile + 10, 10, milliseconds(1));
    }
    CPPUNIT_ASSERT(estimates.Get(1).service_time == milliseconds(0));
  }

  // Guards against callers that retry while the queues are unchanged, or after their deadline.
  void RetryAfterDependsOnTheShortestWait() {
    CallPlacement placement;
    CPPUNIT_ASSERT(placement.RetryAfter(milliseconds(3000)) == CallPlacement::kNoServerRetryAfter);
    placement.OnBusy("x", milliseconds(400));
    placement.OnBusy("y", milliseconds(300));
    CPPUNIT_ASSERT(placement.RetryAfter(milliseconds(3000)) == milliseconds(150));
    CPPUNIT_ASSERT(placement.RetryAfter(milliseconds(300)) == milliseconds(100));
    CPPUNIT_ASSERT(placement.RetryAfter(milliseconds(0)) == CallPlacement::kMinRetryAfter);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPlacementTest);

}  // namespace
}  // namespace camphorhoist
