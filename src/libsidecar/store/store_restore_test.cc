#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libsidecar/store/store_sync.h"
#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A `StoreSync` that watches a store, and what it has reported.
class WatchingSync {
 public:
  WatchingSync(event_base* base, FakeStore* store, bool watches = true) {
    SidecarSettings settings;
    settings.node = "self";
    settings.data_centre = "a";
    settings.store = store->address();
    settings.peer_listen = NetAddress("127.0.0.1", 1);
    StoreSync::Handlers handlers;
    handlers.on_config = [](const std::shared_ptr<const MeshConfig>&) {};
    handlers.on_entry = [this](const SidecarEntry& it) { entries[it.node] = it; };
    handlers.on_entry_removed = [this](const std::string& it) { removed.insert(it); };
    handlers.on_entries_listed = [this](const std::set<std::string>& it) { listed.push_back(it); };
    handlers.on_entries_complete = [this] { ++completed; };
    handlers.on_store_status = [] {};
    handlers.on_own_entry = [](const SidecarEntry&) {};
    handlers.on_store_restored = [this] { ++restored; };
    sync = std::make_unique<StoreSync>(base, settings, std::move(handlers));
    sync->Start();
    CPPUNIT_ASSERT(PumpUntil(base, [this] { return sync->joined(); }));
    if (!watches) return;
    sync->SetWatching(true);
    CPPUNIT_ASSERT(PumpUntil(base, [store] { return store->watches() == 2; }));
  }

  std::map<std::string, SidecarEntry> entries;
  std::set<std::string> removed;
  std::vector<std::set<std::string>> listed;
  int completed = 0;
  int restored = 0;
  std::unique_ptr<StoreSync> sync;
};

