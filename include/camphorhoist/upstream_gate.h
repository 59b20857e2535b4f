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

/// Properties of a call that are known when it arrives at the upstream's node.
struct GateCall {
  CallId id;
  uint64_t target_incarnation = 0;
  CallTime deadline{};
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = false;
  /// Maximum time in the queue.
  CallDuration max_queue = std::chrono::milliseconds(500);
};

/// Sends the call to the upstream. Followed by `OnFinish`.
struct StartCall {
  CallId id;
};
/// Reports that the call was queued; requires no action.
struct Queued {
  CallId id;
  CallDuration expected_wait{};
};
/// Refuses the call: it has not run and will not run, unless `ProvesNotRun(reason)` is false.
struct Refuse {
  CallId id;
  CallReason reason = CallReason::kNone;
};
/// Aborts a running call by closing its connection to the upstream. Followed by `OnFinish`.
struct CancelRunning {
  CallId id;
};

using GateEffect = std::variant<StartCall, Queued, Refuse, CancelRunning>;
using GateEffects = std::vector<GateEffect>;

/// Result of a call at the upstream.
enum class FinishKind : uint8_t {
  kOk,
  /// The upstream refused the call because of its load.
  kShed,
  /// The call failed, its response broke off, or it was aborted.
  kError,
};

enum class DrainMode : uint8_t {
  /// The upstream leaves the mesh: new and queued calls are refused, and nothing more is sent to
  /// it.
  kUpstreamLeaves,
  /// The node shuts down: new calls are refused, queued ones still run.
  kNodeStops,
};

struct GateOptions {
  uint32_t slots = 1;
  /// Maximum number of connections to the upstream; each running call uses one.
  uint32_t connections = 110;
  uint64_t incarnation = 0;
  /// Time in which the limit grows from a quarter of the slots to all of them after a cold start; 0
  /// disables the warm-up.
  CallDuration warm_up{};
  size_t ledger_capacity = CallLedger::kDefaultCapacity;
};

/// Admission control of one upstream, at the node that sends to it: admits or refuses calls, queues
/// them by work class, limits their concurrency and cancels them. It performs no I/O: each input
/// returns the effects that the owner carries out, in order.
///
/// Policies by name: "default", and two baselines for benchmarks: "no_limit" starts every call at
/// once and refuses those above the connection limit; "single_queue" has one FIFO queue for short
/// and long calls and a fixed limit, and admits calls without checking whether they can finish
/// before their deadline.
///
/// Thread safety: none; use from one thread.
class UpstreamGate {
 public:
  /// Share of the limit that is reserved for short calls; at least one slot.
  static constexpr double kShortReserveShare = 0.25;
  /// Maximum queue length per slot; bounds memory when deadlines are long.
  static constexpr size_t kMaxQueuePerSlot = 64;
  /// A long call that has waited this share of its maximum queue time takes precedence over short
  /// calls queued after it.
  static constexpr double kLongAgingShare = 0.5;

  UpstreamGate(const GateOptions& options, CallTime now);
  /// Returns nothing for an unknown policy name.
  static std::optional<UpstreamGate> Create(const std::string& policy, const GateOptions& options,
                                            CallTime now);
  static std::vector<std::string> PolicyNames();

  /// Starts, queues or refuses a call that has arrived.
  GateEffects Offer(CallTime now, const GateCall& call);
  /// The response head has arrived; the deadline no longer aborts the call.
  void OnHead(const CallId& id);
  /// To be called exactly once for each started call. `service_time` is measured from `StartCall`.
  GateEffects OnFinish(CallTime now, const CallId& id, CallDuration service_time, FinishKind kind);
  /// Withdraws a queued call. A running call is aborted only if it is idempotent, because a
  /// non-idempotent one may be half done. An unknown id is recorded as voided, so that the call
  /// cannot start if it arrives later.
  GateEffects Cancel(CallTime now, const CallId& id);

  struct Resolution {
    ResolveState state = ResolveState::kUnknown;
    GateEffects effects;
  };
  /// Returns the state of a call, and withdraws it if it is queued or has not arrived yet.
  Resolution Resolve(CallTime now, const CallId& id, uint64_t target_incarnation);

  /// Refuses all new calls from now on.
  GateEffects Drain(CallTime now, DrainMode mode);
  /// Refuses queued calls that waited too long, aborts idempotent calls that passed their deadline
  /// without a response head, starts queued calls that the limit allows, and removes expired ledger
  /// entries. To be called about every 10 ms while calls are queued or running.
  GateEffects Tick(CallTime now);

  bool draining() const { return draining_; }
  size_t running() const { return running_.size(); }
  size_t queued() const { return short_queue_.size() + long_queue_.size(); }
  /// Whether no call is queued or running.
  bool idle() const { return running() == 0 && queued() == 0; }
  /// Current concurrency limit, including the warm-up and the connection limit.
  uint32_t limit(CallTime now) const;
  LoadReport load(CallTime now) const;
  const CallLedger& ledger() const { return ledger_; }
  /// Expected queue time of a call of this class that arrives now.
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
