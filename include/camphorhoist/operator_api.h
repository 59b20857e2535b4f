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

/// Maximum size of a change request's body, in bytes.
constexpr size_t kMaxChangeBytes = 512 << 10;
/// Maximum size of a change set id, in bytes.
constexpr size_t kMaxChangeIdBytes = 128;

/// Returns true if `id` has 1 to `kMaxChangeIdBytes` characters, all of `[A-Za-z0-9._:-]`.
bool IsValidOperatorChangeId(const std::string& id);

enum class ChangeOutcome {
  /// The change set is in force as of `ChangeResult::version`.
  kAccepted,
  /// Not applied: a record was changed after the operator read it.
  kConflict,
  /// Not applied: the change set is invalid.
  kRejected,
  /// It is not known whether the change set was applied. The operator can find out by submitting it
  /// again with the same id.
  kUnknown,
};

/// Lower-case name, as in the JSON responses.
const char* ChangeOutcomeName(ChangeOutcome outcome);

/// A change set as submitted by the operator.
struct ChangeRequest {
  std::string id;
  /// The whole request body: a JSON object with "id", "records", "remove", "read_at" and
  /// "allow_newer_schema". Only the id has been validated.
  std::string body;
};

struct ChangeResult {
  /// Set if there is no outcome. `kUnavailable` and `kInvalidInput` mean that the request had no
  /// effect, the latter for the reasons in `findings`. `kNotFound` is the result of an outcome
  /// query whose id is not among the recently accepted change sets.
  std::error_code error;
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::string id;
  /// With `kAccepted` the version that the change set created, otherwise the current one if known.
  ConfigVersion version;
  Findings findings;
};

struct RecordsRequest {
  /// An empty field matches every record.
  std::string kind;
  std::string name;
};

struct RecordEntry {
  /// Number of the configuration version that last changed the record.
  uint64_t version = 0;
  /// JSON text of the record, as written by the operator.
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
  /// Time in milliseconds since the responding node last received a change of the member's entry,
  /// state or version; 0 for the responding node itself.
  int64_t age_ms = 0;
  std::string state;
  /// Why the node does not apply a newer version; empty if nothing prevents it.
  std::string reason;
};

struct DataCentreStatus {
  std::string name;
  uint64_t nodes = 0;
  /// Number of nodes by the version in force on them.
  std::map<ConfigVersion, uint64_t> versions;
};

struct StatusResult {
  std::error_code error;
  /// Address of the responding node and the version in force on it.
  std::string node;
  ConfigVersion version;
  std::vector<MemberStatus> members;
  std::vector<DataCentreStatus> data_centres;
};

struct DumpResult {
  std::error_code error;
  /// Internal state of the node, as JSON text.
  std::string dump;
};

struct DrainResult {
  std::error_code error;
  bool draining = false;
  /// Number of calls that the node has not finished yet.
  uint64_t in_flight = 0;
};

/// The operations that a node offers to operators.
///
/// Each callback runs at most once, from inside the call or later. It may also be dropped, for
/// example at shutdown.
///
/// Thread safety: none; use on the thread of the event loop.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  virtual void Apply(ChangeRequest request, std::function<void(ChangeResult)> callback) = 0;
  /// Queries the outcome of a change set that was submitted earlier.
  virtual void ChangeSetOutcome(const std::string& id,
                                std::function<void(ChangeResult)> callback) = 0;
  virtual void Records(const RecordsRequest& request,
                       std::function<void(RecordsResult)> callback) = 0;
  virtual void Status(std::function<void(StatusResult)> callback) = 0;
  virtual void Dump(std::function<void(DumpResult)> callback) = 0;
  /// Starts a graceful shutdown of the node; `callback` runs once the node is draining.
  virtual void Drain(std::function<void(DrainResult)> callback) = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_OPERATOR_API_H_
