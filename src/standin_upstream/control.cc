#include <cmath>
#include <nlohmann/json.hpp>

#include "standin_upstream/service.h"

namespace camphorhoist {

namespace {

using nlohmann::json;

// Keeps the product with a service time within the range of the time type.
constexpr double kMaxSlowFactor = 1e6;

struct Flag {
  const char* name;
  bool StandinControl::*member;
};

constexpr Flag kFlags[] = {{"silent", &StandinControl::silent},
                           {"shed", &StandinControl::shed},
                           {"drain", &StandinControl::drain},
                           {"announce", &StandinControl::announce}};

bool ReadFlag(const std::string& name, const json& value, StandinControl* control,
              Findings* findings) {
  for (const Flag& it : kFlags) {
    if (name != it.name) continue;
    if (value.is_boolean()) {
      control->*it.member = value.get<bool>();
    } else {
      findings->Add(name, "is not true or false");
    }
    return true;
  }
  return false;
}

void ReadField(const std::string& name, const json& value, StandinControl* control,
               Findings* findings) {
  if (ReadFlag(name, value, control, findings)) return;
  const bool is_non_negative = value.is_number() && value.get<double>() >= 0;
  if (name == "slow_factor") {
    if (is_non_negative && value.get<double>() <= kMaxSlowFactor) {
      control->slow_factor = value.get<double>();
    } else {
      findings->Add(name, "is not a number of 0 to 1000000");
    }
  } else if (name == "false_load") {
    if (value.is_null()) {
      control->false_load.reset();
    } else if (is_non_negative) {
      control->false_load = value.get<double>();
    } else {
      findings->Add(name, "is neither null nor a number of 0 or above");
    }
  } else {
    findings->Add(name, "is not a control field");
  }
}

}  // namespace

StandinControl ParseControl(const std::string& text, const StandinControl& current,
                            Findings* findings) {
  StandinControl control = current;
  const json object = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    findings->Add("body", "is not a JSON object");
    return control;
  }
  for (const auto& it : object.items()) ReadField(it.key(), it.value(), &control, findings);
  return control;
}

}  // namespace camphorhoist
