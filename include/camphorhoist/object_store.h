#ifndef CAMPHORHOIST_OBJECT_STORE_H_
#define CAMPHORHOIST_OBJECT_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace camphorhoist {

/// Version of one object; 0 if the object does not exist. The versions of a key increase with each
/// write, also when the object is deleted and created again.
using ObjectVersion = uint64_t;

/// Maximum size of an object's body, in bytes. The platform refuses larger ones.
constexpr size_t kMaxObjectBytes = 1 << 20;
/// Maximum size of a key, in bytes before percent-encoding.
constexpr size_t kMaxObjectKeyBytes = 512;

struct GetResult {
  /// `kNotFound`, `kInvalidInput`, `kBudgetExhausted` or `kUnavailable`.
  std::error_code error;
  ObjectVersion version = 0;
  std::string body;
};

struct PutResult {
  /// `kConflict`, `kInvalidInput`, `kBudgetExhausted` and `kUnavailable` mean that the write had no
  /// effect; `kUnknownEffect` means that it may have taken effect or may still do so.
  std::error_code error;
  /// The new version; with `kConflict` the current one, 0 if the object does not exist.
  ObjectVersion version = 0;
};

struct WatchResult {
  /// `kNotFound` if the object was deleted after `after_version`; otherwise as in `GetResult`.
  std::error_code error;
  /// False if the timeout passed without a change; `version` is then 0 and `body` empty.
  bool changed = false;
  ObjectVersion version = 0;
  std::string body;
};

struct ObjectEntry {
  std::string key;
  ObjectVersion version = 0;
};

struct ListResult {
  /// `kInvalidInput`, `kBudgetExhausted` or `kUnavailable`.
  std::error_code error;
  /// In ascending order of keys.
  std::vector<ObjectEntry> entries;
};

struct DeleteResult {
  /// As in `PutResult`, or `kNotFound`.
  std::error_code error;
  /// With `kConflict` the current version.
  ObjectVersion version = 0;
};

/// The platform's object store: versioned objects with conditional writes and watches.
///
/// Each callback runs exactly once on the event loop, never from inside the call that started it.
/// No callback runs after destruction of the store. A callback must not destroy the store. A store
/// never retries a write.
///
/// Thread safety: none; use on the thread of the event loop.
class ObjectStore {
 public:
  using GetCallback = std::function<void(GetResult)>;
  using PutCallback = std::function<void(PutResult)>;
  using WatchCallback = std::function<void(WatchResult)>;
  using ListCallback = std::function<void(ListResult)>;
  using DeleteCallback = std::function<void(DeleteResult)>;

  virtual ~ObjectStore() = default;

  virtual void Get(const std::string& key, GetCallback callback) = 0;

  /// Writes `body` if the current version is `expected_version`; 0 creates the object and never
  /// overwrites one. A body above `kMaxObjectBytes` fails with `kInvalidInput` and is not sent.
  virtual void Put(const std::string& key, std::string body, ObjectVersion expected_version,
                   PutCallback callback) = 0;

  /// Waits for at most `timeout` until the object has a version above `after_version`. If
  /// `after_version` is 0, waits until the object exists.
  virtual void Watch(const std::string& key, ObjectVersion after_version,
                     std::chrono::milliseconds timeout, WatchCallback callback) = 0;

  /// Lists the objects whose key starts with `prefix`.
  virtual void List(const std::string& prefix, ListCallback callback) = 0;

  /// Deletes the object if its current version is `expected_version`.
  virtual void Delete(const std::string& key, ObjectVersion expected_version,
                      DeleteCallback callback) = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_OBJECT_STORE_H_