// Tests of a store that is restored from an older copy.
class StoreRestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRestoreTest);
  CPPUNIT_TEST(ConfigVersionDoesNotDecrease);
  CPPUNIT_TEST(OwnEntryWithDeparturesIsWrittenAgain);
  CPPUNIT_TEST(MissingEntriesOfOthersAreKeptForAWhile);
  CPPUNIT_TEST(WatchesStartAgainAtReusedRevisions);
  CPPUNIT_TEST(EntriesAreCompleteWithoutWatching);
  CPPUNIT_TEST(LostSidecarsAreNamedByOthers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kNodes = 8;

 public:
  // Guards against rate limits that stay cautious for seconds after a restart at every sidecar that
  // does not watch the store, since it never knows that it has read all entries.
  void EntriesAreCompleteWithoutWatching() {
    const EventBasePtr base = NewPreciseEventBase();
    FakeStore store(base.get());
    const WatchingSync sync(base.get(), &store, false);
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return sync.completed > 0; }));
    CPPUNIT_ASSERT_EQUAL(1, sync.completed);
    CPPUNIT_ASSERT(sync.listed.empty());
  }

  // Guards against a sidecar that counts as lost although its process was started after another one
  // had lost it, and against lost ones that are not written or not recognized.
  void LostSidecarsAreNamedByOthers() {
    const EventBasePtr base = NewPreciseEventBase();
    FakeStore store(base.get());
    store.Put("sidecars", "lost", EntryAt(2));
    store.Put("sidecars", "started-again", EntryAt(3));
    nlohmann::json other = EntryAt(4);
    other["lost"] = {"lost", "started-again"};
    store.Put("sidecars", "other", other);
    nlohmann::json started_again = EntryAt(3);
    started_again["started_ms"] = 1;
    store.Put("sidecars", "started-again", started_again);
    const WatchingSync sync(base.get(), &store, false);
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return sync.completed > 0; }));
    CPPUNIT_ASSERT(sync.entries.at("lost").is_lost);
    CPPUNIT_ASSERT(!sync.entries.at("started-again").is_lost);
    CPPUNIT_ASSERT(!sync.entries.at("other").is_lost);
    sync.sync->SetLost({"lost"});
    const nlohmann::json expected = {"lost"};
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] {
      const nlohmann::json spec = store.Spec("sidecars", "self");
      return spec.contains("lost") && spec["lost"] == expected;
    }));
  }

 private:
  static bool AllHaveVersion(SidecarMesh* mesh, int version) {
    const std::string text = "config_version " + std::to_string(version) + "\n";
    for (size_t i = 0; i < kNodes; ++i) {
      if (mesh->Metrics(i).find(text) == std::string::npos) return false;
    }
    return true;
  }

  static void WaitUntilReady(SidecarMesh* mesh) {
    for (size_t i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT(mesh->Pump([&] { return mesh->Ready(i) == 200; }));
    }
    mesh->PumpFor(milliseconds(1500));
  }

  static void Restore(SidecarMesh* mesh, FakeStore::Fault outage) {
    mesh->store().set_fault(outage);
    mesh->PumpFor(milliseconds(700));
    mesh->store().RestoreCopy();
    mesh->store().set_fault(FakeStore::Fault::kNone);
  }

  static nlohmann::json EntryAt(int port) {
    return {{"address", "127.0.0.1:" + std::to_string(port)}, {"data_centre", "a"}};
  }

 public:
  // Guards against an older configuration that becomes active again, and against sidecars that do
  // not see the versions which follow, because their watches wait for a revision of before.
  void ConfigVersionDoesNotDecrease() {
    SidecarMesh mesh(kNodes);
    WaitUntilReady(&mesh);
    mesh.store().SaveCopy();
    mesh.PutConfig(5);
    CPPUNIT_ASSERT(mesh.Pump([&] { return AllHaveVersion(&mesh, 5); }));
    Restore(&mesh, FakeStore::Fault::kBusy);
    const auto end = steady_clock::now() + milliseconds(3000);
    while (steady_clock::now() < end) {
      CPPUNIT_ASSERT(AllHaveVersion(&mesh, 5));
      mesh.PumpFor(milliseconds(50));
    }
    auto start = steady_clock::now();
    mesh.PutConfig(6);
    CPPUNIT_ASSERT(mesh.Pump([&] { return AllHaveVersion(&mesh, 6); }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(2000));
    // The next version gets a revision that the watches have passed before.
    mesh.PumpFor(milliseconds(1500));
    mesh.store().SaveCopy();
    mesh.PutConfig(7);
    CPPUNIT_ASSERT(mesh.Pump([&] { return AllHaveVersion(&mesh, 7); }));
    mesh.store().RestoreCopy();
    start = steady_clock::now();
    mesh.PutConfig(8);
    for (int i = 0; i < 10; ++i) mesh.store().Put("other", "x", i);
    CPPUNIT_ASSERT(mesh.Pump([&] { return AllHaveVersion(&mesh, 8); }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(2000));
  }

  // Guards against entries and departures that remain lost with the newer state of the store. They
  // have to be back within two seconds.
  void OwnEntryWithDeparturesIsWrittenAgain() {
    for (const auto outage : {FakeStore::Fault::kBusy, FakeStore::Fault::kUnresponsive}) {
      SidecarMesh mesh(kNodes);
      // The copy has no entries of sidecars, or those without the departure.
      if (outage == FakeStore::Fault::kBusy) mesh.store().SaveCopy();
      WaitUntilReady(&mesh);
      mesh.SendHeartbeat(1);
      if (outage != FakeStore::Fault::kBusy) mesh.store().SaveCopy();
      const auto complete = [&] {
        for (size_t i = 0; i < kNodes; ++i) {
          const auto spec = mesh.store().Spec("sidecars", "node-" + std::to_string(i));
          if (!spec.is_object() || spec["departures"].size() != (i == 1 ? 1 : 0)) return false;
        }
        return true;
      };
      mesh.Deregister(1);
      CPPUNIT_ASSERT(mesh.Pump(complete));
      Restore(&mesh, outage);
      CPPUNIT_ASSERT(!complete());
      const auto start = steady_clock::now();
      CPPUNIT_ASSERT(mesh.Pump(complete));
      CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(2000));
    }
  }

  // Guards against VMs that are taken for terminated because the restored store does not have their
  // entries yet, and against entries that are never removed.
  void MissingEntriesOfOthersAreKeptForAWhile() {
    const EventBasePtr base = NewPreciseEventBase();
    FakeStore store(base.get());
    store.SaveCopy();
    store.Put("sidecars", "again", EntryAt(2));
    store.Put("sidecars", "gone", EntryAt(3));
    WatchingSync sync(base.get(), &store);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, sync.entries.size());
    sync.entries.clear();
    store.RestoreCopy();
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return sync.restored == 1; }));
    sync.listed.clear();
    const auto restored = steady_clock::now();
    PumpUntil(base.get(), [&] { return steady_clock::now() - restored > milliseconds(1000); });
    store.Put("sidecars", "again", EntryAt(2));
    PumpUntil(base.get(), [&] { return steady_clock::now() - restored > milliseconds(2000); });
    CPPUNIT_ASSERT(sync.listed.empty() && sync.removed.empty());
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return !sync.listed.empty(); }));
    CPPUNIT_ASSERT(sync.listed.back() == (std::set<std::string>{"again", "self"}));
    CPPUNIT_ASSERT(sync.entries.count("again") == 1 && sync.removed.empty());
  }

  // Guards against changes that are missed because they have a revision which the watch has passed
  // before the store was restored.
  void WatchesStartAgainAtReusedRevisions() {
    const EventBasePtr base = NewPreciseEventBase();
    FakeStore store(base.get());
    WatchingSync sync(base.get(), &store);
    store.SaveCopy();
    for (int i = 0; i < 3; ++i) {
      store.Put("sidecars", "lost-" + std::to_string(i), EntryAt(10 + i));
      const std::string name = "lost-" + std::to_string(i);
      CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return sync.entries.count(name) == 1; }));
    }
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return store.watches() == 2; }));
    store.RestoreCopy();
    // The last of these revisions is newer than the one from which the watch continues.
    for (int i = 0; i < 5; ++i) {
      store.Put("sidecars", "new-" + std::to_string(i), EntryAt(20 + i));
    }
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return sync.entries.size() == 8; }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(2000));
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return store.watches() == 2; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);

}  // namespace
}  // namespace camphorhoist
