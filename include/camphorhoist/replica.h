#ifndef CAMPHORHOIST_REPLICA_H_
#define CAMPHORHOIST_REPLICA_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "camphorhoist/config_version.h"
#include "camphorhoist/delta.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

/// Number of snapshots that a replica keeps, the current one included.
constexpr size_t kMaxRetainedSnapshots = 8;

enum class ApplyResult {
  /// The snapshot is now the current one.
  kApplied,
  /// The snapshot was already the current one.
  kAlreadyCurrent,
  /// The snapshot is below the current one or below the floor.
  kBelowFloor,
  /// The snapshot has the current version with another hash.
  kHashMismatch,
};

/// "applied", "already_current", "below_floor" or "hash_mismatch".
const char* ToString(ApplyResult result);

/// A version that this node did not apply, with the reason.
struct Refusal {
  ConfigVersion version;
  std::string reason;
};

/// The configuration of one node. The current version only rises and is never below the floor.
///
/// Thread safety: none; use from one thread. The snapshots themselves may be shared.
class Replica {
 public:
  Replica() : current_(Snapshot::Empty()) {}

  /// Lowest version that this node may serve: the highest that it has been told of by `RaiseFloor`
  /// or has applied.
  const ConfigVersion& floor() const { return floor_; }
  /// Never null; `Snapshot::Empty()` before the first acceptance.
  const Snapshot::Ptr& current() const { return current_; }
  /// True once the node has a configuration at or above the floor.
  bool MayServe() const { return !current_->version().none() && current_->version() >= floor_; }

  /// Raises the floor; a lower version has no effect.
  void RaiseFloor(const ConfigVersion& version);
  /// Takes over `snapshot` if that raises the version. A refusal is kept in `last_refusal`.
  /// Precondition: `snapshot` is not null.
  ApplyResult TryApply(Snapshot::Ptr snapshot);
  /// Keeps the reason why a version could not be built.
  void SetLastRefusal(const ConfigVersion& version, const Findings& findings);

  /// The last refusal; nothing if none has occurred since the version was last raised to or above
  /// it.
  const std::optional<Refusal>& last_refusal() const { return last_refusal_; }
  /// A kept snapshot of this version; null if there is none.
  Snapshot::Ptr Find(const ConfigVersion& version) const;
  /// Delta to the current snapshot from a kept one with this version and hash; nothing if there is
  /// none or it is not below the current one. The receiver then needs a delta from
  /// `Snapshot::Empty()`.
  std::optional<Delta> DeltaFrom(const ConfigVersion& version, const std::string& hash) const;

 private:
  ApplyResult Refuse(ApplyResult result, const ConfigVersion& version, std::string reason);

  ConfigVersion floor_;
  Snapshot::Ptr current_;
  /// In ascending order of versions; the last is the current one.
  std::deque<Snapshot::Ptr> retained_;
  std::optional<Refusal> last_refusal_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_REPLICA_H_
