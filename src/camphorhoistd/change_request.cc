#include "camphorhoistd/change_request.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhoist {

namespace {

using Json = nlohmann::json;
using ReadVersions = std::map<std::string, uint64_t>;

constexpr char kRequestPlace[] = "request";

std::string ElementPlace(const char* field, size_t index) {
  return std::string(field) + "[" + std::to_string(index) + "]";
}

ReadVersions ParseReadVersions(const Json& request, Findings* findings) {
  ReadVersions versions;
  if (!request.contains("read_at")) return versions;
  if (!request["read_at"].is_object()) {
    findings->Add("read_at", "must be an object that maps \"kind/name\" to a version");
    return versions;
  }
  for (const auto& it : request["read_at"].items()) {
    if (!it.value().is_number_unsigned()) {
      findings->Add("read_at." + it.key(), "must be a non-negative integer");
    } else {
      versions[it.key()] = it.value().get<uint64_t>();
    }
  }
  return versions;
}

/// Returns the array in `field`, or an empty array if the field is missing. Adds a finding if it
/// has another type.
const Json& GetArray(const Json& request, const char* field, Findings* findings) {
  static const Json kEmpty = Json::array();
  if (!request.contains(field)) return kEmpty;
  if (request[field].is_array()) return request[field];
  findings->Add(field, "must be an array");
  return kEmpty;
}

void ParseUpserts(const Json& request, const ReadVersions& versions, ChangeSet* change_set,
                  Findings* findings) {
  size_t index = 0;
  for (const Json& it : GetArray(request, "records", findings)) {
    auto record = Record::Parse(it.dump(-1, ' ', false, Json::error_handler_t::replace),
                                ElementPlace("records", index++), findings);
    if (!record) continue;
    const auto version = versions.find(record->key().ToString());
    change_set->changes.push_back(version == versions.end()
                                      ? Change::UnconditionalUpsert(std::move(*record))
                                      : Change::Upsert(std::move(*record), version->second));
  }
}

std::optional<RecordKey> ParseKey(const Json& json) {
  if (!json.is_object() || !json.contains("kind") || !json.contains("name")) return std::nullopt;
  if (!json["kind"].is_string() || !json["name"].is_string()) return std::nullopt;
  return RecordKey::Parse(json["kind"].get<std::string>() + "/" + json["name"].get<std::string>());
}

void ParseRemovals(const Json& request, const ReadVersions& versions, ChangeSet* change_set,
                   Findings* findings) {
  size_t index = 0;
  for (const Json& it : GetArray(request, "remove", findings)) {
    const std::string place = ElementPlace("remove", index++);
    const auto key = ParseKey(it);
    if (!key) {
      findings->Add(place, "must be an object with the \"kind\" and \"name\" of a record");
      continue;
    }
    const auto version = versions.find(key->ToString());
    change_set->changes.push_back(version == versions.end()
                                      ? Change::UnconditionalRemove(*key)
                                      : Change::Remove(*key, version->second));
  }
}

void ParseIdAndFlags(const Json& request, ChangeSet* change_set, Findings* findings) {
  if (!request.contains("id") || !request["id"].is_string()) {
    findings->Add("id", "must be a string");
  } else {
    change_set->id = request["id"].get<std::string>();
  }
  if (!request.contains("allow_newer_schema")) return;
  if (!request["allow_newer_schema"].is_boolean()) {
    findings->Add("allow_newer_schema", "must be true or false");
  } else {
    change_set->allow_newer_schema = request["allow_newer_schema"].get<bool>();
  }
}

void RejectUnknownFields(const Json& request, Findings* findings) {
  static const char* const kFields[] = {"id", "records", "remove", "read_at", "allow_newer_schema"};
  for (const auto& it : request.items()) {
    bool known = false;
    for (const char* field : kFields) known = known || it.key() == field;
    if (!known) findings->Add(it.key(), "is not a field of a change request");
  }
}

}  // namespace

std::optional<ChangeSet> ParseChangeRequest(const std::string& body, Findings* findings) {
  const Json request = Json::parse(body, nullptr, false);
  if (!request.is_object()) {
    findings->Add(kRequestPlace, "must be a JSON object");
    return std::nullopt;
  }
  ChangeSet change_set;
  RejectUnknownFields(request, findings);
  ParseIdAndFlags(request, &change_set, findings);
  const ReadVersions versions = ParseReadVersions(request, findings);
  ParseUpserts(request, versions, &change_set, findings);
  ParseRemovals(request, versions, &change_set, findings);
  if (findings->empty()) CheckChangeSet(change_set, findings);
  if (!findings->empty()) return std::nullopt;
  return change_set;
}

}  // namespace camphorhoist
