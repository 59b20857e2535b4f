#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/error.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr milliseconds kShortTimeout{150};

class ObjectStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreTest);
  CPPUNIT_TEST(FaultsMapToErrorCodes);
  CPPUNIT_TEST(WriteTakesEffectAfterClientTimeout);
  CPPUNIT_TEST(RefusedConnectionHasNoEffect);
  CPPUNIT_TEST(UnexpectedResponsesMapToErrorCodes);
  CPPUNIT_TEST(OneOfConcurrentWritesSucceeds);
  CPPUNIT_TEST(CreateNeverOverwrites);
  CPPUNIT_TEST(VersionsIncreaseAcrossDeletion);
  CPPUNIT_TEST(WatchReturnsOnChange);
  CPPUNIT_TEST(WatchReturnsOnTimeoutAndDeletion);
  CPPUNIT_TEST(BodyAndKeyLimitsAreEnforced);
  CPPUNIT_TEST(KeysAndPrefixesAreEncoded);
  CPPUNIT_TEST(NoCallbackAfterDestruction);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting a write that may have been applied as one without effect, or the
  // reverse.
  void FaultsMapToErrorCodes() {
    struct Case {
      const char* name;
      FaultMode mode;
      const char* method;
      Errc error;
      bool applied;
    };
    const Case cases[] = {
        {"down put", FaultMode::kDown, "PUT", Errc::kUnknownEffect, false},
        {"drop put", FaultMode::kDropBefore, "PUT", Errc::kUnknownEffect, false},
        {"lost put", FaultMode::kLostAnswer, "PUT", Errc::kUnknownEffect, true},
        {"down delete", FaultMode::kDown, "DELETE", Errc::kUnknownEffect, false},
        {"drop delete", FaultMode::kDropBefore, "DELETE", Errc::kUnknownEffect, false},
        {"lost delete", FaultMode::kLostAnswer, "DELETE", Errc::kUnknownEffect, true},
        {"down get", FaultMode::kDown, "GET", Errc::kUnavailable, false},
        {"drop get", FaultMode::kDropBefore, "GET", Errc::kUnavailable, false},
        {"lost get", FaultMode::kLostAnswer, "GET", Errc::kUnavailable, false},
    };
    for (const Case& it : cases) {
      TestPlatform platform;
      const auto store = platform.NewStore(kTimeout);
      const ObjectVersion version = platform.Put(store.get(), "a/b", "old", 0).version;
      platform.server.faults().Set({FaultRule{it.mode, 1, milliseconds(0), "a/", {it.method}}});
      CPPUNIT_ASSERT_MESSAGE(it.name, Run(&platform, store.get(), it.method, version) == it.error);
      const StoredObject* object = platform.server.objects().Get("a/b");
      const bool changed = object == nullptr || object->body != "old";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.applied, changed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, uint64_t{1}, platform.server.faults().injected());
    }
  }

  // Guards against treating a write that timed out as one that can no longer take effect.
  void WriteTakesEffectAfterClientTimeout() {
    TestPlatform platform;
    const auto store = platform.NewStore(kShortTimeout);
    platform.server.faults().Set({FaultRule{FaultMode::kSlow, 1, 4 * kShortTimeout, "", {}}});
    const PutResult put = platform.Put(store.get(), "a", "late", 0);
    CPPUNIT_ASSERT(put.error == Errc::kUnknownEffect);
    CPPUNIT_ASSERT(platform.server.objects().Get("a") == nullptr);
    RunUntil(platform.base.get(),
             [&platform] { return platform.server.objects().Get("a") != nullptr; });
  }

  void RefusedConnectionHasNoEffect() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    bool stopped = false;
    platform.server.Stop([&stopped] { stopped = true; });
    RunUntil(platform.base.get(), [&stopped] { return stopped; });
    CPPUNIT_ASSERT(platform.Put(store.get(), "a", "x", 0).error == Errc::kUnavailable);
    CPPUNIT_ASSERT(platform.Get(store.get(), "a").error == Errc::kUnavailable);
    CPPUNIT_ASSERT(platform.Delete(store.get(), "a", 1).error == Errc::kUnavailable);
    CPPUNIT_ASSERT(platform.List(store.get(), "").error == Errc::kUnavailable);
  }

  // Guards against accepting a response without a valid version or with an unexpected status.
  void UnexpectedResponsesMapToErrorCodes() {
    struct Case {
      int status;
      const char* version;
      Errc get;
      Errc put;
    };
    const Case cases[] = {
        {200, "", Errc::kUnavailable, Errc::kUnknownEffect},
        {200, "-1", Errc::kUnavailable, Errc::kUnknownEffect},
        {200, "7x", Errc::kUnavailable, Errc::kUnknownEffect},
        {200, "7", Errc::kOk, Errc::kOk},
        {500, "", Errc::kUnavailable, Errc::kUnknownEffect},
        {502, "", Errc::kUnavailable, Errc::kUnknownEffect},
        {504, "", Errc::kUnavailable, Errc::kUnknownEffect},
        {302, "", Errc::kUnavailable, Errc::kUnknownEffect},
        {503, "", Errc::kUnavailable, Errc::kUnavailable},
        {429, "", Errc::kUnavailable, Errc::kUnavailable},
        {413, "", Errc::kInvalidInput, Errc::kInvalidInput},
        {412, "9", Errc::kConflict, Errc::kConflict},
    };
    TestPlatform platform;
    ServerReply reply;
    HttpListener* server = nullptr;
    HttpListener listener(
        platform.base.get(), kMaxObjectBytes,
        [&](HttpListener::RequestId id, const ServerRequest&) { server->Reply(id, reply); });
    server = &listener;
    CPPUNIT_ASSERT(!listener.Listen(NetAddress("127.0.0.1", 0)));
    HttpObjectStore store(platform.base.get(), listener.address(), kTimeout);
    for (const Case& it : cases) {
      reply.status = it.status;
      reply.headers.clear();
      if (*it.version != '\0') reply.headers.emplace_back(kObjectVersionHeader, it.version);
      const std::string name = std::to_string(it.status) + " version " + it.version;
      CPPUNIT_ASSERT_MESSAGE(name, platform.Get(&store, "a").error == ToErrorCode(it.get));
      CPPUNIT_ASSERT_MESSAGE(name, platform.Put(&store, "a", "x", 1).error == ToErrorCode(it.put));
    }
  }

  // Guards against lost updates: of concurrent writes with the same expected version, only one may
  // succeed.
  void OneOfConcurrentWritesSucceeds() {
    constexpr int kWriters = 8;
    constexpr int kRounds = 10;
    TestPlatform platform;
    std::vector<std::unique_ptr<HttpObjectStore>> stores;
    stores.reserve(kWriters);
    for (int i = 0; i < kWriters; ++i) stores.push_back(platform.NewStore(kTimeout));
    ObjectVersion version = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<PutResult> results;
      for (const auto& it : stores) {
        it->Put("a", "x", version, [&results](PutResult result) { results.push_back(result); });
      }
      RunUntil(platform.base.get(), [&results] { return results.size() == kWriters; });
      const auto winner = std::find_if(results.begin(), results.end(),
                                       [](const PutResult& it) { return !it.error; });
      CPPUNIT_ASSERT(winner != results.end());
      CPPUNIT_ASSERT(winner->version > version);
      version = winner->version;
      for (auto it = results.begin(); it != results.end(); ++it) {
        if (it == winner) continue;
        CPPUNIT_ASSERT(it->error == Errc::kConflict);
        CPPUNIT_ASSERT_EQUAL(version, it->version);
      }
    }
  }

  void CreateNeverOverwrites() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    const PutResult created = platform.Put(store.get(), "a", "first", 0);
    CPPUNIT_ASSERT(!created.error);
    const PutResult second = platform.Put(store.get(), "a", "second", 0);
    CPPUNIT_ASSERT(second.error == Errc::kConflict);
    CPPUNIT_ASSERT_EQUAL(created.version, second.version);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), platform.Get(store.get(), "a").body);
    // An update of an object that does not exist must not create it.
    const PutResult missing = platform.Put(store.get(), "b", "x", 3);
    CPPUNIT_ASSERT(missing.error == Errc::kConflict);
    CPPUNIT_ASSERT_EQUAL(ObjectVersion{0}, missing.version);
    CPPUNIT_ASSERT(platform.Get(store.get(), "b").error == Errc::kNotFound);
  }

  // Guards against a stale expected version that matches an object that was deleted and created
  // again.
  void VersionsIncreaseAcrossDeletion() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    const ObjectVersion first = platform.Put(store.get(), "a", "x", 0).version;
    CPPUNIT_ASSERT(platform.Delete(store.get(), "a", first + 1).error == Errc::kConflict);
    CPPUNIT_ASSERT(!platform.Delete(store.get(), "a", first).error);
    CPPUNIT_ASSERT(platform.Delete(store.get(), "a", first).error == Errc::kNotFound);
    CPPUNIT_ASSERT(platform.Put(store.get(), "a", "y", 0).version > first);
    CPPUNIT_ASSERT(platform.Put(store.get(), "a", "z", first).error == Errc::kConflict);
  }

  void WatchReturnsOnChange() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    std::vector<WatchResult> results;
    const auto collect = [&results](WatchResult it) { results.push_back(std::move(it)); };
    store->Watch("a", 0, kMaxTestWait, collect);
    RunUntil(platform.base.get(), [&] { return platform.server.waiting_watches() == 1; });
    CPPUNIT_ASSERT(!platform.Put(store.get(), "b", "other", 0).error);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, platform.server.waiting_watches());
    const ObjectVersion version = platform.Put(store.get(), "a", "new", 0).version;
    RunUntil(platform.base.get(), [&results] { return results.size() == 1; });
    CPPUNIT_ASSERT(!results[0].error);
    CPPUNIT_ASSERT(results[0].changed);
    CPPUNIT_ASSERT_EQUAL(version, results[0].version);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), results[0].body);
    // A watch reports a change that was made before it started.
    CPPUNIT_ASSERT(platform.Watch(store.get(), "a", version - 1, kMaxTestWait).changed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, platform.server.meter().watch);
  }

  void WatchReturnsOnTimeoutAndDeletion() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    const ObjectVersion version = platform.Put(store.get(), "a", "x", 0).version;
    const WatchResult idle = platform.Watch(store.get(), "a", version, kShortTimeout);
    CPPUNIT_ASSERT(!idle.error);
    CPPUNIT_ASSERT(!idle.changed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, platform.server.meter().watch);

    std::vector<WatchResult> results;
    store->Watch("a", version, kMaxTestWait,
                 [&results](WatchResult it) { results.push_back(std::move(it)); });
    RunUntil(platform.base.get(), [&] { return platform.server.waiting_watches() == 1; });
    CPPUNIT_ASSERT(!platform.Delete(store.get(), "a", version).error);
    RunUntil(platform.base.get(), [&results] { return results.size() == 1; });
    CPPUNIT_ASSERT(results[0].error == Errc::kNotFound);
  }

  void BodyAndKeyLimitsAreEnforced() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    const std::string largest(kMaxObjectBytes, 'x');
    CPPUNIT_ASSERT(!platform.Put(store.get(), "a", largest, 0).error);
    CPPUNIT_ASSERT(platform.Get(store.get(), "a").body == largest);
    const uint64_t calls = platform.server.meter().put;
    CPPUNIT_ASSERT(platform.Put(store.get(), "b", largest + "x", 0).error == Errc::kInvalidInput);
    CPPUNIT_ASSERT_EQUAL(calls, platform.server.meter().put);
    CPPUNIT_ASSERT(platform.Put(store.get(), "", "x", 0).error == Errc::kInvalidInput);
    CPPUNIT_ASSERT(platform.Get(store.get(), std::string(kMaxObjectKeyBytes + 1, 'k')).error ==
                   Errc::kInvalidInput);
  }

  void KeysAndPrefixesAreEncoded() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    const std::string special_key = "config/a b%2F?x=1&y#\xc3\xbc+";
    CPPUNIT_ASSERT(!platform.Put(store.get(), special_key, "odd", 0).error);
    CPPUNIT_ASSERT(!platform.Put(store.get(), "config/head", "head", 0).error);
    CPPUNIT_ASSERT(!platform.Put(store.get(), "configuration", "x", 0).error);
    CPPUNIT_ASSERT_EQUAL(std::string("odd"), platform.Get(store.get(), special_key).body);
    CPPUNIT_ASSERT(platform.server.objects().Get(special_key) != nullptr);
    const ListResult list = platform.List(store.get(), "config/");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, list.entries.size());
    CPPUNIT_ASSERT_EQUAL(special_key, list.entries[0].key);
    CPPUNIT_ASSERT_EQUAL(std::string("config/head"), list.entries[1].key);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, platform.List(store.get(), "config/a b%2F").entries.size());
  }

  // Guards against a callback that runs after its owner was destroyed.
  void NoCallbackAfterDestruction() {
    TestPlatform platform;
    auto store = platform.NewStore(kTimeout);
    int calls = 0;
    store->Get("a", [&calls](const GetResult&) { ++calls; });
    store->Watch("a", 0, kMaxTestWait, [&calls](const WatchResult&) { ++calls; });
    store->Put("", "x", 0, [&calls](const PutResult&) { ++calls; });
    store.reset();
    const auto other = platform.NewStore(kTimeout);
    CPPUNIT_ASSERT(!platform.Put(other.get(), "a", "x", 0).error);
    CPPUNIT_ASSERT_EQUAL(0, calls);
  }

 private:
  // A successful result has a default `std::error_code`, whose category differs from that of
  // `Errc`.
  static std::error_code ToErrorCode(Errc errc) {
    return errc == Errc::kOk ? std::error_code() : make_error_code(errc);
  }

  static std::error_code Run(TestPlatform* platform, ObjectStore* store, const std::string& method,
                             ObjectVersion version) {
    if (method == "PUT") return platform->Put(store, "a/b", "new", version).error;
    if (method == "DELETE") return platform->Delete(store, "a/b", version).error;
    return platform->Get(store, "a/b").error;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreTest);

}  // namespace
}  // namespace camphorhoist
