#include "camphorhoist/distribution.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/election.h"
#include "libmember/config_mesh_fake.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ConfigVersion kV1(1, 1);
const ConfigVersion kV2(1, 2);
const ConfigVersion kV5(1, 5);

class DistributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionTest);
  CPPUNIT_TEST(AnnouncesOnceToFewPeers);
  CPPUNIT_TEST(PullsFallBackToPeersThenPlatform);
  CPPUNIT_TEST(RejectedVersionIsNotPulledAgain);
  CPPUNIT_TEST(OnlyElectedMembersWatch);
  CPPUNIT_TEST(HeadReadsAreShared);
  CPPUNIT_TEST(RestartedMemberAsksPeersFirst);
  CPPUNIT_TEST(VersionSpreadsWithAnyNumberOfWatchers);
  CPPUNIT_TEST(PartitionedDataCentresConvergeToHighestVersion);
  CPPUNIT_TEST(MassRestartDoesNotLoadPlatform);
  CPPUNIT_TEST(ColdStartStaysWithinReadBudget);
  CPPUNIT_TEST(VersionSpreadsWhilePlatformIsDown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    rng_.seed(7);
    now_ = MemberTime(std::chrono::hours(1));
  }

  // Guards against announcements that grow with the mesh size or repeat for a known version.
  void AnnouncesOnceToFewPeers() {
    Distribution distribution = MakeDistribution(20);
    const auto announced =
        EffectsOf<Announce>(distribution.OnApplied(now_, rng_, kV1, ConfigMeshFake::HashOf(kV1)));
    std::set<MemberId> own;
    std::set<MemberId> other;
    for (const Announce& it : announced) {
      CPPUNIT_ASSERT(it.version == kV1);
      (MeshFake::DataCentreOf(it.to) == 0 ? own : other).insert(it.to);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, own.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, other.size());
    CPPUNIT_ASSERT_EQUAL(size_t{5}, announced.size());
    CPPUNIT_ASSERT(distribution.OnApplied(now_, rng_, kV1, ConfigMeshFake::HashOf(kV1)).empty());
    CPPUNIT_ASSERT(Observe(&distribution, kV1, 3).empty());
    // An older version must change nothing (P1).
    distribution.OnApplied(now_, rng_, kV5, ConfigMeshFake::HashOf(kV5));
    CPPUNIT_ASSERT(distribution.OnApplied(now_, rng_, kV2, ConfigMeshFake::HashOf(kV2)).empty());
    CPPUNIT_ASSERT(Observe(&distribution, kV2, 3).empty());
    CPPUNIT_ASSERT(distribution.current() == kV5 && distribution.floor() == kV5);
  }

  // Guards against a pull that retries a single peer, and against a platform that is read too
  // early.
  void PullsFallBackToPeersThenPlatform() {
    Distribution distribution = MakeDistribution(6);
    distribution.OnApplied(now_, rng_, kV1, ConfigMeshFake::HashOf(kV1));
    auto pulls = EffectsOf<Pull>(Observe(&distribution, kV2, 4));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, pulls.size());
    CPPUNIT_ASSERT(*pulls[0].from == MeshFake::Id(0, 4));
    CPPUNIT_ASSERT(EffectsOf<Pull>(Observe(&distribution, kV2, 2)).empty());
    CPPUNIT_ASSERT(EffectsOf<Pull>(Observe(&distribution, kV2, 3)).empty());
    std::set<MemberId> asked{*pulls[0].from};
    for (int i = 0; i < 2; ++i) {
      pulls = FailPull(&distribution);
      CPPUNIT_ASSERT(pulls[0].from.has_value());
      CPPUNIT_ASSERT(asked.insert(*pulls[0].from).second);
    }
    pulls = FailPull(&distribution);
    CPPUNIT_ASSERT(!pulls[0].from.has_value());
    // A pull without a result counts as failed.
    now_ += seconds(6);
    distribution.Tick(now_, rng_);
    CPPUNIT_ASSERT(!RunUntilPull(&distribution).empty());
  }

  // Guards against repeated pulls of a version that the node cannot use.
  void RejectedVersionIsNotPulledAgain() {
    Distribution distribution = MakeDistribution(6);
    distribution.OnApplied(now_, rng_, kV1, ConfigMeshFake::HashOf(kV1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EffectsOf<Pull>(Observe(&distribution, kV2, 4)).size());
    distribution.OnPullDone(now_, rng_, PullResult::kRejected, kV2, "");
    CPPUNIT_ASSERT(EffectsOf<Pull>(Observe(&distribution, kV2, 5)).empty());
    CPPUNIT_ASSERT(RunUntilPull(&distribution).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EffectsOf<Pull>(Observe(&distribution, kV5, 5)).size());
  }

  // Guards against a number of open watches that grows with the mesh size.
  void OnlyElectedMembersWatch() {
    const std::vector<MemberId> ids = Ids(20);
    const auto elected = ElectWatchers(ids, MeshFake::Name(0), kWatchersPerDataCentre);
    for (const MemberId& id : ids) {
      Distribution distribution = MakeDistribution(20, id);
      CPPUNIT_ASSERT(EffectsOf<WatchHead>(distribution.Tick(now_, rng_)).empty());
      const MemberTime later = now_ + seconds(11);
      const bool watches = !EffectsOf<WatchHead>(distribution.Tick(later, rng_)).empty();
      const bool elected_self = std::find(elected.begin(), elected.end(), id) != elected.end();
      CPPUNIT_ASSERT_EQUAL(elected_self, watches);
      if (!elected_self) continue;
      // The watch must stop when members with a higher hash appear.
      for (int i = 20; i < 400; ++i) distribution.OnMember(Entry(0, i), MemberState::kAlive);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, EffectsOf<StopWatch>(distribution.Tick(later, rng_)).size());
    }
  }

  // Guards against every node reading the head when no node confirms it.
  void HeadReadsAreShared() {
    constexpr int kNodes = 60;
    constexpr int kRunSeconds = 40;
    size_t early = 0;
    size_t reads = 0;
    for (int n = 0; n < kNodes; ++n) {
      Distribution distribution = MakeDistribution(kNodes / 3, MeshFake::Id(9, 0));
      distribution.OnApplied(now_, rng_, kV1, ConfigMeshFake::HashOf(kV1));
      for (int i = 0; i < 10 * kRunSeconds; ++i) {
        const MemberTime at = now_ + i * milliseconds(100);
        const size_t found = EffectsOf<ReadHead>(distribution.Tick(at, rng_)).size();
        (i < 100 ? early : reads) += found;
        // The read fails, which starts the backoff.
        if (found > 0) distribution.OnHeadRead(at, rng_, std::nullopt);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, early);
    // One read per second over the whole mesh for 30 s; three standard deviations are 17.
    CPPUNIT_ASSERT(reads >= 13 && reads <= 47);
  }

  // Guards against a start below the floor, and against a platform that is read before the peers.
  void RestartedMemberAsksPeersFirst() {
    Distribution distribution = MakeDistribution(20, MeshFake::Id(9, 0));
    const auto first = distribution.Tick(now_, rng_);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, EffectsOf<RequestFloor>(first).size());
    CPPUNIT_ASSERT(EffectsOf<ReadHead>(first).empty());
    CPPUNIT_ASSERT(!distribution.floor_known());
    distribution.OnFloorReply(now_, rng_, MeshFake::Id(0, 1), ConfigVersion(), std::nullopt);
    CPPUNIT_ASSERT(!distribution.floor_known());
    distribution.OnFloorReply(now_, rng_, MeshFake::Id(0, 1), kV2, kV5);
    CPPUNIT_ASSERT(distribution.floor_known());
    CPPUNIT_ASSERT(distribution.floor() == kV5);
  }

  // Guards against a dependency on exactly two watchers: a version that is set on the platform must
  // arrive with no watcher, with the two elected ones, and with four during a partition.
  void VersionSpreadsWithAnyNumberOfWatchers() {
    for (const size_t watchers : {size_t{0}, size_t{2}, size_t{4}}) {
      ConfigMeshFake fake(11);
      fake.AddMany(1, 12);
      fake.head = kV1;
      const auto settled = [&] { return fake.AllHave(kV1) && fake.mesh.AllSee(12); };
      CPPUNIT_ASSERT(fake.RunUntil(settled, seconds(30)));
      fake.Run(seconds(10));
      if (watchers == 4) {
        // Two partitioned groups elect two watchers each.
        fake.mesh.link_blocked = [](const MemberId& a, const MemberId& b) {
          return (a < MeshFake::Id(0, 5)) != (b < MeshFake::Id(0, 5));
        };
        fake.Run(seconds(60));
      }
      if (watchers == 0) {
        // The watchers are paused, and the others have not detected it yet.
        for (const MemberId& it : ElectWatchers(Ids(12), MeshFake::Name(0), 2)) {
          fake.mesh.Pause(it);
        }
      }
      CPPUNIT_ASSERT_EQUAL(watchers, fake.WatcherCount());
      fake.head = kV2;
      CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV2); }, seconds(60)));
      CPPUNIT_ASSERT(!fake.version_decreased);
    }
  }

  // Guards against a return to an older version when partitioned data centres reconnect (P1).
  void PartitionedDataCentresConvergeToHighestVersion() {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      ConfigMeshFake fake(seed);
      fake.mesh.loss = 0.05;
      fake.mesh.duplication = 0.05;
      fake.mesh.max_delay = milliseconds(400);
      fake.AddMany(3, 8);
      fake.head = kV1;
      CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV1); }, seconds(60)));
      fake.mesh.link_blocked = [](const MemberId& a, const MemberId& b) {
        return MeshFake::DataCentreOf(a) != MeshFake::DataCentreOf(b);
      };
      // Only the first data centre reaches the platform.
      fake.platform_reachable = [](const MemberId& id) { return MeshFake::DataCentreOf(id) == 0; };
      fake.Run(seconds(20));
      fake.Apply(MeshFake::Id(1, 2), kV2);
      fake.head = kV5;
      fake.Run(seconds(60));
      CPPUNIT_ASSERT(fake.AllHave(kV5, 0));
      CPPUNIT_ASSERT(fake.AllHave(kV2, 1));
      CPPUNIT_ASSERT(fake.AllHave(kV1, 2));
      fake.mesh.link_blocked = nullptr;
      // P9 allows 15 s.
      CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV5); }, seconds(15)));
      fake.Run(seconds(20));
      CPPUNIT_ASSERT(fake.AllHave(kV5));
      CPPUNIT_ASSERT(!fake.version_decreased);
    }
  }

  // Guards against a platform load of one read per node when most nodes restart at once.
  void MassRestartDoesNotLoadPlatform() {
    ConfigMeshFake fake(5);
    fake.AddMany(2, 30);
    fake.head = kV1;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV1); }, seconds(60)));
    fake.Run(seconds(20));
    const uint64_t reads = fake.platform_reads + fake.platform_pulls;
    for (int i = 3; i < 30; ++i) {
      fake.mesh.node(MeshFake::Id(0, i)) = MeshFake::Node();
      fake.Add(0, i, 2, 5000);
    }
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV1); }, seconds(15)));
    // Peers hold the version, so at most a few nodes may read the platform.
    CPPUNIT_ASSERT(fake.platform_reads + fake.platform_pulls - reads <= 5);
  }

  // Guards against a platform load of one read per node when a mesh starts without any
  // configuration. The budget is 2 head reads per second in each data centre, each with one pull,
  // and one watch per 5 s by each of four watchers.
  void ColdStartStaysWithinReadBudget() {
    ConfigMeshFake fake(8);
    fake.AddMany(2, 60);
    fake.platform_reachable = [](const MemberId&) { return false; };
    const MemberTime start = fake.mesh.now();
    fake.Run(seconds(4));
    CPPUNIT_ASSERT(fake.PlatformCalls() <= 16);
    fake.platform_reachable = [](const MemberId&) { return true; };
    fake.head = kV1;
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV1); }, seconds(15)));
    const auto elapsed = std::chrono::duration_cast<seconds>(fake.mesh.now() - start).count() + 1;
    const auto n = static_cast<uint64_t>(elapsed);
    const uint64_t budget = uint64_t{8} * n + uint64_t{4} * (n / 5 + 1);
    CPPUNIT_ASSERT(fake.PlatformCalls() <= budget);
  }

  // Guards against a version that does not spread while the platform is down although peers hold
  // it.
  void VersionSpreadsWhilePlatformIsDown() {
    ConfigMeshFake fake(6);
    fake.AddMany(2, 12);
    fake.platform_reachable = [](const MemberId&) { return false; };
    fake.Run(seconds(15));
    fake.Apply(MeshFake::Id(0, 4), kV2);
    CPPUNIT_ASSERT(fake.RunUntil([&] { return fake.AllHave(kV2); }, seconds(15)));
  }

 private:
  static std::vector<MemberId> Ids(int n) {
    std::vector<MemberId> ids;
    ids.reserve(static_cast<size_t>(n));
    for (int i = 0; i < n; ++i) ids.push_back(MeshFake::Id(0, i));
    return ids;
  }

  static MemberEntry Entry(int dc, int i) {
    MemberEntry entry;
    entry.address = MeshFake::Id(dc, i);
    entry.data_centre = MeshFake::Name(dc);
    entry.incarnation = 1;
    return entry;
  }

  /// `Distribution` of a node that knows `members` members in each of three data centres.
  static Distribution MakeDistribution(int members, const MemberId& self = MeshFake::Id(0, 0)) {
    Distribution distribution({self, MeshFake::Name(MeshFake::DataCentreOf(self))});
    for (int dc = 0; dc < 3; ++dc) {
      for (int i = 0; i < members; ++i) distribution.OnMember(Entry(dc, i), MemberState::kAlive);
    }
    return distribution;
  }

  DistributionEffects Observe(Distribution* distribution, const ConfigVersion& version, int from) {
    return distribution->OnVersionObserved(
        now_, rng_,
        {version, ConfigMeshFake::HashOf(version), MeshFake::Id(0, from), std::nullopt});
  }

  std::vector<Pull> RunUntilPull(Distribution* distribution) {
    for (int i = 0; i < 200; ++i) {
      now_ += milliseconds(100);
      auto pulls = EffectsOf<Pull>(distribution->Tick(now_, rng_));
      if (!pulls.empty()) return pulls;
    }
    return {};
  }

  std::vector<Pull> FailPull(Distribution* distribution) {
    auto pulls = EffectsOf<Pull>(distribution->OnPullDone(now_, rng_, PullResult::kFailed, {}, ""));
    if (pulls.empty()) pulls = RunUntilPull(distribution);
    CPPUNIT_ASSERT(!pulls.empty());
    return pulls;
  }

  std::mt19937_64 rng_;
  MemberTime now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributionTest);

}  // namespace
}  // namespace camphorhoist
