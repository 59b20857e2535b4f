#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_DIRECTORY_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/departure_log.h"
#include "camphorhoist/failure_share.h"
#include "camphorhoist/net_address.h"
#include "camphorhoist/server_picker.h"
#include "libsidecar/peers/peer_link.h"

namespace camphorhoist {

/// Another sidecar as seen by this one, or this sidecar itself (which has no links).
struct Peer {
  /// Weight of a new outcome in the failure share.
  static constexpr double kFailureShareEwmaWeight = 0.15;

  std::string node;
  NetAddress address;
  /// Identifies the process run that sent the last hello; 0 before the first one.
  uint64_t incarnation = 0;
  UpstreamStatus status;
  /// Last reported load, and data centre, in the form used to choose a server.
  ServerCandidate candidate;
  /// Share of this sidecar's recent calls that the peer's upstream failed.
  FailureShare failure_share{kFailureShareEwmaWeight};
  /// The process at the address has ended, and no other one has been reached there since.
  bool terminated = false;
  /// Has an entry in the store.
  bool listed = false;
  /// Its entry states that the process has stopped, and no other one has been started since.
  bool stopped = false;
  /// Its entry was read when other sidecars had not reached it for some seconds.
  bool lost = false;
  /// It has been reached since its connection was lost last.
  bool was_up = false;
  /// Time since which it has not been reached.
  std::chrono::steady_clock::time_point down_since = std::chrono::steady_clock::now();
  /// The address was found to belong to another VM.
  bool replaced = false;
  /// Has reported that the store does not respond to it.
  bool store_lost = false;
  /// Newest configuration version that the peer has reported.
  uint64_t config_version = 0;
  /// Both are null for this sidecar itself.
  std::unique_ptr<PeerLink> link;
  /// Large responses use a separate connection, so that short messages do not queue behind them.
  std::unique_ptr<PeerLink> bulk_link;

  bool local() const { return link == nullptr; }
  bool up() const { return local() || link->up(); }
  /// Whether calls may be offered to this peer.
  bool usable() const { return local() || (link->up() && !link->suspect()); }
};

/// The sidecars of the mesh that are known to this one, with a connection to each.
///
/// Thread safety: none; use on the thread of the event loop.
class PeerDirectory {
 public:
  struct Handlers {
    std::function<PeerHello()> hello;
    std::function<void(Peer*, PeerMessage)> on_message;
    /// The peer is reachable (again); its `incarnation` is that of `hello`.
    std::function<void(Peer*, const PeerHello& hello)> on_up;
    /// `terminated`: the process at the peer's address has ended, or the peer was removed.
    std::function<void(Peer*, bool terminated)> on_down;
    /// A hello has arrived, before the peer's upstream may be used.
    std::function<void(const PeerHello&)> on_hello;
    /// A frame of `bytes` is sent over a connection to another sidecar. May be empty.
    std::function<void(size_t bytes)> on_sent = nullptr;
  };

  PeerDirectory(event_base* base, Handlers handlers);

  /// Adds this sidecar itself.
  void AddSelf(const std::string& node, const std::string& data_centre);
  Peer* self() { return self_; }

  /// Adds the sidecar at `address`, or updates it if it is known. `listed`: it has an entry in the
  /// store.
  void AddOrUpdate(const std::string& node, const NetAddress& address,
                   const std::string& data_centre, bool listed);
  /// Called with each entry of the sidecar in the store. `stopped`, `lost`: see `Peer`.
  void SetStopped(const std::string& node, bool stopped, bool lost);
  /// Returns the sidecars with an entry that have not been reached since `time`.
  std::set<std::string> LostSince(std::chrono::steady_clock::time_point time) const;
  /// Called when a sidecar has opened a connection to this one. Its process is alive; a lost
  /// connection to it is opened again at once.
  void OnHello(const PeerHello& hello);
  /// Called when the entry of a sidecar was removed from the store. The sidecar stays known while
  /// it is reachable.
  void OnEntryRemoved(const std::string& node);

  Peer* Find(const std::string& node);
  const std::map<std::string, std::unique_ptr<Peer>>& peers() const { return peers_; }
  /// Number of known sidecars, including this one; at least 1.
  size_t size() const { return std::max<size_t>(peers_.size(), 1); }
  /// Takes over the status of a peer's upstream. An incarnation that is known to have departed
  /// stays unused, also if the peer reports it as ready: a restarted sidecar may not know yet.
  void SetStatus(Peer* peer, UpstreamStatus status);
  /// Called when an incarnation of an upstream on the VM `node` is known to have departed.
  void OnDeparture(const std::string& node, const UpstreamDeparture& departure);
  /// Updates the load of a peer's upstream with a newer report.
  void UpdateLoad(Peer* peer, const ServerLoad& load);

 private:
  std::unique_ptr<PeerLink> NewLink(Peer* peer, const NetAddress& address, bool bulk);
  void OnUp(Peer* peer, const PeerHello& hello);
  void OnDown(Peer* peer, bool terminated, const std::string& reason);
  void Remove(const std::string& node);
  void CheckLinks();
  /// Stops using the upstream of `peer` if its incarnation has departed.
  void ExcludeDeparted(Peer* peer);

  event_base* base_;
  Handlers handlers_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
  Peer* self_ = nullptr;
  /// Outlives the peers, so that a sidecar that was removed and is found again is covered.
  DepartureLog departures_;
  /// Peers that were removed from within one of their handlers.
  std::vector<std::unique_ptr<Peer>> pending_deletion_;
  Timer cleanup_timer_;
  /// One timer for all links; a timer per link would wake the process many times as often.
  Timer check_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_DIRECTORY_H_
