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

/// Version of one object. 0 means that the object does not exist. Versions of one key only
/// increase, also across a deletion and a new creation.
using ObjectVersion = uint64_t;

/// Largest body of an object, in bytes. The platform refuses larger values.
constexpr size_t kMaxObjectBytes = 1 << 20;
/// Largest key, in bytes before percent-encoding.
constexpr size_t kMaxObjectKeyBytes = 512;

struct GetResult {
  /// `kNotFound`, `kInvalidInput`, `kBudgetExhausted` or `kUnavailable`.
  std::error_code error;
  ObjectVersion version = 0;
  std::string body;
};

struct PutResult {
  /// `kConflict`, `kInvalidInput`, `kBudgetExhausted` and `kUnavailable` mean no effect;
  /// `kUnknownEffect` means that the write may have been applied, or may still be.
  std::error_code error;
  /// The new version; with `kConflict` the current one (0: the object does not exist).
  ObjectVersion version = 0;
};

struct WatchResult {
  /// `kNotFound` if the object was deleted after `after_version`; otherwise as in `GetResult`.
  std::error_code error;
  /// False if the timeout passed without a change; `version` and `body` are then empty.
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
  /// As in `PutResult`, and `kNotFound`.
  std::error_code error;
  /// With `kConflict` the current version.
  ObjectVersion version = 0;
};

/// The platform's object API: versioned values with conditional updates and watches.
///
/// Each callback runs exactly once on the event loop, never from inside the call that started it;
/// after destruction of the store no callback runs. The store must not be destroyed from inside a
/// callback. Writes are never repeated by a store.
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

  /// Writes `body` if the object is at `expected_version`; 0 creates the object and never
  /// overwrites. A body above `kMaxObjectBytes` is refused with `kInvalidInput` before sending.
  virtual void Put(const std::string& key, std::string body, ObjectVersion expected_version,
                   PutCallback callback) = 0;

  /// Waits until the object has a version above `after_version`, for at most `timeout`. With
  /// `after_version` 0 it waits for the creation.
  virtual void Watch(const std::string& key, ObjectVersion after_version,
                     std::chrono::milliseconds timeout, WatchCallback callback) = 0;

  /// Lists the objects whose key starts with `prefix`.
  virtual void List(const std::string& prefix, ListCallback callback) = 0;

  /// Removes the object if it is at `expected_version`.
  virtual void Delete(const std::string& key, ObjectVersion expected_version,
                      DeleteCallback callback) = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_OBJECT_STORE_H_
