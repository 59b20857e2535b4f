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

/// Memory of all calls that an upstream side has seen: those queued and running, and for
/// `kRetention` those finished and voided (tombstones). Bounded; a full ledger takes no new call
/// rather than forgetting an entry early, since a forgotten tombstone could let a call run twice.
///
/// Thread safety: none; use from one thread.
class CallLedger {
 public:
  enum class State : uint8_t { kQueued, kRunning, kFinished, kVoided };

  /// Settled entries are kept this long. A request that is delayed longer than this on a connection
  /// must be dropped by the connection's owner.
  static constexpr std::chrono::seconds kRetention{60};
  /// Upper bound of the memory of one entry: hash node, bucket and expiry record.
  static constexpr size_t kBytesPerEntry = 112;
  /// 60 s at 4,000 calls a second; at most 27 MB.
  static constexpr size_t kDefaultCapacity = 240000;

  explicit CallLedger(size_t capacity = kDefaultCapacity,
                      std::pmr::memory_resource* memory = std::pmr::get_default_resource());

  /// Adds an entry as queued. False if the ledger is full. Precondition: the id is not present.
  bool Begin(const CallId& id, CallTime now);
  void Start(const CallId& id);
  /// Keeps the call as `kFinished`, or as `kVoided` if it turned out not to have been run, for
  /// `kRetention`. Precondition: it is queued or running.
  void Settle(const CallId& id, State state, CallTime now);
  /// Marks a queued or unknown id as voided. False if it is unknown and the ledger is full.
  /// Precondition: the call has not started.
  bool Void(const CallId& id, CallTime now);
  std::optional<State> Find(const CallId& id) const;
  /// Forgets the settled entries whose time is over.
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
