#ifndef CAMPHORHOIST_UPSTREAM_GATE_H_
#define CAMPHORHOIST_UPSTREAM_GATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "camphorhoist/call_coordinator.h"
#include "camphorhoist/call_id.h"
#include "camphorhoist/call_ledger.h"
#include "camphorhoist/call_types.h"
#include "camphorhoist/concurrency_limit.h"
#include "camphorhoist/outcome.h"

namespace camphorhoist {

/// What the upstream side knows of a call when it arrives.
struct GateCall {
  CallId id;
  uint64_t target_incarnation = 0;
  CallTime deadline{};
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = false;
  /// Longest wait in the queue.
  CallDuration max_queue = std::chrono::milliseconds(500);
};

/// Sends the call to the upstream now. Followed by `OnFinish`.
struct StartCall {
  CallId id;
};
/// The call waits; nothing is to be done.
struct Queued {
  CallId id;
  CallDuration expected_wait{};
};
/// The call was not run and will not be, unless `ProvesNotRun(reason)` is false.
struct Refuse {
  CallId id;
  CallReason reason = CallReason::kNone;
};
/// Aborts the running call: its connection to the upstream is closed. Followed by `OnFinish`.
struct CancelRunning {
  CallId id;
};

using GateEffect = std::variant<StartCall, Queued, Refuse, CancelRunning>;
using GateEffects = std::vector<GateEffect>;

/// How a call ended on the upstream.
enum class FinishKind : uint8_t {
  kOk,
  /// The upstream refused the work because of its load.
  kShed,
  /// Failed, broken or aborted.
  kError,
};

enum class DrainMode : uint8_t {
  /// The upstream leaves: queued calls are refused too, so that nothing more is sent to it.
  kUpstreamLeaves,
  /// The node stops: queued calls still run, new ones are refused.
  kNodeStops,
};

struct GateOptions {
  uint32_t slots = 1;
  /// Connections that the upstream accepts; each running call takes one.
  uint32_t connections = 110;
  uint64_t incarnation = 0;
  /// Time over which the limit grows from a quarter of the slots after a cold start; 0 for none.
  CallDuration warm_up{};
  size_t ledger_capacity = CallLedger::kDefaultCapacity;
};

/// Upstream side of one upstream: admits, queues, orders, cancels and counts its calls. Pure state
/// machine; each input returns the effects to carry out, in order.
///
/// Policies by name: "default"; baselines for measurements are "no_limit" (every call starts at
/// once, up to the connections) and "single_queue" (one first-in first-out queue for short and long
/// work, bounded by the wait only, fixed limit).
///
/// Thread safety: none; use from one thread.
class UpstreamGate {
 public:
  /// Share of the limit that long work leaves free, at least one slot.
  static constexpr double kShortReserveShare = 0.25;
  /// Calls in the queue per slot; bounds memory when deadlines are long.
  static constexpr size_t kMaxQueuePerSlot = 64;
  /// A long call that has waited this share of its longest wait goes before newer short ones.
  static constexpr double kLongAgingShare = 0.5;

  UpstreamGate(const GateOptions& options, CallTime now);
  /// Returns nothing for an unknown policy name.
  static std::optional<UpstreamGate> Create(const std::string& policy, const GateOptions& options,
                                            CallTime now);
  static std::vector<std::string> PolicyNames();

  GateEffects Offer(CallTime now, const GateCall& call);
  /// The head of the response has arrived: the deadline no longer aborts the call.
  void OnHead(const CallId& id);
  /// Each started call is reported exactly once. `service_time` runs from `StartCall`.
  GateEffects OnFinish(CallTime now, const CallId& id, CallDuration service_time, FinishKind kind);
  /// Withdraws a queued call; aborts a running one only if it is idempotent, because an aborted
  /// order may be half done. An unknown id leaves a tombstone, so that it cannot start later.
  GateEffects Cancel(CallTime now, const CallId& id);

  struct Resolution {
    ResolveState state = ResolveState::kUnknown;
    GateEffects effects;
  };
  /// Tells what became of a call, withdrawing it if it is queued or has not arrived.
  Resolution Resolve(CallTime now, const CallId& id, uint64_t target_incarnation);

  /// Refuses everything new from now on.
  GateEffects Drain(CallTime now, DrainMode mode);
  /// Refuses calls whose wait is over, aborts idempotent calls past their deadline, adapts limits,
  /// forgets old tombstones. To be called every 10 ms or so while anything is queued or running.
  GateEffects Tick(CallTime now);

  bool draining() const { return draining_; }
  size_t running() const { return running_.size(); }
  size_t queued() const { return short_queue_.size() + long_queue_.size(); }
  bool idle() const { return running() == 0 && queued() == 0; }
  uint32_t limit(CallTime now) const;
  LoadReport load(CallTime now) const;
  const CallLedger& ledger() const { return ledger_; }
  /// Wait that a call of this class offered now would have.
  CallDuration ExpectedWait(CallTime now, WorkClass work_class) const;

 private:
  struct QueuedCall {
    GateCall call;
    CallTime enqueued_at;
  };
  struct RunningCall {
    GateCall call;
    CallTime started_at;
    bool head_received = false;
    bool cancelled = false;
  };
  struct Policy {
    const char* name;
    bool limits_concurrency;
    bool separates_classes;
    bool adapts_limit;
  };
  static const Policy kPolicies[];

  UpstreamGate(const Policy& policy, const GateOptions& options, CallTime now);

  std::optional<CallReason> RefusalReason(CallTime now, const GateCall& call) const;
  std::deque<QueuedCall>& QueueOf(WorkClass work_class);
  uint32_t LongCallLimit(CallTime now) const;
  bool MayStartLong(CallTime now) const;
  std::deque<QueuedCall>* NextQueue(CallTime now);
  void StartQueued(CallTime now, GateEffects* effects);
  void RefuseExpired(CallTime now, std::deque<QueuedCall>* queue, GateEffects* effects);
  bool Withdraw(CallTime now, const CallId& id);
  void RefuseAll(CallTime now, std::deque<QueuedCall>* queue, GateEffects* effects);

  const Policy* policy_;
  GateOptions options_;
  CallTime created_at_;
  CallLedger ledger_;
  ConcurrencyLimit limit_;
  std::deque<QueuedCall> short_queue_;
  std::deque<QueuedCall> long_queue_;
  std::unordered_map<CallId, RunningCall> running_;
  uint32_t running_long_ = 0;
  bool draining_ = false;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_UPSTREAM_GATE_H_
