#ifndef CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_
#define CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_

#include <functional>
#include <string>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"

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

/// Small HTTP server for readiness checks, announcements and metrics.
///
/// Thread safety: none; use on the thread of the event loop.
class ControlServer {
 public:
  using Handler = std::function<ControlResponse(const ControlRequest&)>;
  static constexpr size_t kMaxBodyBytes = 64 << 10;

  /// Precondition: `base` outlives the server.
  ControlServer(event_base* base, Handler handler);
  /// Returns false if the address cannot be bound.
  bool Start(const NetAddress& address);

 private:
  static void OnRequest(evhttp_request* req, void* arg);

  Handler handler_;
  EvhttpPtr http_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CONTROL_SERVER_H_
