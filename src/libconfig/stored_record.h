#ifndef CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_
#define CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

/// JSON array of `{"record": ..., "version": n}` in the given order.
std::string EncodeStored(const std::vector<StoredRecord>& records);

/// Decodes the form of `EncodeStored`. Adds a finding for every fault, repeated keys included.
/// Precondition: `items` is an array.
std::vector<StoredRecord> DecodeStored(const nlohmann::json& items, const std::string& place,
                                       Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_STORED_RECORD_H_
