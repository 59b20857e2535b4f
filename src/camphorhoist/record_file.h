#ifndef CAMPHORHOIST_CAMPHORHOIST_RECORD_FILE_H_
#define CAMPHORHOIST_CAMPHORHOIST_RECORD_FILE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "camphorhoist/cli_args.h"
#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Records of a file and, for entries written by `get --output json`, the versions that were read.
struct RecordFile {
  std::vector<nlohmann::json> records;
  /// Versions by "kind/name".
  std::map<std::string, uint64_t> read_at;
};

/// Parses a records file: an array of entries, or an object with the array in "records". An entry
/// is either a record or, as written by `get --output json`, `{"version": n, "record": {...}}`.
/// `path` is used as the place of the findings. The records themselves are validated by the node.
RecordFile ParseRecordFile(const std::string& path, const std::string& text, Findings* findings);

/// Returns the kind and name of a record; both are empty if either one is missing.
RecordName RecordNameOf(const nlohmann::json& record);

/// Returns the JSON body of a change request.
std::string BuildChangeBody(const std::string& id, const RecordFile& file,
                            const std::vector<RecordName>& remove, bool allow_newer_schema);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_RECORD_FILE_H_
