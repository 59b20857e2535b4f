#include "camphorhoist/record_file.h"

#include <utility>

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

std::string StringField(const Json& record, const char* field) {
  const auto it = record.find(field);
  return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// True for an entry of the form written by `get --output json`.
bool IsVersionedEntry(const Json& entry) {
  return entry.contains("record") && !entry.contains("kind");
}

void AddVersionedEntry(const Json& entry, const std::string& place, RecordFile* file,
                       Findings* findings) {
  const Json& record = entry["record"];
  if (!record.is_object()) return findings->Add(place + ".record", "must be an object");
  const auto version = entry.find("version");
  if (version == entry.end() || !version->is_number_unsigned()) {
    return findings->Add(place + ".version", "must be a whole number");
  }
  file->read_at[RecordNameOf(record).ToString()] = version->get<uint64_t>();
  file->records.push_back(record);
}

void AddEntry(const Json& entry, const std::string& place, RecordFile* file, Findings* findings) {
  if (!entry.is_object()) return findings->Add(place, "must be an object");
  if (IsVersionedEntry(entry)) return AddVersionedEntry(entry, place, file, findings);
  file->records.push_back(entry);
}

}  // namespace

RecordName RecordNameOf(const Json& record) {
  RecordName name{StringField(record, "kind"), StringField(record, "name")};
  return name.kind.empty() || name.name.empty() ? RecordName() : name;
}

RecordFile ParseRecordFile(const std::string& path, const std::string& text, Findings* findings) {
  RecordFile file;
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::parse_error& error) {
    findings->Add(path + ":byte " + std::to_string(error.byte), "is not valid JSON");
    return file;
  }
  const bool is_object = json.is_object() && json.contains("records");
  const Json& items = is_object ? json["records"] : json;
  if (!items.is_array()) {
    findings->Add(path, "must be an array of records or an object with \"records\"");
    return file;
  }
  for (size_t i = 0; i < items.size(); ++i) {
    AddEntry(items[i], path + "[" + std::to_string(i) + "]", &file, findings);
  }
  return file;
}

std::string BuildChangeBody(const std::string& id, const RecordFile& file,
                            const std::vector<RecordName>& remove, bool allow_newer_schema) {
  Json removals = Json::array();
  for (const RecordName& it : remove) removals.push_back({{"kind", it.kind}, {"name", it.name}});
  Json body = {{"id", id},
               {"records", file.records},
               {"remove", std::move(removals)},
               {"allow_newer_schema", allow_newer_schema}};
  body["read_at"] = Json(file.read_at);
  if (file.read_at.empty()) body["read_at"] = Json::object();
  return body.dump();
}

}  // namespace camphorhoist
