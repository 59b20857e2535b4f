#include "liboperator/operator_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libplatform/object_key.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

const char kChangeIdCharacters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-";

struct OutcomeName {
  const char* name;
  ChangeOutcome outcome;
};

constexpr OutcomeName kOutcomeNames[] = {{"accepted", ChangeOutcome::kAccepted},
                                         {"conflict", ChangeOutcome::kConflict},
                                         {"rejected", ChangeOutcome::kRejected},
                                         {"unknown", ChangeOutcome::kUnknown}};

std::string Serialize(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json FindingsToJson(const Findings& findings) {
  Json items = Json::array();
  for (const Finding& it : findings.items()) {
    items.push_back({{"place", it.place()}, {"message", it.message()}});
  }
  return items;
}

Json MemberToJson(const MemberStatus& member) {
  return {{"address", member.address},
          {"data_centre", member.data_centre},
          {"version", member.version.ToString()},
          {"age_ms", member.age_ms},
          {"state", member.state},
          {"reason", member.reason}};
}

Json DataCentreToJson(const DataCentreStatus& data_centre) {
  Json versions = Json::object();
  for (const auto& it : data_centre.versions) versions[it.first.ToString()] = it.second;
  return {{"name", data_centre.name}, {"nodes", data_centre.nodes}, {"versions", versions}};
}

/// Reads the fields of one JSON object. `valid` turns false if a field is missing or of another
/// type; that field then has an empty value.
class FieldReader {
 public:
  explicit FieldReader(const Json& json) : json_(json), valid_(json.is_object()) {}

  bool valid() const { return valid_; }
  void Invalidate() { valid_ = false; }

  std::string String(const char* name) {
    const Json* value = Find(name);
    if (value != nullptr && value->is_string()) return value->get<std::string>();
    valid_ = false;
    return "";
  }
  uint64_t Unsigned(const char* name) {
    const Json* value = Find(name);
    if (value != nullptr && value->is_number_unsigned()) return value->get<uint64_t>();
    valid_ = false;
    return 0;
  }
  bool Bool(const char* name) {
    const Json* value = Find(name);
    if (value != nullptr && value->is_boolean()) return value->get<bool>();
    valid_ = false;
    return false;
  }
  ConfigVersion Version(const char* name) {
    const auto version = ParseVersion(String(name));
    if (!version) valid_ = false;
    return version.value_or(ConfigVersion());
  }
  const Json& Array(const char* name) {
    static const Json kEmpty = Json::array();
    const Json* value = Find(name);
    if (value != nullptr && value->is_array()) return *value;
    valid_ = false;
    return kEmpty;
  }
  const Json* Find(const char* name) const {
    if (!json_.is_object()) return nullptr;
    const auto it = json_.find(name);
    return it == json_.end() ? nullptr : &*it;
  }

 private:
  const Json& json_;
  bool valid_;
};

Findings ParseFindings(const Json& items, FieldReader* parent) {
  Findings findings;
  for (const Json& it : items) {
    FieldReader fields(it);
    std::string place = fields.String("place");
    std::string message = fields.String("message");
    if (!fields.valid()) parent->Invalidate();
    findings.Add(std::move(place), std::move(message));
  }
  return findings;
}

MemberStatus ParseMember(const Json& json, FieldReader* parent) {
  FieldReader fields(json);
  MemberStatus member;
  member.address = fields.String("address");
  member.data_centre = fields.String("data_centre");
  member.version = fields.Version("version");
  member.age_ms = static_cast<int64_t>(fields.Unsigned("age_ms"));
  member.state = fields.String("state");
  member.reason = fields.String("reason");
  if (!fields.valid()) parent->Invalidate();
  return member;
}

DataCentreStatus ParseDataCentre(const Json& json, FieldReader* parent) {
  FieldReader fields(json);
  DataCentreStatus data_centre;
  data_centre.name = fields.String("name");
  data_centre.nodes = fields.Unsigned("nodes");
  const Json* versions = fields.Find("versions");
  if (versions == nullptr || !versions->is_object()) {
    parent->Invalidate();
    return data_centre;
  }
  for (const auto& it : versions->items()) {
    const auto version = ParseVersion(it.key());
    if (!version || !it.value().is_number_unsigned()) {
      parent->Invalidate();
      continue;
    }
    data_centre.versions[*version] = it.value().get<uint64_t>();
  }
  if (!fields.valid()) parent->Invalidate();
  return data_centre;
}

}  // namespace

bool IsValidOperatorChangeId(const std::string& id) {
  if (id.empty() || id.size() > kMaxChangeIdBytes) return false;
  return id.find_first_not_of(kChangeIdCharacters) == std::string::npos;
}

