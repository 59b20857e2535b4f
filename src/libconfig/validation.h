#ifndef CAMPHORHOIST_LIBCONFIG_VALIDATION_H_
#define CAMPHORHOIST_LIBCONFIG_VALIDATION_H_

#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

/// Like `Validate`, but without copying the records. Precondition: no pointer is null.
void ValidateRecords(std::vector<const Record*> records, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_VALIDATION_H_
