#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

// Tests of the election of the sidecars that watch the store for the others of their data centre.
class StoreWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreWatcherTest);
  CPPUNIT_TEST(TwoSidecarsPerDataCentreWatchStore);
  CPPUNIT_TEST(NewVersionReachesNonWatchingSidecars);
  CPPUNIT_TEST(OtherSidecarsTakeOverWhenWatchersExit);
  CPPUNIT_TEST(DeletedEntryIsRewritten);
  CPPUNIT_TEST(EntriesLostDuringStoreOutageAreRewritten);
  CPPUNIT_TEST(OddEntriesOfOtherWritersAreIgnored);
  CPPUNIT_TEST(OddEntryNamesDoNotHideLaterEntries);
  CPPUNIT_TEST(NewVersionIsInForceAfterSilentStoreOutage);
  CPPUNIT_TEST(NewVersionIsInForceAfterShortSilentStoreOutage);
  CPPUNIT_TEST(EntriesLostDuringSilentStoreOutageAreRewritten);
  CPPUNIT_TEST(SidecarThatStoreRejectsGetsConfigurationFromOthers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kNodes = 10;
  // Two data centres, two watchers in each, two kinds of objects.
  static constexpr size_t kWatches = 8;
  // Calls of three sidecars that watch the store and check its revision, with a margin.
  static constexpr uint64_t kMaxCallsPerSecond = 30;

  static bool HasVersion(SidecarMesh* mesh, size_t i, int version) {
    return mesh->Metrics(i).find("config_version " + std::to_string(version) + "\n") !=
           std::string::npos;
  }

  static void WaitForWatchers(SidecarMesh* mesh) {
    for (size_t i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT(mesh->Pump([&] { return mesh->Ready(i) == 200; }));
    }
    CPPUNIT_ASSERT(mesh->Pump([&] { return mesh->store().watches() == kWatches; }));
  }

 public:
  // Guards against an old configuration, with keys that have been revoked, at a sidecar that the
  // store rejects while it serves the others.
  void SidecarThatStoreRejectsGetsConfigurationFromOthers() {
    for (const auto fault : {FakeStore::Fault::kBusy, FakeStore::Fault::kUnresponsive}) {
      SidecarMesh mesh(3);
      for (size_t i = 0; i < 3; ++i) {
        CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.Ready(i) == 200; }));
      }
      FakeStore rejecting_store(mesh.base());
      rejecting_store.set_fault(fault);
      mesh.Kill(2);
      mesh.at(2).settings.store = rejecting_store.address();
      mesh.Start(2);
      CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, 2, 1); }));
      mesh.PutConfig(5);
      CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, 2, 5); }));
      CPPUNIT_ASSERT(mesh.Ready(2) != 200);
      mesh.Kill(2);
    }
  }

  // Guards against store calls by every sidecar for each change, since store calls are billed.
  void TwoSidecarsPerDataCentreWatchStore() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    mesh.PumpFor(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(kWatches, mesh.store().watches());
  }

  // Guards against a sidecar that keeps an old version because it does not watch the store: a
  // version has to be in force within two seconds, also when versions follow each other quickly.
  void NewVersionReachesNonWatchingSidecars() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    for (const int version : {5, 6, 9}) {
      const auto start = std::chrono::steady_clock::now();
      mesh.PutConfig(version);
      for (size_t i = 0; i < kNodes; ++i) {
        CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, i, version); }));
      }
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(2000));
    }
  }

  // Guards against a data centre without watchers after the processes of its watchers have ended.
  void OtherSidecarsTakeOverWhenWatchersExit() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    std::set<size_t> killed;
    for (size_t i = 0; i < kNodes; ++i) {
      if (mesh.at(i).sidecar->watching()) killed.insert(i);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, killed.size());
    for (const size_t i : killed) mesh.Kill(i);
    mesh.PutConfig(7);
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < kNodes; ++i) {
      if (killed.count(i) != 0) continue;
      CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, i, 7); }));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(2000));
  }

  // Guards against a sidecar that new sidecars cannot find because its entry was deleted.
  void DeletedEntryIsRewritten() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    mesh.PumpFor(milliseconds(1500));
    for (size_t i = 0; i < kNodes; ++i) {
      const std::string node = "node-" + std::to_string(i);
      mesh.store().Delete("sidecars", node);
    }
    for (size_t i = 0; i < kNodes; ++i) {
      const std::string node = "node-" + std::to_string(i);
      CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.store().Spec("sidecars", node).is_object(); }));
    }
  }

  // Guards against entries that remain missing after an outage of the store. They have to be back
  // within two seconds after it recovers.
  void EntriesLostDuringStoreOutageAreRewritten() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    mesh.PumpFor(milliseconds(1500));
    mesh.store().set_fault(FakeStore::Fault::kBusy);
    mesh.store().DropHistory();
    for (size_t i = 0; i < kNodes; ++i) {
      mesh.store().Delete("sidecars", "node-" + std::to_string(i));
    }
    mesh.PumpFor(milliseconds(3000));
    mesh.store().set_fault(FakeStore::Fault::kNone);
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < kNodes; ++i) {
      const std::string node = "node-" + std::to_string(i);
      CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.store().Spec("sidecars", node).is_object(); }));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(2000));
  }

  // Guards against sidecars that end, or stop following the list of entries, because another writer
  // left an entry that cannot be parsed: nested very deeply, or with a number or port that is too
  // large.
  void OddEntriesOfOtherWritersAreIgnored() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    const std::string deep(100000, '[');
    mesh.store().PutText("sidecars", "a-deep", deep + std::string(deep.size(), ']'));
    mesh.store().PutText("sidecars", "b-number",
                         R"({"address":"127.0.0.1:80","departures":[{"started_ms":1e999}]})");
    mesh.store().PutText("sidecars", "z-port", R"({"address":"127.0.0.1:70000"})");
    mesh.PumpFor(milliseconds(4000));
    mesh.store().Delete("sidecars", "node-3");
    CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.store().Spec("sidecars", "node-3").is_object(); }));
    mesh.Kill(4);
    mesh.Start(4);
    CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.Ready(4) == 200; }));
    mesh.PutConfig(5);
    for (size_t i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, i, 5); }));
    }
  }

  // Guards against a list of entries that cannot be continued after the name of an entry that
  // another writer has created, so that a restarted sidecar does not find the others.
  void OddEntryNamesDoNotHideLaterEntries() {
    for (const char* suffix : {" z", "&after=z", "#", "%7e", "\r\nX: y", "\xc3\xa9"}) {
      SidecarMesh mesh(3);
      for (size_t i = 0; i < 3; ++i) mesh.SendHeartbeat(i);
      mesh.WaitUntilServing(0);
      mesh.store().set_page_size(1);
      mesh.store().set_max_calls(mesh.store().calls() + 1000);
      mesh.store().Put("sidecars", std::string("node-0") + suffix, {{"address", "127.0.0.1:1"}});
      mesh.Kill(1);
      mesh.Start(1);
      CPPUNIT_ASSERT_MESSAGE(suffix, mesh.Pump([&] { return mesh.Ready(1) == 200; }));
      const uint64_t calls = mesh.store().calls();
      mesh.PumpFor(milliseconds(1000));
      CPPUNIT_ASSERT_MESSAGE(suffix, mesh.store().calls() < calls + kMaxCallsPerSecond);
    }
  }

  // Guards against watches that wait for a response which the store lost in an outage, while their
  // connections stay open: a version that the store acknowledged after the outage was in force up
  // to 20 s late.
  void NewVersionIsInForceAfterSilentStoreOutage() { CheckVersionAfterSilence(milliseconds(4000)); }

  // The same if the outage is too short for a call to fail in it.
  void NewVersionIsInForceAfterShortSilentStoreOutage() {
    CheckVersionAfterSilence(milliseconds(100));
  }

  // Guards against entries that remain missing after an outage in which the store lost the
  // responses of the watches. They have to be back within two seconds after it recovers.
  void EntriesLostDuringSilentStoreOutageAreRewritten() {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    mesh.PumpFor(milliseconds(1500));
    mesh.store().set_fault(FakeStore::Fault::kUnresponsive);
    for (size_t i = 0; i < kNodes; ++i) {
      mesh.store().Delete("sidecars", "node-" + std::to_string(i));
    }
    mesh.PumpFor(milliseconds(3000));
    mesh.store().set_fault(FakeStore::Fault::kNone);
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < kNodes; ++i) {
      const std::string node = "node-" + std::to_string(i);
      CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.store().Spec("sidecars", node).is_object(); }));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(2000));
  }

 private:
  // A version that is written 0.5 s after the outage has to be in force everywhere 2 s after it was
  // written, or 3 s after the outage, whichever is later.
  static void CheckVersionAfterSilence(milliseconds outage) {
    SidecarMesh mesh(kNodes);
    WaitForWatchers(&mesh);
    mesh.PumpFor(milliseconds(1500));
    mesh.store().set_fault(FakeStore::Fault::kUnresponsive);
    mesh.PumpFor(outage);
    mesh.store().set_fault(FakeStore::Fault::kNone);
    const auto end_of_outage = std::chrono::steady_clock::now();
    mesh.PumpFor(milliseconds(500));
    mesh.PutConfig(5);
    for (size_t i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return HasVersion(&mesh, i, 5); }));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - end_of_outage < milliseconds(3000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatcherTest);

}  // namespace
}  // namespace camphorhoist
