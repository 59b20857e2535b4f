#ifndef CAMPHORHOIST_ACCEPTANCE_H_
#define CAMPHORHOIST_ACCEPTANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "camphorhoist/change_set.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

enum class AcceptStatus {
  /// The change set is in force as of `AcceptOutcome::version`.
  kAccepted,
  /// A record was changed after the operator read it; none of the changes is in force.
  kConflict,
  /// The change set is invalid; none of the changes is in force.
  kRejected,
  /// It is not known whether the change set is in force. The operator can find out by submitting
  /// it again with the same id.
  kUnknown,
};

/// Returns "accepted", "conflict", "rejected" or "unknown".
const char* ToString(AcceptStatus status);

/// A record that was changed after the operator read it.
struct RecordConflict {
  RecordKey key;
  uint64_t read_version = 0;
  /// 0 if the record does not exist.
  uint64_t current_version = 0;
  /// JSON pointer to the first field in which the submitted and the current record differ; empty
  /// if they are equal or one of them does not exist.
  std::string field;
};

/// Final result of submitting a change set.
struct AcceptOutcome {
  AcceptStatus status = AcceptStatus::kUnknown;
  std::string change_set_id;
  /// For `kAccepted`, the version that the change set created. For `kConflict` and `kRejected`, the
  /// version that it was checked against.
  ConfigVersion version;
  /// Why the change set is not in force, or why the result is unknown. Conflicts are listed in the
  /// order of the changes.
  Findings findings;
  std::vector<RecordConflict> conflicts;
  /// Only for `kUnknown`: whether a head write issued by this acceptance may have taken effect or
  /// may still do so. If false, the change set can be in force only through another submission with
  /// the same id.
  bool may_take_effect = false;
};

/// Encodes the outcome as JSON with sorted fields and no whitespace.
std::string EncodeOutcome(const AcceptOutcome& outcome);

/// Effect: read an object and pass the result to `Acceptance::OnRead`.
struct ReadObject {
  std::string key;
  /// 0 for the first attempt. The driver waits before it executes a later one.
  int attempt = 0;
};

/// Effect: write an object conditionally and pass the result to `Acceptance::OnWrite`.
struct WriteObject {
  std::string key;
  std::string body;
  /// The write succeeds only if the object has this version or, if empty, does not exist.
  std::optional<uint64_t> expected_version;
  /// As in `ReadObject`.
  int attempt = 0;
};

/// The next operation for the driver to execute. `AcceptOutcome` ends the acceptance.
using AcceptEffect = std::variant<ReadObject, WriteObject, AcceptOutcome>;

/// Read result: the object and its version in the platform's object store.
struct ObjectFound {
  uint64_t version = 0;
  std::string body;
};
/// Read result: the object does not exist.
struct ObjectNotFound {};
/// Read or write result: the operation failed and had no effect.
struct OperationFailed {
  std::string reason;
};
/// Write result: the object was written.
struct WriteDone {
  /// Version of the object after the write.
  uint64_t version = 0;
};
/// Write result: the condition was not met, so that the object was not written.
struct WriteConflict {};
/// Write result: the write may have taken effect or may still do so.
struct WriteUnknown {
  std::string reason;
};
using ReadResult = std::variant<ObjectFound, ObjectNotFound, OperationFailed>;
using WriteResult = std::variant<WriteDone, WriteConflict, OperationFailed, WriteUnknown>;

struct AcceptLimits {
  /// Maximum attempts of one head read, page read or page write, and maximum head writes per
  /// candidate.
  int max_attempts = 5;
  /// Maximum times that the change set is checked again because another change set changed the
  /// head.
  int max_rebases = 16;
};

/// State machine that commits one change set to the configuration in the platform's object store,
/// with optimistic concurrency control. It reads the head and the pages that it lacks, checks the
/// change set against them, writes the changed pages and finally the head. The conditional write of
/// the head is the only commit point; pages are immutable and take effect only when a head refers
/// to them by hash.
///
/// The class does no I/O. Its driver executes each returned effect and passes the result back; one
/// effect is outstanding at a time. The driver makes no further call after an `AcceptOutcome`.
///
/// Thread safety: none; use from one thread.
class Acceptance {
 public:
  /// `base` is the configuration that this node holds; its pages are not read again. It must not be
  /// null. `fleet_schema` is the highest record schema that every live node understands.
  Acceptance(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema, AcceptLimits limits = {});

