#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <vector>

#include "camphorhoist/distribution.h"
#include "libmember/config_mesh_fake.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ConfigVersion kNone;
const ConfigVersion kV1(1, 1);
const ConfigVersion kV2(1, 2);

/// Tests that a restarted node never serves a version older than the one it had in force before its
/// restart (P1).
class RecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecoveryTest);
  CPPUNIT_TEST(LaggingPeerDoesNotSetTheVersion);
  CPPUNIT_TEST(FloorRoundWaitsForLateReply);
  CPPUNIT_TEST(FloorRoundWaitsForFurtherMembers);
  CPPUNIT_TEST(ReportedVersionCountsWithoutReply);
  CPPUNIT_TEST(PlatformResponseSettlesFloorAtOnce);
  CPPUNIT_TEST(FirstStartOfAMesh);
  CPPUNIT_TEST(EmptyPlatformAloneIsNoFirstStart);
  CPPUNIT_TEST(IsolatedRestartDoesNotServe);
  CPPUNIT_TEST(PauseRestartsFloorRound);
  CPPUNIT_TEST(NewerVersionDoesNotStopServing);
  CPPUNIT_TEST(RestartAmongLaggingMembers);
  CPPUNIT_TEST(DataCentresWithDifferentVersionsReconnect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    rng_.seed(3);
    now_ = MemberTime(std::chrono::hours(1));
  }

  // Guards against a restarted node that applies the first version it observes (P1): the platform
  // is down, one peer lags, and another peer knows the version that was in force here.
  void LaggingPeerDoesNotSetTheVersion() {
    Distribution distribution = StartNode(2);
    Observe(&distribution, 1, kV1);
    ExpectNoService(distribution, kV1);
    ReplyFloor(&distribution, 1, kV1);
    Run(&distribution, milliseconds(300));
    ExpectNoService(distribution, kV1);
    ReplyFloor(&distribution, 2, kV2);
    Run(&distribution, seconds(1));
    ExpectPull(&distribution, kV2);
    // The node must serve within 3 s of its start.
    CPPUNIT_ASSERT(now_ - start_ <= seconds(3));
    // A peer may also know the version that this node itself reported before its restart.
    distribution = StartNode(1);
    distribution.OnFloorReply(now_, rng_, MeshFake::Id(0, 1), kV1, kV2);
    Run(&distribution, seconds(1));
    ExpectPull(&distribution, kV2);
  }

  // Guards against a floor round that ends before a reply that is late but within the timeout.
  void FloorRoundWaitsForLateReply() {
    Distribution distribution = StartNode(2);
    ReplyFloor(&distribution, 1, kV1);
    Run(&distribution, milliseconds(1700));
    ExpectNoService(distribution, kV1);
    ReplyFloor(&distribution, 2, kV2);
    Run(&distribution, milliseconds(200));
    ExpectPull(&distribution, kV2);
    // A failed request is no reply: serving is delayed until the round times out.
    distribution = StartNode(2);
    ReplyFloor(&distribution, 1, kV1);
    distribution.OnFloorReply(now_, rng_, MeshFake::Id(0, 2), std::nullopt, std::nullopt);
    Run(&distribution, milliseconds(1800));
    ExpectNoService(distribution, kV1);
    Run(&distribution, milliseconds(300));
    ExpectPull(&distribution, kV1);
  }

  // Guards against a floor round that ends after asking only the member that was discovered first.
  void FloorRoundWaitsForFurtherMembers() {
    Distribution distribution = StartNode(1);
    ReplyFloor(&distribution, 1, kV1);
    Run(&distribution, milliseconds(500));
    ExpectNoService(distribution, kV1);
    distribution.OnMember(Entry(2, kNone), MemberState::kAlive);
    const auto asked = EffectsOf<RequestFloor>(distribution.Tick(now_, rng_));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, asked.size());
    CPPUNIT_ASSERT(asked[0].to == MeshFake::Id(0, 2));
    ReplyFloor(&distribution, 2, kV2);
    Run(&distribution, seconds(1));
    ExpectPull(&distribution, kV2);
  }

  // Guards against a floor that ignores the version that a member reported through the membership
  // but did not send in a reply.
  void ReportedVersionCountsWithoutReply() {
    Distribution distribution = StartNode(1);
    distribution.OnMember(Entry(2, kV2), MemberState::kAlive);
    ReplyFloor(&distribution, 1, kV1);
    Run(&distribution, milliseconds(2500));
    ExpectPull(&distribution, kV2);
  }

  // Guards against a start that waits for peers although the platform has responded.
  void PlatformResponseSettlesFloorAtOnce() {
    Distribution distribution = StartNode(2);
    Observe(&distribution, 1, kV1);
    ExpectNoService(distribution, kV1);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         EffectsOf<Pull>(distribution.OnHeadRead(now_, rng_, kV2)).size());
    ExpectServiceAfterPull(&distribution, kV2);
    // A failed read does not settle the floor; an accepted change of this node does.
    distribution = StartNode(2);
    distribution.OnHeadRead(now_, rng_, std::nullopt);
    CPPUNIT_ASSERT(!distribution.floor_settled());
    distribution.OnApplied(now_, rng_, kV2, ConfigMeshFake::HashOf(kV2));
    CPPUNIT_ASSERT(distribution.may_serve());
  }

  // Guards against a mesh that never starts because no member knows a version, and against a node
  // that assumes a first start before all members have replied.
  void FirstStartOfAMesh() {
    Distribution distribution = StartNode(2);
    distribution.OnHeadRead(now_, rng_, kNone);
    ReplyFloor(&distribution, 1, kNone);
    Observe(&distribution, 2, kV1);
    ExpectNoService(distribution, kV1);
    distribution = StartNode(2);
    distribution.OnHeadRead(now_, rng_, kNone);
    ReplyFloor(&distribution, 1, kNone);
    ReplyFloor(&distribution, 2, kNone);
    CPPUNIT_ASSERT(!distribution.floor_settled());
    Run(&distribution, milliseconds(1100));
    CPPUNIT_ASSERT(distribution.floor_settled() && !distribution.may_serve());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Observe(&distribution, 2, kV1).size());
    ExpectServiceAfterPull(&distribution, kV1);
    // A single node has no member to ask.
    distribution = StartNode(0);
    distribution.OnHeadRead(now_, rng_, kNone);
    Run(&distribution, seconds(2));
    CPPUNIT_ASSERT(distribution.floor_settled());
  }

  // Guards against an empty platform that settles the floor while members hold versions.
  void EmptyPlatformAloneIsNoFirstStart() {
    Distribution distribution = StartNode(2);
    ReplyFloor(&distribution, 1, kV1);
    distribution.OnHeadRead(now_, rng_, kNone);
    Observe(&distribution, 1, kV1);
    ExpectNoService(distribution, kV1);
    ReplyFloor(&distribution, 2, kV2);
    Run(&distribution, seconds(1));
    ExpectPull(&distribution, kV2);
  }

  // Guards against serving an unconfirmed version when a whole data centre restarts without access
  // to the platform or to other data centres.
  void IsolatedRestartDoesNotServe() {
    ConfigMeshFake fake(21);
    fake.AddMany(2, 6);
    fake.head = kV2;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(60)));
    fake.platform_reachable = [](const MemberId&) { return false; };
    fake.mesh.link_blocked = [](const MemberId& a, const MemberId& b) {
      return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
    };
    for (int i = 0; i < 6; ++i) fake.Add(0, i, 2, 5000);
    // One node observes a version that it cannot pull; the others must not adopt it from this node.
    fake.distribution(MeshFake::Id(0, 3))
        .OnVersionObserved(fake.mesh.now(), fake.mesh.rng(),
                           {kV1, ConfigMeshFake::HashOf(kV1), MeshFake::Id(1, 1), std::nullopt});
    fake.Run(seconds(30));
    for (int i = 0; i < 6; ++i) CPPUNIT_ASSERT(!fake.distribution(MeshFake::Id(0, i)).may_serve());
    CPPUNIT_ASSERT(fake.distribution(MeshFake::Id(0, 0)).current().none());
    fake.mesh.link_blocked = nullptr;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(15)));
    CPPUNIT_ASSERT(!fake.version_decreased);
  }

  // Guards against a floor round that times out during a pause of the process, while replies wait
  // unread.
  void PauseRestartsFloorRound() {
    Distribution distribution = StartNode(2);
    now_ += seconds(60);
    ReplyFloor(&distribution, 1, kV1);
    ExpectNoService(distribution, kV1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, EffectsOf<RequestFloor>(distribution.Tick(now_, rng_)).size());
    ExpectNoService(distribution, kV1);
    ReplyFloor(&distribution, 1, kV1);
    ReplyFloor(&distribution, 2, kV2);
    Run(&distribution, seconds(1));
    ExpectPull(&distribution, kV2);
  }

  // Guards against an outage on each change, or while a version cannot be fetched or is rejected: a
  // node that resumes with an old version keeps serving it, and its version only increases.
  void NewerVersionDoesNotStopServing() {
    Distribution distribution = StartNode(2);
    distribution.OnHeadRead(now_, rng_, kV1);
    ExpectServiceAfterPull(&distribution, kV1);
    now_ += seconds(60);
    Observe(&distribution, 1, kV2);
    CPPUNIT_ASSERT(distribution.floor() == kV2 && distribution.may_serve());
    distribution.Tick(now_, rng_);
    distribution.OnPullDone(now_, rng_, PullResult::kRejected, kV2, "");
    CPPUNIT_ASSERT(distribution.may_serve() && distribution.current() == kV1);
    Observe(&distribution, 1, kV1);
    distribution.OnApplied(now_, rng_, kV2, ConfigMeshFake::HashOf(kV2));
    distribution.OnPullDone(now_, rng_, PullResult::kApplied, kV1, ConfigMeshFake::HashOf(kV1));
    CPPUNIT_ASSERT(distribution.may_serve() && distribution.current() == kV2);
  }

  // Guards in a simulated mesh against a restarted node that serves an old version: the platform is
  // down, and the members that it discovers first are lagging.
  void RestartAmongLaggingMembers() {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      ConfigMeshFake fake(seed);
      fake.AddMany(2, 4);
      fake.head = kV1;
      CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV1); }, seconds(60)));
      fake.platform_reachable = [](const MemberId&) { return false; };
      const MemberId restarted = MeshFake::Id(1, 3);
      for (int i = 0; i < 3; ++i) fake.mesh.Pause(MeshFake::Id(1, i));
      fake.Apply(MeshFake::Id(0, 0), kV2);
      CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.Serves(restarted, kV2); }, seconds(15)));
      // The paused members resume with their old version while the node restarts.
      fake.Add(1, 3, 2, 5000);
      for (int i = 0; i < 3; ++i) fake.mesh.Resume(MeshFake::Id(1, i));
      CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(15)));
      CPPUNIT_ASSERT(!fake.version_decreased);
    }
  }

  // Guards against an outage or a decreasing version when data centres with different versions
  // reconnect while nodes on both sides restart.
  void DataCentresWithDifferentVersionsReconnect() {
    ConfigMeshFake fake(22);
    fake.AddMany(2, 5);
    fake.head = kV1;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV1); }, seconds(60)));
    fake.mesh.link_blocked = [](const MemberId& a, const MemberId& b) {
      return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
    };
    fake.platform_reachable = [](const MemberId& id) { return MeshFake::DataCentreOf(id) == 0; };
    fake.head = kV2;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV2, 0); }, seconds(15)));
    CPPUNIT_ASSERT(fake.AllHave(kV1, 1));
    fake.platform_reachable = [](const MemberId&) { return false; };
    fake.mesh.link_blocked = nullptr;
    fake.Add(0, 4, 2, 5000);
    fake.Add(1, 4, 2, 5000);
    const MemberTime end = fake.mesh.now() + seconds(15);
    while (fake.mesh.now() < end) {
      fake.Run(milliseconds(100));
      for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(fake.distribution(MeshFake::Id(1, i)).may_serve());
    }
    CPPUNIT_ASSERT(AllServe(fake, kV2));
    CPPUNIT_ASSERT(!fake.version_decreased);
  }

 private:
  static MemberEntry Entry(int i, const ConfigVersion& version) {
    MemberEntry entry;
    entry.address = MeshFake::Id(0, i);
    entry.data_centre = MeshFake::Name(0);
    entry.incarnation = 1;
    entry.version = version;
    return entry;
  }

  static bool AllServe(ConfigMeshFake& fake, const ConfigVersion& version) {
    for (const auto& it : fake.mesh.nodes()) {
      if (!fake.Serves(it.first, version)) return false;
    }
    return true;
  }

  /// A node that has just started, knows the members 1 to `peers` and has sent them floor requests.
  Distribution StartNode(int peers) {
    start_ = now_;
    Distribution distribution({MeshFake::Id(0, 0), MeshFake::Name(0)});
    for (int i = 1; i <= peers; ++i) distribution.OnMember(Entry(i, kNone), MemberState::kAlive);
    const auto asked = EffectsOf<RequestFloor>(distribution.Tick(now_, rng_));
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(peers), asked.size());
    return distribution;
  }

  void Run(Distribution* distribution, MemberTime::duration duration) {
    for (const MemberTime end = now_ + duration; now_ < end;) {
      now_ += milliseconds(100);
      const auto effects = distribution->Tick(now_, rng_);
      for (const Pull& it : EffectsOf<Pull>(effects)) pulled_ = it;
    }
  }

  std::vector<Pull> Observe(Distribution* distribution, int from, const ConfigVersion& version) {
    return EffectsOf<Pull>(distribution->OnVersionObserved(
        now_, rng_,
        {version, ConfigMeshFake::HashOf(version), MeshFake::Id(0, from), std::nullopt}));
  }

  void ReplyFloor(Distribution* distribution, int from, const ConfigVersion& highest) {
    distribution->OnFloorReply(now_, rng_, MeshFake::Id(0, from), highest, std::nullopt);
  }

  /// Checks that the node does not serve, even after it has fetched `version`.
  void ExpectNoService(Distribution distribution, const ConfigVersion& version) {
    distribution.OnPullDone(now_, rng_, PullResult::kApplied, version,
                            ConfigMeshFake::HashOf(version));
    CPPUNIT_ASSERT(!distribution.may_serve());
  }

  void ExpectServiceAfterPull(Distribution* distribution, const ConfigVersion& version) {
    distribution->OnPullDone(now_, rng_, PullResult::kApplied, version,
                             ConfigMeshFake::HashOf(version));
    CPPUNIT_ASSERT(distribution->may_serve());
    CPPUNIT_ASSERT(distribution->current() == version);
  }

  /// Checks that the floor is `version`, that it was pulled, and that no lower version is served.
  void ExpectPull(Distribution* distribution, const ConfigVersion& version) {
    CPPUNIT_ASSERT(distribution->floor_settled());
    CPPUNIT_ASSERT(distribution->floor() == version);
    CPPUNIT_ASSERT(pulled_ && pulled_->version == version);
    if (version > kV1) ExpectNoService(*distribution, kV1);
    ExpectServiceAfterPull(distribution, version);
    pulled_.reset();
  }

  std::mt19937_64 rng_;
  MemberTime now_;
  MemberTime start_;
  std::optional<Pull> pulled_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);

}  // namespace
}  // namespace camphorhoist
