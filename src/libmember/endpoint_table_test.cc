#include "camphorhoist/endpoint_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "camphorhoist/election.h"

namespace camphorhoist {
namespace {

class EndpointTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointTableTest);
  CPPUNIT_TEST(OffersOnlyServingEndpoints);
  CPPUNIT_TEST(SortsByLocality);
  CPPUNIT_TEST(NotifiesOfChangesOnly);
  CPPUNIT_TEST(ElectionIsStableAndEven);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls to endpoints that are not ready, draining, or on a dead or departed node.
  void OffersOnlyServingEndpoints() {
    struct Case {
      EndpointState endpoint;
      bool draining;
      MemberState member;
      size_t expected;
    };
    const std::vector<Case> cases = {
        {EndpointState::kServing, false, MemberState::kAlive, 1},
        {EndpointState::kServing, false, MemberState::kSuspect, 1},
        {EndpointState::kServing, true, MemberState::kAlive, 0},
        {EndpointState::kServing, false, MemberState::kDead, 0},
        {EndpointState::kServing, false, MemberState::kLeft, 0},
        {EndpointState::kWarming, false, MemberState::kAlive, 0},
        {EndpointState::kDraining, false, MemberState::kAlive, 0},
        {EndpointState::kDown, false, MemberState::kAlive, 0},
    };
    for (const Case& it : cases) {
      EndpointTable table("dc1", "r1");
      table.Apply(Event(1, "dc1", "r1"));
      EndpointChanged event = Event(1, "dc1", "r1");
      event.state = it.member;
      event.entry.draining = it.draining;
      event.entry.endpoints[0].state = it.endpoint;
      table.Apply(event);
      CPPUNIT_ASSERT_EQUAL(it.expected, table.Find("svc")->size());
      CPPUNIT_ASSERT_EQUAL(it.expected, table.Services().size());
    }
  }

  // Guards against a preference for distant endpoints, and against endpoints of an unreachable data
  // centre.
  void SortsByLocality() {
    EndpointTable table("dc1", "r1");
    table.Apply(Event(1, "dc3", "r2"));
    table.Apply(Event(2, "dc2", "r1"));
    table.Apply(Event(3, "dc1", "r1"));
    const auto endpoints = table.Find("svc");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, endpoints->size());
    CPPUNIT_ASSERT((*endpoints)[0].tier == LocalityTier::kSameDataCentre);
    CPPUNIT_ASSERT((*endpoints)[1].tier == LocalityTier::kSameRegion);
    CPPUNIT_ASSERT((*endpoints)[2].tier == LocalityTier::kOtherRegion);
    CPPUNIT_ASSERT((*endpoints)[0].node == Id(3));
    table.Apply(DataCentreChanged{"dc2", false});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, table.Find("svc")->size());
    table.Apply(Event(4, "dc2", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, table.Find("svc")->size());
    table.Apply(DataCentreChanged{"dc2", true});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, table.Find("svc")->size());
    // A list that was returned earlier must not change.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, endpoints->size());
  }

  // Guards against missed notifications, and against balancers rebuilt after unrelated changes.
  void NotifiesOfChangesOnly() {
    EndpointTable table("dc1", "r1");
    std::vector<std::string> changed;
    table.SetListener([&](const std::string& service) { changed.push_back(service); });
    table.Apply(Event(1, "dc1", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changed.size());
    table.Apply(Event(1, "dc1", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changed.size());
    EndpointChanged other = Event(1, "dc1", "r1");
    other.entry.endpoints[0].service = "other";
    table.Apply(other);
    CPPUNIT_ASSERT((changed == std::vector<std::string>{"svc", "other", "svc"}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, table.generation());
    // A restart of the node is a change, because calls carry its incarnation.
    other.entry.incarnation = 2;
    table.Apply(other);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, changed.size());
  }

  // Guards against elections that depend on the order of the members, that change for more than the
  // removed member when one is removed, or that elect a few members for most roles.
  void ElectionIsStableAndEven() {
    std::map<MemberId, int> elections;
    for (int round = 0; round < 200; ++round) {
      std::vector<MemberId> members;
      members.reserve(20);
      for (int i = 0; i < 20; ++i) members.push_back(Id(i));
      const std::string name = "dc" + std::to_string(round);
      const auto chosen = ElectWatchers(members, name, 2);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, chosen.size());
      for (const MemberId& it : chosen) ++elections[it];
      std::reverse(members.begin(), members.end());
      CPPUNIT_ASSERT(ElectWatchers(members, name, 2) == chosen);
      members.erase(std::find(members.begin(), members.end(), chosen[0]));
      CPPUNIT_ASSERT(ElectWatchers(members, name, 2)[0] == chosen[1]);
    }
    // 400 elections over 20 members: 20 each on average, with a standard deviation of 4.2.
    for (const auto& [id, n] : elections) CPPUNIT_ASSERT(n >= 5 && n <= 40);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, elections.size());
    CPPUNIT_ASSERT(ElectWatchers({}, "dc", 2).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ElectWatchers({Id(1)}, "dc", 2).size());
    CPPUNIT_ASSERT(ElectWatchers({Id(1), Id(2)}, "dc", 0).empty());
  }

 private:
  static MemberId Id(int i) { return MemberId("10.0.0." + std::to_string(i), 7000); }

  static EndpointChanged Event(int i, const std::string& data_centre, const std::string& region) {
    EndpointChanged event;
    event.entry.address = Id(i);
    event.entry.data_centre = data_centre;
    event.entry.region = region;
    event.entry.incarnation = 1;
    event.entry.endpoints = {
        {"svc", NetAddress("10.0.0." + std::to_string(i), 8000), 6, EndpointState::kServing}};
    return event;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTableTest);

}  // namespace
}  // namespace camphorhoist
