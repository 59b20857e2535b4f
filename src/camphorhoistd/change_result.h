#ifndef CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_

#include "camphorhoist/acceptance.h"
#include "camphorhoist/operator_api.h"

namespace camphorhoist {

/// Converts the outcome of a change set to the reply for the operator. The findings are copied
/// unchanged: those of a conflict already name the record, both versions and the first field that
/// differs. Thread safety: safe from any thread.
ChangeResult ToChangeResult(const AcceptOutcome& outcome);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CHANGE_RESULT_H_
