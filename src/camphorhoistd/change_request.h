#ifndef CAMPHORHOIST_CAMPHORHOISTD_CHANGE_REQUEST_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CHANGE_REQUEST_H_

#include <optional>
#include <string>

#include "camphorhoist/change_set.h"
#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Parses the body of an operator's change request: `{"id", "records": [...],
/// "remove": [{"kind","name"}], "read_at": {"kind/name": version}, "allow_newer_schema"}`. A record
/// without an entry in `read_at` is changed regardless of its version. Adds a finding for each
/// error and returns an empty optional if there is any. Thread safety: safe from any thread.
std::optional<ChangeSet> ParseChangeRequest(const std::string& body, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CHANGE_REQUEST_H_
