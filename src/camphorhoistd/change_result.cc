#include "camphorhoistd/change_result.h"

namespace camphorhoist {

namespace {

/// Maps an accept status to the outcome in the operator API.
struct OutcomeMapping {
  AcceptStatus status;
  ChangeOutcome outcome;
};

constexpr OutcomeMapping kOutcomeMappings[] = {{AcceptStatus::kAccepted, ChangeOutcome::kAccepted},
                                               {AcceptStatus::kConflict, ChangeOutcome::kConflict},
                                               {AcceptStatus::kRejected, ChangeOutcome::kRejected},
                                               {AcceptStatus::kUnknown, ChangeOutcome::kUnknown}};

ChangeOutcome ToChangeOutcome(AcceptStatus status) {
  for (const OutcomeMapping& it : kOutcomeMappings) {
    if (it.status == status) return it.outcome;
  }
  return ChangeOutcome::kUnknown;
}

}  // namespace

ChangeResult ToChangeResult(const AcceptOutcome& outcome) {
  ChangeResult result;
  result.outcome = ToChangeOutcome(outcome.status);
  result.id = outcome.change_set_id;
  result.version = outcome.version;
  result.findings = outcome.findings;
  return result;
}

}  // namespace camphorhoist
