#ifndef CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_
#define CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphorhoist/call_estimates.h"
#include "camphorhoist/call_placement.h"
#include "camphorhoist/fleet_retry_budget.h"
#include "camphorhoist/mesh_config.h"
#include "camphorhoist/server_picker.h"
#include "camphorhoist/sidecar_settings.h"
#include "libbase/mailbox.h"
#include "libsidecar/peers/peer_directory.h"
#include "libsidecar/peers/permit_exchange.h"
#include "libsidecar/rollout/rollout_exchange.h"
#include "libsidecar/servers/local_upstream.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

/// A complete HTTP request of a caller on this VM.
struct CallerRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct CallerResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// Routes the requests of the callers on this VM: chooses the route and the server, offers the call
/// to the sidecar of that server, and decides after each result whether to respond, to offer the
/// call to another server or to fail it.
///
/// Thread safety: none; use on the thread of the event loop.
class Dispatcher {
 public:
  using Handle = uint64_t;
  using Callback = std::function<void(CallerResponse)>;

  /// Time to reconnect to a sidecar after its connection broke. After that, an idempotent call is
  /// sent to another sidecar and the outcome of any other call is reported as unknown, since
  /// network outages last longer than callers wait.
  static constexpr std::chrono::milliseconds kReconnectTimeout{250};
  /// Extra time after the deadline for the final result. Exceeds `LocalUpstream::kResponseSlack`,
  /// the extra time for which the sidecar of the server waits for the response.
  static constexpr std::chrono::milliseconds kResultSlack{200};
  /// A call with less time left is not retried, since the retry would not complete in time.
  static constexpr std::chrono::milliseconds kMinRetryTime{20};
  /// An offer that the caller abandons, or that expires, after more than this many service times of
  /// the server counts as failed. A server that holds calls until their callers disconnect returns
  /// no results that would count against it.
  static constexpr int kSlowOfferFactor = 3;
  /// Timeout assumed for a call while this sidecar has no configuration.
  static constexpr std::chrono::milliseconds kTimeoutWithoutConfig{1000};

  /// Preconditions: all pointers outlive the dispatcher.
  Dispatcher(event_base* base, const SidecarSettings* settings, uint64_t incarnation,
             PeerDirectory* directory, LocalUpstream* local, PermitExchange* permits,
             RolloutExchange* rollouts, SidecarMetrics* metrics);

  void SetConfig(std::shared_ptr<const MeshConfig> config) { config_ = std::move(config); }
  const std::shared_ptr<const MeshConfig>& config() const { return config_; }

  /// Refuses calls that start from now on and whose deadline is after `latest`: the end of the
  /// process would cut them off while a server may be running them.
  void SetLatestDeadline(ProxyTime latest) { latest_deadline_ = latest; }

  /// Starts a call. `callback` runs once, possibly from within this function, unless the call is
  /// cancelled.
  Handle Start(CallerRequest request, Callback callback);
  /// Cancels a call whose caller has disconnected.
  void Cancel(Handle handle);
  size_t active() const { return calls_.size(); }

  void OnResult(Peer* peer, CallResult result);
  void OnPeerUp(Peer* peer);
  void OnPeerDown(Peer* peer, bool terminated);
  /// Continues a call that has waited for a permit of its organisation, or rejects it.
  void OnPermit(Handle handle, const OrganisationLimiter::Result& result);

 private:
  struct Call {
    Handle handle = 0;
    CallerRequest request;
    Callback callback;
    std::string request_id;
    /// Made by the upstream on this VM for another call that it is running.
    bool nested = false;
    MeshRoute route;
    /// Organisation of the caller; empty if it has none.
    std::string organisation;
    bool waits_for_permit = false;
    /// Priority of the organisation or of the route.
    int priority = 0;
    std::string service;
    /// The first server is one of the target version of the service's roll-out.
    bool to_target_version = false;
    uint64_t profile = 0;
    ProxyTime arrived_at{};
    /// Time of the last offer.
    ProxyTime offered_at{};
    ProxyTime deadline{};
    ProxyTime objective{};
    /// The pending offer, and the sidecar that it was sent to.
    CallId offer_id;
    std::string node;
    uint64_t node_incarnation = 0;
    bool uses_bulk_link = false;
    /// The connection to `node` broke while the offer was pending.
    bool connection_lost = false;
    /// Number of servers that have received the request or may have received it.
    int servers_reached = 0;
    /// The call was sent to a server that may have run it, so it must not be reported to the caller
    /// as not run.
    bool may_have_run = false;
    CallPlacement placement;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<Timer> reconnect_timer;
  };

  /// Whether the key of the call permits it. If not, finishes the call; otherwise sets its
  /// organisation and priority.
  bool CheckKey(Call* call, const std::string& key);
  /// Takes a permit if the organisation of the call has a limit. Returns false if the call waits
  /// for one or was rejected.
  bool TakePermit(Call* call);
  /// Offers a call again that a server may have executed. This takes another permit.
  void Repeat(Call* call);
  void RejectOverLimit(Call* call, ProxyDuration retry_after);
  /// Starts to offer a call that has passed all checks.
  void StartPlacement(Call* call);
  const std::string& ChooseService(const MeshRoute& route);
  ProxyDuration PreviousAttemptTime(const MeshRoute& route, uint64_t profile,
                                    ProxyDuration timeout);
  void OfferToNextServer(Call* call);
  ServerCandidates Candidates(const Call& call) const;
  void Offer(Call* call, Peer* peer, ProxyDuration max_wait);
  void SendOffer(Call* call, Peer* peer, ProxyDuration max_wait);
  void OnNotRun(Call* call, Peer* peer, const CallResult& result);
  void OnUnknown(Call* call, const std::string& node, ResultReason reason);
  /// Whether the call may be retried on another server. If so, takes the retry from the budget.
  bool MayRetry(Call* call);
  void OnDeadline(Handle handle);
  void OnReconnectTimeout(Handle handle);
  void OnOfferLost(Call* call);
  void ResendOffer(Call* call, Peer* peer);
  void CancelOffer(Call* call);
  /// Reports to the caller that the call has not run, and when to retry. A call that may have run
  /// fails instead.
  void Refuse(Call* call, const char* reason);
  void Fail(Call* call, int status, const char* reason);
  void Finish(Call* call, CallerResponse response);
  void ReleaseOffer(Call* call);
  PeerLink* LinkOf(const Call& call, Peer* peer) const;
  void RecordAbandonedOffer(const Call& call);

  event_base* base_;
  const SidecarSettings* settings_;
  uint64_t incarnation_;
  PeerDirectory* directory_;
  LocalUpstream* local_;
  PermitExchange* permits_;
  RolloutExchange* rollouts_;
  SidecarMetrics* metrics_;
  std::shared_ptr<const MeshConfig> config_;
  FleetRetryBudget budget_;
  ProxyTime started_at_ = std::chrono::steady_clock::now();
  ProxyTime latest_deadline_ = ProxyTime::max();
  std::mt19937_64 rng_;
  Handle next_handle_ = 1;
  uint64_t next_offer_ = 1;
  std::unordered_map<Handle, std::unique_ptr<Call>> calls_;
  std::unordered_map<CallId, Handle> handles_by_offer_;
  /// Longest timeout that callers have sent for calls of a profile; taken to be the timeout of a
  /// first attempt.
  std::unordered_map<uint64_t, ProxyDuration> longest_timeout_;
  CallEstimates estimates_;
  Mailbox<CallResult> local_results_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_
