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

/// Records of a file and, where it came from `get --output json`, the versions that were read.
struct RecordFile {
  std::vector<nlohmann::json> records;
  /// Versions by "kind/name".
  std::map<std::string, uint64_t> read_at;
};

/// Parses a records file: an array, or an object with "records". An entry is a record or, as
/// written by `get --output json`, `{"version": n, "record": {...}}`. `path` is the place of the
/// findings. The records themselves are checked by the node.
RecordFile ParseRecordFile(const std::string& path, const std::string& text, Findings* findings);

/// Kind and name of a record; both empty if it has none.
RecordName NameOf(const nlohmann::json& record);

/// The body of a change request.
std::string BuildChangeBody(const std::string& id, const RecordFile& file,
                            const std::vector<RecordName>& remove, bool allow_newer_schema);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_RECORD_FILE_H_
