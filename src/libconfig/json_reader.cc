#include "libconfig/json_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorhoist {

namespace {

using nlohmann::json;

/// Formats the position of the 1-based `byte` of `text` as "line:column".
std::string LineAndColumn(const std::string& text, size_t byte) {
  const size_t end = std::min(byte, text.size());
  size_t line = 1;
  size_t column = 1;
  for (size_t n = 0; n + 1 < end; ++n) {
    ++column;
    if (text[n] != '\n') continue;
    ++line;
    column = 1;
  }
  return std::to_string(line) + ":" + std::to_string(column);
}

/// Parser callback that collects the names of fields that occur more than once in one object.
class DuplicateFieldDetector {
 public:
  bool operator()(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::object_start) {
      open_objects_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_objects_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto& name = value.get_ref<const std::string&>();
      if (!open_objects_.back().insert(name).second) duplicates_.insert(name);
    }
    return true;
  }
  const std::set<std::string>& duplicates() const { return duplicates_; }

 private:
  /// Names of the fields seen so far in each object that is not closed yet, outermost first.
  std::vector<std::set<std::string>> open_objects_;
  std::set<std::string> duplicates_;
};

bool ReadInteger(const json& value, int64_t* out) {
  if (value.is_number_unsigned()) {
    const auto n = value.get<uint64_t>();
    if (n > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) return false;
    *out = static_cast<int64_t>(n);
    return true;
  }
  if (!value.is_number_integer()) return false;
  *out = value.get<int64_t>();
  return true;
}

}  // namespace

std::optional<json> ParseJson(const std::string& text, const std::string& place, Findings* findings,
                              DuplicateFieldCheck check) {
  DuplicateFieldDetector detector;
  try {
    if (check == DuplicateFieldCheck::kOff) return json::parse(text);
    json value = json::parse(text, [&detector](int, json::parse_event_t event, json& it) {
      return detector(event, it);
    });
    for (const std::string& it : detector.duplicates()) {
      findings->Add(place, "field \"" + it + "\" stands more than once in an object");
    }
    if (!detector.duplicates().empty()) return std::nullopt;
    return value;
  } catch (const json::parse_error& e) {
    findings->Add(place + ":" + LineAndColumn(text, e.byte), "malformed JSON");
  } catch (const json::exception&) {
    // The parser throws out_of_range for numbers outside the range of a double.
    findings->Add(place, "malformed JSON");
  }
  return std::nullopt;
}

JsonReader::JsonReader(const json& value, std::string place, Findings* findings)
    : value_(value), place_(std::move(place)), findings_(findings) {
  if (!is_object()) findings_->Add(place_, "must be an object");
}

bool JsonReader::Has(const std::string& field) const {
  return is_object() && value_.find(field) != value_.end();
}

const json* JsonReader::Find(const std::string& field) {
  known_.insert(field);
  if (!is_object()) return nullptr;
  const auto it = value_.find(field);
  return it == value_.end() ? nullptr : &*it;
}

const json* JsonReader::FindRequired(const std::string& field) {
  const json* value = Find(field);
  if (value == nullptr && is_object()) findings_->Add(PlaceOf(field), "is missing");
  return value;
}

std::string JsonReader::RequiredString(const std::string& field) {
  return FindRequired(field) == nullptr ? std::string() : String(field);
}

std::string JsonReader::String(const std::string& field) {
  const json* value = Find(field);
  if (value == nullptr) return "";
  if (value->is_string()) return value->get<std::string>();
  findings_->Add(PlaceOf(field), "must be a string");
  return "";
}

int64_t JsonReader::RequiredInteger(const std::string& field, int64_t min, int64_t max) {
  return FindRequired(field) == nullptr ? min : Integer(field, min, min, max);
}

int64_t JsonReader::Integer(const std::string& field, int64_t default_value, int64_t min,
                            int64_t max) {
  const json* value = Find(field);
  if (value == nullptr) return default_value;
  int64_t n = 0;
  if (ReadInteger(*value, &n) && n >= min && n <= max) return n;
  findings_->Add(PlaceOf(field),
                 "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
  return default_value;
}

bool JsonReader::Boolean(const std::string& field, bool default_value) {
  const json* value = Find(field);
  if (value == nullptr) return default_value;
  if (value->is_boolean()) return value->get<bool>();
  findings_->Add(PlaceOf(field), "must be true or false");
  return default_value;
}

std::optional<std::vector<std::string>> JsonReader::Strings(const std::string& field) {
  const json* value = Find(field);
  if (value == nullptr) return std::nullopt;
  std::vector<std::string> strings;
  bool valid = value->is_array();
  if (valid) {
    for (const json& it : *value) {
      valid = valid && it.is_string();
      if (it.is_string()) strings.push_back(it.get<std::string>());
    }
  }
  if (valid) return strings;
  findings_->Add(PlaceOf(field), "must be an array of strings");
  return std::nullopt;
}

const json* JsonReader::RequiredArray(const std::string& field) {
  const json* value = FindRequired(field);
  if (value == nullptr || value->is_array()) return value;
  findings_->Add(PlaceOf(field), "must be an array");
  return nullptr;
}

const json* JsonReader::RequiredValue(const std::string& field) { return FindRequired(field); }

void JsonReader::Finish() {
  if (!is_object()) return;
  for (const auto& it : value_.items()) {
    if (known_.count(it.key()) == 0) findings_->Add(PlaceOf(it.key()), "is not a known field");
  }
}

}  // namespace camphorhoist
