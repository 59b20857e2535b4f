#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_PERMIT_EXCHANGE_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_PERMIT_EXCHANGE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/mesh_config.h"
#include "camphorhoist/organisation_limiter.h"
#include "libsidecar/peers/peer_directory.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

/// Limits the requests of organisations: requests permits from the sidecars that own the
/// organisations, over the connections to them, and issues those of the organisations that this
/// sidecar owns. Does nothing while the configuration has no limit.
///
/// Thread safety: none; use on the thread of the event loop.
class PermitExchange {
 public:
  using Ticket = OrganisationLimiter::Ticket;
  using Result = OrganisationLimiter::Result;
  /// Receives the outcome for a request that has waited.
  using OnDecision = std::function<void(Ticket, const Result&)>;

  /// Minimum time between two probes of all connections. Several deputies become silent at once.
  static constexpr std::chrono::milliseconds kMinProbeInterval{500};

  /// Precondition: the pointers outlive the exchange. `node`: name of this sidecar.
  PermitExchange(event_base* base, const std::string& node, PeerDirectory* directory,
                 SidecarMetrics* metrics, OnDecision on_decision);
  PermitExchange(const PermitExchange&) = delete;
  PermitExchange& operator=(const PermitExchange&) = delete;

  void SetConfig(const MeshConfig& config);
  /// Requests a permit for a request of `organisation`. With `kWaiting`, `on_decision` is called
  /// later, never from within this function, unless the ticket is cancelled.
  Result Acquire(const std::string& organisation, Ticket ticket, ProxyTime deadline);
  void Cancel(const std::string& organisation, Ticket ticket);

  /// Returns the response to a request of another sidecar.
  PermitGrant OnRequest(const std::string& node, const PermitRequest& request);
  void OnGrant(Peer* peer, const PermitGrant& grant);
  /// A sidecar has responded to the hello of this one.
  void OnPeerUp(const PeerHello& hello);
  /// A sidecar has opened its connection for short messages to this one, and has been sent a
  /// hello.
  void OnHello(const PeerHello& hello);
  /// The directory contains all sidecars that have an entry in the store.
  void OnEntriesListed();
  /// Returns the organisations that this sidecar issues permits of, to be named in hellos.
  std::vector<std::string> Issued() const;
  void OnPeerDown(Peer* peer);
  /// Issues no more permits. To be called before the process tells others that it has stopped.
  void Stop() { stopped_ = true; }
  /// Whether the configuration limits an organisation.
  bool enabled() const { return !limits_.empty(); }

 private:
  /// A request that another sidecar has not answered.
  struct Pending {
    std::string node;
    PermitRequest request;
    /// Number of sidecars asked for these permits, including this one.
    int asked = 1;
  };

  void OnTick();
  /// Takes over what the directory knows about other sidecars, and sends takeovers.
  void UpdateView();
  /// Monitors the connections that the issuer names.
  void MonitorPeers();
  /// Sends requests to the owners and schedules the next call of the limiter.
  void SendRequests();
  void Send(const std::string& node, const PermitRequest& request, int asked);
  void Apply(const std::string& node, const PermitRequest& request, const PermitGrant& grant,
             int asked);
  /// Ends the monitoring of the connection over which the pending request was sent.
  void ReleasePending(const std::string& organisation);
  void Deliver();

  std::string node_;
  PeerDirectory* directory_;
  SidecarMetrics* metrics_;
  OnDecision on_decision_;
  OrganisationLimits limits_;
  bool all_listed_ = false;
  bool stopped_ = false;
  OrganisationLimiter limiter_;
  PermitIssuer issuer_;
  std::map<std::string, Pending> pending_;
  /// Sidecars whose connections are monitored.
  std::set<std::string> monitored_;
  std::chrono::steady_clock::time_point next_probe_;
  Timer tick_timer_;
  Timer limiter_timer_;
  /// Decisions are delivered from the event loop, since a handler may start other calls.
  Timer delivery_timer_;
  std::vector<OrganisationLimiter::Decision> decisions_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_PERMIT_EXCHANGE_H_
