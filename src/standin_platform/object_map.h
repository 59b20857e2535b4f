#ifndef CAMPHORHOIST_STANDIN_PLATFORM_OBJECT_MAP_H_
#define CAMPHORHOIST_STANDIN_PLATFORM_OBJECT_MAP_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/object_store.h"

namespace camphorhoist {

struct StoredObject {
  ObjectVersion version = 0;
  std::string body;
};

/// In-memory object store with conditional updates. All keys share one version counter, so that an
/// object that is deleted and created again gets a higher version than before. Thread safety: none.
class ObjectMap {
 public:
  /// Returns the object, or null if there is none. The pointer is valid until the next change.
  const StoredObject* Get(const std::string& key) const;

  /// Stores the object if its current version is `expected_version` (0 if there is none). Otherwise
  /// fails with `kConflict` and the current version, or with `kInvalidInput` if the body is too
  /// large.
  PutResult Put(const std::string& key, std::string body, ObjectVersion expected_version);
  DeleteResult Delete(const std::string& key, ObjectVersion expected_version);
  /// Returns the keys with this prefix and their versions, in key order.
  std::vector<ObjectEntry> List(const std::string& prefix) const;

  size_t size() const { return objects_.size(); }
  /// Sum of the sizes of all bodies.
  size_t bytes() const { return bytes_; }

 private:
  std::map<std::string, StoredObject> objects_;
  ObjectVersion last_version_ = 0;
  size_t bytes_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_PLATFORM_OBJECT_MAP_H_
