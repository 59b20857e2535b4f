#ifndef CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_
#define CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libbase/http_client.h"

namespace camphorhoist {

/// One complete request of a caller.
struct CallRequest {
  std::string method;
  /// Path and query as the caller sent them, starting with "/".
  std::string target;
  /// The part of `target` before "?", not decoded.
  std::string path;
  /// Requested host without the port; empty if the request has none.
  std::string host;
  /// Headers without hop-by-hop headers.
  HttpHeaders headers;
  std::string body;
};

/// Response to one request. All functions may be called at any time; once the caller has
/// disconnected or the response has ended they do nothing. If the last reference is dropped before
/// `Finish`, the response is aborted, so that no caller waits forever.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread.
class CallReply {
 public:
  /// Value of `buffered_bytes()` at which a sender should pause. A slow caller can cause at most
  /// this plus one chunk to be buffered.
  static constexpr size_t kHighWaterBytes = 256 << 10;
  /// Value of `buffered_bytes()` at which the callback of `SetOnWritable` runs. Above zero, so that
  /// the connection has data to send while the sender resumes.
  static constexpr size_t kLowWaterBytes = 64 << 10;

  virtual ~CallReply() = default;

  /// Starts the response. Hop-by-hop headers and invalid headers are removed. With a Content-Length
  /// header the body must have exactly this length. Otherwise it is sent with chunked encoding, or,
  /// to an HTTP/1.0 caller, ends with the close of the connection.
  virtual void SendHead(int status, const HttpHeaders& headers) = 0;

  /// Appends to the body. Data for a response without a body (HEAD, 204, 304) is dropped. Data
  /// beyond the Content-Length aborts the response.
  virtual void SendChunk(std::string_view data) = 0;

  /// Completes the response. A response shorter than its Content-Length is aborted instead:
  /// otherwise the caller would read the next response as the rest of this one.
  virtual void Finish() = 0;

  /// Aborts the response: closes the caller's connection without the final chunk, so that the
  /// caller can tell that the response is incomplete.
  virtual void Abort() = 0;

  /// True once the caller has disconnected or the response was finished or aborted.
  virtual bool closed() const = 0;

  /// Bytes accepted and not yet written to the socket.
  virtual size_t buffered_bytes() const = 0;

  /// `callback` runs each time `buffered_bytes()` has reached `kHighWaterBytes` and then dropped to
  /// `kLowWaterBytes`.
  virtual void SetOnWritable(std::function<void()> callback) = 0;

  /// `callback` runs once if the caller disconnects before `Finish` or `Abort`. A caller that
  /// closes only its sending side counts as disconnected.
  virtual void SetOnDisconnect(std::function<void()> callback) = 0;
};

/// Receives the requests of a `CallerServer`.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  /// Called once per valid request. `reply` may be kept to send the response later.
  virtual void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) = 0;
};

/// Sends a complete response with a Content-Length.
void SendWholeReply(CallReply* reply, int status, HttpHeaders headers, std::string_view body);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_
