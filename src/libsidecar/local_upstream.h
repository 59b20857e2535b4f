#ifndef CAMPHORHOIST_LIBSIDECAR_LOCAL_UPSTREAM_H_
#define CAMPHORHOIST_LIBSIDECAR_LOCAL_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "camphorhoist/server_queue.h"
#include "camphorhoist/sidecar_settings.h"
#include "camphorhoist/upstream_registry.h"
#include "libsidecar/peer_messages.h"
#include "libsidecar/upstream_pool.h"

namespace camphorhoist {

/// The upstream on this VM: the only sender to it. Runs each offered call at most once, and keeps
/// results for senders whose connection broke.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread, never
/// from inside `Offer` of the same call.
class LocalUpstream {
 public:
  using Reply = std::function<void(CallResult)>;
  /// Identifies the connection that a call came by; 0 for calls of this process.
  using ConnectionId = uint64_t;

  /// How long the id and the result of an ended call are kept.
  static constexpr std::chrono::milliseconds kResultRetention{10000};
  /// Time for a sender to reconnect before its running idempotent calls are cancelled.
  static constexpr std::chrono::milliseconds kReconnectGracePeriod{1000};
  /// Bytes of retained bodies.
  static constexpr size_t kMaxRetainedBytes = 4 << 20;
  /// Time that the upstream has beyond the deadline, since it answers at the deadline itself.
  static constexpr std::chrono::milliseconds kResponseSlack{150};
  /// Weight of a new observation in the mean size of large responses.
  static constexpr double kBulkSizeGain = 0.05;
  /// Slots assumed until the upstream has told its own.
  static constexpr uint32_t kInitialSlots = 1;

  /// `on_ready_changed` is called when the upstream starts or stops taking calls.
  LocalUpstream(event_base* base, const SidecarSettings& settings,
                std::function<void()> on_ready_changed);

  /// Large responses leave at `bytes_per_second`; `backlog` tells how many of their bytes
  /// wait for it. Calls are then admitted by the time to deliver their response, too.
  void SetEgress(double bytes_per_second, std::function<size_t()> backlog);

  /// Takes a report of the upstream. Returns what it changed.
  UpstreamRegistry::Change Apply(const UpstreamReport& report);
  void Restore(const UpstreamDeparture& departure) { registry_.Restore(departure); }
  const UpstreamRegistry& registry() const { return registry_; }

  /// Offers a call. `reply` is called once, unless the source is closed first.
  void Offer(CallOffer offer, ConnectionId connection_id, Reply reply);
  /// The sender does not need the result any more. An unknown id is remembered, so that a late
  /// offer with it is not run.
  void Cancel(const CallId& id);
  /// The connection of these senders is lost: withdraws their waiting calls, and cancels running
  /// idempotent ones unless they are offered again within `kReconnectGracePeriod`.
  void OnConnectionClosed(ConnectionId connection_id);
  /// Refuses calls whose deadline is later, since they might be cut off.
  void SetLatestDeadline(ProxyTime latest) { latest_deadline_ = latest; }
  /// Refuses everything new from now on; what was accepted still runs.
  void Stop();

  /// Whether the request was made by the upstream for a call that it runs now. Upstreams derive the
  /// ids of their requests from that of the call: its id, a separator, and a suffix.
  bool IsRunningParentOf(const std::string& request_id) const;

  UpstreamStatus status() const;
  ServerLoad load() const;
  /// Calls that wait or run.
  size_t active() const { return queue_.running() + queue_.queued(); }
  uint64_t connections_opened() const { return pool_.connections_opened(); }

 private:
  enum class State : uint8_t { kWaiting, kRunning, kDone };
  struct TrackedCall {
    State state = State::kWaiting;
    CallOffer offer;
    ProxyTime deadline{};
    ProxyTime started{};
    ConnectionId connection_id = 0;
    Reply reply;
    uint64_t key = 0;
    std::string request_id;
    bool idempotent = false;
    /// A large response is expected, by the link.
    bool bulk = false;
    UpstreamPool::Handle handle = 0;
    std::unique_ptr<Timer> timer;
    CallResult result;
  };

  void Run(const CallId& id, TrackedCall* tracked);
  void OnOutcome(const CallId& id, UpstreamOutcome outcome);
  void OnDeadline(const CallId& id);
  /// Takes the id by value: it may be that of a map from which this function removes it.
  void Finish(CallId id, TrackedCall* tracked, CallResult result);
  void Refuse(CallId id, ResultReason reason);
  /// Closes the connection of a running call, of which the outcome is then unknown.
  void Abort(CallId id, TrackedCall* tracked, ResultReason reason);
  void LogNoResponse(const TrackedCall& tracked, ResultReason reason, bool sent) const;
  void AdvanceQueue();
  void EvictExpiredResults();
  CallResult NewResult(const CallId& id, ResultKind kind, ResultReason reason) const;
  void NotifyIfChanged();
  /// Time that large responses, those to come included, keep the link busy.
  ProxyDuration DeliveryWait() const;
  /// Time that the link needs for this many bytes of large responses.
  ProxyDuration TransferTime(double bytes) const;

  event_base* base_;
  std::function<void()> on_ready_changed_;
  UpstreamRegistry registry_;
  ServerQueue queue_;
  UpstreamPool pool_;
  Timer expiry_timer_;
  Timer queue_timer_;
  double egress_bytes_per_second_ = 0;
  std::function<size_t()> egress_backlog_;
  /// Large responses that are expected from waiting and running calls, and their mean size.
  size_t bulk_active_ = 0;
  double mean_bulk_bytes_ = 0;
  bool stopping_ = false;
  ProxyTime latest_deadline_ = ProxyTime::max();
  bool was_ready_ = false;
  uint64_t next_key_ = 1;
  size_t retained_bytes_ = 0;
  std::unordered_map<CallId, TrackedCall> tracked_calls_;
  std::unordered_map<uint64_t, CallId> ids_by_queue_key_;
  /// Request ids of the calls that run.
  std::unordered_multiset<std::string> running_request_ids_;
  std::deque<std::pair<ProxyTime, CallId>> completed_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_LOCAL_UPSTREAM_H_
