#ifndef CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_

#include "camphorhoist/acceptance.h"
#include "camphorhoist/operator_api.h"

namespace camphorhoist {

/// What the operator gets for an outcome. The findings of the outcome are taken as they are: those
/// of a conflict name the record, both versions and the first field that differs. Thread safety:
/// safe from any thread.
ChangeResult ToChangeResult(const AcceptOutcome& outcome);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_
