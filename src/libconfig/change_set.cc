#include "camphorhoist/change_set.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "libconfig/json_reader.h"
#include "libconfig/record_builder.h"

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr size_t kMaxChangeSetIdLength = 128;

std::string ChangePlace(const std::string& place, size_t n) {
  return place + "changes[" + std::to_string(n) + "]";
}

std::optional<uint64_t> ReadPrecondition(JsonReader* reader, Findings* findings) {
  const bool unconditional = reader->Boolean("unconditional", false);
  if (unconditional && reader->Has("read_version")) {
    findings->Add(reader->place(), "has both \"read_version\" and \"unconditional\"");
  }
  if (unconditional) return std::nullopt;
  return reader->RequiredInteger("read_version", 0, std::numeric_limits<int64_t>::max());
}

std::optional<Change> ReadUpsert(JsonReader* reader, std::optional<uint64_t> read_version,
                                 Findings* findings) {
  const json* value = reader->RequiredValue("upsert");
  std::optional<Record> record = RecordBuilder::Build(*value, reader->PlaceOf("upsert"), findings);
  if (!record) return std::nullopt;
  if (!read_version) return Change::UnconditionalUpsert(std::move(*record));
  return Change::Upsert(std::move(*record), *read_version);
}

std::optional<Change> ReadRemoval(JsonReader* reader, std::optional<uint64_t> read_version,
                                  Findings* findings) {
  const std::string text = reader->RequiredString("remove");
  std::optional<RecordKey> key = RecordKey::Parse(text);
  if (!key) {
    findings->Add(reader->PlaceOf("remove"), "must be \"kind/name\"");
    return std::nullopt;
  }
  if (!read_version) return Change::UnconditionalRemove(std::move(*key));
  return Change::Remove(std::move(*key), *read_version);
}

std::optional<Change> ReadChange(const json& value, const std::string& place, Findings* findings) {
  JsonReader reader(value, place, findings);
  if (!reader.is_object()) return std::nullopt;
  const std::optional<uint64_t> read_version = ReadPrecondition(&reader, findings);
  if (reader.Has("upsert") == reader.Has("remove")) {
    findings->Add(place, "must have either \"upsert\" or \"remove\"");
    return std::nullopt;
  }
  std::optional<Change> change = reader.Has("upsert")
                                     ? ReadUpsert(&reader, read_version, findings)
                                     : ReadRemoval(&reader, read_version, findings);
  reader.Finish();
  return change;
}

void ReadChanges(JsonReader* reader, ChangeSet* change_set, Findings* findings) {
  const json* items = reader->RequiredArray("changes");
  if (items == nullptr) return;
  const std::string place = reader->place() + ".";
  for (size_t n = 0; n < items->size(); ++n) {
    std::optional<Change> change = ReadChange((*items)[n], ChangePlace(place, n), findings);
    if (change) change_set->changes.push_back(std::move(*change));
  }
}

void CheckChangeSetAt(const ChangeSet& change_set, const std::string& place, Findings* findings) {
  if (!IsValidChangeSetId(change_set.id)) {
    findings->Add(place + "id", "must be 1 to 128 characters of [A-Za-z0-9._:-]");
  }
  if (change_set.changes.empty() || change_set.changes.size() > kMaxChanges) {
    findings->Add(place + "changes", "must have 1 to 1000 entries");
  }
  std::set<RecordKey> keys;
  size_t bytes = 0;
  for (size_t n = 0; n < change_set.changes.size(); ++n) {
    const Change& it = change_set.changes[n];
    bytes += it.record() ? it.record()->body().size() : it.key().name.size();
    if (!keys.insert(it.key()).second) {
      findings->Add(ChangePlace(place, n), it.key().ToString() + " is changed more than once");
    }
    if (!it.record() && it.read_version() == std::optional<uint64_t>(0)) {
      findings->Add(ChangePlace(place, n) + ".read_version", "must not be 0 for a removal");
    }
  }
  if (bytes > kMaxChangeSetBytes) {
    findings->Add(place + "changes", "are larger than 524288 bytes");
  }
}

}  // namespace

bool IsValidChangeSetId(std::string_view id) {
  if (id.empty() || id.size() > kMaxChangeSetIdLength) return false;
  return id.find_first_not_of(
             "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-") == id.npos;
}

void CheckChangeSet(const ChangeSet& change_set, Findings* findings) {
  CheckChangeSetAt(change_set, "", findings);
}

std::string EncodeChangeSet(const ChangeSet& change_set) {
  json changes = json::array();
  for (const Change& it : change_set.changes) {
    json change;
    if (it.record()) {
      change["upsert"] = json::parse(it.record()->body());
    } else {
      change["remove"] = it.key().ToString();
    }
    if (it.read_version()) {
      change["read_version"] = *it.read_version();
    } else {
      change["unconditional"] = true;
    }
    changes.push_back(std::move(change));
  }
  json value;
  value["id"] = change_set.id;
  value["allow_newer_schema"] = change_set.allow_newer_schema;
  value["changes"] = std::move(changes);
  return value.dump();
}

std::optional<ChangeSet> ParseChangeSet(const std::string& text, const std::string& place,
                                        Findings* findings) {
  Findings errors;
  ChangeSet change_set;
  if (const std::optional<json> value = ParseJson(text, place, &errors)) {
    JsonReader reader(*value, place, &errors);
    change_set.id = reader.RequiredString("id");
    change_set.allow_newer_schema = reader.Boolean("allow_newer_schema", false);
    ReadChanges(&reader, &change_set, &errors);
    reader.Finish();
    if (errors.empty()) CheckChangeSetAt(change_set, place + ".", &errors);
  }
  findings->Append(errors);
  if (!errors.empty()) return std::nullopt;
  return change_set;
}

}  // namespace camphorhoist
