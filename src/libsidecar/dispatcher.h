#ifndef CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_
#define CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphorhoist/call_placement.h"
#include "camphorhoist/fleet_retry_budget.h"
#include "camphorhoist/mesh_config.h"
#include "camphorhoist/server_picker.h"
#include "camphorhoist/sidecar_settings.h"
#include "libbase/mailbox.h"
#include "libsidecar/local_upstream.h"
#include "libsidecar/peer_directory.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

/// A whole request of a caller on this VM.
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

/// Carries the requests of the callers on this VM: chooses the route and the server, offers the
/// call to the sidecar beside it, and decides after each result whether to answer, to offer the
/// call elsewhere or to give up.
///
/// Thread safety: none; use on the thread of the event loop.
class Dispatcher {
 public:
  using Handle = uint64_t;
  using Callback = std::function<void(CallerResponse)>;

  /// Time to reach the sidecar again after its connection broke. Then an idempotent call is sent to
  /// another one, and the outcome of any other is reported as unknown: cuts last longer than
  /// callers wait.
  static constexpr std::chrono::milliseconds kReconnectTimeout{250};
  /// Time for the final result beyond the deadline, over that of the sidecar beside the server.
  static constexpr std::chrono::milliseconds kResultSlack{200};
  /// A repeat with less time left does not help.
  static constexpr std::chrono::milliseconds kMinRetryTime{20};
  /// Time in which the influence of a failure on the choice of a server falls to a third.
  static constexpr std::chrono::milliseconds kFailureDecayTime{3000};
  static constexpr double kFailureGain = 0.15;
  /// An offer that a caller leaves after this many service times of the server counts as failed.
  /// A server that lets calls wait until their callers leave gives no results to avoid it by.
  static constexpr int kSlowOfferFactor = 3;
  /// Weight of a new observation of a response size.
  static constexpr double kResponseSizeGain = 0.05;
  /// Time that a caller is taken to have while this sidecar has no configuration.
  static constexpr std::chrono::milliseconds kTimeoutWithoutConfig{1000};

  /// Preconditions: all pointers outlive the dispatcher.
  Dispatcher(event_base* base, const SidecarSettings* settings, uint64_t incarnation,
             PeerDirectory* directory, LocalUpstream* local, SidecarMetrics* metrics);

  void SetConfig(std::shared_ptr<const MeshConfig> config) { config_ = std::move(config); }
  const std::shared_ptr<const MeshConfig>& config() const { return config_; }

  /// Starts a call. `callback` runs once, possibly from inside this function, unless the call is
  /// cancelled.
  Handle Start(CallerRequest request, Callback callback);
  /// The caller has left.
  void Cancel(Handle handle);
  size_t active() const { return calls_.size(); }

  void OnResult(Peer* peer, CallResult result);
  void OnPeerUp(Peer* peer);
  void OnPeerDown(Peer* peer, bool terminated);

 private:
  struct Call {
    Handle handle = 0;
    CallerRequest request;
    Callback callback;
    std::string request_id;
    /// Made by the upstream on this VM for a call that it runs.
    bool nested = false;
    MeshRoute route;
    std::string service;
    uint64_t profile = 0;
    ProxyTime arrival_time{};
    /// Time of the last offer.
    ProxyTime offer_time{};
    ProxyTime deadline{};
    ProxyTime objective{};
    /// Offer under way, and the sidecar it was made to.
    CallId offer_id;
    std::string node;
    uint64_t node_incarnation = 0;
    bool uses_bulk_link = false;
    /// The connection to `node` broke with the offer under way.
    bool connection_lost = false;
    int servers_reached = 0;
    /// A server was given the call and may have run it, so that it must not be refused as not run.
    bool may_have_run = false;
    CallPlacement placement;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<Timer> reconnect_timer;
  };

  const std::string& ChooseService(const MeshRoute& route);
  ProxyDuration PreviousAttemptTime(uint64_t profile, ProxyDuration timeout);
  void OfferToNextServer(Call* call);
  ServerCandidates Candidates(const std::string& service) const;
  void Offer(Call* call, Peer* peer, ProxyDuration max_wait);
  void SendOffer(Call* call, Peer* peer, ProxyDuration max_wait);
  void OnNotRun(Call* call, Peer* peer, const CallResult& result);
  void OnUnknown(Call* call, const std::string& node, ResultReason reason);
  bool MayRetry(Call* call);
  void OnDeadline(Handle handle);
  void OnReconnectTimeout(Handle handle);
  void OnOfferLost(Call* call);
  void ResendOffer(Call* call, Peer* peer);
  void CancelOffer(Call* call);
  /// Tells the caller that the call has not run and when to return. One that may have run fails
  /// instead.
  void Refuse(Call* call, const char* reason);
  void Fail(Call* call, int status, const char* reason);
  void Finish(Call* call, CallerResponse response);
  void ReleaseOffer(Call* call);
  PeerLink* LinkOf(const Call& call, Peer* peer) const;
  void RecordOutcome(Peer* peer, bool failed);
  void RecordAbandonedOffer(const Call& call);
  double FailureShare(const Peer& peer, ProxyTime now) const;

  event_base* base_;
  const SidecarSettings* settings_;
  uint64_t incarnation_;
  PeerDirectory* directory_;
  LocalUpstream* local_;
  SidecarMetrics* metrics_;
  std::shared_ptr<const MeshConfig> config_;
  FleetRetryBudget budget_;
  std::mt19937_64 rng_;
  Handle next_handle_ = 1;
  uint64_t next_offer_ = 1;
  std::unordered_map<Handle, std::unique_ptr<Call>> calls_;
  std::unordered_map<CallId, Handle> calls_by_offer_;
  /// Longest time that callers have given calls of a profile: that of their first attempts.
  std::unordered_map<uint64_t, ProxyDuration> longest_timeout_;
  /// Moving average of the response size of each profile.
  std::unordered_map<uint64_t, double> response_bytes_;
  Mailbox<CallResult> local_results_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_DISPATCHER_H_
