#ifndef CAMPHORHOIST_CALL_LEDGER_H_
#define CAMPHORHOIST_CALL_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory_resource>
#include <optional>
#include <unordered_map>

#include "camphorhoist/call_id.h"
#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Record of the calls for one upstream, kept by its node to detect duplicates: all queued and
/// running calls, and for `kRetention` also finished and voided ones (tombstones), including voided
/// calls that have not arrived yet. The size is bounded. A full ledger accepts no new call instead
/// of removing an entry early, because without its tombstone a call could run twice.
///
/// Thread safety: none; use from one thread.
class CallLedger {
 public:
  enum class State : uint8_t { kQueued, kRunning, kFinished, kVoided };

  /// Retention time of settled (finished or voided) entries. The owner of a connection must drop a
  /// request that is delayed longer than this.
  static constexpr std::chrono::seconds kRetention{60};
  /// Upper bound of the memory per entry: hash node, bucket and expiry record.
  static constexpr size_t kBytesPerEntry = 112;
  /// Enough for 60 s at 4,000 calls per second; uses at most 27 MB.
  static constexpr size_t kDefaultCapacity = 240000;

  explicit CallLedger(size_t capacity = kDefaultCapacity,
                      std::pmr::memory_resource* memory = std::pmr::get_default_resource());

  /// Adds a queued entry. Returns false if the ledger is full. Precondition: the id is not present.
  bool AddQueued(const CallId& id, CallTime now);
  /// Marks a queued call as running.
  void MarkRunning(const CallId& id);
  /// Marks a call as `kFinished`, or as `kVoided` if it has not run, and keeps it for `kRetention`.
  /// Precondition: it is queued or running.
  void Settle(const CallId& id, State state, CallTime now);
  /// Marks a queued or unknown id as voided. Returns false if it is unknown and the ledger is full.
  /// Precondition: the call has not started.
  bool Void(const CallId& id, CallTime now);
  std::optional<State> Find(const CallId& id) const;
  /// Removes settled entries older than `kRetention`.
  void Expire(CallTime now);

  size_t size() const { return entries_.size(); }
  size_t capacity() const { return capacity_; }

 private:
  struct Settled {
    CallId id;
    CallTime at;
  };

  size_t capacity_;
  std::pmr::unordered_map<CallId, State> entries_;
  std::pmr::deque<Settled> settled_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_LEDGER_H_
