#ifndef CAMPHORHOIST_LIBSIDECAR_SERVERS_LOCAL_UPSTREAM_H_
#define CAMPHORHOIST_LIBSIDECAR_SERVERS_LOCAL_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "camphorhoist/failure_share.h"
#include "camphorhoist/server_queue.h"
#include "camphorhoist/sidecar_settings.h"
#include "camphorhoist/upstream_registry.h"
#include "libsidecar/peers/peer_messages.h"
#include "libsidecar/servers/upstream_pool.h"

namespace camphorhoist {

/// Runs calls on the upstream of this VM, as its only client. Runs each offered call at most once,
/// and keeps results for senders whose connection broke.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread; `Offer`
/// may call `reply` before it returns.
class LocalUpstream {
 public:
  using Reply = std::function<void(CallResult)>;
  /// Identifies the connection on which a call was offered; 0 for calls of this process.
  using ConnectionId = uint64_t;
  /// Receives what the upstream is sent and how it responds.
  struct Observer {
    std::function<void(const UpstreamReport& upstream)> on_sent;
    /// `service_time`: 0 for a failure, or if the upstream is still warming up.
    std::function<void(const UpstreamReport& upstream, uint64_t route, bool failed,
                       ProxyDuration service_time)>
        on_response;
  };

  /// How long the id and the result of a completed call of another process are kept. A call of this
  /// process is forgotten at once: its sender cannot lose the result.
  static constexpr std::chrono::milliseconds kResultRetention{10000};
  /// Time for a sender to reconnect before its running idempotent calls are cancelled.
  static constexpr std::chrono::milliseconds kReconnectGracePeriod{1000};
  /// Maximum total size of the retained response bodies.
  static constexpr size_t kMaxRetainedBytes = 4 << 20;
  /// Extra time for a response after the deadline, since the upstream itself responds at the
  /// deadline.
  static constexpr std::chrono::milliseconds kResponseSlack{150};
  /// Weight of a new sample in the moving average of the size of large responses.
  static constexpr double kBulkSizeEwmaWeight = 0.05;
  /// Weight of a new outcome in the failure share.
  static constexpr double kFailureShareEwmaWeight = 0.15;
  /// Failure share from which all senders are told at once that the upstream fails calls. Half of
  /// it ends that.
  static constexpr double kMaxSoundFailureShare = 0.2;
  /// Number of slots assumed until the upstream reports its own.
  static constexpr uint32_t kInitialSlots = 1;
  /// Number of instances whose remembered rate limits are kept.
  static constexpr size_t kMaxRememberedInstances = 16;

  /// `on_status_changed` is called when the upstream starts or stops accepting calls, when a
  /// departure is recorded, or when the upstream starts or stops failing many calls.
  LocalUpstream(event_base* base, const SidecarSettings& settings,
                std::function<void()> on_status_changed);

  /// `bytes_per_second` returns the rate at which large responses are sent, greater than 0;
  /// `backlog` returns how many of their bytes are queued for the link. From then on, the admission
  /// of calls also considers the time to deliver the response.
  void SetEgress(std::function<double()> bytes_per_second, std::function<size_t()> backlog);

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  /// Applies a report of the upstream. Returns what it changed.
  UpstreamRegistry::Change Apply(const UpstreamReport& report);
  /// Takes the rate limit of the upstream that another sidecar remembers from an earlier run of
  /// this process. It is in force until the first response of that instance.
  void OnRememberedStatus(const UpstreamStatus& remembered);
  /// Adds departures that an earlier run of this process recorded, as the store or another sidecar
  /// remembers them. If the current incarnation is among them, queued calls are refused.
  void Restore(const std::vector<UpstreamDeparture>& departures);
  const UpstreamRegistry& registry() const { return registry_; }

  /// Offers a call. `reply` is called once, unless the call is cancelled or the connection is
  /// closed first.
  void Offer(CallOffer offer, ConnectionId connection_id, Reply reply);
  /// Cancels a call whose sender no longer needs the result. A running call that is not idempotent
  /// continues. An unknown id is remembered, so that a later offer with the same id is not run.
  void Cancel(const CallId& id);
  /// Called when a connection is lost. Cancels its queued calls at once, and its running
  /// idempotent calls unless they are offered again within `kReconnectGracePeriod`.
  void OnConnectionClosed(ConnectionId connection_id);
  /// Refuses calls with a deadline after `latest`, since the end of the process might cut them off.
  void SetLatestDeadline(ProxyTime latest) { latest_deadline_ = latest; }
  /// Refuses all new calls from now on; accepted calls still run.
  void Stop();

