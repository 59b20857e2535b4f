#ifndef CAMPHORHOIST_CHANGE_SET_H_
#define CAMPHORHOIST_CHANGE_SET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

constexpr size_t kMaxChangeSetBytes = 524'288;
constexpr size_t kMaxChanges = 1000;

/// True for 1 to 128 characters of `[A-Za-z0-9._:-]`.
bool IsValidChangeSetId(std::string_view id);

/// An upsert or removal of one record.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Change {
 public:
  /// Writes `record` if its version is still `read_version`; 0 means that it must not exist.
  static Change Upsert(Record record, uint64_t read_version) {
    RecordKey key = record.key();
    return Change(std::move(key), std::move(record), read_version);
  }
  /// Writes `record` whatever its version is.
  static Change UnconditionalUpsert(Record record) {
    RecordKey key = record.key();
    return Change(std::move(key), std::move(record), std::nullopt);
  }
  /// Removes the record if its version is still `read_version`, which must not be 0.
  static Change Remove(RecordKey key, uint64_t read_version) {
    return Change(std::move(key), std::nullopt, read_version);
  }
  /// Removes the record whatever its version is.
  static Change UnconditionalRemove(RecordKey key) {
    return Change(std::move(key), std::nullopt, std::nullopt);
  }

  const RecordKey& key() const { return key_; }
  /// Nothing for a removal.
  const std::optional<Record>& record() const { return record_; }
  /// Version of the record that the operator read; nothing for an unconditional change.
  const std::optional<uint64_t>& read_version() const { return read_version_; }

 private:
  Change(RecordKey key, std::optional<Record> record, std::optional<uint64_t> read_version)
      : key_(std::move(key)), record_(std::move(record)), read_version_(read_version) {}

  RecordKey key_;
  std::optional<Record> record_;
  std::optional<uint64_t> read_version_;
};

/// Changes that are accepted together or not at all. The id identifies them across resubmissions.
struct ChangeSet {
  std::string id;
  std::vector<Change> changes;
  /// Accepts record schemas that not every live node understands.
  bool allow_newer_schema = false;
};

/// Checks the id, the limits and that no record is changed twice; collects every fault.
void CheckChangeSet(const ChangeSet& change_set, Findings* findings);

/// Encodes as JSON: `{"id", "allow_newer_schema", "changes": [...]}` where each change is
/// `{"upsert": record}` or `{"remove": "kind/name"}` with either `"read_version": n` or
/// `"unconditional": true`.
std::string EncodeChangeSet(const ChangeSet& change_set);
/// Decodes the form of `EncodeChangeSet` and applies `CheckChangeSet`. Adds findings and returns
/// nothing on any fault.
std::optional<ChangeSet> ParseChangeSet(const std::string& text, const std::string& place,
                                        Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CHANGE_SET_H_
