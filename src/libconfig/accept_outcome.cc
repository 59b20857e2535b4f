#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "camphorhoist/acceptance.h"

namespace camphorhoist {

using nlohmann::json;

const char* ToString(AcceptStatus status) {
  switch (status) {
    case AcceptStatus::kAccepted:
      return "accepted";
    case AcceptStatus::kConflict:
      return "conflict";
    case AcceptStatus::kRejected:
      return "rejected";
    case AcceptStatus::kUnknown:
      return "unknown";
  }
  return "unrecognized";
}

std::string EncodeOutcome(const AcceptOutcome& outcome) {
  json findings = json::array();
  for (const Finding& it : outcome.findings.items()) {
    findings.push_back({{"message", it.message()}, {"place", it.place()}});
  }
  json conflicts = json::array();
  for (const RecordConflict& it : outcome.conflicts) {
    conflicts.push_back({{"current_version", it.current_version},
                         {"field", it.field},
                         {"read_version", it.read_version},
                         {"record", it.key.ToString()}});
  }
  const json value = {
      {"conflicts", std::move(conflicts)},
      {"findings", std::move(findings)},
      {"id", outcome.change_set_id},
      {"may_take_effect", outcome.may_take_effect},
      {"status", ToString(outcome.status)},
      {"version", {{"epoch", outcome.version.epoch()}, {"number", outcome.version.number()}}}};
  return value.dump();
}

}  // namespace camphorhoist
