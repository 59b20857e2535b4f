#include "camphorhoist/delta.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "libconfig/json_reader.h"
#include "libconfig/stored_record.h"

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr int64_t kMaxVersionNumber = std::numeric_limits<int64_t>::max();

void AddPageDifferences(const ConfigPage& from, const ConfigPage& to, Delta* delta) {
  for (const StoredRecord& it : to.records()) {
    const StoredRecord* previous = from.Find(it.record.key());
    if (previous == nullptr || *previous != it) delta->upserts.push_back(it);
  }
  for (const StoredRecord& it : from.records()) {
    if (to.Find(it.record.key()) == nullptr) delta->removals.push_back(it.record.key());
  }
}

ConfigVersion ReadVersion(JsonReader* reader, const std::string& field, Findings* findings) {
  const json* value = reader->RequiredValue(field);
  if (value == nullptr) return {};
  JsonReader inner(*value, reader->PlaceOf(field), findings);
  const int64_t epoch = inner.RequiredInteger("epoch", 0, kMaxVersionNumber);
  const int64_t number = inner.RequiredInteger("number", 0, kMaxVersionNumber);
  inner.Finish();
  return {static_cast<uint64_t>(epoch), static_cast<uint64_t>(number)};
}

std::vector<RecordKey> ReadRemovals(JsonReader* reader, Findings* findings) {
  std::vector<RecordKey> removals;
  if (reader->RequiredValue("removals") == nullptr) return removals;
  for (const std::string& it : reader->Strings("removals").value_or(std::vector<std::string>())) {
    std::optional<RecordKey> key = RecordKey::Parse(it);
    if (key) {
      removals.push_back(std::move(*key));
    } else {
      findings->Add(reader->PlaceOf("removals"), "\"" + it + "\" must be \"kind/name\"");
    }
  }
  return removals;
}

json EncodeVersion(const ConfigVersion& version) {
  return {{"epoch", version.epoch()}, {"number", version.number()}};
}

}  // namespace

Delta MakeDelta(const Snapshot& from, const Snapshot& to) {
  Delta delta = {from.version(), to.version(), from.hash(), to.hash(), {}, {}};
  for (size_t n = 0; n < kPageCount; ++n) {
    const ConfigPage::Ptr& from_page = from.pages()[n];
    const ConfigPage::Ptr& to_page = to.pages()[n];
    if (from_page == to_page || from_page->hash() == to_page->hash()) continue;
    AddPageDifferences(*from_page, *to_page, &delta);
  }
  return delta;
}

Snapshot::Ptr ApplyDelta(const Snapshot& from, const Delta& delta, Findings* findings) {
  const std::string place = "delta to " + delta.to.ToString();
  Findings errors;
  if (delta.from != from.version() || delta.from_hash != from.hash()) {
    errors.Add(place, "starts from version " + delta.from.ToString() + " hash " + delta.from_hash +
                          ", but is applied to version " + from.version().ToString() + " hash " +
                          from.hash());
  }
  if (delta.to <= delta.from) errors.Add(place, "does not raise the version");
  Snapshot::Ptr snapshot;
  if (errors.empty()) snapshot = from.WithChanges(delta.to, delta.upserts, delta.removals, &errors);
  if (snapshot != nullptr && snapshot->hash() != delta.to_hash) {
    errors.Add(place, "results in hash " + snapshot->hash() + " instead of " + delta.to_hash);
  }
  findings->Append(errors);
  return errors.empty() ? snapshot : nullptr;
}

std::string EncodeDelta(const Delta& delta) {
  json removals = json::array();
  for (const RecordKey& it : delta.removals) removals.push_back(it.ToString());
  std::string text = "{\"from\":" + EncodeVersion(delta.from).dump();
  text += ",\"from_hash\":" + json(delta.from_hash).dump();
  text += ",\"removals\":" + removals.dump();
  text += ",\"to\":" + EncodeVersion(delta.to).dump();
  text += ",\"to_hash\":" + json(delta.to_hash).dump();
  text += ",\"upserts\":" + EncodeStoredRecords(delta.upserts) + "}";
  return text;
}

std::optional<Delta> DecodeDelta(const std::string& text, const std::string& place,
                                 Findings* findings) {
  Findings errors;
  Delta delta;
  if (const std::optional<json> value =
          ParseJson(text, place, &errors, DuplicateFieldCheck::kOff)) {
    JsonReader reader(*value, place, &errors);
    delta.from = ReadVersion(&reader, "from", &errors);
    delta.to = ReadVersion(&reader, "to", &errors);
    delta.from_hash = reader.RequiredString("from_hash");
    delta.to_hash = reader.RequiredString("to_hash");
    delta.removals = ReadRemovals(&reader, &errors);
    if (const json* items = reader.RequiredArray("upserts")) {
      delta.upserts = DecodeStoredRecords(*items, reader.PlaceOf("upserts"), &errors);
    }
    reader.Finish();
  }
  findings->Append(errors);
  if (!errors.empty()) return std::nullopt;
  return delta;
}

}  // namespace camphorhoist
