#include "camphorhoist/call_placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

const ProxyTime kNow = ProxyTime() + std::chrono::hours(1);

ServerCandidates Pointers(const std::vector<ServerCandidate>& candidates) {
  ServerCandidates pointers;
  for (const ServerCandidate& it : candidates) pointers.push_back(&it);
  return pointers;
}

ServerCandidate Candidate(const std::string& node, const std::string& zone, uint32_t running,
                          int service_ms = 50) {
  ServerCandidate candidate;
  candidate.node = node;
  candidate.zone = zone;
  candidate.load.limit = 6;
  candidate.load.running = running;
  candidate.load.service_time = milliseconds(service_ms);
  candidate.load_time = kNow;
  return candidate;
}

class CallPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallPlacementTest);
  CPPUNIT_TEST(PrefersFreeServers);
  CPPUNIT_TEST(LargeResponsesStayInTheZone);
  CPPUNIT_TEST(GoesRoundBusyServersAndThenTakesTheBest);
  CPPUNIT_TEST(NeverReturnsToAFailedServer);
  CPPUNIT_TEST(AvoidsServersThatFail);
  CPPUNIT_TEST(EqualServersShareTheCalls);
  CPPUNIT_TEST(LargeResponsesAvoidFullLinks);
  CPPUNIT_TEST(RetryAfterFollowsTheQueue);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work that queues at one server while another one is free.
  void PrefersFreeServers() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("full", "a", 12),
                                                     Candidate("free", "b", 0)};
    for (int i = 0; i < 50; ++i) {
      CallPlacement placement;
      const auto offer = placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, offer->index);
      CPPUNIT_ASSERT(offer->max_wait < CallPlacement::kUnlimitedWait);
    }
  }

  // Guards against bytes between zones for a gain that callers do not notice, and against callers
  // who wait in a full zone.
  void LargeResponsesStayInTheZone() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> slower = {Candidate("near", "a", 2, 90),
                                                 Candidate("far", "b", 0, 40)};
    const std::vector<ServerCandidate> full = {Candidate("near", "a", 30, 90),
                                               Candidate("far", "b", 0, 40)};
    constexpr size_t kLarge = 100000;
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          size_t{0}, CallPlacement().NextOffer(kNow, "a", kLarge, Pointers(slower), &rng)->index);
      CPPUNIT_ASSERT_EQUAL(
          size_t{1}, CallPlacement().NextOffer(kNow, "a", kLarge, Pointers(full), &rng)->index);
      CPPUNIT_ASSERT_EQUAL(
          size_t{1}, CallPlacement().NextOffer(kNow, "a", 1000, Pointers(slower), &rng)->index);
    }
  }

  // Guards against offers that go round for ever, and against a refusal before every server was
  // asked with any wait.
  void GoesRoundBusyServersAndThenTakesTheBest() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {
        Candidate("0", "a", 12), Candidate("1", "a", 12), Candidate("2", "a", 12)};
    CallPlacement placement;
    std::set<size_t> asked;
    for (int i = 0; i < 3; ++i) {
      const auto offer = placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng);
      CPPUNIT_ASSERT(offer.has_value());
      asked.insert(offer->index);
      placement.OnBusy(candidates[offer->index].node, milliseconds(100 + 50 * i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, asked.size());
    const auto last = placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng);
    CPPUNIT_ASSERT(last.has_value());
    CPPUNIT_ASSERT(last->max_wait == CallPlacement::kUnlimitedWait);
    placement.OnBusy(candidates[last->index].node, milliseconds(300));
    CPPUNIT_ASSERT(!placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng).has_value());
    CPPUNIT_ASSERT(placement.overloaded());
  }

  // Guards against a second send of a call to the server that failed it.
  void NeverReturnsToAFailedServer() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("x", "a", 0),
                                                     Candidate("y", "a", 0)};
    CallPlacement placement;
    const auto first = placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng);
    placement.OnFailed(candidates[first->index].node);
    CPPUNIT_ASSERT(placement.HasAlternative(Pointers(candidates)));
    const auto second = placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng);
    CPPUNIT_ASSERT(second->index != first->index);
    placement.OnFailed(candidates[second->index].node);
    CPPUNIT_ASSERT(!placement.HasAlternative(Pointers(candidates)));
    // Servers that failed the call were not full: its caller may return at once.
    CPPUNIT_ASSERT(placement.RetryAfter(std::chrono::seconds(1)) == CallPlacement::kMinRetryAfter);
    CPPUNIT_ASSERT(CallPlacement().RetryAfter(std::chrono::seconds(1)) ==
                   CallPlacement::kNoServerRetryAfter);
    CPPUNIT_ASSERT(!placement.NextOffer(kNow, "a", 1500, Pointers(candidates), &rng).has_value());
    CPPUNIT_ASSERT(!placement.overloaded());
  }

  // Guards against a fast server that attracts calls because it fails them quickly.
  void AvoidsServersThatFail() {
    std::mt19937_64 rng(1);
    std::vector<ServerCandidate> candidates = {Candidate("failing", "a", 0, 20),
                                               Candidate("sound", "b", 3, 50)};
    candidates[0].failure_share = 0.45;
    int chosen = 0;
    for (int i = 0; i < 100; ++i) {
      chosen += CallPlacement().NextOffer(kNow, "a", 1500, Pointers(candidates), &rng)->index == 1
                    ? 1
                    : 0;
    }
    CPPUNIT_ASSERT(chosen > 90);
  }

  // Guards against a herd: all senders choosing the same of several equal servers.
  void EqualServersShareTheCalls() {
    std::mt19937_64 rng(1);
    const std::vector<ServerCandidate> candidates = {Candidate("0", "a", 2), Candidate("1", "a", 2),
                                                     Candidate("2", "a", 2),
                                                     Candidate("3", "a", 2)};
    std::vector<int> count(4, 0);
    for (int i = 0; i < 400; ++i) {
      ++count[CallPlacement().NextOffer(kNow, "a", 1500, Pointers(candidates), &rng)->index];
    }
    for (const int n : count) CPPUNIT_ASSERT(n > 50 && n < 150);
  }

  // Guards against large responses that queue for one link while the link of another server is
  // free.
  void LargeResponsesAvoidFullLinks() {
    std::mt19937_64 rng(1);
    std::vector<ServerCandidate> candidates = {Candidate("full", "a", 0),
                                               Candidate("free", "a", 2)};
    candidates[0].load.delivery_wait = milliseconds(400);
    int large_to_free = 0;
    int small_to_free = 0;
    for (int i = 0; i < 50; ++i) {
      large_to_free += static_cast<int>(
          CallPlacement().NextOffer(kNow, "a", 90000, Pointers(candidates), &rng)->index);
      small_to_free += static_cast<int>(
          CallPlacement().NextOffer(kNow, "a", 900, Pointers(candidates), &rng)->index);
    }
    CPPUNIT_ASSERT_EQUAL(50, large_to_free);
    CPPUNIT_ASSERT(small_to_free < 50);
  }

  // Guards against callers who return to the same queue at once, or after their deadline.
  void RetryAfterFollowsTheQueue() {
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
