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

/// Number of snapshots that a replica retains for deltas, including the current one.
constexpr size_t kMaxRetainedSnapshots = 8;

enum class ApplyResult {
  /// The snapshot is now the current one.
  kApplied,
  /// The snapshot was already the current one.
  kAlreadyCurrent,
  /// The version of the snapshot is lower than the current one or than the floor.
  kBelowFloor,
  /// The snapshot has the current version but a different hash.
  kHashMismatch,
};

/// Returns "applied", "already_current", "below_floor" or "hash_mismatch".
const char* ToString(ApplyResult result);

/// A version that this node received but did not apply, with the reason.
struct Refusal {
  ConfigVersion version;
  std::string reason;
};

/// The configuration that one node holds. The current version never decreases, and no version lower
/// than the floor is applied.
///
/// Thread safety: none; use from one thread. The snapshots themselves may be shared.
class Replica {
 public:
  Replica() : current_(Snapshot::Empty()) {}

  /// Lowest version that this node may serve: the highest that was passed to `RaiseFloor` or was
  /// applied.
  const ConfigVersion& floor() const { return floor_; }
  /// Never null; `Snapshot::Empty()` until the first snapshot is applied.
  const Snapshot::Ptr& current() const { return current_; }
  /// True if the node has a configuration whose version is not lower than the floor.
  bool MayServe() const { return !current_->version().none() && current_->version() >= floor_; }

  /// Raises the floor to `version`; has no effect if the floor is already higher.
  void RaiseFloor(const ConfigVersion& version);
  /// Makes `snapshot` the current one if its version is higher than the current one and not lower
  /// than the floor. Otherwise stores the reason in `last_refusal`, unless the snapshot is already
  /// the current one. Precondition: `snapshot` is not null.
  ApplyResult TryApply(Snapshot::Ptr snapshot);
  /// Stores the reason why a version could not be built.
  void SetLastRefusal(const ConfigVersion& version, const Findings& findings);

  /// The last refusal; empty if there was none, or once a snapshot with the refused version or a
  /// higher one was applied.
  const std::optional<Refusal>& last_refusal() const { return last_refusal_; }
  /// The retained snapshot of this version; null if there is none.
  Snapshot::Ptr Find(const ConfigVersion& version) const;
  /// Makes a delta from the retained snapshot with this version and hash to the current snapshot.
  /// Returns an empty optional if there is no such snapshot or if its version is not lower than the
  /// current one; the receiver then needs a delta from `Snapshot::Empty()`.
  std::optional<Delta> DeltaFrom(const ConfigVersion& version, const std::string& hash) const;

 private:
  ApplyResult Refuse(ApplyResult result, const ConfigVersion& version, std::string reason);

  ConfigVersion floor_;
  Snapshot::Ptr current_;
  /// In ascending order of versions; the last is the current one. Empty until the first snapshot is
  /// applied.
  std::deque<Snapshot::Ptr> retained_;
  std::optional<Refusal> last_refusal_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_REPLICA_H_
