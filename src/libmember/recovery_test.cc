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

/// What a node serves after its start: P1 holds across restarts.
class RecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecoveryTest);
  CPPUNIT_TEST(LaggingPeerDoesNotSetTheVersion);
  CPPUNIT_TEST(LateAnswerIsAwaited);
  CPPUNIT_TEST(FirstMemberKnownMayBeTheLaggingOne);
  CPPUNIT_TEST(UnansweredMemberCountsByItsReport);
  CPPUNIT_TEST(PlatformAnswerSettlesAtOnce);
  CPPUNIT_TEST(FirstStartOfAMesh);
  CPPUNIT_TEST(LostHeadIsNoFirstStart);
  CPPUNIT_TEST(CutOffRestartOfEverything);
  CPPUNIT_TEST(PauseDuringTheRound);
  CPPUNIT_TEST(NewerVersionDoesNotStopTheService);
  CPPUNIT_TEST(RestartsInAMeshWithLaggingMembers);
  CPPUNIT_TEST(DataCentresWithDifferentVersionsMeet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    rng_.seed(3);
    now_ = MemberTime(std::chrono::hours(1));
  }

  // Guards against a restarted node that takes the first version it hears of (P1): the platform is
  // down, one peer lags, and another knows the version that was in force here.
  void LaggingPeerDoesNotSetTheVersion() {
    Distribution rules = Started(2);
    Hear(&rules, 1, kV1);
    ExpectNoService(rules, kV1);
    Answer(&rules, 1, kV1);
    Run(&rules, milliseconds(300));
    ExpectNoService(rules, kV1);
    Answer(&rules, 2, kV2);
    Run(&rules, seconds(1));
    ExpectPull(&rules, kV2);
    // Within 3 s of the start, all told.
    CPPUNIT_ASSERT(now_ - start_ <= seconds(3));
    // A peer may also know what this node itself reported before its restart.
    rules = Started(1);
    rules.OnFloorReply(now_, rng_, MeshFake::Id(0, 1), kV1, kV2);
    Run(&rules, seconds(1));
    ExpectPull(&rules, kV2);
  }

  // Guards against a round that ends before an answer that is late but in time.
  void LateAnswerIsAwaited() {
    Distribution rules = Started(2);
    Answer(&rules, 1, kV1);
    Run(&rules, milliseconds(1700));
    ExpectNoService(rules, kV1);
    Answer(&rules, 2, kV2);
    Run(&rules, milliseconds(200));
    ExpectPull(&rules, kV2);
    // A peer that never answers delays the service by one round; its failure is no answer.
    rules = Started(2);
    Answer(&rules, 1, kV1);
    rules.OnFloorReply(now_, rng_, MeshFake::Id(0, 2), std::nullopt, std::nullopt);
    Run(&rules, milliseconds(1800));
    ExpectNoService(rules, kV1);
    Run(&rules, milliseconds(300));
    ExpectPull(&rules, kV1);
  }

  // Guards against a round over the one member that happens to be known first.
  void FirstMemberKnownMayBeTheLaggingOne() {
    Distribution rules = Started(1);
    Answer(&rules, 1, kV1);
    Run(&rules, milliseconds(500));
    ExpectNoService(rules, kV1);
    rules.OnMember(Entry(2, kNone), MemberState::kAlive);
    const auto asked = Only<RequestFloor>(rules.Tick(now_, rng_));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, asked.size());
    CPPUNIT_ASSERT(asked[0].to == MeshFake::Id(0, 2));
    Answer(&rules, 2, kV2);
    Run(&rules, seconds(1));
    ExpectPull(&rules, kV2);
  }

  // Guards against a floor that ignores what silent members reported through the membership.
  void UnansweredMemberCountsByItsReport() {
    Distribution rules = Started(1);
    rules.OnMember(Entry(2, kV2), MemberState::kAlive);
    Answer(&rules, 1, kV1);
    Run(&rules, milliseconds(2500));
    ExpectPull(&rules, kV2);
  }

  // Guards against a start that waits for peers although the platform has answered.
  void PlatformAnswerSettlesAtOnce() {
    Distribution rules = Started(2);
    Hear(&rules, 1, kV1);
    ExpectNoService(rules, kV1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Only<Pull>(rules.OnHeadRead(now_, rng_, kV2)).size());
    ExpectServiceAfterPull(&rules, kV2);
    // A failed read is no answer; an accepted change of this node is one.
    rules = Started(2);
    rules.OnHeadRead(now_, rng_, std::nullopt);
    CPPUNIT_ASSERT(!rules.floor_settled());
    rules.OnApplied(now_, rng_, kV2, ConfigMeshFake::HashOf(kV2));
    CPPUNIT_ASSERT(rules.may_serve());
  }

  // Guards against a mesh that never starts because nobody knows a version, and against a node that
  // takes itself for the first one before it has asked.
  void FirstStartOfAMesh() {
    Distribution rules = Started(2);
    rules.OnHeadRead(now_, rng_, kNone);
    Answer(&rules, 1, kNone);
    Hear(&rules, 2, kV1);
    ExpectNoService(rules, kV1);
    rules = Started(2);
    rules.OnHeadRead(now_, rng_, kNone);
    Answer(&rules, 1, kNone);
    Answer(&rules, 2, kNone);
    CPPUNIT_ASSERT(!rules.floor_settled());
    Run(&rules, milliseconds(1100));
    CPPUNIT_ASSERT(rules.floor_settled() && !rules.may_serve());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Hear(&rules, 2, kV1).size());
    ExpectServiceAfterPull(&rules, kV1);
    // A single node: there is nobody to ask.
    rules = Started(0);
    rules.OnHeadRead(now_, rng_, kNone);
    Run(&rules, seconds(2));
    CPPUNIT_ASSERT(rules.floor_settled());
  }

  // Guards against an empty platform that counts as an answer while members have versions.
  void LostHeadIsNoFirstStart() {
    Distribution rules = Started(2);
    Answer(&rules, 1, kV1);
    rules.OnHeadRead(now_, rng_, kNone);
    Hear(&rules, 1, kV1);
    ExpectNoService(rules, kV1);
    Answer(&rules, 2, kV2);
    Run(&rules, seconds(1));
    ExpectPull(&rules, kV2);
  }

  // Guards against a guessed version after a restart of everything without the platform.
  void CutOffRestartOfEverything() {
    ConfigMeshFake fake(21);
    fake.AddMany(2, 6);
    fake.head = kV2;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(60)));
    fake.platform_reachable = [](const MemberId&) { return false; };
    fake.mesh.cut = [](const MemberId& a, const MemberId& b) {
      return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
    };
    for (int i = 0; i < 6; ++i) fake.Add(0, i, 2, 5000);
    // A version arrives without a source that can be asked; the others must not take it from here.
    fake.rules(MeshFake::Id(0, 3))
        .OnVersionObserved(fake.mesh.now(), fake.mesh.rng(),
                           {kV1, ConfigMeshFake::HashOf(kV1), MeshFake::Id(1, 1), std::nullopt});
    fake.Run(seconds(30));
    for (int i = 0; i < 6; ++i) CPPUNIT_ASSERT(!fake.rules(MeshFake::Id(0, i)).may_serve());
    CPPUNIT_ASSERT(fake.rules(MeshFake::Id(0, 0)).current().none());
    fake.mesh.cut = nullptr;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(15)));
    CPPUNIT_ASSERT(!fake.went_back);
  }

  // Guards against a round that times out during a pause while answers wait unread.
  void PauseDuringTheRound() {
    Distribution rules = Started(2);
    now_ += seconds(60);
    Answer(&rules, 1, kV1);
    ExpectNoService(rules, kV1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Only<RequestFloor>(rules.Tick(now_, rng_)).size());
    ExpectNoService(rules, kV1);
    Answer(&rules, 1, kV1);
    Answer(&rules, 2, kV2);
    Run(&rules, seconds(1));
    ExpectPull(&rules, kV2);
  }

  // Guards against an outage on each change, or for as long as a version cannot be fetched or
  // understood: a node that wakes from a pause with an old view goes on with it, and only rises.
  void NewerVersionDoesNotStopTheService() {
    Distribution rules = Started(2);
    rules.OnHeadRead(now_, rng_, kV1);
    ExpectServiceAfterPull(&rules, kV1);
    now_ += seconds(60);
    Hear(&rules, 1, kV2);
    CPPUNIT_ASSERT(rules.floor() == kV2 && rules.may_serve());
    rules.Tick(now_, rng_);
    rules.OnPullDone(now_, rng_, PullResult::kRejected, kV2, "");
    CPPUNIT_ASSERT(rules.may_serve() && rules.current() == kV1);
    Hear(&rules, 1, kV1);
    rules.OnApplied(now_, rng_, kV2, ConfigMeshFake::HashOf(kV2));
    rules.OnPullDone(now_, rng_, PullResult::kApplied, kV1, ConfigMeshFake::HashOf(kV1));
    CPPUNIT_ASSERT(rules.may_serve() && rules.current() == kV2);
  }

  // Guards against the same fault in a whole mesh: members of a half that lags are the first that
  // a restarted one hears of, and the platform is down.
  void RestartsInAMeshWithLaggingMembers() {
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
      // The paused ones wake with their old view while the node restarts.
      fake.Add(1, 3, 2, 5000);
      for (int i = 0; i < 3; ++i) fake.mesh.Resume(MeshFake::Id(1, i));
      CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV2); }, seconds(15)));
      CPPUNIT_ASSERT(!fake.went_back);
    }
  }

  // Guards against a stop of the service, or a step back, when data centres with different
  // versions meet, with restarts on both sides.
  void DataCentresWithDifferentVersionsMeet() {
    ConfigMeshFake fake(22);
    fake.AddMany(2, 5);
    fake.head = kV1;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return AllServe(fake, kV1); }, seconds(60)));
    fake.mesh.cut = [](const MemberId& a, const MemberId& b) {
      return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
    };
    fake.platform_reachable = [](const MemberId& id) { return MeshFake::DataCentreOf(id) == 0; };
    fake.head = kV2;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllAt(kV2, 0); }, seconds(15)));
    CPPUNIT_ASSERT(fake.AllAt(kV1, 1));
    fake.platform_reachable = [](const MemberId&) { return false; };
    fake.mesh.cut = nullptr;
    fake.Add(0, 4, 2, 5000);
    fake.Add(1, 4, 2, 5000);
    const MemberTime end = fake.mesh.now() + seconds(15);
    while (fake.mesh.now() < end) {
      fake.Run(milliseconds(100));
      for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(fake.rules(MeshFake::Id(1, i)).may_serve());
    }
    CPPUNIT_ASSERT(AllServe(fake, kV2));
    CPPUNIT_ASSERT(!fake.went_back);
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

  /// A node that has just started, knows the members 1 to `peers` and has asked them.
  Distribution Started(int peers) {
    start_ = now_;
    Distribution rules({MeshFake::Id(0, 0), MeshFake::Name(0)});
    for (int i = 1; i <= peers; ++i) rules.OnMember(Entry(i, kNone), MemberState::kAlive);
    const auto asked = Only<RequestFloor>(rules.Tick(now_, rng_));
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(peers), asked.size());
    return rules;
  }

  void Run(Distribution* rules, MemberTime::duration duration) {
    for (const MemberTime end = now_ + duration; now_ < end;) {
      now_ += milliseconds(100);
      const auto effects = rules->Tick(now_, rng_);
      for (const Pull& it : Only<Pull>(effects)) pulled_ = it;
    }
  }

  std::vector<Pull> Hear(Distribution* rules, int from, const ConfigVersion& version) {
    return Only<Pull>(rules->OnVersionObserved(
        now_, rng_,
        {version, ConfigMeshFake::HashOf(version), MeshFake::Id(0, from), std::nullopt}));
  }

  void Answer(Distribution* rules, int from, const ConfigVersion& highest) {
    rules->OnFloorReply(now_, rng_, MeshFake::Id(0, from), highest, std::nullopt);
  }

  /// Even with `version` fetched, the node does not serve.
  void ExpectNoService(Distribution rules, const ConfigVersion& version) {
    rules.OnPullDone(now_, rng_, PullResult::kApplied, version, ConfigMeshFake::HashOf(version));
    CPPUNIT_ASSERT(!rules.may_serve());
  }

  void ExpectServiceAfterPull(Distribution* rules, const ConfigVersion& version) {
    rules->OnPullDone(now_, rng_, PullResult::kApplied, version, ConfigMeshFake::HashOf(version));
    CPPUNIT_ASSERT(rules->may_serve());
    CPPUNIT_ASSERT(rules->current() == version);
  }

  /// The floor is `version`, it was asked for, and nothing below it is served.
  void ExpectPull(Distribution* rules, const ConfigVersion& version) {
    CPPUNIT_ASSERT(rules->floor_settled());
    CPPUNIT_ASSERT(rules->floor() == version);
    CPPUNIT_ASSERT(pulled_ && pulled_->version == version);
    if (version > kV1) ExpectNoService(*rules, kV1);
    ExpectServiceAfterPull(rules, version);
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