const char* ChangeOutcomeName(ChangeOutcome outcome) {
  for (const OutcomeName& it : kOutcomeNames) {
    if (it.outcome == outcome) return it.name;
  }
  return "unknown";
}

std::optional<ChangeOutcome> ParseOutcome(const std::string& text) {
  for (const OutcomeName& it : kOutcomeNames) {
    if (text == it.name) return it.outcome;
  }
  return std::nullopt;
}

std::optional<ConfigVersion> ParseVersion(const std::string& text) {
  const size_t dot = text.find('.');
  if (dot == std::string::npos) return std::nullopt;
  const auto epoch = ParseUnsigned(text.substr(0, dot));
  const auto number = ParseUnsigned(text.substr(dot + 1));
  if (!epoch || !number) return std::nullopt;
  return ConfigVersion(*epoch, *number);
}

std::string EncodeChangeResult(const ChangeResult& result) {
  return Serialize({{"outcome", ChangeOutcomeName(result.outcome)},
                    {"id", result.id},
                    {"version", result.version.ToString()},
                    {"findings", FindingsToJson(result.findings)}});
}

std::string EncodeRecords(const RecordsResult& result) {
  Json records = Json::array();
  for (const RecordEntry& it : result.records) {
    records.push_back(
        {{"version", it.version}, {"record", Json::parse(it.record, nullptr, false)}});
  }
  return Serialize({{"version", result.version.ToString()}, {"records", std::move(records)}});
}

std::string EncodeStatus(const StatusResult& result) {
  Json members = Json::array();
  for (const MemberStatus& it : result.members) members.push_back(MemberToJson(it));
  Json data_centres = Json::array();
  for (const DataCentreStatus& it : result.data_centres) {
    data_centres.push_back(DataCentreToJson(it));
  }
  return Serialize({{"node", result.node},
                    {"version", result.version.ToString()},
                    {"members", std::move(members)},
                    {"data_centres", std::move(data_centres)}});
}

std::string EncodeDrain(const DrainResult& result) {
  return Serialize({{"draining", result.draining}, {"in_flight", result.in_flight}});
}

std::string EncodeError(const std::string& message, const Findings& findings) {
  return Serialize({{"error", message}, {"findings", FindingsToJson(findings)}});
}

std::optional<ChangeResult> DecodeChangeResult(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  FieldReader fields(json);
  ChangeResult result;
  const auto outcome = ParseOutcome(fields.String("outcome"));
  result.id = fields.String("id");
  result.version = fields.Version("version");
  result.findings = ParseFindings(fields.Array("findings"), &fields);
  if (!fields.valid() || !outcome) return std::nullopt;
  result.outcome = *outcome;
  return result;
}

std::optional<RecordsResult> DecodeRecords(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  FieldReader fields(json);
  RecordsResult result;
  result.version = fields.Version("version");
  for (const Json& it : fields.Array("records")) {
    FieldReader entry(it);
    RecordEntry record;
    record.version = entry.Unsigned("version");
    const Json* body = entry.Find("record");
    if (!entry.valid() || body == nullptr || !body->is_object()) return std::nullopt;
    record.record = body->dump();
    result.records.push_back(std::move(record));
  }
  if (!fields.valid()) return std::nullopt;
  return result;
}

std::optional<StatusResult> DecodeStatus(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  FieldReader fields(json);
  StatusResult result;
  result.node = fields.String("node");
  result.version = fields.Version("version");
  for (const Json& it : fields.Array("members")) {
    result.members.push_back(ParseMember(it, &fields));
  }
  for (const Json& it : fields.Array("data_centres")) {
    result.data_centres.push_back(ParseDataCentre(it, &fields));
  }
  if (!fields.valid()) return std::nullopt;
  return result;
}

std::optional<DrainResult> DecodeDrain(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  FieldReader fields(json);
  DrainResult result;
  result.draining = fields.Bool("draining");
  result.in_flight = fields.Unsigned("in_flight");
  if (!fields.valid()) return std::nullopt;
  return result;
}

Findings DecodeError(const std::string& text, const std::string& place) {
  const Json json = Json::parse(text, nullptr, false);
  FieldReader fields(json);
  Findings findings = ParseFindings(fields.Array("findings"), &fields);
  if (!fields.valid()) findings = Findings();
  if (!findings.empty()) return findings;
  FieldReader error(json);
  const std::string message = error.String("error");
  findings.Add(place, message.empty() ? "the node gave no reason" : message);
  return findings;
}

}  // namespace camphorhoist
