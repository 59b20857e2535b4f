#include "standin_platform/fault_rules.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

struct ModeName {
  const char* name;
  FaultMode mode;
};

constexpr ModeName kModes[] = {{"none", FaultMode::kNone},
                               {"down", FaultMode::kDown},
                               {"slow", FaultMode::kSlow},
                               {"lost_answer", FaultMode::kLostAnswer},
                               {"drop_before", FaultMode::kDropBefore}};

void ReadMode(const Json& value, const std::string& place, FaultRule* rule, Findings* findings) {
  for (const ModeName& it : kModes) {
    if (value != it.name) continue;
    rule->mode = it.mode;
    return;
  }
  findings->Add(place, "must be one of none, down, slow, lost_answer, drop_before");
}

uint64_t ReadNumber(const Json& value, const std::string& place, Findings* findings) {
  if (value.is_number_unsigned()) return value.get<uint64_t>();
  findings->Add(place, "must be a whole number, 0 or more");
  return 0;
}

void ReadMethods(const Json& value, const std::string& place, FaultRule* rule, Findings* findings) {
  const bool valid = value.is_array() && std::all_of(value.begin(), value.end(),
                                                     [](const Json& it) { return it.is_string(); });
  if (!valid) return findings->Add(place, "must be an array of method names");
  rule->methods = value.get<std::vector<std::string>>();
}

void ReadPrefix(const Json& value, const std::string& place, FaultRule* rule, Findings* findings) {
  if (!value.is_string()) return findings->Add(place, "must be a string");
  rule->key_prefix = value.get<std::string>();
}

FaultRule ReadRule(const Json& json, const std::string& place, Findings* findings) {
  FaultRule rule;
  if (!json.is_object()) {
    findings->Add(place, "must be an object");
    return rule;
  }
  if (!json.contains("mode")) findings->Add(place + ".mode", "is missing");
  for (const auto& it : json.items()) {
    const std::string field = place + "." + it.key();
    if (it.key() == "mode") {
      ReadMode(it.value(), field, &rule, findings);
    } else if (it.key() == "count") {
      rule.count = ReadNumber(it.value(), field, findings);
    } else if (it.key() == "delay_ms") {
      rule.delay = std::chrono::milliseconds(ReadNumber(it.value(), field, findings));
    } else if (it.key() == "key_prefix") {
      ReadPrefix(it.value(), field, &rule, findings);
    } else if (it.key() == "methods") {
      ReadMethods(it.value(), field, &rule, findings);
    } else {
      findings->Add(field, "is not a known field");
    }
  }
  return rule;
}

bool Matches(const FaultRule& rule, const std::string& method, const std::string& key) {
  if (rule.mode == FaultMode::kNone) return false;
  if (key.compare(0, rule.key_prefix.size(), rule.key_prefix) != 0) return false;
  return rule.methods.empty() ||
         std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
}

}  // namespace

void FaultRules::Set(const std::string& json, Findings* findings) {
  const Json parsed = Json::parse(json, nullptr, false);
  if (parsed.is_discarded()) return findings->Add("body", "is not JSON");
  Findings found;
  std::vector<FaultRule> rules;
  if (parsed.is_array()) {
    for (size_t i = 0; i < parsed.size(); ++i) {
      rules.push_back(ReadRule(parsed[i], "[" + std::to_string(i) + "]", &found));
    }
  } else {
    rules.push_back(ReadRule(parsed, "body", &found));
  }
  if (found.empty()) rules_ = std::move(rules);
  findings->Append(found);
}

FaultRule FaultRules::Match(const std::string& method, const std::string& key) {
  for (auto it = rules_.begin(); it != rules_.end(); ++it) {
    if (!Matches(*it, method, key)) continue;
    ++injected_;
    FaultRule rule = *it;
    if (it->count > 0 && --it->count == 0) rules_.erase(it);
    return rule;
  }
  return {};
}

bool FaultRules::closes_all_connections() const {
  return std::any_of(rules_.begin(), rules_.end(), [](const FaultRule& it) {
    return it.mode == FaultMode::kDown && it.key_prefix.empty() && it.methods.empty();
  });
}

}  // namespace camphorhoist
