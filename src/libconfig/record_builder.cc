#include "libconfig/record_builder.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <utility>
#include <vector>

namespace camphorhoist {

namespace {

using nlohmann::json;

const char kInvalidNameMessage[] = "must be 1 to 128 characters of [a-z0-9._-]";

std::string ReadName(JsonReader* reader, const std::string& field, Findings* findings) {
  const size_t findings_before = findings->items().size();
  std::string name = reader->RequiredString(field);
  const bool is_string = findings->items().size() == findings_before && reader->is_object();
  if (is_string && !IsValidName(name)) findings->Add(reader->PlaceOf(field), kInvalidNameMessage);
  return name;
}

bool IsMethod(const std::string& text) {
  constexpr size_t kMaxMethodLength = 32;
  if (text.empty() || text.size() > kMaxMethodLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

std::vector<std::string> ReadMethods(JsonReader* reader, const std::string& field,
                                     std::vector<std::string> default_value, Findings* findings) {
  std::optional<std::vector<std::string>> methods = reader->Strings(field);
  if (!methods) return default_value;
  for (const std::string& it : *methods) {
    if (IsMethod(it)) continue;
    findings->Add(reader->PlaceOf(field), "\"" + it + "\" must be an upper-case HTTP method");
  }
  std::sort(methods->begin(), methods->end());
  const auto duplicate = std::adjacent_find(methods->begin(), methods->end());
  if (duplicate != methods->end()) {
    findings->Add(reader->PlaceOf(field), "\"" + *duplicate + "\" occurs more than once");
  }
  return *methods;
}

bool IsPathPrefix(const std::string& text) {
  if (text.empty() || text.size() > kMaxPathPrefixLength || text[0] != '/') return false;
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
}

bool IsHost(const std::string& text) {
  if (text.empty() || text.size() > kMaxHostLength) return false;
  return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") == std::string::npos;
}

void ReadMatch(const json& value, const std::string& place, RouteSettings* route,
               Findings* findings) {
  JsonReader reader(value, place, findings);
  if (!reader.is_object()) return;
  const size_t findings_before = findings->items().size();
  route->path_prefix = reader.RequiredString("path_prefix");
  if (findings->items().size() == findings_before && !IsPathPrefix(route->path_prefix)) {
    findings->Add(reader.PlaceOf("path_prefix"),
                  "must start with \"/\" and have at most 1024 printable characters without "
                  "blanks, \"?\" and \"#\"");
  }
  route->methods = ReadMethods(&reader, "methods", {}, findings);
  if (reader.Has("methods") && route->methods.empty() && value["methods"].is_array()) {
    findings->Add(reader.PlaceOf("methods"), "must not be empty; leave it out for all methods");
  }
  route->host = reader.String("host");
  if (reader.Has("host") && value["host"].is_string() && !IsHost(route->host)) {
    findings->Add(reader.PlaceOf("host"),
                  "must be 1 to 253 characters of [a-z0-9.-] without a port");
  }
  reader.Finish();
}

Destination ReadDestination(const json& value, const std::string& place, Findings* findings) {
  JsonReader reader(value, place, findings);
  Destination destination;
  destination.service = ReadName(&reader, "service", findings);
  destination.weight = reader.RequiredInteger("weight", 1, kMaxWeight);
  if (reader.Has("endpoint")) destination.endpoint = ReadName(&reader, "endpoint", findings);
  reader.Finish();
  return destination;
}

void ReadDestinations(JsonReader* reader, RouteSettings* route, Findings* findings) {
  const json* values = reader->RequiredArray("destinations");
  if (values == nullptr) return;
  const std::string place = reader->PlaceOf("destinations");
  if (values->empty() || values->size() > kMaxDestinations) {
    findings->Add(place, "must have 1 to 64 entries");
    return;
  }
  for (size_t n = 0; n < values->size(); ++n) {
    route->destinations.push_back(
        ReadDestination((*values)[n], place + "[" + std::to_string(n) + "]", findings));
  }
}

Record::Settings ReadService(JsonReader* reader, int, Findings*) {
  ServiceSettings service;
  service.timeout_ms = reader->Integer("timeout_ms", kDefaultTimeoutMs, 1, kMaxTimeoutMs);
  service.max_queue_ms = reader->Integer("max_queue_ms", kDefaultMaxQueueMs, 0, kMaxTimeoutMs);
  service.hedge = reader->Boolean("hedge", false);
  return service;
}

Record::Settings ReadEndpoint(JsonReader* reader, int, Findings* findings) {
  EndpointSettings endpoint;
  endpoint.service = ReadName(reader, "service", findings);
  const size_t findings_before = findings->items().size();
  const std::string address = reader->RequiredString("address");
  const std::optional<NetAddress> parsed = NetAddress::Parse(address);
  if (parsed && parsed->port() != 0 && parsed->ToString() == address) {
    endpoint.address = *parsed;
  } else if (findings->items().size() == findings_before) {
    findings->Add(reader->PlaceOf("address"), "must be \"ip:port\" with port 1 to 65535");
  }
  endpoint.enabled = reader->Boolean("enabled", true);
  endpoint.weight = reader->Integer("weight", kDefaultEndpointWeight, 1, kMaxWeight);
  return endpoint;
}

Record::Settings ReadRoute(JsonReader* reader, int schema, Findings* findings) {
  RouteSettings route;
  const json* match = reader->RequiredValue("match");
  if (match != nullptr) ReadMatch(*match, reader->PlaceOf("match"), &route, findings);
  if (schema == 1) {
    Destination destination;
    destination.service = ReadName(reader, "service", findings);
    route.destinations.push_back(std::move(destination));
  } else {
    ReadDestinations(reader, &route, findings);
  }
  if (reader->Has("timeout_ms")) {
    route.timeout_ms = reader->Integer("timeout_ms", kDefaultTimeoutMs, 1, kMaxTimeoutMs);
  }
  route.idempotent = ReadMethods(reader, "idempotent", {"GET", "HEAD"}, findings);
  route.priority = reader->Integer("priority", 0, -kMaxPriority, kMaxPriority);
  return route;
}

}  // namespace

const RecordBuilder::KindParser& RecordBuilder::ParserOf(RecordKind kind) {
  static const std::array<KindParser, 3> kParsers = {{
      {1, &ReadService},
      {1, &ReadEndpoint},
      {2, &ReadRoute},
  }};
  return kParsers[static_cast<size_t>(kind)];
}

std::optional<Record> RecordBuilder::Build(const json& value, const std::string& place,
                                           Findings* findings) {
  Findings errors;
  JsonReader reader(value, place, &errors);
  auto data = std::make_shared<Record::Data>();
  const std::string kind_text = reader.RequiredString("kind");
  const std::optional<RecordKind> kind = ParseRecordKind(kind_text);
  if (errors.empty() && !kind) {
    errors.Add(reader.PlaceOf("kind"), "must be \"service\", \"endpoint\" or \"route\"");
  }
  data->key.name = ReadName(&reader, "name", &errors);
  const size_t findings_before_schema = errors.items().size();
  // Without a valid kind, only the fields that all kinds have in common can be checked.
  const int max_schema = kind ? ParserOf(*kind).max_schema : kMaxSchema;
  data->schema = static_cast<int>(reader.RequiredInteger("schema", 1, max_schema));
  const bool schema_known = errors.items().size() == findings_before_schema;
  if (kind && schema_known && reader.is_object()) {
    data->key.kind = *kind;
    data->settings = ParserOf(*kind).read(&reader, data->schema, &errors);
    reader.Finish();
  }
  if (errors.empty()) {
    data->body = value.dump();
    if (data->body.size() > kMaxRecordBytes) errors.Add(place, "is larger than 65536 bytes");
  }
  findings->Append(errors);
  if (!errors.empty()) return std::nullopt;
  return Record(std::move(data));
}

}  // namespace camphorhoist
