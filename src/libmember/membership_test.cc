#include "camphorhoist/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/error.h"
#include "libmember/mesh_fake.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of endpoints of `removed` that the tables of the other running members still list.
/// `departed` is not counted: it has left the mesh and receives no more updates.
size_t CountListedEndpoints(MeshFake* mesh, const MemberId& removed,
                            const MemberId& departed = {}) {
  size_t n = 0;
  for (auto& [id, node] : mesh->nodes()) {
    if (id == removed || id == departed || !mesh->Running(id)) continue;
    for (const std::string& service : node.table->Services()) {
      for (const EndpointRef& it : *node.table->Find(service)) n += it.node == removed ? 1 : 0;
    }
  }
  return n;
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(JoinDiscoversAllMembers);
  CPPUNIT_TEST(DataCentresDiscoverEachOtherThroughOneSeed);
  CPPUNIT_TEST(CrashIsDetected);
  CPPUNIT_TEST(DrainingEndpointIsRemovedWithinThreeSeconds);
  CPPUNIT_TEST(PausedMemberSuspectsNobody);
  CPPUNIT_TEST(PausedMemberNeedsAnsweredProbes);
  CPPUNIT_TEST(PausedDataCentreDeclaresNobodyDead);
  CPPUNIT_TEST(RackAndDataCentreFailure);
  CPPUNIT_TEST(PartitionedMembersRejoin);
  CPPUNIT_TEST(PartitionedMembersRejoinWithoutSeeds);
  CPPUNIT_TEST(MassRestartReplacesIncarnations);
  CPPUNIT_TEST(LateUpdatesDoNotOverwriteNewerOnes);
  CPPUNIT_TEST(StaleUpdateDoesNotReviveExpiredMember);
  CPPUNIT_TEST(RaisesIncarnationAboveReports);
  CPPUNIT_TEST(DropsMessagesOfOtherMeshOrSender);
  CPPUNIT_TEST(DigestsRepairLostUpdates);
  CPPUNIT_TEST(VersionsReachOtherDataCentres);
  CPPUNIT_TEST(OwnEntrySizeIsBounded);
  CPPUNIT_TEST(KeysOfUnknownMembersAreIgnored);
  CPPUNIT_TEST(SurvivesMessagesWithArbitraryFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a join after which some members stay unknown, within and across data centres.
  void JoinDiscoversAllMembers() {
    for (double loss : {0.0, 0.2}) {
      MeshFake mesh(1);
      mesh.loss = loss;
      mesh.AddMany(3, 16);
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(48); }, seconds(60)));
      for (auto& [id, node] : mesh.nodes()) {
        CPPUNIT_ASSERT(node.membership->joined());
        CPPUNIT_ASSERT_EQUAL(size_t{12}, node.table->Find("svc0")->size());
      }
    }
  }

  // Guards against data centres that joined through different members and never discover each
  // other.
  void DataCentresDiscoverEachOtherThroughOneSeed() {
    constexpr int kDataCentres = 7;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      MeshFake mesh(seed);
      std::vector<MemberId> previous;
      for (int i = 0; i < 2; ++i) {
        for (int d = 0; d < kDataCentres; ++d) {
          mesh.AddWithSeeds(d, i, previous);
          previous = {MeshFake::Id(d, i)};
        }
      }
      CPPUNIT_ASSERT(
          mesh.RunUntil([&] { return mesh.AllSee(size_t{2} * kDataCentres); }, seconds(60)));
    }
  }

  // Guards against a crashed member whose endpoints stay in the endpoint tables.
  void CrashIsDetected() {
    MeshFake mesh(2);
    mesh.AddMany(1, 32);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(32); }, seconds(60)));
    mesh.Crash(MeshFake::Id(0, 7));
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(31); }, seconds(20)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountListedEndpoints(&mesh, MeshFake::Id(0, 7)));
  }

  // Guards against new calls to an upstream that is draining or whose node has left (P7).
  void DrainingEndpointIsRemovedWithinThreeSeconds() {
    for (double loss : {0.0, 0.2}) {
      MeshFake mesh(3);
      mesh.loss = loss;
      mesh.AddMany(3, 24);
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(72); }, seconds(60)));
      const MemberId drained = MeshFake::Id(0, 5);
      const MemberId left = MeshFake::Id(1, 6);
      mesh.node(drained).self.endpoints[0].state = EndpointState::kDraining;
      mesh.Update(drained);
      mesh.Leave(left);
      mesh.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, CountListedEndpoints(&mesh, drained, left));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, CountListedEndpoints(&mesh, left));
    }
  }

  // Guards against a member that suspects the others after a pause of its own process.
  void PausedMemberSuspectsNobody() {
    MeshFake mesh(4);
    mesh.AddMany(1, 24);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(60)));
    const MemberId paused = MeshFake::Id(0, 9);
    mesh.Pause(paused);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(23); }, seconds(30)));
    // Every message that it sends after the pause must carry a raised incarnation.
    const uint64_t incarnation = mesh.node(paused).membership->self().incarnation;
    size_t sent = 0;
    mesh.observer = [&](const MemberId& id, const MemberEffect& effect) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (id != paused || send == nullptr) return;
      ++sent;
      CPPUNIT_ASSERT(send->message.sender_incarnation > incarnation);
      for (const MemberUpdate& it : send->message.updates) {
        CPPUNIT_ASSERT(it.entry.address == paused || it.state == MemberState::kAlive);
      }
    };
    mesh.Resume(paused);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(10)));
    mesh.Run(seconds(20));
    CPPUNIT_ASSERT(sent > 20);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mesh.node(paused).membership->counters().suspicions_raised);
    CPPUNIT_ASSERT(mesh.AllSee(24));
  }

  // Guards against failure reports after a pause that stem from probes or suspicions pending before
  // it, or that come before any probe of this member was acknowledged.
  void PausedMemberNeedsAnsweredProbes() {
    std::mt19937_64 rng(17);
    Membership membership = MakeMembership();
    MemberTime now = start_;
    membership.Tick(now, rng);
    MemberMessage message = MessageFrom(2);
    message.updates = {Update(1, 7, 1, MemberState::kAlive), Update(2, 7, 1, MemberState::kAlive),
                       Update(3, 7, 1, MemberState::kAlive)};
    membership.OnMessage(now, rng, message.sender, message);
    // Messages of a peer arrive on each tick, so that the member does not consider itself isolated.
    const auto run = [&](int ticks, bool answer) {
      for (int i = 0; i < ticks; ++i) {
        now += milliseconds(100);
        const auto effects = membership.Tick(now, rng);
        for (const MemberEffect& it : effects) {
          const auto* send = std::get_if<SendMessage>(&it);
          if (!answer || send == nullptr || send->message.kind != MessageKind::kPing) continue;
          MemberMessage ack = MessageFrom(1);
          ack.sender = send->to;
          ack.kind = MessageKind::kAck;
          ack.probe = send->message.probe;
          membership.OnMessage(now, rng, ack.sender, ack);
        }
        const MemberMessage observed = MessageFrom(2);
        membership.OnMessage(now, rng, observed.sender, observed);
      }
    };
    // Long enough for unanswered probes to raise a suspicion, too short to declare a member dead.
    run(40, false);
    const uint64_t suspicions = membership.counters().suspicions_raised;
    CPPUNIT_ASSERT(suspicions > 0);
    now += seconds(10);
    run(300, false);
    CPPUNIT_ASSERT_EQUAL(suspicions, membership.counters().suspicions_raised);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, membership.counters().deaths_declared);
    run(40, true);
    run(100, false);
    CPPUNIT_ASSERT(membership.counters().deaths_declared > 0);
  }

  // Guards against members that declare each other dead when a whole data centre resumes at once.
  void PausedDataCentreDeclaresNobodyDead() {
    MeshFake mesh(5);
    mesh.AddMany(2, 12);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(60)));
    for (int i = 0; i < 12; ++i) mesh.Pause(MeshFake::Id(0, i));
    mesh.Run(seconds(40));
    for (int i = 0; i < 12; ++i) mesh.Resume(MeshFake::Id(0, i));
    mesh.Run(seconds(20));
    CPPUNIT_ASSERT(mesh.AllSee(24));
    for (auto& [id, node] : mesh.nodes()) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, node.membership->counters().deaths_declared);
    }
  }

  // Guards against members of an unreachable data centre that are declared dead one by one, and
  // against unreachable endpoints that stay in the endpoint tables.
  void RackAndDataCentreFailure() {
    MeshFake mesh(6);
    mesh.AddMany(3, 16);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(48); }, seconds(60)));
    for (int i = 0; i < 8; ++i) mesh.Crash(MeshFake::Id(0, i));
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(40); }, seconds(40)));
    for (int i = 0; i < 16; ++i) mesh.Crash(MeshFake::Id(1, i));
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(30)));
    for (auto& [id, node] : mesh.nodes()) {
      if (!mesh.Running(id)) continue;
      CPPUNIT_ASSERT(!node.membership->Reachable("dc1"));
      const auto known = node.membership->Find(MeshFake::Id(1, 4));
      CPPUNIT_ASSERT(known && IsLive(known->state) && !known->reachable);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, CountListedEndpoints(&mesh, MeshFake::Id(1, 4)));
    }
    // The data centre returns with new processes, of which only the seeds are known elsewhere.
    for (int i = 0; i < 16; ++i) mesh.Add(1, i, 3, 9000);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(40); }, seconds(60)));
    CPPUNIT_ASSERT_EQUAL(size_t{39}, CountListedEndpoints(&mesh, MeshFake::Id(1, 4)));
  }

  // Guards against the parts of a partitioned data centre that never merge again, also after the
  // dead entries have expired.
  void PartitionedMembersRejoin() {
    for (int split : {30, 150}) {
      MeshFake mesh(7);
      mesh.AddMany(1, 12);
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(12); }, seconds(60)));
      const std::set<MemberId> minority = {MeshFake::Id(0, 8), MeshFake::Id(0, 9)};
      mesh.link_blocked = [&](const MemberId& a, const MemberId& b) {
        return minority.count(a) != minority.count(b);
      };
      mesh.Run(seconds(split));
      for (auto& [id, node] : mesh.nodes()) {
        const size_t expected = minority.count(id) > 0 ? 2 : 10;
        if (split > 100) CPPUNIT_ASSERT_EQUAL(expected, node.membership->LiveCount());
      }
      mesh.link_blocked = nullptr;
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(12); }, seconds(60)));
    }
  }

  // Guards against parts of a partition that merge through seeds only: the seeds crash on the
  // larger side, and the entries of the unreachable members expire, so that only tombstones are
  // left.
  void PartitionedMembersRejoinWithoutSeeds() {
    MeshFake mesh(18);
    mesh.AddMany(1, 10);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(10); }, seconds(60)));
    const std::set<MemberId> minority = {MeshFake::Id(0, 8), MeshFake::Id(0, 9)};
    mesh.link_blocked = [&](const MemberId& a, const MemberId& b) {
      return minority.count(a) != minority.count(b);
    };
    for (int i = 0; i < 3; ++i) mesh.Crash(MeshFake::Id(0, i));
    mesh.Run(seconds(150));
    CPPUNIT_ASSERT(!mesh.node(MeshFake::Id(0, 5)).membership->Find(MeshFake::Id(0, 8)));
    CPPUNIT_ASSERT(!mesh.node(MeshFake::Id(0, 8)).membership->Find(MeshFake::Id(0, 5)));
    mesh.link_blocked = nullptr;
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(7); }, seconds(60)));
  }

  // Guards against old incarnations that remain after most members have restarted.
  void MassRestartReplacesIncarnations() {
    MeshFake mesh(8);
    mesh.AddMany(2, 40);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(80); }, seconds(60)));
    for (int i = 0; i < 36; ++i) mesh.Crash(MeshFake::Id(0, i));
    mesh.Run(seconds(4));
    for (int i = 0; i < 36; ++i) mesh.Add(0, i, 2, 5000);
    const auto renewed = [&] {
      for (auto& [id, node] : mesh.nodes()) {
        for (int i = 0; i < 36; ++i) {
          const auto view = node.membership->Find(MeshFake::Id(0, i));
          if (!view || view->entry.incarnation < 5000 || !IsLive(view->state)) return false;
        }
      }
      return mesh.AllSee(80);
    };
    CPPUNIT_ASSERT(mesh.RunUntil(renewed, seconds(60)));
  }

  // Guards against an old update that overwrites a newer one when it arrives last (F3): any order
  // of the updates about one member must end in the newest state.
  void LateUpdatesDoNotOverwriteNewerOnes() {
    std::vector<MemberUpdate> history;
    const auto add = [&](uint64_t incarnation, uint64_t sequence, MemberState state) {
      history.push_back(Update(1, incarnation, sequence, state));
    };
    add(10, 1, MemberState::kAlive);
    add(10, 2, MemberState::kAlive);
    add(10, 2, MemberState::kSuspect);
    add(10, 2, MemberState::kDead);
    add(11, 1, MemberState::kAlive);
    add(11, 4, MemberState::kAlive);
    std::mt19937_64 rng(9);
    for (int round = 0; round < 200; ++round) {
      auto order = history;
      for (size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[rng() % i]);
      Membership membership = MakeMembership();
      membership.Tick(start_, rng);
      for (const MemberUpdate& it : order) {
        MemberMessage message = MessageFrom(2);
        message.updates = {it};
        membership.OnMessage(start_, rng, message.sender, message);
      }
      const auto view = membership.Find(MeshFake::Id(0, 1));
      CPPUNIT_ASSERT(view && view->state == MemberState::kAlive);
      CPPUNIT_ASSERT_EQUAL(uint64_t{11}, view->entry.incarnation);
      CPPUNIT_ASSERT_EQUAL(uint64_t{4}, view->entry.sequence);
      CPPUNIT_ASSERT_EQUAL(uint32_t{4}, view->entry.endpoints[0].slots);
    }
  }

  // Guards against a delayed update that revives a member after its entry has expired.
  void StaleUpdateDoesNotReviveExpiredMember() {
    std::mt19937_64 rng(10);
    Membership membership = MakeMembership();
    MemberTime now = start_;
    membership.Tick(now, rng);
    const auto learn = [&](const MemberUpdate& update) {
      MemberMessage message = MessageFrom(2);
      message.updates = {update};
      membership.OnMessage(now, rng, message.sender, message);
    };
    learn(Update(1, 10, 1, MemberState::kAlive));
    learn(Update(1, 10, 1, MemberState::kDead));
    for (int i = 0; i < 900; ++i) membership.Tick(now += milliseconds(100), rng);
    CPPUNIT_ASSERT(!membership.Find(MeshFake::Id(0, 1)));
    learn(Update(1, 10, 7, MemberState::kAlive));
    CPPUNIT_ASSERT(!membership.Find(MeshFake::Id(0, 1)));
    learn(Update(1, 11, 1, MemberState::kAlive));
    CPPUNIT_ASSERT(membership.Find(MeshFake::Id(0, 1)).has_value());
  }

  // Guards against a restarted process whose clock is behind, so that others ignore its entry.
  void RaisesIncarnationAboveReports() {
    struct Case {
      uint64_t reported;
      MemberState state;
      uint64_t sequence;
      uint64_t expected;
    };
    const std::vector<Case> cases = {
        {4, MemberState::kDead, 1, 5},      {5, MemberState::kSuspect, 1, 6},
        {5, MemberState::kDead, 1, 6},      {5, MemberState::kLeft, 1, 6},
        {5, MemberState::kAlive, 1, 5},     {5, MemberState::kAlive, 9, 6},
        {900, MemberState::kAlive, 1, 901}, {900, MemberState::kDead, 1, 901},
    };
    for (const Case& it : cases) {
      std::mt19937_64 rng(11);
      Membership membership = MakeMembership();
      membership.Tick(start_, rng);
      MemberMessage message = MessageFrom(2);
      message.updates = {Update(0, it.reported, it.sequence, it.state),
                         Update(2, 7, 1, MemberState::kAlive)};
      membership.OnMessage(start_, rng, message.sender, message);
      CPPUNIT_ASSERT_EQUAL(it.expected, membership.self().incarnation);
      CPPUNIT_ASSERT(membership.Find(MeshFake::Id(0, 0))->state == MemberState::kAlive);
    }
  }

  // Guards against messages of another mesh or with a forged sender address.
  void DropsMessagesOfOtherMeshOrSender() {
    std::mt19937_64 rng(12);
    Membership membership = MakeMembership();
    membership.Tick(start_, rng);
    MemberMessage message = MessageFrom(2);
    message.updates = {Update(1, 1, 1, MemberState::kAlive)};
    message.mesh = "other";
    CPPUNIT_ASSERT(membership.OnMessage(start_, rng, message.sender, message).empty());
    message.mesh = "test";
    CPPUNIT_ASSERT(membership.OnMessage(start_, rng, MeshFake::Id(0, 3), message).empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, membership.counters().wrong_mesh);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, membership.counters().invalid_sender);
    CPPUNIT_ASSERT(!membership.Find(MeshFake::Id(0, 1)));
  }

  // Guards against updates that are lost for good because their gossip ends before a partition
  // does.
  void DigestsRepairLostUpdates() {
    MeshFake mesh(13);
    mesh.AddMany(2, 8);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(16); }, seconds(60)));
    mesh.Run(seconds(30));
    mesh.link_blocked = [](const MemberId& a, const MemberId& b) {
      return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
    };
    const MemberId changed = MeshFake::Id(0, 3);
    mesh.node(changed).self.endpoints[0].slots = 77;
    mesh.Update(changed);
    mesh.Run(seconds(120));
    mesh.link_blocked = nullptr;
    const auto known = [&] {
      for (auto& [id, node] : mesh.nodes()) {
        if (node.membership->Find(changed)->entry.endpoints[0].slots != 77) return false;
      }
      return mesh.AllSee(16);
    };
    CPPUNIT_ASSERT(mesh.RunUntil(known, seconds(30)));
  }

  // Guards against a status that lacks the versions or refusals of members in other data centres.
  void VersionsReachOtherDataCentres() {
    MeshFake mesh(14);
    mesh.AddMany(3, 10);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(30); }, seconds(60)));
    mesh.Run(seconds(10));
    const ConfigVersion version(1, 9);
    const MemberId refusing = MeshFake::Id(1, 4);
    for (auto& [id, node] : mesh.nodes()) {
      if (id == refusing) {
        node.self.refusal = "route\nunknown";
      } else {
        node.self.version = version;
      }
      mesh.Update(id);
    }
    const auto reported = [&] {
      for (auto& [id, node] : mesh.nodes()) {
        for (const MemberView& it : node.membership->Members()) {
          const bool refused = it.entry.address == refusing;
          if (it.entry.version != (refused ? ConfigVersion() : version)) return false;
          if (it.entry.refusal != (refused ? "route?unknown" : "")) return false;
        }
      }
      return true;
    };
    CPPUNIT_ASSERT(mesh.RunUntil(reported, seconds(20)));
  }

  // Guards against publishing an entry that is too large for one message.
  void OwnEntrySizeIsBounded() {
    std::mt19937_64 rng(15);
    Membership membership = MakeMembership();
    SelfState state;
    const EndpointInfo endpoint{std::string(128, 's'), NetAddress("10.0.0.1", 1), 1,
                                EndpointState::kServing};
    std::error_code ec;
    state.endpoints.assign(3, endpoint);
    state.refusal = std::string(500, 'r');
    membership.UpdateSelf(start_, rng, state, &ec);
    CPPUNIT_ASSERT(!ec);
    CPPUNIT_ASSERT_EQUAL(kMaxRefusalBytes, membership.self().refusal.size());
    state.endpoints.assign(20, endpoint);
    membership.UpdateSelf(start_, rng, state, &ec);
    CPPUNIT_ASSERT(ec == Errc::kInvalidInput);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, membership.self().endpoints.size());
  }

  // Guards against one datagram that ends the process: a key with incarnation 0, and a sender with
  // incarnation 0, of which nothing is known that could be sent back.
  void KeysOfUnknownMembersAreIgnored() {
    std::mt19937_64 rng(16);
    Membership membership = MakeMembership();
    MemberMessage keys = MessageFrom(1);
    keys.kind = MessageKind::kKeys;
    keys.keys.push_back({MeshFake::Id(0, 7), 0, 0});
    ExpectOnlyKnownUpdates(membership.OnMessage(start_, rng, keys.sender, keys));
    MemberMessage unknown_sender = MessageFrom(2);
    unknown_sender.sender_incarnation = 0;
    ExpectOnlyKnownUpdates(
        membership.OnMessage(start_, rng, unknown_sender.sender, unknown_sender));
  }

  // Guards against any other combination of fields that the code does not expect. The sanitizer
  // build checks the accesses.
  void SurvivesMessagesWithArbitraryFields() {
    constexpr int kMessages = 20000;
    constexpr uint64_t kIncarnations[] = {0, 1, 5, 6, 7, UINT64_MAX};
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      std::mt19937_64 rng(seed);
      const auto below = [&rng](uint64_t bound) { return rng() % bound; };
      const auto incarnation = [&] { return kIncarnations[below(std::size(kIncarnations))]; };
      const auto id = [&] { return MeshFake::Id(0, static_cast<int>(below(6))); };
      Membership membership = MakeMembership();
      MemberTime now = start_;
      for (int i = 0; i < kMessages; ++i) {
        MemberMessage message = MessageFrom(static_cast<int>(1 + below(5)));
        message.kind =
            static_cast<MessageKind>(below(static_cast<uint64_t>(MessageKind::kAnnounce) + 1));
        message.sender_incarnation = incarnation();
        message.target = id();
        message.data_centre = below(2) == 0 ? "dc0" : "other";
        message.bucket_mask = rng();
        for (uint64_t n = below(3); n > 0; --n) {
          message.keys.push_back({id(), incarnation(), below(3)});
        }
        for (uint64_t n = below(3); n > 0; --n) {
          MemberUpdate update = Update(static_cast<int>(below(6)), incarnation(), below(3),
                                       static_cast<MemberState>(below(4)));
          update.has_entry = below(2) == 0;
          message.updates.push_back(update);
        }
        std::error_code ec;
        const std::string bytes = EncodeMemberMessage(message, &ec);
        if (ec) continue;
        const auto decoded = DecodeMemberMessage(bytes, &ec);
        if (!decoded) continue;
        ExpectOnlyKnownUpdates(membership.OnMessage(now, rng, message.sender, *decoded));
        now += std::chrono::milliseconds(below(200));
        if (below(10) == 0) membership.Tick(now, rng);
      }
    }
  }

 private:
  /// Fails if a message is about to be sent that contains an update without an address.
  static void ExpectOnlyKnownUpdates(const MemberEffects& effects) {
    for (const MemberEffect& effect : effects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (send == nullptr) continue;
      for (const MemberUpdate& it : send->message.updates) {
        CPPUNIT_ASSERT(it.entry.address != MemberId());
      }
    }
  }

  static Membership MakeMembership() {
    MembershipOptions options;
    options.mesh = "test";
    options.self = MeshFake::Id(0, 0);
    options.data_centre = "dc0";
    options.incarnation = 5;
    return Membership(options);
  }

  static MemberMessage MessageFrom(int i) {
    MemberMessage message;
    message.kind = MessageKind::kUpdates;
    message.mesh = "test";
    message.sender = MeshFake::Id(0, i);
    message.sender_incarnation = 7;
    message.sender_data_centre = "dc0";
    return message;
  }

  /// A claim whose entry has one endpoint, with a number of slots equal to the sequence.
  static MemberUpdate Update(int i, uint64_t incarnation, uint64_t sequence, MemberState state) {
    MemberUpdate update;
    update.state = state;
    update.has_entry = state == MemberState::kAlive;
    update.entry.address = MeshFake::Id(0, i);
    update.entry.incarnation = incarnation;
    update.entry.sequence = sequence;
    update.entry.data_centre = "dc0";
    update.entry.endpoints = {{"svc", NetAddress("10.0.0.1", 1), static_cast<uint32_t>(sequence),
                               EndpointState::kServing}};
    return update;
  }

  const MemberTime start_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace camphorhoist
