#include "camphorhoist/config_head.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorhoist/change_set.h"
#include "camphorhoist/content_hash.h"
#include "libconfig/json_reader.h"

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr int64_t kMaxVersionNumber = std::numeric_limits<int64_t>::max();
/// Upper bound of the schema field. Schemas above `kMaxSchema` must be readable so that a node can
/// report why it does not apply the configuration of the head.
constexpr int64_t kMaxReadableSchema = 1000;

bool IsContentHash(const std::string& text) {
  return text.size() == kHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void ReadPages(JsonReader* reader, ConfigHead* head, Findings* findings) {
  if (reader->RequiredValue("pages") == nullptr) return;
  const std::optional<std::vector<std::string>> pages = reader->Strings("pages");
  if (!pages) return;
  if (pages->size() != kPageCount || !std::all_of(pages->begin(), pages->end(), IsContentHash)) {
    findings->Add(reader->PlaceOf("pages"), "must be 64 SHA-256 hashes of 64 hexadecimal digits");
    return;
  }
  std::copy(pages->begin(), pages->end(), head->pages.begin());
}

RecentChangeSet ReadRecentChangeSet(const json& value, const std::string& place,
                                    Findings* findings) {
  JsonReader reader(value, place, findings);
  RecentChangeSet change_set;
  change_set.id = reader.RequiredString("id");
  change_set.number = static_cast<uint64_t>(reader.RequiredInteger("number", 1, kMaxVersionNumber));
  if (reader.Has("id") && value["id"].is_string() && !IsValidChangeSetId(change_set.id)) {
    findings->Add(reader.PlaceOf("id"), "is not a change set id");
  }
  reader.Finish();
  return change_set;
}

void ReadRecentChangeSets(JsonReader* reader, ConfigHead* head, Findings* findings) {
  const json* items = reader->RequiredArray("recent");
  if (items == nullptr) return;
  const std::string place = reader->PlaceOf("recent");
  if (items->size() > kMaxRecentChangeSets) {
    findings->Add(place, "must have at most 128 entries");
    return;
  }
  for (size_t n = 0; n < items->size(); ++n) {
    const std::string item_place = place + "[" + std::to_string(n) + "]";
    head->recent_change_sets.push_back(ReadRecentChangeSet((*items)[n], item_place, findings));
    const uint64_t number = head->recent_change_sets.back().number;
    const uint64_t previous = n == 0 ? 0 : head->recent_change_sets[n - 1].number;
    if (number > previous && number <= head->version.number()) continue;
    findings->Add(item_place + ".number",
                  "must be above that of the previous entry and at most the number of the head");
  }
}

}  // namespace

const char kHeadObjectKey[] = "config/head";

std::optional<uint64_t> ConfigHead::AcceptedNumber(const std::string& change_set_id) const {
  for (const RecentChangeSet& it : recent_change_sets) {
    if (it.id == change_set_id) return it.number;
  }
  return std::nullopt;
}

bool ConfigHead::ListsAllChangeSetsFrom(uint64_t number) const {
  if (number > version.number()) return true;
  if (recent_change_sets.empty() || recent_change_sets.front().number > number) return false;
  // Each accepted change set increments the number by one, so a gap means that entries are missing.
  return recent_change_sets.back().number == version.number() &&
         recent_change_sets.back().number - recent_change_sets.front().number + 1 ==
             recent_change_sets.size();
}

ConfigHead MakeHead(const Snapshot& next, std::vector<RecentChangeSet> recent_change_sets,
                    const std::string& change_set_id) {
  ConfigHead head;
  head.version = next.version();
  for (size_t n = 0; n < kPageCount; ++n) head.pages[n] = next.pages()[n]->hash();
  head.recent_change_sets = std::move(recent_change_sets);
  head.recent_change_sets.push_back({change_set_id, next.version().number()});
  if (head.recent_change_sets.size() > kMaxRecentChangeSets) {
    const auto excess =
        static_cast<std::ptrdiff_t>(head.recent_change_sets.size() - kMaxRecentChangeSets);
    head.recent_change_sets.erase(head.recent_change_sets.begin(),
                                  head.recent_change_sets.begin() + excess);
  }
  head.schema = next.schema();
  return head;
}

