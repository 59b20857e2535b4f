#ifndef CAMPHORHOIST_LIBCONFIG_FAKE_STORE_H_
#define CAMPHORHOIST_LIBCONFIG_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/content_hash.h"

namespace camphorhoist {

/// In-memory object store with conditional writes for tests of the acceptance protocol.
class FakeStore {
 public:
  /// Called after each write that took effect.
  using OnApplied = std::function<void(const std::string& key)>;

  void SetOnApplied(OnApplied on_applied) { on_applied_ = std::move(on_applied); }

  ReadResult Read(const std::string& key) const {
    const auto it = objects_.find(key);
    if (it == objects_.end()) return ObjectNotFound{};
    return it->second;
  }

  WriteResult Write(const WriteObject& write) {
    const auto it = objects_.find(write.key);
    const bool exists = it != objects_.end();
    const bool matches =
        write.expected_version ? exists && it->second.version == *write.expected_version : !exists;
    if (!matches) return WriteConflict{};
    objects_[write.key] = ObjectFound{++last_version_, write.body};
    if (on_applied_) on_applied_(write.key);
    return WriteDone{last_version_};
  }

  void Remove(const std::string& key) { objects_.erase(key); }
  void Replace(const std::string& key, const std::string& body) {
    objects_[key] = ObjectFound{++last_version_, body};
  }

  /// Loads the configuration in force as a node does. Returns `Snapshot::Empty()` if there is no
  /// head; adds findings and returns null if an object is missing or invalid.
  Snapshot::Ptr Load(Findings* findings) const {
    const ReadResult result = Read(kHeadObjectKey);
    const auto* found = std::get_if<ObjectFound>(&result);
    if (found == nullptr) return Snapshot::Empty();
    std::optional<ConfigHead> head = DecodeHead(found->body, kHeadObjectKey, findings);
    if (!head) return nullptr;
    SnapshotLoader loader(std::move(*head), nullptr);
    for (const std::string& it : loader.MissingPages()) {
      const ReadResult page = Read(PageObjectKey(it));
      const auto* body = std::get_if<ObjectFound>(&page);
      if (body == nullptr) {
        findings->Add(PageObjectKey(it), "is missing");
        return nullptr;
      }
      if (!loader.AddPage(it, body->body, findings)) return nullptr;
    }
    return loader.Finish(findings);
  }

  /// Adds a finding for each page of `head` that is missing or does not match its hash.
  void CheckPages(const ConfigHead& head, Findings* findings) const {
    for (const std::string& it : head.pages) {
      if (it == ConfigPage::Empty()->hash()) continue;
      const auto page = objects_.find(PageObjectKey(it));
      if (page != objects_.end() && ContentHash(page->second.body) == it) continue;
      findings->Add(PageObjectKey(it), "is missing or does not match its hash");
    }
  }

 private:
  std::map<std::string, ObjectFound> objects_;
  uint64_t last_version_ = 0;
  OnApplied on_applied_;
};

/// Runs `acceptance` to its end on `store`, without faults.
inline AcceptOutcome RunAcceptance(FakeStore* store, Acceptance* acceptance) {
  AcceptEffect effect = acceptance->Start();
  while (true) {
    if (const auto* outcome = std::get_if<AcceptOutcome>(&effect)) return *outcome;
    if (const auto* read = std::get_if<ReadObject>(&effect)) {
      effect = acceptance->OnRead(store->Read(read->key));
    } else {
      effect = acceptance->OnWrite(store->Write(std::get<WriteObject>(effect)));
    }
  }
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_FAKE_STORE_H_
