#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_BODY_STREAM_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_BODY_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libbase/event_ptr.h"
#include "libcaller/call_handler.h"

namespace camphorhoist {

/// Describes the body of one response.
struct BodySpec {
  /// Repeated to fill `size` bytes.
  std::string pattern;
  int64_t size = 0;
  /// Sends the body without Content-Length.
  bool chunked = false;
  /// Sends only the headers, for a HEAD request.
  bool head_only = false;
  /// Closes the connection after this many bytes of the body.
  std::optional<int64_t> break_after;
};

/// Streams one response with flow control.
///
/// Thread safety: none; use on the thread of the event loop.
class BodyStream {
 public:
  /// `done` is called once, from the event loop, with the final `LedgerRun::state`.
  BodyStream(event_base* base, std::shared_ptr<CallReply> reply, BodySpec spec,
             std::function<void(const std::string&)> done);

  void Start(int status, HttpHeaders headers);

 private:
  void SendMore();
  std::string NextChunk(int64_t limit);
  void End(const std::string& state);

  std::shared_ptr<CallReply> reply_;
  BodySpec spec_;
  std::function<void(const std::string&)> done_;
  int64_t offset_ = 0;
  std::string end_state_;
  Timer send_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_BODY_STREAM_H_
