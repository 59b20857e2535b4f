#ifndef CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_
#define CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libbase/http_client.h"

namespace camphorhoist {

/// One request of a caller, read whole.
struct CallRequest {
  std::string method;
  /// Path and query as the caller sent them, starting with "/".
  std::string target;
  /// The part of `target` before "?", not decoded.
  std::string path;
  /// Host that the caller addressed, without the port; empty if it named none.
  std::string host;
  /// Headers without the hop-by-hop ones.
  HttpHeaders headers;
  std::string body;
};

/// Answer to one request. All functions may be called at any time, also after the caller's
/// connection has gone or the answer was finished; they then do nothing. An answer whose last
/// reference is dropped before `Finish` is broken off, so that no caller waits for ever.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread.
class CallReply {
 public:
  /// `buffered_bytes()` at which a sender should pause. Bounds the memory that one slow caller can
  /// hold, together with one chunk.
  static constexpr size_t kHighWaterBytes = 256 << 10;
  /// `buffered_bytes()` below which `SetOnWritable` calls back. Above zero, so that the connection
  /// does not run dry while the sender resumes.
  static constexpr size_t kLowWaterBytes = 64 << 10;

  virtual ~CallReply() = default;

  /// Starts the answer. Hop-by-hop headers are removed. With a Content-Length header the body has
  /// exactly this length, else it is sent in chunks (to an HTTP/1.0 caller: up to the close).
  /// Headers that are not valid are left out.
  virtual void SendHead(int status, const HttpHeaders& headers) = 0;

  /// Adds to the body. Data for an answer without a body (HEAD, 204, 304) is dropped. Data beyond
  /// the Content-Length breaks the answer.
  virtual void SendChunk(std::string_view data) = 0;

  /// Ends the answer. An answer shorter than its Content-Length is broken off instead: completing
  /// it would let the caller take the next answer for the rest of this one.
  virtual void Finish() = 0;

  /// Closes the caller's connection without the final chunk, so that the caller sees an incomplete
  /// answer.
  virtual void Abort() = 0;

  /// True after the caller's connection has gone or the answer was finished or broken.
  virtual bool closed() const = 0;

  /// Bytes accepted and not yet taken by the socket.
  virtual size_t buffered_bytes() const = 0;

  /// `callback` runs each time `buffered_bytes()` has reached `kHighWaterBytes` and fallen to
  /// `kLowWaterBytes`.
  virtual void SetOnWritable(std::function<void()> callback) = 0;

  /// `callback` runs once if the caller's connection goes before `Finish` or `Abort`. A caller that
  /// closes only its sending side counts as gone.
  virtual void SetOnDisconnect(std::function<void()> callback) = 0;
};

/// Receives the requests of a `CallerServer`.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  /// Called once per valid request. `reply` may be kept and answered later.
  virtual void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) = 0;
};

/// Sends a whole answer with a Content-Length.
void SendWholeReply(CallReply* reply, int status, HttpHeaders headers, std::string_view body);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_CALL_HANDLER_H_
