#include "camphorhoistd/change_result.h"

namespace camphorhoist {

namespace {

/// Accept outcomes by the name that operators see.
struct OutcomeName {
  AcceptStatus status;
  ChangeOutcome outcome;
};

constexpr OutcomeName kOutcomes[] = {{AcceptStatus::kAccepted, ChangeOutcome::kAccepted},
                                     {AcceptStatus::kConflict, ChangeOutcome::kConflict},
                                     {AcceptStatus::kRejected, ChangeOutcome::kRejected},
                                     {AcceptStatus::kUnknown, ChangeOutcome::kUnknown}};

ChangeOutcome ToChangeOutcome(AcceptStatus status) {
  for (const OutcomeName& it : kOutcomes) {
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
