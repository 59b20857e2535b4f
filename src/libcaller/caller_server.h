#ifndef CAMPHORHOIST_LIBCALLER_CALLER_SERVER_H_
#define CAMPHORHOIST_LIBCALLER_CALLER_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libcaller/call_handler.h"

namespace camphorhoist {

/// HTTP/1.1 server for callers, on evhttp.
///
/// Invalid requests are answered here and never reach the handler: 400 for a malformed message, 413
/// for a body above `kMaxBodyBytes`, 431 for a head above `kMaxHeadBytes` (for a head above
/// `kEvhttpMaxHeadBytes`, evhttp sends 400), 501 for an unsupported method. evhttp sends 413 for a
/// malformed chunk and for a chunk with extensions.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerServer {
 public:
  /// Request bodies are held in memory as a whole. The values of the platform's store have the same
  /// limit.
  static constexpr int64_t kMaxBodyBytes = 1 << 20;
  static constexpr size_t kMaxHeadBytes = 32 << 10;
  /// Limit at which evhttp itself stops reading the head.
  static constexpr size_t kEvhttpMaxHeadBytes = 64 << 10;
  /// Limit of pipelined data read from a connection while a request is handled; more stays in the
  /// kernel.
  static constexpr size_t kMaxReadAheadBytes = 16 << 10;
  /// Length of the accept queue. With 128, bursts of new connections overflowed it, and each
  /// dropped connection was delayed by 1 s until the next attempt.
  static constexpr int kListenBacklog = 1024;
  /// A connection without a request, or one that sends no more data in the middle of a request, is
  /// closed after this time.
  static constexpr std::chrono::seconds kIdleTimeout{60};
  /// A connection is closed if the caller reads nothing of a pending response for this long.
  static constexpr std::chrono::seconds kWriteTimeout{30};

  /// Precondition: `base` and `handler` outlive the server.
  CallerServer(event_base* base, CallHandler* handler);
  /// Closes all connections; no callback runs.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Starts to listen; with port 0 on a port that the system chooses. Returns the system error on
  /// failure. Call once.
  std::error_code Listen(const NetAddress& address);

  /// The bound address with the actual port; empty before `Listen`.
  const NetAddress& address() const { return address_; }

  /// Graceful stop: closes the listening socket and idle connections. Open requests are finished,
  /// and responses started from now on have "Connection: close". A request that arrives on a
  /// connection that is still open is passed to the handler as usual. `drained` runs once, from the
  /// event loop, when no request is open.
  void StopAccepting(std::function<void()> drained);

  /// Number of requests whose response is not completely sent.
  size_t open_requests() const { return exchanges_.size(); }
  /// Number of open connections on which at least one valid request was received.
  size_t connections() const { return connections_.size(); }

 private:
  class Exchange;
  class Reply;
  struct Connection {
    Exchange* exchange = nullptr;
    bool close_scheduled = false;
  };

  static void OnRequest(evhttp_request* req, void* arg);
  static void OnConnectionClosed(evhttp_connection* connection, void* arg);

  void HandleRequest(evhttp_request* req);
  void ScheduleClose(evhttp_connection* connection);
  void CloseScheduled();
  void Remove(Exchange* exchange);
  void NotifyDrained();

  event_base* base_;
  CallHandler* handler_;
  NetAddress address_;
  evhttp_bound_socket* socket_ = nullptr;
  bool stopping_ = false;
  bool destroying_ = false;
  std::function<void()> drained_;
  std::map<evhttp_connection*, Connection> connections_;
  std::map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  Timer close_timer_;
  Timer drained_timer_;
  EvhttpPtr http_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_CALLER_SERVER_H_
