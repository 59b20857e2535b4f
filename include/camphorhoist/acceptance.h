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
  /// A record was changed after the operator read it; nothing of the change set is in force.
  kConflict,
  /// The change set is invalid; nothing of it is in force.
  kRejected,
  /// It is not known whether the change set is in force. Submitting it again with the same id
  /// yields the answer.
  kUnknown,
};

/// "accepted", "conflict", "rejected" or "unknown".
const char* ToString(AcceptStatus status);

/// A record that was changed after the operator read it.
struct RecordConflict {
  RecordKey key;
  uint64_t read_version = 0;
  /// 0 if the record does not exist.
  uint64_t current_version = 0;
  /// JSON pointer of the first field in which the submitted and the current record differ; empty
  /// if they are equal or one of them does not exist.
  std::string field;
};

/// Final result of an acceptance.
struct AcceptOutcome {
  AcceptStatus status = AcceptStatus::kUnknown;
  std::string change_set_id;
  /// Accepted: the version of the acceptance. Conflict and rejected: the version that the change
  /// set was checked against.
  ConfigVersion version;
  /// Every fault, in the order of the changes.
  Findings findings;
  std::vector<RecordConflict> conflicts;
  /// Only with `kUnknown`: a write of the head by this acceptance may still take effect. If false,
  /// only an earlier submission with the same id can be in force.
  bool may_take_effect = false;
};

/// The outcome as JSON with sorted fields and no blanks.
std::string EncodeOutcome(const AcceptOutcome& outcome);

/// Effect: read an object and report the result with `Acceptance::OnRead`.
struct ReadObject {
  std::string key;
  /// 0 for the first try; the driver delays later ones.
  int attempt = 0;
};

/// Effect: write an object and report the result with `Acceptance::OnWrite`.
struct WriteObject {
  std::string key;
  std::string body;
  /// The write applies only at this object version; nothing: only if the object does not exist.
  std::optional<uint64_t> expected_version;
  int attempt = 0;
};

/// What the driver is to do next; `AcceptOutcome` ends the acceptance.
using AcceptEffect = std::variant<ReadObject, WriteObject, AcceptOutcome>;

/// Input: the object with its version in the platform.
struct ObjectFound {
  uint64_t version = 0;
  std::string body;
};
struct ObjectNotFound {};
/// Input: the operation failed and had no effect.
struct OperationFailed {
  std::string reason;
};
struct WriteDone {
  /// Version of the object after the write.
  uint64_t version = 0;
};
/// Input: the object is at another version, or exists although it must not.
struct WriteConflict {};
/// Input: the write may have taken effect, or may still do so.
struct WriteUnknown {
  std::string reason;
};
using ReadResult = std::variant<ObjectFound, ObjectNotFound, OperationFailed>;
using WriteResult = std::variant<WriteDone, WriteConflict, OperationFailed, WriteUnknown>;

struct AcceptLimits {
  /// Tries of one operation that fails, and head writes of one candidate.
  int max_attempts = 5;
  /// Times that the change set is checked again because the head moved.
  int max_rebases = 16;
};

/// Takes one change set into the configuration that the platform holds. The conditional write of
/// the head is the only commit point.
///
/// The driver executes each returned effect and reports its result; one effect is outstanding at a
/// time. After an `AcceptOutcome` no further call is made.
///
/// Thread safety: none; use from one thread.
class Acceptance {
 public:
  /// `base` is the configuration this node holds (not null); pages it has are not read.
  /// `fleet_schema` is the highest record schema that every live node understands.
  Acceptance(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema, AcceptLimits limits = {});

  AcceptEffect Start();
  /// Precondition: the last effect was a `ReadObject`.
  AcceptEffect OnRead(const ReadResult& result);
  /// Precondition: the last effect was a `WriteObject`.
  AcceptEffect OnWrite(const WriteResult& result);
  /// The outstanding operation was cancelled without a result; a write may still take effect. The
  /// driver drops a result that comes later.
  AcceptEffect OnTimeout();
  /// The time for the whole acceptance is over; ends it.
  AcceptOutcome OnDeadline();

  /// The accepted configuration, if this acceptance built it; null otherwise.
  const Snapshot::Ptr& accepted_snapshot() const { return accepted_; }

 private:
  enum class Step { kReadHead, kReadPage, kWritePage, kWriteHead, kDone };
  /// The configuration that the change set results in, and the head it replaces.
  struct Candidate {
    Snapshot::Ptr snapshot;
    ConfigVersion replaces;
    std::string head_body;
    /// Indexes of the pages to write.
    std::vector<size_t> pages;
  };

  AcceptEffect ReadHead();
  AcceptEffect ReadNextPage();
  AcceptEffect WriteNextPage();
  AcceptEffect WriteHead();
  AcceptEffect OnHead(const ReadResult& result);
  AcceptEffect OnHeadFound(const ObjectFound& found);
  AcceptEffect OnHeadMissing();
  AcceptEffect OnHeadMoved(ConfigHead head, uint64_t object_version);
  AcceptEffect OnPage(const ReadResult& result);
  AcceptEffect OnPageWritten(const WriteResult& result);
  AcceptEffect OnHeadWritten(const WriteResult& result);
  AcceptEffect Check();
  std::vector<RecordConflict> FindConflicts() const;
  void CheckFleetSchema(Findings* findings) const;
  Snapshot::Ptr BuildNext(Findings* findings) const;
  AcceptEffect Conflict(std::vector<RecordConflict> conflicts);
  AcceptEffect Rejected(Findings findings);
  /// True if `head` puts the candidate in force.
  bool IsCandidate(const ConfigHead& head) const;
  AcceptEffect Accepted(const ConfigVersion& version, bool is_candidate);
  AcceptEffect RetryOrGiveUp(const std::string& key, const std::string& reason);
  AcceptEffect Repeat();
  AcceptOutcome GiveUp(Findings findings);
  AcceptOutcome GiveUp(const std::string& place, const std::string& message);

  const ChangeSet change_set_;
  /// The newest complete configuration known: at first that of the node, then the one read.
  Snapshot::Ptr base_;
  const int fleet_schema_;
  const AcceptLimits limits_;

  Step step_ = Step::kReadHead;
  std::string page_hash_;
  /// Object version of the head in the platform; nothing if it does not exist.
  std::optional<uint64_t> head_version_;
  std::vector<RecentChangeSet> recent_;
  std::optional<SnapshotLoader> loader_;
  std::optional<Candidate> candidate_;
  size_t pages_written_ = 0;
  int attempt_ = 0;
  int head_writes_ = 0;
  int rebases_ = 0;
  /// A head write of the candidate had no result and the head was not seen to move since.
  bool head_write_pending_ = false;
  Snapshot::Ptr accepted_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ACCEPTANCE_H_
