#ifndef CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_
#define CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_

#include <event2/listener.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libsidecar/frame_stream.h"
#include "libsidecar/local_upstream.h"

namespace camphorhoist {

struct ListenerDeleter {
  void operator()(evconnlistener* p) const { evconnlistener_free(p); }
};
using ListenerPtr = std::unique_ptr<evconnlistener, ListenerDeleter>;

/// Opens a listening socket. Returns nullptr and sets `*ec` on failure.
ListenerPtr Listen(event_base* base, const NetAddress& address, evconnlistener_cb on_accept,
                   void* arg, std::error_code* ec);

/// Accepts connections of other sidecars and runs the calls that they offer on the own upstream.
///
/// Thread safety: none; use on the thread of the event loop.
class PeerListener {
 public:
  struct Handlers {
    /// The hello to answer with.
    std::function<PeerHello()> hello;
    std::function<void(const PeerHello&)> on_hello;
    std::function<uint64_t()> config_version;
  };

  /// Share of a slow link that large responses take. They are sent one after the other at this
  /// rate, since more at once would fill the queue of the link, and short messages would wait
  /// behind them. The time is used, as sockets take more than the link has sent.
  static constexpr double kBulkShare = 0.9;
  /// Faster links carry a large response in a few milliseconds and need no order.
  static constexpr size_t kMaxOrderedLink = 40 << 20;

  /// `link`: rate of the VM's link in bytes per second. Precondition: `upstream` outlives the
  /// listener.
  PeerListener(event_base* base, LocalUpstream* upstream, size_t link, Handlers handlers);

  bool Start(const NetAddress& address, std::error_code* ec);
  /// Bytes of large responses that wait for the link.
  size_t bulk_backlog() const;
  bool orders_bulk() const { return link_ < kMaxOrderedLink; }
  /// Bytes of large responses per second.
  double bulk_rate() const { return kBulkShare * static_cast<double>(link_); }
  /// Tells all connected sidecars of a change of the upstream.
  void Announce(const UpstreamStatus& status);

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);
  void Add(evutil_socket_t fd);
  void OnMessage(uint64_t source, PeerMessage message);
  void OnClosed(uint64_t source);
  void Reply(uint64_t source, CallResult result);
  void SendBulk();

  event_base* base_;
  LocalUpstream* upstream_;
  size_t link_;
  Handlers handlers_;
  ListenerPtr listener_;
  /// Connections with large responses, and the responses that wait for the link.
  std::set<uint64_t> bulk_sources_;
  std::deque<std::pair<uint64_t, CallResult>> bulk_waiting_;
  /// When the link has sent the last large response.
  std::chrono::steady_clock::time_point bulk_free_;
  Timer bulk_timer_;
  uint64_t next_source_ = 1;
  std::map<uint64_t, std::unique_ptr<FrameStream>> streams_;
  /// Streams that were closed from inside their own handler.
  std::vector<std::unique_ptr<FrameStream>> closed_;
  Timer cleanup_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEER_LISTENER_H_
