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

/// What to send as the body of one answer.
struct BodyPlan {
  /// Repeated up to `size` bytes.
  std::string pattern;
  int64_t size = 0;
  bool chunked = false;
  /// The request is HEAD: only the head is sent.
  bool head_only = false;
  /// Closes the connection after this many bytes.
  std::optional<int64_t> break_after;
};

/// Sends one answer with flow control.
///
/// Thread safety: none; use on the thread of the event loop.
class BodyStream {
 public:
  /// `done` runs once, from the event loop, with the end state for the ledger.
  BodyStream(event_base* base, std::shared_ptr<CallReply> reply, BodyPlan plan,
             std::function<void(const std::string&)> done);

  void Start(int status, HttpHeaders headers);

 private:
  void SendMore();
  std::string NextPart(int64_t limit);
  void End(const std::string& state);

  std::shared_ptr<CallReply> reply_;
  BodyPlan plan_;
  std::function<void(const std::string&)> done_;
  int64_t offset_ = 0;
  std::string end_state_;
  Timer step_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_BODY_STREAM_H_
