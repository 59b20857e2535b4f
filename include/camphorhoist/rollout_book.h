#ifndef CAMPHORHOIST_ROLLOUT_BOOK_H_
#define CAMPHORHOIST_ROLLOUT_BOOK_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/rollout_policy.h"

namespace camphorhoist {

/// Status of a roll-out that the store holds.
enum class RolloutState : uint8_t { kNew, kRunning, kCompleted, kRolledBack };
/// Stable name for logs and metrics.
const char* ToString(RolloutState state);

/// What the sidecars do now. A later phase has precedence over an earlier one.
enum class RolloutPhase : uint8_t {
  /// The target version gets the share that the writer decides.
  kCanary,
  /// The version was found good: all requests are sent to it, and the status is about to be
  /// written.
  kShifting,
  /// The version was found bad: no requests are sent to it.
  kStopped,
};

/// A roll-out as the store holds it, with what the sidecars have decided since.
struct RolloutRecord {
  RolloutOrder order;
  /// Era and revision of the store at the last change of the object.
  int64_t era = 0;
  int64_t revision = 0;
  /// Earliest known revision of this order. News with an earlier one is about a previous order.
  int64_t first_revision = 0;
  /// The operator has withdrawn the order.
  bool deleted = false;
  RolloutState state = RolloutState::kNew;
  RolloutPhase phase = RolloutPhase::kCanary;
  /// Time since the order was first read by any sidecar.
  ProxyDuration elapsed{};

  /// Whether the result has not been written yet.
  bool active() const {
    return !deleted && (state == RolloutState::kNew || state == RolloutState::kRunning);
  }

  friend bool operator==(const RolloutRecord& a, const RolloutRecord& b) {
    return std::tie(a.order, a.era, a.revision, a.first_revision, a.deleted, a.state, a.phase,
                    a.elapsed) == std::tie(b.order, b.era, b.revision, b.first_revision, b.deleted,
                                           b.state, b.phase, b.elapsed);
  }
};

/// Versions of a service that requests may be sent to now.
enum class RolloutTraffic : uint8_t {
  /// No roll-out.
  kAll,
  /// A share to the target version, the rest to the others.
  kSplit,
  kTargetOnly,
  /// The target version; the others only if it has no servers, e.g. because it was replaced by
  /// a version without an order.
  kTargetPreferred,
  kOthersOnly,
};

/// The roll-outs that this sidecar knows, from the store and from other sidecars, whose news may
/// arrive in any order.
///
/// Reads no clock. Thread safety: none; use from one thread.
class RolloutBook {
 public:
  /// Merges news about a roll-out. A written result has precedence over a decision that was not
  /// written, a newer state of the store over an older one; a decision is never withdrawn while its
  /// order exists. Returns whether anything but the time has changed.
  bool Merge(ProxyTime now, const RolloutRecord& news);
  /// Merges a complete list of the store's orders at `revision`: orders that are not in it were
  /// withdrawn. Returns the services whose records have changed.
  std::vector<std::string> MergeList(ProxyTime now, int64_t era, int64_t revision,
                                     const std::vector<RolloutRecord>& list);
  /// Moves a roll-out to a later phase. Precondition: it is known.
  void SetPhase(const std::string& service, RolloutPhase phase);

  /// Returns nullptr if there is none.
  const RolloutRecord* Find(const std::string& service) const;
  /// Time at which the order was first read. Precondition: the service is known.
  ProxyTime OrderedAt(const std::string& service) const { return entries_.at(service).ordered_at; }
  std::vector<RolloutRecord> Records(ProxyTime now) const;
  RolloutTraffic TrafficOf(const std::string& service) const;
  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    RolloutRecord record;
    ProxyTime ordered_at{};
  };
  std::map<std::string, Entry> entries_;
};

/// Returns the `count` nodes with the highest rendezvous hash of `key`, highest first.
std::vector<std::string> RankedNodes(const std::string& key, const std::vector<std::string>& nodes,
                                     size_t count);

/// Divides the requests of one sidecar between the target version and the others. Thread safety:
/// none; use from one thread.
class RolloutGate {
 public:
  /// `start`: 0 to 1, random, so that the first requests of many sidecars do not all go to the
  /// target version.
  explicit RolloutGate(double start) : due_(start) {}

  /// Sets the share of the target version until `valid_until`; it is
  /// `RolloutPolicy::kSmallestShare` then, and initially.
  void Set(const RolloutDecision& decision, ProxyTime valid_until);
  /// Whether the next request goes to the target version.
  bool Next(ProxyTime now);
  double share(ProxyTime now) const;
  /// Number of servers of the target version to use; 0 for all.
  uint32_t servers(ProxyTime now) const;

 private:
  /// Requests that the target version should have got.
  double due_;
  RolloutDecision decision_;
  ProxyTime valid_until_{};
};

/// Decides when a version that was found good may be reported as completed: the servers of the
/// other versions are stopped at once then, so they must have nothing left to do.
///
/// Reads no clock. Thread safety: none; use from one thread.
class RolloutShift {
 public:
  /// Time after the last sidecar was told in which requests that were already sent arrive.
  static constexpr std::chrono::milliseconds kArrivalTime{300};
  /// Longest wait for the requests that the other servers are running.
  static constexpr std::chrono::milliseconds kMaxDrainTime{3000};

  /// The sidecar `node` sends no more requests to other versions.
  void OnTold(const std::string& node) { told_.insert(node); }
  /// The server of `node`, of another version, has this number of requests queued or running.
  void OnActive(ProxyTime now, const std::string& node, uint32_t active) {
    active_[node] = {now, active};
  }
  /// `reachable`: sidecars that can be told; `others`: those beside servers of other versions.
  bool MayComplete(ProxyTime now, const std::vector<std::string>& reachable,
                   const std::vector<std::string>& others);

 private:
  std::set<std::string> told_;
  std::map<std::string, std::pair<ProxyTime, uint32_t>> active_;
  /// Time at which all reachable sidecars were told.
  ProxyTime all_told_at_ = ProxyTime::max();
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ROLLOUT_BOOK_H_
