#ifndef CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_
#define CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libsidecar/peers/frame_stream.h"
#include "libsidecar/peers/link_pacer.h"
#include "libsidecar/servers/local_upstream.h"

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
  };

  /// Precondition: `upstream` and `pacer` outlive the listener.
  PeerListener(event_base* base, LocalUpstream* upstream, LinkPacer* pacer, Handlers handlers);

  bool Start(const NetAddress& address, std::error_code* ec);
  /// Sends a message to all connected sidecars, once each.
  void Broadcast(const PeerMessage& message);

 private:
  /// A large response that is queued in the pacer, and the connection it is sent on.
  struct PacedResult {
    uint64_t connection_id = 0;
    CallId id;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);
  void Add(evutil_socket_t fd);
  void OnMessage(uint64_t connection_id, PeerMessage message);
  void OnClosed(uint64_t connection_id);
  void Reply(uint64_t connection_id, CallResult result);
  void SendPaced(uint64_t connection_id, CallResult result);

  event_base* base_;
  LocalUpstream* upstream_;
  LinkPacer* pacer_;
  Handlers handlers_;
  ListenerPtr listener_;
  /// Connections for large responses.
  std::set<uint64_t> bulk_connections_;
  std::map<LinkPacer::MessageId, PacedResult> paced_results_;
  uint64_t next_connection_id_ = 1;
  std::map<uint64_t, std::unique_ptr<FrameStream>> streams_;
  /// Streams that were closed from within their own handler.
  std::vector<std::unique_ptr<FrameStream>> pending_deletion_;
  Timer cleanup_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_
