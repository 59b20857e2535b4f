#ifndef CAMPHORHOIST_OPERATOR_API_H_
#define CAMPHORHOIST_OPERATOR_API_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Largest body of a change request, in bytes.
constexpr size_t kMaxChangeBytes = 512 << 10;
/// Largest id of a change set, in bytes.
constexpr size_t kMaxChangeIdBytes = 128;

/// True for 1 to `kMaxChangeIdBytes` characters of `[A-Za-z0-9._:-]`.
bool IsValidOperatorChangeId(const std::string& id);

enum class ChangeOutcome {
  /// In the configuration with `ChangeResult::version`.
  kAccepted,
  /// Not applied: a record was changed since it was read.
  kConflict,
  /// Not applied: the change breaks a rule.
  kRejected,
  /// It is not known whether the change was applied; ask again with the same id.
  kUnknown,
};

/// Lower-case name, as in the JSON answers.
const char* ChangeOutcomeName(ChangeOutcome outcome);

/// A change set as sent by the operator.
struct ChangeRequest {
  std::string id;
  /// The whole request body: a JSON object with "id", "records", "remove", "read_at" and
  /// "allow_newer_schema". Only the id has been checked.
  std::string body;
};

struct ChangeResult {
  /// Set if there is no outcome: `kUnavailable` (no effect), `kInvalidInput` (no effect, see
  /// `findings`), `kNotFound` (outcome query: the id is not among the recently accepted ones).
  std::error_code error;
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::string id;
  /// With `kAccepted` the version that contains the change, otherwise the current one if known.
  ConfigVersion version;
  Findings findings;
};

struct RecordsRequest {
  /// Empty fields select everything.
  std::string kind;
  std::string name;
};

struct RecordEntry {
  /// Number of the configuration version that last changed the record.
  uint64_t version = 0;
  /// The record as written, JSON text.
  std::string record;
};

struct RecordsResult {
  std::error_code error;
  ConfigVersion version;
  std::vector<RecordEntry> records;
};

struct MemberStatus {
  std::string address;
  std::string data_centre;
  ConfigVersion version;
  /// Age of the report, in milliseconds.
  int64_t age_ms = 0;
  std::string state;
  /// Why the node does not apply a newer version; empty if there is no such reason.
  std::string reason;
};

struct DataCentreStatus {
  std::string name;
  uint64_t nodes = 0;
  /// Number of nodes by version in force.
  std::map<ConfigVersion, uint64_t> versions;
};

struct StatusResult {
  std::error_code error;
  /// Address of the answering node and the version in force there.
  std::string node;
  ConfigVersion version;
  std::vector<MemberStatus> members;
  std::vector<DataCentreStatus> data_centres;
};

struct DumpResult {
  std::error_code error;
  /// JSON text.
  std::string dump;
};

struct DrainResult {
  std::error_code error;
  bool draining = false;
  /// Calls that the node still has to finish.
  uint64_t in_flight = 0;
};

/// What a node offers to operators.
///
/// Each callback runs at most once, from inside the call or later; it may also be dropped, for
/// example at shutdown. Thread safety: none; use on the thread of the event loop.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  virtual void Apply(ChangeRequest request, std::function<void(ChangeResult)> callback) = 0;
  /// Outcome of an earlier change set.
  virtual void ChangeSetOutcome(const std::string& id,
                                std::function<void(ChangeResult)> callback) = 0;
  virtual void Records(const RecordsRequest& request,
                       std::function<void(RecordsResult)> callback) = 0;
  virtual void Status(std::function<void(StatusResult)> callback) = 0;
  virtual void Dump(std::function<void(DumpResult)> callback) = 0;
  /// Starts a graceful shutdown of the node; answers once it is draining.
  virtual void Drain(std::function<void(DrainResult)> callback) = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_OPERATOR_API_H_
