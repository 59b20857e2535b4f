#ifndef CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_LISTENER_H_
#define CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_LISTENER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "libsidecar/dispatcher.h"
#include "libsidecar/peers/link_pacer.h"
#include "libsidecar/peers/peer_listener.h"

namespace camphorhoist {

class CallerConnection;

/// Accepts the connections of callers on this VM and passes their requests to the dispatcher.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerListener {
 public:
  /// Precondition: the pointers outlive the listener.
  CallerListener(event_base* base, Dispatcher* dispatcher, LinkPacer* pacer, MemoryBudget* budget,
                 SidecarMetrics* metrics);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  bool Start(const NetAddress& address, std::error_code* ec);
  /// Closes each connection after the response to its last request in progress, or to its next
  /// request if there is none.
  void StopKeepAlive() { keep_alive_ = false; }
  /// Stops accepting connections and closes the idle ones. Each other connection closes after the
  /// requests that it is processing, or else after the one that it is reading.
  void Stop();
  bool keep_alive() const { return keep_alive_; }
  size_t connections() const { return connections_.size(); }

  event_base* base() const { return base_; }
  Dispatcher* dispatcher() const { return dispatcher_; }
  LinkPacer* pacer() const { return pacer_; }
  MemoryBudget* budget() const { return budget_; }
  SidecarMetrics* metrics() const { return metrics_; }
  const CallerLimits& limits() const;
  /// Destroys a connection in a later iteration of the event loop.
  void Release(uint64_t id);

 private:
  /// Called by the budget.
  void Evict(uint64_t id, MemoryBudget::Reason reason);
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);

  event_base* base_;
  Dispatcher* dispatcher_;
  LinkPacer* pacer_;
  MemoryBudget* budget_;
  SidecarMetrics* metrics_;
  ListenerPtr listener_;
  bool keep_alive_ = true;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<CallerConnection>> connections_;
  std::vector<std::unique_ptr<CallerConnection>> pending_deletion_;
  Timer cleanup_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_LISTENER_H_
