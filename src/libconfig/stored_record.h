#ifndef CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_
#define CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

/// Encodes as a JSON array of `{"record": ..., "version": n}` in the given order.
std::string EncodeStoredRecords(const std::vector<StoredRecord>& records);

/// Decodes the output of `EncodeStoredRecords`. Adds a finding for every error, including duplicate
/// keys. Returns the valid records even if findings were added. Precondition: `items` is an array.
std::vector<StoredRecord> DecodeStoredRecords(const nlohmann::json& items, const std::string& place,
                                              Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_
