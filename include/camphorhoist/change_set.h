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

/// True if `id` consists of 1 to 128 characters of `[A-Za-z0-9._:-]`.
bool IsValidChangeSetId(std::string_view id);

/// An upsert or removal of one record, conditional on the version of the record or unconditional.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Change {
 public:
  /// Writes `record` if its current version is `read_version`; 0 requires that it does not exist.
  static Change Upsert(Record record, uint64_t read_version) {
    RecordKey key = record.key();
    return Change(std::move(key), std::move(record), read_version);
  }
  /// Writes `record` regardless of its current version.
  static Change UnconditionalUpsert(Record record) {
    RecordKey key = record.key();
    return Change(std::move(key), std::move(record), std::nullopt);
  }
  /// Removes the record if its current version is `read_version`, which must not be 0.
  static Change Remove(RecordKey key, uint64_t read_version) {
    return Change(std::move(key), std::nullopt, read_version);
  }
  /// Removes the record regardless of its current version.
  static Change UnconditionalRemove(RecordKey key) {
    return Change(std::move(key), std::nullopt, std::nullopt);
  }

  const RecordKey& key() const { return key_; }
  /// Empty for a removal.
  const std::optional<Record>& record() const { return record_; }
  /// Version of the record that the operator read; empty for an unconditional change.
  const std::optional<uint64_t>& read_version() const { return read_version_; }

 private:
  Change(RecordKey key, std::optional<Record> record, std::optional<uint64_t> read_version)
      : key_(std::move(key)), record_(std::move(record)), read_version_(read_version) {}

  RecordKey key_;
  std::optional<Record> record_;
  std::optional<uint64_t> read_version_;
};

/// Changes that are applied atomically.
struct ChangeSet {
  /// Identifies the change set across resubmissions: it is applied at most once while the head
  /// lists it among the recent ones.
  std::string id;
  std::vector<Change> changes;
  /// Allows record schemas that not every live node understands.
  bool allow_newer_schema = false;
};

/// Checks that the id is valid, that no limit is exceeded and that no record is changed twice. Adds
/// a finding for every error.
void CheckChangeSet(const ChangeSet& change_set, Findings* findings);

/// Encodes as JSON: `{"id": ..., "allow_newer_schema": ..., "changes": [...]}`, where each change
/// has either `"upsert": record` or `"remove": "kind/name"`, and either `"read_version": n` or
/// `"unconditional": true`.
std::string EncodeChangeSet(const ChangeSet& change_set);
/// Decodes the output of `EncodeChangeSet` and applies `CheckChangeSet`. On any error, adds
/// findings and returns an empty optional.
std::optional<ChangeSet> ParseChangeSet(const std::string& text, const std::string& place,
                                        Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CHANGE_SET_H_
