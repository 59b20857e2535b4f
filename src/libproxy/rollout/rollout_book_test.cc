#include "camphorhoist/rollout_book.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);

RolloutRecord Record(int64_t revision, RolloutState state = RolloutState::kNew) {
  RolloutRecord record;
  record.order = {"s", "v2", seconds(60)};
  record.era = 1;
  record.revision = record.first_revision = revision;
  record.state = state;
  return record;
}

class RolloutBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutBookTest);
  CPPUNIT_TEST(ServiceWithoutOrderIsServedByAll);
  CPPUNIT_TEST(TrafficFollowsPhaseAndState);
  CPPUNIT_TEST(OlderNewsChangesNothing);
  CPPUNIT_TEST(DecisionOutlivesTheStatusWrittenBefore);
  CPPUNIT_TEST(ResultOutlivesARestoredStore);
  CPPUNIT_TEST(OrderGivenAgainStartsAgain);
  CPPUNIT_TEST(WithdrawnOrderEnds);
  CPPUNIT_TEST(TimeSinceTheOrderIsPassedOn);
  CPPUNIT_TEST(OneWriterAndTheNextOne);
  CPPUNIT_TEST(GatesOfManySendersKeepTheShare);
  CPPUNIT_TEST(GateFallsBackToTheSmallestShare);
  CPPUNIT_TEST(CompletionWaitsForSendersAndServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServiceWithoutOrderIsServedByAll() {
    RolloutBook book;
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kAll);
    book.Merge(kStart, Record(5));
    CPPUNIT_ASSERT(book.TrafficOf("other") == RolloutTraffic::kAll);
  }

  void TrafficFollowsPhaseAndState() {
    RolloutBook book;
    CPPUNIT_ASSERT(book.Merge(kStart, Record(5)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kSplit);
    book.SetPhase("s", RolloutPhase::kShifting);
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kTargetOnly);
    book.SetPhase("s", RolloutPhase::kStopped);
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kOthersOnly);
    // Guards against a decision of one sidecar that overrides what another one has written.
    CPPUNIT_ASSERT(book.Merge(kStart, Record(6, RolloutState::kCompleted)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kTargetPreferred);
  }

  // Guards against a state that goes back because of a sidecar that was unreachable for a while.
  void OlderNewsChangesNothing() {
    RolloutBook book;
    book.Merge(kStart, Record(9, RolloutState::kRolledBack));
    CPPUNIT_ASSERT(!book.Merge(kStart, Record(7, RolloutState::kRunning)));
    CPPUNIT_ASSERT(!book.Merge(kStart, Record(9, RolloutState::kRolledBack)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kOthersOnly);
  }

  // Guards against traffic to a bad version because `running` is read after it was found bad.
  void DecisionOutlivesTheStatusWrittenBefore() {
    RolloutBook book;
    book.Merge(kStart, Record(5));
    book.SetPhase("s", RolloutPhase::kStopped);
    CPPUNIT_ASSERT(book.Merge(kStart, Record(6, RolloutState::kRunning)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kOthersOnly);
    // A decision is also taken from a sidecar that does not know the last revision.
    RolloutBook other;
    other.Merge(kStart, Record(6, RolloutState::kRunning));
    RolloutRecord decided = Record(5);
    decided.phase = RolloutPhase::kStopped;
    RolloutRecord current = Record(6, RolloutState::kRunning);
    current.first_revision = 5;
    other.Merge(kStart, current);
    CPPUNIT_ASSERT(other.Merge(kStart, decided));
    CPPUNIT_ASSERT(other.TrafficOf("s") == RolloutTraffic::kOthersOnly);
  }

  // Guards against a roll-out that starts again because the store was restored from a copy.
  void ResultOutlivesARestoredStore() {
    RolloutBook book;
    book.Merge(kStart, Record(9, RolloutState::kCompleted));
    RolloutRecord restored = Record(5, RolloutState::kRunning);
    restored.era = 2;
    CPPUNIT_ASSERT(book.Merge(kStart, restored));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kTargetOnly);
    CPPUNIT_ASSERT(book.Find("s")->active());
  }

  void OrderGivenAgainStartsAgain() {
    RolloutBook book;
    book.Merge(kStart, Record(9, RolloutState::kRolledBack));
    CPPUNIT_ASSERT(book.Merge(kStart + seconds(90), Record(12)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kSplit);
    CPPUNIT_ASSERT(book.OrderedAt("s") == kStart + seconds(90));
    // News about the previous order.
    RolloutRecord late = Record(8, RolloutState::kRunning);
    late.phase = RolloutPhase::kStopped;
    CPPUNIT_ASSERT(!book.Merge(kStart, late));
    RolloutRecord next = Record(20);
    next.order.target_version = "v3";
    CPPUNIT_ASSERT(book.Merge(kStart, next));
    CPPUNIT_ASSERT_EQUAL(std::string("v3"), book.Find("s")->order.target_version);
  }

  void WithdrawnOrderEnds() {
    RolloutBook book;
    book.Merge(kStart, Record(5));
    CPPUNIT_ASSERT(book.MergeList(kStart, 1, 5, {}).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, book.MergeList(kStart, 1, 8, {}).size());
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kAll);
    CPPUNIT_ASSERT(!book.Merge(kStart, Record(5)));
    CPPUNIT_ASSERT(book.Merge(kStart, Record(9)));
    CPPUNIT_ASSERT(book.TrafficOf("s") == RolloutTraffic::kSplit);
  }

  // Guards against a deadline that starts again at every sidecar that learns of the order.
  void TimeSinceTheOrderIsPassedOn() {
    RolloutBook first;
    first.Merge(kStart, Record(5));
    RolloutBook second;
    second.Merge(kStart + seconds(10), Record(5));
    for (const RolloutRecord& it : first.Records(kStart + seconds(20))) {
      second.Merge(kStart + seconds(20), it);
    }
    CPPUNIT_ASSERT(second.OrderedAt("s") == kStart);
  }

  void OneWriterAndTheNextOne() {
    std::vector<std::string> nodes = {"a", "b", "c", "d", "e"};
    const auto writers = RankedNodes("s", nodes, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, writers.size());
    nodes.erase(std::find(nodes.begin(), nodes.end(), writers[0]));
    CPPUNIT_ASSERT_EQUAL(writers[1], RankedNodes("s", nodes, 1).front());
    CPPUNIT_ASSERT(RankedNodes("s", {}, 2).empty());
    std::set<std::string> all;
    for (int i = 0; i < 50; ++i) all.insert(RankedNodes("s" + std::to_string(i), nodes, 1)[0]);
    CPPUNIT_ASSERT_EQUAL(nodes.size(), all.size());
  }

  // Guards against senders with few requests that all send their first one to the target version.
  void GatesOfManySendersKeepTheShare() {
    constexpr int kSenders = 200;
    constexpr int kRequests = 5;
    RolloutDecision decision;
    decision.share = 0.02;
    int sent = 0;
    for (int i = 0; i < kSenders; ++i) {
      RolloutGate gate(static_cast<double>(i) / kSenders);
      gate.Set(decision, kStart + seconds(1));
      for (int j = 0; j < kRequests; ++j) sent += gate.Next(kStart) ? 1 : 0;
    }
    CPPUNIT_ASSERT(sent >= kSenders * kRequests * 0.02 - 1);
    CPPUNIT_ASSERT(sent <= kSenders * kRequests * 0.02 + 1);
  }

  // Guards against a sender that keeps a large share after it has lost the writer.
  void GateFallsBackToTheSmallestShare() {
    RolloutGate gate(0);
    CPPUNIT_ASSERT_EQUAL(RolloutPolicy::kSmallestShare, gate.share(kStart));
    RolloutDecision decision;
    decision.share = 0.5;
    decision.servers = 4;
    gate.Set(decision, kStart + seconds(2));
    CPPUNIT_ASSERT_EQUAL(0.5, gate.share(kStart + milliseconds(1999)));
    CPPUNIT_ASSERT_EQUAL(RolloutPolicy::kSmallestShare, gate.share(kStart + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(RolloutPolicy::kMinServers, gate.servers(kStart + seconds(2)));
  }

  // Guards against servers that are stopped while requests are sent to them or running there.
  void CompletionWaitsForSendersAndServers() {
    RolloutShift shift;
    shift.OnTold("a");
    CPPUNIT_ASSERT(!shift.MayComplete(kStart, {"a", "b"}, {"b"}));
    shift.OnActive(kStart, "b", 0);
    shift.OnTold("b");
    const ProxyTime told = kStart + seconds(1);
    CPPUNIT_ASSERT(!shift.MayComplete(told, {"a", "b"}, {"b"}));
    shift.OnActive(told + milliseconds(500), "b", 2);
    CPPUNIT_ASSERT(!shift.MayComplete(told + milliseconds(500), {"a", "b"}, {"b"}));
    shift.OnActive(told + seconds(1), "b", 0);
    CPPUNIT_ASSERT(shift.MayComplete(told + seconds(1), {"a", "b"}, {"b"}));
    // A sidecar that has just become reachable.
    CPPUNIT_ASSERT(!shift.MayComplete(told + seconds(1), {"a", "b", "c"}, {"b"}));
    shift.OnTold("c");
    shift.OnActive(told + seconds(1), "b", 1);
    CPPUNIT_ASSERT(shift.MayComplete(told + RolloutShift::kMaxDrainTime, {"a", "b", "c"}, {"b"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutBookTest);

}  // namespace
}  // namespace camphorhoist
