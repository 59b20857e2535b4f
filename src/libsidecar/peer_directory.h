#ifndef CAMPHORHOIST_LIBSIDECAR_PEER_DIRECTORY_H_
#define CAMPHORHOIST_LIBSIDECAR_PEER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"
#include "camphorhoist/server_picker.h"
#include "libsidecar/peer_link.h"

namespace camphorhoist {

/// Another sidecar, as this one sees it, or this one itself (without links).
struct Peer {
  std::string node;
  NetAddress address;
  /// Process run that sent the last hello; 0 before the first.
  uint64_t incarnation = 0;
  UpstreamStatus status;
  /// Its load as last reported, and the data centre, as placement sees them.
  ServerCandidate candidate;
  /// Recent share of failed calls, at `failure_time`.
  double failure_share = 0;
  ProxyTime failure_time{};
  /// Has an entry in the store.
  bool listed = false;
  /// It has said that the store does not answer it.
  bool store_lost = false;
  /// Both are null for this sidecar itself.
  std::unique_ptr<PeerLink> link;
  /// Bulk responses have a connection of their own, so that short ones do not wait behind them.
  std::unique_ptr<PeerLink> bulk_link;

  bool local() const { return link == nullptr; }
  bool up() const { return local() || link->up(); }
  /// May be offered calls.
  bool usable() const { return local() || (link->up() && !link->suspect()); }
};

/// The sidecars of the mesh that this one knows, with a connection to each.
///
/// Thread safety: none; use on the thread of the event loop.
class PeerDirectory {
 public:
  struct Handlers {
    std::function<PeerHello()> hello;
    std::function<void(Peer*, PeerMessage)> on_message;
    /// The peer can be reached (again); its `incarnation` is that of the hello.
    std::function<void(Peer*)> on_up;
    /// `terminated`: the process that ran there has ended, or the peer was removed.
    std::function<void(Peer*, bool terminated)> on_down;
  };

  PeerDirectory(event_base* base, Handlers handlers);

  /// Adds this sidecar itself.
  void AddSelf(const std::string& node, const std::string& data_centre);
  Peer* self() { return self_; }

  /// A sidecar exists at `address`. `listed`: known from the store.
  void AddOrUpdate(const std::string& node, const NetAddress& address,
                   const std::string& data_centre, bool listed);
  /// The entry of a sidecar is gone. It stays known while it can be reached.
  void Unlist(const std::string& node);

  Peer* Find(const std::string& node);
  const std::map<std::string, std::unique_ptr<Peer>>& peers() const { return peers_; }
  /// Sidecars that are known, this one included; at least 1.
  size_t size() const { return std::max<size_t>(peers_.size(), 1); }
  /// Takes a newer load of a peer's upstream.
  void UpdateLoad(Peer* peer, const ServerLoad& load);

 private:
  std::unique_ptr<PeerLink> NewLink(Peer* peer, const NetAddress& address, bool bulk);
  void OnUp(Peer* peer, const PeerHello& hello);
  void OnDown(Peer* peer, bool terminated, const std::string& reason);
  void Remove(const std::string& node);
  void CheckLinks();

  event_base* base_;
  Handlers handlers_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
  Peer* self_ = nullptr;
  /// Removed from inside one of their handlers.
  std::vector<std::unique_ptr<Peer>> pending_deletion_;
  Timer cleanup_timer_;
  /// One timer for all links; a timer each would wake the process many times as often.
  Timer check_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEER_DIRECTORY_H_
