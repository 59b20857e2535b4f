#ifndef CAMPHORHOIST_LIBPLATFORM_HTTP_OBJECT_STORE_H_
#define CAMPHORHOIST_LIBPLATFORM_HTTP_OBJECT_STORE_H_

#include <chrono>
#include <functional>
#include <string>

#include "camphorhoist/net_address.h"
#include "camphorhoist/object_store.h"
#include "libbase/http_client.h"
#include "libbase/mailbox.h"

namespace camphorhoist {

/// Response header of the platform with the version of the object.
constexpr char kObjectVersionHeader[] = "X-Object-Version";

/// `ObjectStore` over the platform's HTTP API, see docs/operators/platform.md. Sends each call
/// once, without a retry.
class HttpObjectStore : public ObjectStore {
 public:
  /// `timeout` limits each call; for a watch it is added to the timeout of the watch.
  /// Precondition: `base` outlives the store.
  HttpObjectStore(event_base* base, NetAddress platform, std::chrono::milliseconds timeout);

  void Get(const std::string& key, GetCallback callback) override;
  void Put(const std::string& key, std::string body, ObjectVersion expected_version,
           PutCallback callback) override;
  void Watch(const std::string& key, ObjectVersion after_version, std::chrono::milliseconds timeout,
             WatchCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  void Delete(const std::string& key, ObjectVersion expected_version,
              DeleteCallback callback) override;

 private:
  NetAddress platform_;
  std::chrono::milliseconds timeout_;
  HttpClient client_;
  Mailbox<std::function<void()>> deferred_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_HTTP_OBJECT_STORE_H_
