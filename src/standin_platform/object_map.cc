#include "standin_platform/object_map.h"

#include <utility>

#include "camphorhoist/error.h"

namespace camphorhoist {

const StoredObject* ObjectMap::Get(const std::string& key) const {
  const auto it = objects_.find(key);
  return it == objects_.end() ? nullptr : &it->second;
}

PutResult ObjectMap::Put(const std::string& key, std::string body, ObjectVersion expected_version) {
  PutResult result;
  if (body.size() > kMaxObjectBytes) {
    result.error = Errc::kInvalidInput;
    return result;
  }
  const auto it = objects_.find(key);
  const ObjectVersion current = it == objects_.end() ? 0 : it->second.version;
  if (current != expected_version) {
    result.error = Errc::kConflict;
    result.version = current;
    return result;
  }
  StoredObject& object = objects_[key];
  bytes_ += body.size();
  bytes_ -= object.body.size();
  object.version = ++last_version_;
  object.body = std::move(body);
  result.version = object.version;
  return result;
}

DeleteResult ObjectMap::Delete(const std::string& key, ObjectVersion expected_version) {
  DeleteResult result;
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    result.error = Errc::kNotFound;
    return result;
  }
  if (it->second.version != expected_version) {
    result.error = Errc::kConflict;
    result.version = it->second.version;
    return result;
  }
  bytes_ -= it->second.body.size();
  objects_.erase(it);
  return result;
}

std::vector<ObjectEntry> ObjectMap::List(const std::string& prefix) const {
  std::vector<ObjectEntry> entries;
  for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    entries.push_back({it->first, it->second.version});
  }
  return entries;
}

}  // namespace camphorhoist
