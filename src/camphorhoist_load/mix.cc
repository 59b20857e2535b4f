#include "camphorhoist_load/mix.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr int64_t kMaxResponseBytes = 1LL << 32;
// Largest request body that CallerServer accepts.
constexpr int64_t kMaxBodyBytes = 1 << 20;

std::optional<int64_t> ReadCount(const json& value, int64_t max_value, const std::string& place,
                                 Findings* findings) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > static_cast<uint64_t>(max_value)) {
    findings->Add(place, "is not an integer from 0 to " + std::to_string(max_value));
    return std::nullopt;
  }
  return value.get<int64_t>();
}

void ReadText(const json& value, std::string* text, const std::string& place, Findings* findings) {
  if (value.is_string() && !value.get<std::string>().empty()) {
    *text = value.get<std::string>();
  } else {
    findings->Add(place, "is not a non-empty string");
  }
}

void ReadField(const std::string& name, const json& value, const std::string& place,
               RequestShape* shape, Findings* findings) {
  if (name == "name") {
    ReadText(value, &shape->name, place, findings);
  } else if (name == "method") {
    ReadText(value, &shape->method, place, findings);
  } else if (name == "path") {
    ReadText(value, &shape->path, place, findings);
    if (shape->path[0] != '/') findings->Add(place, "does not start with \"/\"");
  } else if (name == "weight") {
    const bool valid = value.is_number() && value.get<double>() > 0;
    if (valid) shape->weight = value.get<double>();
    if (!valid) findings->Add(place, "is not a number greater than 0");
  } else if (name == "ms") {
    shape->service_ms = ReadCount(value, 600000, place, findings);
  } else if (name == "bytes") {
    shape->response_bytes = ReadCount(value, kMaxResponseBytes, place, findings);
  } else if (name == "body_bytes") {
    shape->body_bytes = ReadCount(value, kMaxBodyBytes, place, findings).value_or(0);
  } else if (name == "timeout_ms") {
    shape->timeout_ms = ReadCount(value, 600000, place, findings);
  } else {
    findings->Add(place, "is not a field of a request shape");
  }
}

std::string ReadFile(const std::string& name, Findings* findings) {
  std::ifstream in(name);
  if (!in) findings->Add("--mix", name + " cannot be read");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

std::string RequestShape::Target() const {
  std::string target = path;
  char separator = path.find('?') == std::string::npos ? '?' : '&';
  if (service_ms) {
    target += separator + std::string("ms=") + std::to_string(*service_ms);
    separator = '&';
  }
  if (response_bytes) target += separator + std::string("bytes=") + std::to_string(*response_bytes);
  return target;
}

std::vector<RequestShape> ReadMix(const std::string& text, Findings* findings) {
  const bool is_inline = !text.empty() && text[0] == '[';
  const std::string content = is_inline ? text : ReadFile(text, findings);
  const json list = json::parse(content, nullptr, /*allow_exceptions=*/false);
  std::vector<RequestShape> mix;
  if (!list.is_array() || list.empty()) {
    findings->Add("--mix", "is not a JSON array with at least one request shape");
    return mix;
  }
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string place = "--mix[" + std::to_string(i) + "]";
    RequestShape shape;
    if (!list[i].is_object()) findings->Add(place, "is not an object");
    if (!list[i].is_object()) continue;
    for (const auto& it : list[i].items()) {
      ReadField(it.key(), it.value(), place + "." + it.key(), &shape, findings);
    }
    mix.push_back(shape);
  }
  return mix;
}

}  // namespace camphorhoist
