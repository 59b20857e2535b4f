#ifndef CAMPHORHOIST_LIBPLATFORM_PLATFORM_FIXTURE_H_
#define CAMPHORHOIST_LIBPLATFORM_PLATFORM_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "camphorhoist/object_store.h"
#include "libbase/event_ptr.h"
#include "libplatform/http_object_store.h"
#include "standin_platform/platform_server.h"

namespace camphorhoist {

/// Maximum time that a test waits for a condition before it fails.
constexpr std::chrono::seconds kMaxTestWait{20};

/// Runs the event loop until `done` returns true; fails the test after `kMaxTestWait`.
inline void RunUntil(event_base* base, const std::function<bool()>& done) {
  bool expired = false;
  Timer limit(base, [&expired] { expired = true; });
  limit.StartOnce(kMaxTestWait);
  while (!done() && !expired) event_base_loop(base, EVLOOP_ONCE);
  CPPUNIT_ASSERT_MESSAGE("the condition did not come true", done());
}

/// Starts an asynchronous call, runs the event loop until its callback runs and returns the result.
template <typename Result>
Result Await(event_base* base, const std::function<void(std::function<void(Result)>)>& start) {
  std::optional<Result> result;
  start([&result](Result value) { result = std::move(value); });
  RunUntil(base, [&result] { return result.has_value(); });
  return std::move(*result);
}

/// The stand-in platform on a loopback port, with blocking wrappers of the object store calls.
/// `base` is declared first, because `server` must be destroyed before it.
struct TestPlatform {
  TestPlatform() : base(event_base_new()), server(base.get()) {
    const std::error_code ec = server.Listen(NetAddress("127.0.0.1", 0));
    CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec);
  }

  std::unique_ptr<HttpObjectStore> NewStore(std::chrono::milliseconds timeout) {
    return std::make_unique<HttpObjectStore>(base.get(), server.address(), timeout);
  }
  GetResult Get(ObjectStore* store, const std::string& key) const {
    return Await<GetResult>(base.get(), [&](auto done) { store->Get(key, std::move(done)); });
  }
  PutResult Put(ObjectStore* store, const std::string& key, const std::string& body,
                ObjectVersion expected) const {
    return Await<PutResult>(base.get(),
                            [&](auto done) { store->Put(key, body, expected, std::move(done)); });
  }
  WatchResult Watch(ObjectStore* store, const std::string& key, ObjectVersion after,
                    std::chrono::milliseconds timeout) const {
    return Await<WatchResult>(
        base.get(), [&](auto done) { store->Watch(key, after, timeout, std::move(done)); });
  }
  ListResult List(ObjectStore* store, const std::string& prefix) const {
    return Await<ListResult>(base.get(), [&](auto done) { store->List(prefix, std::move(done)); });
  }
  DeleteResult Delete(ObjectStore* store, const std::string& key, ObjectVersion expected) const {
    return Await<DeleteResult>(base.get(),
                               [&](auto done) { store->Delete(key, expected, std::move(done)); });
  }

  EventBasePtr base;
  PlatformServer server;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_PLATFORM_FIXTURE_H_
