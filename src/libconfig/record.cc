#include "camphorhoist/record.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "libconfig/json_reader.h"
#include "libconfig/record_builder.h"

namespace camphorhoist {

namespace {

using nlohmann::json;

const char* const kKindNames[] = {"service", "endpoint", "route"};

/// Builds the result of a schema conversion. It is always valid, since a conversion only rearranges
/// valid fields.
Record BuildConverted(const json& value) {
  Findings findings;
  return *RecordBuilder::Build(value, "conversion", &findings);
}

/// Path of the first field that differs; "" if the values are equal, "/" if they are not both
/// objects.
std::string FirstDifferencePath(const json& a, const json& b) {
  if (a == b) return "";
  if (!a.is_object() || !b.is_object()) return "/";
  for (const auto& it : a.items()) {
    std::string path = "/" + it.key();
    const auto other = b.find(it.key());
    if (other == b.end()) return path;
    const std::string inner = FirstDifferencePath(it.value(), *other);
    if (inner == "/") return path;
    if (!inner.empty()) return path + inner;
  }
  for (const auto& it : b.items()) {
    if (a.find(it.key()) == a.end()) return "/" + it.key();
  }
  return "";
}

}  // namespace

const char* ToString(RecordKind kind) { return kKindNames[static_cast<size_t>(kind)]; }

std::optional<RecordKind> ParseRecordKind(std::string_view text) {
  for (const RecordKind it : {RecordKind::kService, RecordKind::kEndpoint, RecordKind::kRoute}) {
    if (text == ToString(it)) return it;
  }
  return std::nullopt;
}

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  return name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789._-") == name.npos;
}

std::string RecordKey::ToString() const { return camphorhoist::ToString(kind) + ("/" + name); }

std::optional<RecordKey> RecordKey::Parse(const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos) return std::nullopt;
  const std::optional<RecordKind> kind = ParseRecordKind(text.substr(0, slash));
  std::string name = text.substr(slash + 1);
  if (!kind || !IsValidName(name)) return std::nullopt;
  return RecordKey{*kind, std::move(name)};
}

std::optional<Record> Record::Parse(const std::string& text, const std::string& place,
                                    Findings* findings) {
  const std::optional<json> value = ParseJson(text, place, findings);
  if (!value) return std::nullopt;
  return RecordBuilder::Build(*value, place, findings);
}

Record Record::Upgraded() const {
  if (kind() != RecordKind::kRoute || schema() != 1) return *this;
  json value = json::parse(body());
  value["schema"] = 2;
  value["destinations"] = json::array({{{"service", value["service"]}, {"weight", 1}}});
  value.erase("service");
  return BuildConverted(value);
}

std::optional<Record> Record::Downgraded() const {
  if (kind() != RecordKind::kRoute || schema() == 1) return *this;
  const std::vector<Destination>& destinations = route().destinations;
  // Schema 1 has no weights. Only the weight that `Upgraded` writes is restored by another upgrade.
  if (destinations.size() != 1 || !destinations[0].endpoint.empty()) return std::nullopt;
  if (destinations[0].weight != 1) return std::nullopt;
  json value = json::parse(body());
  value["schema"] = 1;
  value["service"] = destinations[0].service;
  value.erase("destinations");
  return BuildConverted(value);
}

size_t Record::MemoryBytes() const {
  size_t n = sizeof(Data) + data_->body.capacity() + data_->key.name.capacity();
  if (kind() != RecordKind::kRoute) return n;
  const RouteSettings& it = route();
  n += it.path_prefix.capacity() + it.host.capacity();
  n += (it.methods.capacity() + it.idempotent.capacity()) * sizeof(std::string);
  return n + it.destinations.capacity() * sizeof(Destination);
}

std::vector<Record> ParseRecords(const std::string& text, const std::string& place,
                                 Findings* findings) {
  std::vector<Record> records;
  const std::optional<json> value = ParseJson(text, place, findings);
  if (!value) return records;
  const json* items = &*value;
  std::string items_place = place;
  if (!value->is_array()) {
    JsonReader reader(*value, place, findings);
    items = reader.RequiredArray("records");
    items_place = reader.PlaceOf("records");
    reader.Finish();
    if (items == nullptr) return records;
  }
  std::map<RecordKey, size_t> index_by_key;
  for (size_t n = 0; n < items->size(); ++n) {
    const std::string item_place = items_place + "[" + std::to_string(n) + "]";
    std::optional<Record> record = RecordBuilder::Build((*items)[n], item_place, findings);
    if (!record) continue;
    const auto [it, inserted] = index_by_key.emplace(record->key(), n);
    if (!inserted) {
      findings->Add(item_place + ".name", record->key().ToString() + " stands already in " +
                                              items_place + "[" + std::to_string(it->second) + "]");
      continue;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

std::string FirstDifference(const Record& a, const Record& b) {
  return FirstDifferencePath(json::parse(a.body()), json::parse(b.body()));
}

}  // namespace camphorhoist