  /// Returns the first effect. Must be called once, before any other call.
  AcceptEffect Start();
  /// Precondition: the last effect was a `ReadObject`.
  AcceptEffect OnRead(const ReadResult& result);
  /// Precondition: the last effect was a `WriteObject`.
  AcceptEffect OnWrite(const WriteResult& result);
  /// The outstanding operation timed out without a result; if it is a write, it may still take
  /// effect. The driver discards a result that arrives later.
  AcceptEffect OnTimeout();
  /// The deadline of the whole acceptance has passed; ends it.
  AcceptOutcome OnDeadline();

  /// The configuration in force after `kAccepted`, if this acceptance built it; null otherwise.
  const Snapshot::Ptr& accepted_snapshot() const { return accepted_; }

 private:
  enum class Step { kReadHead, kReadPage, kWritePage, kWriteHead, kDone };
  /// The configuration that the change set results in.
  struct Candidate {
    Snapshot::Ptr snapshot;
    /// Version of the configuration that the change set was applied to.
    ConfigVersion base_version;
    std::string head_body;
    /// Indexes of the pages that differ from those of the base and must be written.
    std::vector<size_t> pages;
  };

  AcceptEffect ReadHead();
  AcceptEffect ReadNextPage();
  AcceptEffect WriteNextPage();
  AcceptEffect WriteHead();
  AcceptEffect OnHead(const ReadResult& result);
  AcceptEffect OnHeadFound(const ObjectFound& found);
  AcceptEffect OnHeadMissing();
  AcceptEffect OnHeadChanged(ConfigHead head, uint64_t object_version);
  AcceptEffect OnPage(const ReadResult& result);
  AcceptEffect OnPageWritten(const WriteResult& result);
  AcceptEffect OnHeadWritten(const WriteResult& result);
  AcceptEffect CheckAndWrite();
  std::vector<RecordConflict> FindConflicts() const;
  void CheckFleetSchema(Findings* findings) const;
  Snapshot::Ptr BuildNextSnapshot(Findings* findings) const;
  AcceptEffect FinishConflict(std::vector<RecordConflict> conflicts);
  AcceptEffect FinishRejected(Findings findings);
  /// True if `head` has the version and the pages of the candidate.
  bool IsCandidate(const ConfigHead& head) const;
  AcceptEffect FinishAccepted(const ConfigVersion& version, bool is_candidate);
  AcceptEffect RetryOrFinish(const std::string& key, const std::string& reason);
  AcceptEffect CurrentEffect();
  AcceptOutcome FinishUnknown(Findings findings);
  AcceptOutcome FinishUnknown(const std::string& place, const std::string& message);

  const ChangeSet change_set_;
  /// The newest complete configuration known: initially that of the node, then the one read.
  Snapshot::Ptr base_;
  const int fleet_schema_;
  const AcceptLimits limits_;

  Step step_ = Step::kReadHead;
  /// Hash of the page being read.
  std::string page_hash_;
  /// Object version of the head in the platform; empty if the head does not exist.
  std::optional<uint64_t> head_version_;
  /// Recent change sets of the head that was read.
  std::vector<RecentChangeSet> recent_change_sets_;
  std::optional<SnapshotLoader> loader_;
  std::optional<Candidate> candidate_;
  /// Number of `Candidate::pages` already written.
  size_t pages_written_ = 0;
  /// Attempt number of the outstanding operation, from 0.
  int attempt_ = 0;
  /// Head writes issued for the candidate.
  int head_writes_ = 0;
  int rebases_ = 0;
  /// A head write of the candidate ended without a result and the head was not seen to change
  /// since.
  bool head_write_pending_ = false;
  Snapshot::Ptr accepted_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ACCEPTANCE_H_
