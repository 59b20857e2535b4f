#include "camphorhoist/snapshot.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "camphorhoist/config_head.h"
#include "camphorhoist/content_hash.h"
#include "camphorhoist/delta.h"
#include "camphorhoist/replica.h"
#include "libconfig/config_fixture.h"

namespace camphorhoist {
namespace {

struct MatchCase {
  const char* method;
  const char* host;
  const char* path;
  /// Name of the expected route; empty if no route matches.
  const char* route;
};

const MatchCase kMatchCases[] = {
    {"GET", "h", "/", "root"},
    {"GET", "h", "/ab", "root"},
    {"GET", "h", "/a", "a"},
    {"GET", "h", "/a/", "a"},
    {"GET", "h", "/a/b/c?x=/a/z", "a-b"},
    {"GET", "h", "/a/b#f", "a-b"},
    {"PUT", "h", "/a/b/c", "a"},
    {"GET", "shop.example:8080", "/a/x", "a-shop"},
    {"GET", "SHOP.example", "/a/x", "a-shop"},
    {"GET", "shop.example", "/p/x", "p-high"},
    {"GET", "h", "/d", "root"},
    {"GET", "h", "/d/", "d"},
    {"GET", "h", "a", ""},
    {"GET", "h", "", ""},
    {"GET", "h", "*", ""},
};

const char kRoutes[] = R"([
  {"schema":1,"kind":"service","name":"s","timeout_ms":700},
  {"schema":1,"kind":"service","name":"t","timeout_ms":900},
  {"schema":1,"kind":"endpoint","name":"e","service":"s","address":"10.0.0.1:80","weight":7},
  {"schema":1,"kind":"route","name":"root","match":{"path_prefix":"/"},"service":"s"},
  {"schema":1,"kind":"route","name":"a","match":{"path_prefix":"/a"},"service":"s",
   "timeout_ms":50,"idempotent":["PUT"]},
  {"schema":2,"kind":"route","name":"a-b","match":{"path_prefix":"/a/b","methods":["GET"]},
   "destinations":[{"service":"s","weight":3,"endpoint":"e"},{"service":"t","weight":1}]},
  {"schema":1,"kind":"route","name":"a-shop","match":{"path_prefix":"/a","host":"shop.example"},
   "service":"s"},
  {"schema":1,"kind":"route","name":"p-low","match":{"path_prefix":"/p","host":"shop.example"},
   "service":"s"},
  {"schema":1,"kind":"route","name":"p-high","match":{"path_prefix":"/p"},"service":"s",
   "priority":1},
  {"schema":1,"kind":"route","name":"d","match":{"path_prefix":"/d/"},"service":"s"}])";

class SnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(MatchesRoutes);
  CPPUNIT_TEST(ResolvesSettings);
  CPPUNIT_TEST(HashesIncrementally);
  CPPUNIT_TEST(RejectsInvalidBuild);
  CPPUNIT_TEST(DeltaReachesTarget);
  CPPUNIT_TEST(DeltaVerifiesHash);
  CPPUNIT_TEST(LoaderChecksPages);
  CPPUNIT_TEST(ReplicaVersionNeverDecreases);
  CPPUNIT_TEST(ReplicaServesDeltas);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that matches the wrong route.
  void MatchesRoutes() {
    const Snapshot::Ptr snapshot = BuildSnapshot(1, kRoutes);
    for (const MatchCase& it : kMatchCases) {
      const auto match = snapshot->MatchRoute(it.method, it.host, it.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.path, std::string(it.route),
                                   match ? match->route->name() : std::string());
    }
    const std::string long_path = "/a" + std::string(5000, '/');
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         snapshot->MatchRoute("GET", "h", long_path)->route->name());
  }

  // Guards against wrong timeouts and against retries of non-idempotent requests (P6).
  void ResolvesSettings() {
    const Snapshot::Ptr snapshot = BuildSnapshot(1, kRoutes);
    const auto match = snapshot->MatchRoute("GET", "h", "/a/b");
    CPPUNIT_ASSERT_EQUAL(int64_t{900}, match->timeout_ms());
    CPPUNIT_ASSERT(match->idempotent);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, match->destinations()[0].weight);
    CPPUNIT_ASSERT_EQUAL(std::string("e"), match->destinations()[0].endpoint);
    CPPUNIT_ASSERT(!snapshot->MatchRoute("GET", "h", "/a")->idempotent);
    CPPUNIT_ASSERT(snapshot->MatchRoute("PUT", "h", "/a")->idempotent);
    CPPUNIT_ASSERT(!snapshot->MatchRoute("POST", "h", "/")->idempotent);
    CPPUNIT_ASSERT_EQUAL(int64_t{50}, snapshot->MatchRoute("GET", "h", "/a")->timeout_ms());
    CPPUNIT_ASSERT_EQUAL(int64_t{700}, snapshot->FindService("s")->timeout_ms);
    CPPUNIT_ASSERT(snapshot->FindService("x") == nullptr);
    CPPUNIT_ASSERT_EQUAL(int64_t{7},
                         snapshot->FindEndpointByAddress("s", NetAddress("10.0.0.1", 80))->weight);
    CPPUNIT_ASSERT(snapshot->FindEndpointByAddress("t", NetAddress("10.0.0.1", 80)) == nullptr);
    // A changed service timeout applies to its routes although no route record changed.
    Findings findings;
    const Snapshot::Ptr next = snapshot->WithChanges(
        {1, 2}, {{ParseRecord(R"({"schema":1,"kind":"service","name":"s","timeout_ms":800})"), 2}},
        {}, &findings);
    CPPUNIT_ASSERT_EQUAL(int64_t{800}, next->MatchRoute("GET", "h", "/")->timeout_ms());
  }

  // Guards against an incremental hash that differs from that of a full build, which would make
  // replicas refuse correct deltas.
  void HashesIncrementally() {
    Findings findings;
    const Snapshot::Ptr first = BuildSnapshot(1, kRoutes);
    const Snapshot::Ptr second = first->WithChanges(
        {1, 2}, {{ParseRecord(R"({"schema":1,"kind":"service","name":"u"})"), 2}},
        {{RecordKind::kRoute, "d"}}, &findings);
    const Snapshot::Ptr rebuilt = Snapshot::Build({1, 2}, second->records(), &findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    CPPUNIT_ASSERT_EQUAL(rebuilt->hash(), second->hash());
    CPPUNIT_ASSERT(first->hash() != second->hash());
    std::string hashes;
    for (const ConfigPage::Ptr& it : second->pages()) hashes += ContentHash(it->Encode());
    CPPUNIT_ASSERT_EQUAL(ContentHash(hashes), second->hash());
  }

  // Guards against a configuration that is applied although a part of it is invalid (P3).
  void RejectsInvalidBuild() {
    Findings findings;
    const Snapshot::Ptr first = BuildSnapshot(1, kRoutes);
    CPPUNIT_ASSERT(first->WithChanges({1, 2}, {}, {{RecordKind::kService, "s"}}, &findings) ==
                   nullptr);
    CPPUNIT_ASSERT(findings.items().size() > 1);
    Findings missing;
    CPPUNIT_ASSERT(first->WithChanges({1, 2}, {}, {{RecordKind::kRoute, "x"}}, &missing) ==
                   nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("route/x: does not exist and cannot be removed"),
                         missing.ToString());
    Findings versions;
    CPPUNIT_ASSERT(Snapshot::Build({1, 0}, first->records(), &versions) == nullptr);
    CPPUNIT_ASSERT_EQUAL(first->record_count(), versions.items().size());
  }

  // Guards against a delta that loses a change, including by encoding and decoding.
  void DeltaReachesTarget() {
    Findings findings;
    const Snapshot::Ptr first = BuildSnapshot(1, kRoutes);
    const Snapshot::Ptr second = first->WithChanges(
        {1, 2}, {{ParseRecord(R"({"schema":1,"kind":"service","name":"s"})"), 2}},
        {{RecordKind::kRoute, "d"}}, &findings);
    for (const Snapshot::Ptr& it : {Snapshot::Empty(), first}) {
      const Delta delta = MakeDelta(*it, *second);
      const auto decoded = DecodeDelta(EncodeDelta(delta), "delta", &findings);
      CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
      const Snapshot::Ptr result = ApplyDelta(*it, *decoded, &findings);
      CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
      CPPUNIT_ASSERT_EQUAL(second->hash(), result->hash());
      CPPUNIT_ASSERT(second->version() == result->version());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, MakeDelta(*first, *second).upserts.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, MakeDelta(*first, *second).removals.size());
  }

  // Guards against applying a corrupt delta or one that starts from another snapshot (P3).
  void DeltaVerifiesHash() {
    const Snapshot::Ptr first = BuildSnapshot(1, kRoutes);
    const Snapshot::Ptr second = BuildSnapshot(2, kRoutes);
    const Delta valid = MakeDelta(*first, *second);
    Delta truncated = valid;
    truncated.upserts.pop_back();
    Delta wrong_base = valid;
    wrong_base.from_hash = second->hash();
    Delta decreasing = valid;
    decreasing.to = ConfigVersion(1, 1);
    for (const Delta& it : {truncated, wrong_base, decreasing}) {
      Findings findings;
      CPPUNIT_ASSERT(ApplyDelta(*first, it, &findings) == nullptr);
      CPPUNIT_ASSERT(!findings.empty());
    }
  }

  // Guards against pages that do not belong to the head, and against reading pages again that the
  // base already has.
  void LoaderChecksPages() {
    const Snapshot::Ptr snapshot = BuildSnapshot(1, kRoutes);
    const ConfigHead head = MakeHead(*snapshot, {}, "x");
    CPPUNIT_ASSERT(SnapshotLoader(head, snapshot).MissingPages().empty());
    SnapshotLoader loader(head, nullptr);
    Findings findings;
    CPPUNIT_ASSERT(!loader.AddPage(*loader.NextMissingPage(), "{\"records\":[]}", &findings));
    CPPUNIT_ASSERT(!findings.empty());
    const std::string body = snapshot->pages()[0]->Encode();
    Findings non_canonical;
    CPPUNIT_ASSERT(ConfigPage::Decode(0, body + " ", "page", &non_canonical) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("page: is not in canonical form"), non_canonical.ToString());
    Findings none;
    for (const ConfigPage::Ptr& it : snapshot->pages()) {
      loader.AddPage(it->hash(), it->Encode(), &none);
    }
    CPPUNIT_ASSERT_EQUAL(snapshot->hash(), loader.Finish(&none)->hash());
    CPPUNIT_ASSERT_EQUAL(std::string(), none.ToString());
  }

  // Guards against a node that reverts to an older configuration (P1).
  void ReplicaVersionNeverDecreases() {
    Replica replica;
    CPPUNIT_ASSERT(!replica.MayServe());
    const Snapshot::Ptr second = BuildSnapshot(2, kRoutes);
    replica.RaiseFloor({1, 3});
    CPPUNIT_ASSERT(replica.TryApply(second) == ApplyResult::kBelowFloor);
    CPPUNIT_ASSERT(!replica.MayServe());
    const Snapshot::Ptr third = BuildSnapshot(3, kRoutes);
    CPPUNIT_ASSERT(replica.TryApply(third) == ApplyResult::kApplied);
    CPPUNIT_ASSERT(replica.MayServe());
    CPPUNIT_ASSERT(!replica.last_refusal());
    CPPUNIT_ASSERT(replica.TryApply(third) == ApplyResult::kAlreadyCurrent);
    CPPUNIT_ASSERT(replica.TryApply(second) == ApplyResult::kBelowFloor);
    const Snapshot::Ptr other = BuildSnapshot(3, "[]");
    CPPUNIT_ASSERT(replica.TryApply(other) == ApplyResult::kHashMismatch);
    CPPUNIT_ASSERT(replica.last_refusal()->version == ConfigVersion(1, 3));
    replica.RaiseFloor({1, 2});
    CPPUNIT_ASSERT(replica.floor() == ConfigVersion(1, 3));
    replica.RaiseFloor({2, 1});
    CPPUNIT_ASSERT(!replica.MayServe());
    CPPUNIT_ASSERT(replica.current() == third);
    CPPUNIT_ASSERT(replica.TryApply(Snapshot::Empty()) == ApplyResult::kBelowFloor);
  }

  // Guards against an unbounded number of retained snapshots, and against a delta from a snapshot
  // with another hash.
  void ReplicaServesDeltas() {
    Replica replica;
    for (uint64_t n = 1; n <= kMaxRetainedSnapshots + 1; ++n) {
      replica.TryApply(BuildSnapshot(n, kRoutes));
    }
    CPPUNIT_ASSERT(replica.Find({1, 1}) == nullptr);
    const Snapshot::Ptr second = replica.Find({1, 2});
    Findings findings;
    const auto delta = replica.DeltaFrom(second->version(), second->hash());
    CPPUNIT_ASSERT_EQUAL(replica.current()->hash(), ApplyDelta(*second, *delta, &findings)->hash());
    CPPUNIT_ASSERT(!replica.DeltaFrom(second->version(), replica.current()->hash()));
    CPPUNIT_ASSERT(!replica.DeltaFrom(replica.current()->version(), replica.current()->hash()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}  // namespace
}  // namespace camphorhoist
