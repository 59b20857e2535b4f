#ifndef CAMPHORHOIST_DELTA_H_
#define CAMPHORHOIST_DELTA_H_

#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

/// The difference between two snapshots. A delta from `Snapshot::Empty()` contains the whole
/// configuration.
struct Delta {
  ConfigVersion from;
  ConfigVersion to;
  std::string from_hash;
  std::string to_hash;
  std::vector<StoredRecord> upserts;
  std::vector<RecordKey> removals;
};

/// Precondition: the version of `from` is lower than that of `to`.
Delta MakeDelta(const Snapshot& from, const Snapshot& to);

/// Builds the snapshot that `delta` leads to. Adds findings and returns null if `from` is not the
/// snapshot that the delta starts from, if the result is invalid, or if its hash is not `to_hash`.
Snapshot::Ptr ApplyDelta(const Snapshot& from, const Delta& delta, Findings* findings);

/// Encodes as JSON. Thread safety: safe from any thread.
std::string EncodeDelta(const Delta& delta);
/// Adds findings and returns an empty optional if `text` is not a valid delta. Thread safety: safe
/// from any thread.
std::optional<Delta> DecodeDelta(const std::string& text, const std::string& place,
                                 Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DELTA_H_