std::string EncodeHead(const ConfigHead& head) {
  std::string text = "{\"epoch\":" + std::to_string(head.version.epoch());
  text += ",\"number\":" + std::to_string(head.version.number());
  text += ",\"pages\":[";
  for (size_t n = 0; n < kPageCount; ++n) {
    text += n == 0 ? "\"" : ",\"";
    text += head.pages[n] + "\"";
  }
  text += "],\"recent\":[";
  for (const RecentChangeSet& it : head.recent_change_sets) {
    if (text.back() != '[') text += ',';
    text += "{\"id\":" + json(it.id).dump() + ",\"number\":" + std::to_string(it.number) + "}";
  }
  text += "],\"schema\":" + std::to_string(head.schema) + "}";
  return text;
}

std::optional<ConfigHead> DecodeHead(const std::string& text, const std::string& place,
                                     Findings* findings) {
  Findings errors;
  ConfigHead head;
  if (text.size() > kMaxConfigObjectBytes) {
    errors.Add(place, "is larger than 1000000 bytes");
  } else if (const std::optional<json> value =
                 ParseJson(text, place, &errors, DuplicateFieldCheck::kOff)) {
    JsonReader reader(*value, place, &errors);
    const int64_t epoch = reader.RequiredInteger("epoch", 1, kMaxVersionNumber);
    const int64_t number = reader.RequiredInteger("number", 1, kMaxVersionNumber);
    head.version = ConfigVersion(static_cast<uint64_t>(epoch), static_cast<uint64_t>(number));
    ReadPages(&reader, &head, &errors);
    ReadRecentChangeSets(&reader, &head, &errors);
    head.schema = static_cast<int>(reader.RequiredInteger("schema", 1, kMaxReadableSchema));
    reader.Finish();
    if (errors.empty() && EncodeHead(head) != text) errors.Add(place, "is not in canonical form");
  }
  findings->Append(errors);
  if (!errors.empty()) return std::nullopt;
  return head;
}

SnapshotLoader::SnapshotLoader(ConfigHead head, Snapshot::Ptr base)
    : head_(std::move(head)), base_(std::move(base)) {
  for (size_t n = 0; n < kPageCount; ++n) {
    if (head_.pages[n] == ConfigPage::Empty()->hash()) {
      pages_[n] = ConfigPage::Empty();
    } else if (base_ != nullptr && base_->pages()[n]->hash() == head_.pages[n]) {
      pages_[n] = base_->pages()[n];
    }
  }
}

std::optional<std::string> SnapshotLoader::NextMissingPage() const {
  for (size_t n = 0; n < kPageCount; ++n) {
    if (pages_[n] == nullptr) return head_.pages[n];
  }
  return std::nullopt;
}

std::vector<std::string> SnapshotLoader::MissingPages() const {
  std::vector<std::string> hashes;
  for (size_t n = 0; n < kPageCount; ++n) {
    if (pages_[n] != nullptr) continue;
    if (std::find(hashes.begin(), hashes.end(), head_.pages[n]) != hashes.end()) continue;
    hashes.push_back(head_.pages[n]);
  }
  return hashes;
}

bool SnapshotLoader::AddPage(const std::string& hash, const std::string& body, Findings* findings) {
  const std::string place = PageObjectKey(hash);
  if (ContentHash(body) != hash) {
    findings->Add(place, "has a body that does not match its hash");
    return false;
  }
  for (size_t n = 0; n < kPageCount; ++n) {
    if (pages_[n] != nullptr || head_.pages[n] != hash) continue;
    pages_[n] = ConfigPage::Decode(n, body, place, findings);
    if (pages_[n] == nullptr) return false;
  }
  return true;
}

Snapshot::Ptr SnapshotLoader::Finish(Findings* findings) const {
  Findings errors;
  Snapshot::Ptr snapshot = Snapshot::FromPages(head_.version, pages_, base_.get(), &errors);
  if (snapshot != nullptr && snapshot->schema() != head_.schema) {
    errors.Add(std::string(kHeadObjectKey) + ".schema", "is " + std::to_string(head_.schema) +
                                                            ", but the records use schema " +
                                                            std::to_string(snapshot->schema()));
  }
  findings->Append(errors);
  return errors.empty() ? snapshot : nullptr;
}

}  // namespace camphorhoist
