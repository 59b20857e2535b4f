#ifndef CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_
#define CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/memory_budget.h"
#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libsidecar/peers/peer_listener.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

struct ControlRequest {
  bool post = false;
  std::string path;
  std::string body;
};

struct ControlResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

class ControlConnection;

/// Small HTTP server for readiness checks, announcements and metrics. Requests over its limits are
/// answered with 413, 431 or 408; what does not fit into the memory budget is closed.
///
/// Thread safety: none; use on the thread of the event loop.
class ControlServer {
 public:
  using Handler = std::function<ControlResponse(const ControlRequest&)>;
  static constexpr size_t kMaxBodyBytes = 64 << 10;
  /// Maximum size of the target and of all header fields.
  static constexpr size_t kMaxHeadBytes = 16 << 10;
  /// Time for a client to send a request completely, or to read a response.
  static constexpr std::chrono::seconds kTransferTimeout{5};
  /// Time without a request after which a connection is closed.
  static constexpr std::chrono::seconds kIdleTimeout{50};

  /// Precondition: the pointers outlive the server.
  ControlServer(event_base* base, ListenAddress kind, MemoryBudget* budget, SidecarMetrics* metrics,
                Handler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Returns false if the address cannot be bound.
  bool Start(const NetAddress& address);

  event_base* base() const { return base_; }
  MemoryBudget* budget() const { return budget_; }
  SidecarMetrics* metrics() const { return metrics_; }
  const Handler& handler() const { return handler_; }
  /// Destroys a connection in a later iteration of the event loop.
  void Release(uint64_t id);

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);

  event_base* base_;
  ListenAddress kind_;
  MemoryBudget* budget_;
  SidecarMetrics* metrics_;
  Handler handler_;
  ListenerPtr listener_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<ControlConnection>> connections_;
  std::vector<std::unique_ptr<ControlConnection>> pending_deletion_;
  Timer cleanup_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_
