#ifndef CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_CLIENT_H_
#define CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "camphorhoist/call_id.h"
#include "camphorhoist/net_address.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// One request to an upstream.
struct UpstreamRequest {
  std::string method = "GET";
  /// Path and query, starting with "/".
  std::string target = "/";
  /// Hop-by-hop headers are removed. Content-Length and the call id, timeout and depth headers are
  /// replaced by headers with the values of the fields below.
  HttpHeaders headers;
  std::string body;
  /// With the default id, the call id and depth headers are not sent.
  CallId call_id;
  /// Time until the response head must have arrived. The remaining time is sent to the upstream.
  std::chrono::milliseconds timeout{2000};
  int depth = 0;
};

/// Result of a request. Every request has exactly one, unless it was cancelled.
enum class UpstreamResult {
  /// The complete response was received.
  kWhole,
  /// The upstream has certainly not received the request: the connection was refused or not
  /// established in time, the connection limit is reached, or the request is invalid.
  kNeverSent,
  /// The request was sent, but no complete response arrived: the upstream may have run it.
  kNoWholeAnswer,
  /// The request was sent, but no response head arrived within the timeout: the upstream may have
  /// run it.
  kTimedOut,
  /// The upstream refused to run the request: status 503 with the header "X-Upstream-Shed: 1".
  kShed,
};

/// Returns the stable name of a result for logs and reports.
const char* ToString(UpstreamResult result);

/// Receives the response to one request. The functions are called from the event loop, never from
/// inside a call to the client. They may call any function of the client, but not destroy it.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Status and headers. Hop-by-hop headers are removed; Content-Length is kept if present. Not
  /// called for a shed request.
  virtual void OnHead(int status, HttpHeaders headers) = 0;
  /// The next part of the body, at most `ResponseParser::kMaxDataBytes`.
  virtual void OnData(std::string data) = 0;
  /// Last call. The body is complete only with `kWhole`. `detail` describes the cause of any other
  /// result.
  virtual void OnEnd(UpstreamResult result, const std::string& detail) = 0;
};

/// HTTP/1.1 client of one upstream, with a connection pool and streamed responses.
///
/// A request is written at most once; the client never retries it. A connection is reused only
/// after a complete response and closed otherwise, so that the rest of one response cannot be
/// mistaken for the next. An upstream may close an idle connection while a request is being written
/// to it, and it is then unknown whether the request ran. Therefore an idle connection is reused
/// only if it has neither been closed nor received stray data, and was idle for at most
/// `kMaxIdleTime` (GET and HEAD) or `kMaxIdleTimeUnsafe` (other methods); otherwise a new
/// connection is opened.
///
/// The client of evhttp is not suitable: it buffers each chunk completely before it delivers it, so
/// that one large chunk defeats flow control, and it accepts the close of the connection as the end
/// of a response without a length.
///
/// Thread safety: none; use on the thread of the event loop.
class UpstreamClient {
 public:
  using Handle = uint64_t;

  /// Below 5 s, after which upstreams commonly close idle connections.
  static constexpr std::chrono::milliseconds kMaxIdleTime{4000};
  /// Well below common keep-alive timeouts, since a request that is written while the upstream
  /// closes the connection has an unknown result and is not retried.
  static constexpr std::chrono::milliseconds kMaxIdleTimeUnsafe{1000};
  /// Maximum time without data after the response head, while the response is not paused.
  static constexpr std::chrono::milliseconds kStallTimeout{10000};
  /// Response data buffered per connection, for example while the response is paused.
  static constexpr size_t kReadBufferBytes = 64 << 10;

  /// `max_connections` limits all open connections to the upstream. Precondition: `base` outlives
  /// the client.
  UpstreamClient(event_base* base, NetAddress upstream, size_t max_connections);
  /// Closes all connections without calling any sink.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Sets whether the upstream accepts "POST /cancel?id=", as it announced.
  void SetAcceptsCancel(bool accepts) { accepts_cancel_ = accepts; }

  /// Starts a request. Precondition: `sink` lives until `OnEnd` or `Cancel`.
  Handle Start(UpstreamRequest request, ResponseSink* sink);

  /// Ends a request without further calls to its sink and closes its connection. If the request was
  /// sent and the upstream accepts cancellations, also sends a cancellation. Returns true if the
  /// request was never sent. Returns false for an unknown handle.
  bool Cancel(Handle handle);

  /// Stops reading the response; TCP flow control stops the upstream once the buffers are full.
  void Pause(Handle handle);
  void Resume(Handle handle);

  const NetAddress& address() const { return upstream_; }
  size_t in_flight() const { return exchanges_.size(); }
  size_t idle_connections() const { return idle_.size(); }
  /// Number of connections in use or idle, including those for cancellations.
  size_t open_connections() const;
  /// Total number of connections opened for requests.
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Exchange;
  struct IdleConnection {
    BuffereventPtr bufev;
    std::chrono::steady_clock::time_point since;
  };

  static void OnIdleRead(bufferevent* bufev, void* arg);
  static void OnIdleEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                          void* arg);

  BuffereventPtr TakeIdle(const std::string& method);
  void AddIdle(BuffereventPtr bufev);
  void CloseIdle(bufferevent* bufev);
  void CloseExpiredIdle();
  void Remove(Handle handle);
  void SendCancellation(const CallId& call_id);

  event_base* base_;
  NetAddress upstream_;
  size_t max_connections_;
  bool accepts_cancel_ = false;
  Handle next_handle_ = 1;
  uint64_t connections_opened_ = 0;
  std::vector<IdleConnection> idle_;
  std::map<Handle, std::unique_ptr<Exchange>> exchanges_;
  Timer idle_timer_;
  HttpClient cancellation_client_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_CLIENT_H_
