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
/// Broken requests are answered here and never reach the handler: 400 for a malformed message, 413
/// for a body above `kMaxBodyBytes`, 431 for a head above `kMaxHeadBytes` (a head above
/// `kHardHeadBytes` gets 400 from evhttp), 501 for a method that is not supported. evhttp answers a
/// malformed chunk, or one with extensions, with 413.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerServer {
 public:
  /// Request bodies are held in memory as a whole, and the platform's values have the same limit.
  static constexpr int64_t kMaxBodyBytes = 1 << 20;
  static constexpr size_t kMaxHeadBytes = 32 << 10;
  /// evhttp itself stops reading here.
  static constexpr size_t kHardHeadBytes = 64 << 10;
  /// Requests sent ahead on one connection wait in the kernel beyond this.
  static constexpr size_t kMaxReadAheadBytes = 16 << 10;
  /// Connections waiting to be accepted. With 128, surges of new connections overflowed the queue,
  /// and each connection lost waited 1 s for its next attempt.
  static constexpr int kListenBacklog = 1024;
  /// A connection without a request, or with a request that stalls half-read, is closed after this.
  static constexpr std::chrono::seconds kIdleTimeout{60};
  /// A caller that takes no byte of a waiting answer for this long is abandoned.
  static constexpr std::chrono::seconds kWriteTimeout{30};

  /// Preconditions: `base` and `handler` outlive the server.
  CallerServer(event_base* base, CallHandler* handler);
  /// Closes all connections; no callback runs.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Starts to listen; port 0 takes a free port. Returns the system's error. Call once.
  std::error_code Listen(const NetAddress& address);

  /// The bound address with the real port; empty before `Listen`.
  const NetAddress& address() const { return address_; }

  /// Graceful stop: closes the listening socket and idle connections; open requests finish, their
  /// answers carry "Connection: close". A request that still arrives on a connection that was not
  /// closed is handed to the handler as usual. `drained` runs from the event loop, once, when no
  /// request is open.
  void StopAccepting(std::function<void()> drained);

  /// Requests whose answer is not wholly sent.
  size_t open_requests() const { return exchanges_.size(); }
  /// Connections that have had at least one request.
  size_t connections() const { return connections_.size(); }

 private:
  class Exchange;
  class Reply;
  struct Connection {
    Exchange* exchange = nullptr;
    bool close = false;
  };

  static void OnRequest(evhttp_request* req, void* arg);
  static void OnConnectionClosed(evhttp_connection* connection, void* arg);

  void Accept(evhttp_request* req);
  void CloseLater(evhttp_connection* connection);
  void CloseMarked();
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
