#ifndef CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_
#define CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Incremental parser of one HTTP/1.x response; the reader can pause after any step. Strict about
/// framing: a response whose end is ambiguous is malformed.
///
/// Thread safety: none.
class ResponseParser {
 public:
  enum class Step {
    /// The buffer holds too little data for the next step.
    kNeedMore,
    /// Status and headers are complete.
    kHead,
    /// `data()` holds the next part of the body.
    kBodyData,
    /// The response is complete. Data left in the buffer does not belong to it.
    kComplete,
    /// The response is malformed, see `error()`. All later steps are `kMalformed` too.
    kMalformed,
  };

  static constexpr size_t kMaxHeadBytes = 64 << 10;
  /// Maximum size of `data()` in one `kBodyData` step.
  static constexpr size_t kMaxDataBytes = 64 << 10;
  /// Maximum length of a chunk size line, including chunk extensions.
  static constexpr size_t kMaxChunkLineBytes = 1024;

  /// Handling of a response with neither Content-Length nor chunked encoding.
  enum class Unframed : uint8_t {
    /// The response is malformed.
    kReject,
    /// The body ends when the connection closes; the reader calls `OnClose` on an orderly close.
    kUntilClose,
  };

  /// `no_body` is set for the response to a HEAD request, which has no body.
  explicit ResponseParser(bool no_body, Unframed unframed = Unframed::kReject)
      : no_body_(no_body), unframed_(unframed) {}

  /// Consumes data from `input` up to the end of the next step.
  Step Next(evbuffer* input);

  /// Reports that the peer closed the connection in an orderly way and that all its data has been
  /// consumed. Returns true if this completes the response. Must not be called after a reset.
  bool OnClose();

  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  /// Value of the Content-Length header, if present.
  const std::optional<int64_t>& content_length() const { return content_length_; }
  /// Body data of the last `kBodyData` step. The caller may move it out.
  std::string& data() { return data_; }
  const std::string& error() const { return error_; }
  /// Whether the connection may carry another request after this response.
  bool keep_alive() const { return keep_alive_; }

 private:
  enum class State {
    kStatusLine,
    kHeaders,
    kBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kUntilClose,
    kDone
  };

  Step Fail(const std::string& error);
  /// Reads one line into `*line`. If there is none, returns false and sets `*step` to the step that
  /// the caller has to return.
  bool ReadLine(evbuffer* input, size_t limit, std::string* line, Step* step);
  Step ReadStatusLine(evbuffer* input);
  Step ReadHeaders(evbuffer* input);
  bool ReadHeaderLine(const std::string& line);
  Step FinishHead();
  Step ReadBody(evbuffer* input);
  Step ReadChunkSize(evbuffer* input);
  Step ReadChunkEnd(evbuffer* input);
  Step ReadTrailer(evbuffer* input);
  Step ReadRemaining(evbuffer* input);
  Step ReadUntilClose(evbuffer* input);

  bool no_body_;
  Unframed unframed_;
  State state_ = State::kStatusLine;
  bool chunked_ = false;
  bool keep_alive_ = false;
  bool http_1_1_ = false;
  int status_ = 0;
  size_t head_bytes_ = 0;
  int64_t remaining_ = 0;
  std::optional<int64_t> content_length_;
  HttpHeaders headers_;
  std::string data_;
  std::string error_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_
