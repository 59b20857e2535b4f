#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LISTENER_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LISTENER_H_

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "camphorhoist/memory_budget.h"
#include "camphorhoist/net_address.h"
#include "libsidecar/peers/frame_stream.h"
#include "libsidecar/peers/link_pacer.h"
#include "libsidecar/servers/local_upstream.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

struct ListenerDeleter {
  void operator()(evconnlistener* p) const { evconnlistener_free(p); }
};
using ListenerPtr = std::unique_ptr<evconnlistener, ListenerDeleter>;

/// Opens a listening socket. Returns nullptr and sets `*ec` on failure.
ListenerPtr Listen(event_base* base, const NetAddress& address, evconnlistener_cb on_accept,
                   void* arg, std::error_code* ec);

/// Accepts connections of other sidecars and runs the calls that they offer on the upstream of this
/// VM.
///
/// Thread safety: none; use on the thread of the event loop.
class PeerListener {
 public:
  struct Handlers {
    /// Returns the hello to respond with.
    std::function<PeerHello()> hello;
    std::function<void(const PeerHello&)> on_hello;
    /// The store has no entry for this sidecar.
    std::function<void()> on_entry_missing;
    std::function<uint64_t()> config_version;
    /// Returns the response to a request of the sidecar `node` for permits.
    std::function<PermitGrant(const std::string& node, const PermitRequest&)> on_permit_request;
    /// Returns the configuration if it is newer than `held_version`.
    std::function<std::optional<ConfigDocument>(uint64_t held_version)> config_document;
    /// A message about a roll-out.
    std::function<void(const std::string& node, const PeerMessage&)> on_rollout_message;
  };

  /// Precondition: the pointers outlive the listener.
  PeerListener(event_base* base, LocalUpstream* upstream, LinkPacer* pacer, MemoryBudget* budget,
               SidecarMetrics* metrics, Handlers handlers);

  bool Start(const NetAddress& address, std::error_code* ec);
  /// Sends a message to all connected sidecars, once each.
  void Broadcast(const PeerMessage& message);

 private:
  /// A large response that is queued in the pacer, and the connection it is sent on.
  struct PacedResult {
    uint64_t connection_id = 0;
    CallId id;
  };

  /// An accepted connection and what is held for it.
  struct Connection {
    std::unique_ptr<FrameStream> stream;
    MemoryBudget::ConnectionId budget_id = 0;
    bool greeted = false;
    /// Size of the frame that is being read, and how much of it has arrived; 0 between frames.
    size_t frame_bytes = 0;
    size_t frame_available = 0;
    /// Bytes held for the offers without a result, and their sum.
    std::map<CallId, size_t> offers;
    size_t offer_bytes = 0;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);
  void Add(evutil_socket_t fd);
  /// Reserves what is held for a connection. Returns false if it does not fit.
  bool Reserve(Connection* connection);
  bool OnPartialFrame(uint64_t connection_id, size_t announced, size_t available);
  void OnPaused(uint64_t connection_id, bool paused);
  void OnOffer(uint64_t connection_id, CallOffer offer);
  void ReleaseOffer(uint64_t connection_id, const CallId& id);
  void Evict(uint64_t connection_id, MemoryBudget::Reason reason);
  void CloseEvicted();
  void OnMessage(uint64_t connection_id, PeerMessage message);
  void OnClosed(uint64_t connection_id);
  void Reply(uint64_t connection_id, CallResult result);
  void SendPaced(uint64_t connection_id, CallResult result);

  event_base* base_;
  LocalUpstream* upstream_;
  LinkPacer* pacer_;
  MemoryBudget* budget_;
  SidecarMetrics* metrics_;
  Handlers handlers_;
  ListenerPtr listener_;
  /// Names of the sidecars that have sent a hello.
  std::map<uint64_t, std::string> nodes_;
  /// Connections for large responses.
  std::set<uint64_t> bulk_connections_;
  std::map<LinkPacer::MessageId, PacedResult> paced_results_;
  uint64_t next_connection_id_ = 1;
  std::map<uint64_t, Connection> connections_;
  /// Connections that the budget has evicted and that are about to be closed.
  std::vector<uint64_t> evicted_;
  /// Streams that were closed from within their own handler.
  std::vector<std::unique_ptr<FrameStream>> pending_deletion_;
  Timer cleanup_timer_;
  Timer eviction_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LISTENER_H_