  /// Whether `request_id` is that of a nested call, i.e. of a request that the upstream makes on
  /// behalf of a call that it is running.
  bool IsRunningParentOf(const std::string& request_id) const;

  UpstreamStatus status() const;
  ServerLoad load() const;
  /// Number of queued and running calls.
  size_t active() const { return queue_.running() + queue_.queued(); }
  uint64_t connections_opened() const { return pool_.connections_opened(); }

 private:
  enum class State : uint8_t { kQueued, kRunning, kDone };
  struct TrackedCall {
    State state = State::kQueued;
    CallOffer offer;
    ProxyTime deadline{};
    ProxyTime started_at{};
    ConnectionId connection_id = 0;
    Reply reply;
    uint64_t queue_key = 0;
    std::string request_id;
    /// The incarnation of the upstream that runs the call.
    UpstreamReport upstream;
    bool idempotent = false;
    /// A large response is expected, which is sent over the link.
    bool bulk = false;
    UpstreamPool::Handle handle = 0;
    std::unique_ptr<Timer> timer;
    CallResult result;
  };

  /// Called when a response states that the instance which sent it is about to end.
  void OnLeaving(const UpstreamReport& instance);
  void OnNewInstance();
  void RestoreRateLimit();
  void ApplyRateLimit(std::optional<double> per_second);
  void Run(const CallId& id, TrackedCall* tracked);
  void OnOutcome(const CallId& id, UpstreamOutcome outcome);
  void OnDeadline(const CallId& id);
  void RecordFailure(bool failed);
  /// Passes a result to the observer, unless it says nothing about the upstream's software.
  void Observe(const TrackedCall& tracked, const CallResult& result);
  /// Takes the id by value: a reference might point into a map entry that this function erases.
  void Finish(CallId id, TrackedCall* tracked, CallResult result);
  void Refuse(CallId id, ResultReason reason);
  /// Keeps what a later offer or cancellation of a completed call needs. `tracked` may be erased.
  void Retain(const CallId& id, TrackedCall* tracked, const CallResult& result);
  /// Closes the connection of a running call, whose outcome is then unknown.
  void Abort(CallId id, TrackedCall* tracked, ResultReason reason);
  void LogNoResponse(const TrackedCall& tracked, ResultReason reason, bool sent) const;
  void DispatchQueued();
  void EvictExpiredResults();
  CallResult NewResult(const CallId& id, ResultKind kind, ResultReason reason) const;
  void RefuseQueued();
  /// Reports the status if the readiness or the departures have changed since the last report.
  void NotifyIfChanged();
  /// Time that large responses, including the expected ones, keep the link busy.
  ProxyDuration DeliveryWait() const;
  /// Time that the link needs to send `bytes` of large responses.
  ProxyDuration TransferTime(double bytes) const;

  event_base* base_;
  std::function<void()> on_status_changed_;
  UpstreamRegistry registry_;
  ServerQueue queue_;
  UpstreamPool pool_;
  /// The upstream has responded since it was activated, so that its rate limit is known.
  bool upstream_answered_ = false;
  /// Rate limit that the last response contained.
  std::optional<double> rate_limit_;
  /// Times between two requests that other sidecars remember, by instance.
  std::map<std::string, ProxyDuration> remembered_intervals_;
  FailureShare failure_share_{kFailureShareEwmaWeight};
  /// The senders were told that the upstream fails many calls.
  bool reported_failing_ = false;
  Observer observer_;
  Timer expiry_timer_;
  Timer queue_timer_;
  /// Empty if large responses need not wait for the link.
  std::function<double()> egress_bytes_per_second_;
  std::function<size_t()> egress_backlog_;
  /// Number of large responses expected from queued and running calls, and their mean size.
  size_t bulk_active_ = 0;
  double mean_bulk_bytes_ = 0;
  bool stopping_ = false;
  ProxyTime latest_deadline_ = ProxyTime::max();
  bool was_ready_ = false;
  std::deque<UpstreamDeparture> reported_departures_;
  uint64_t next_queue_key_ = 1;
  size_t retained_bytes_ = 0;
  std::unordered_map<CallId, TrackedCall> tracked_calls_;
  /// Completed calls that were not run, without the rest of their state: a process can reject
  /// thousands of calls a second.
  std::unordered_map<CallId, ResultReason> rejected_calls_;
  std::unordered_map<uint64_t, CallId> ids_by_queue_key_;
  /// Request ids of the running calls.
  std::unordered_multiset<std::string> running_request_ids_;
  /// Calls in `tracked_calls_` and `rejected_calls_` that are completed, in order of completion.
  std::deque<std::pair<ProxyTime, CallId>> completed_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_SERVERS_LOCAL_UPSTREAM_H_
