#ifndef CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_
#define CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Reads one HTTP/1.x answer from a buffer, piece by piece, so that the reader can pause between
/// any two pieces. Strict about framing: an answer whose end cannot be known for certain is broken.
///
/// Thread safety: none.
class ResponseParser {
 public:
  enum class Step {
    /// The buffer holds nothing more that can be used yet.
    kNeedMore,
    /// Status and headers are complete.
    kHead,
    /// `data()` holds the next part of the body.
    kBodyData,
    /// The answer is complete. What is left in the buffer does not belong to it.
    kComplete,
    /// The answer is malformed; `fault()` says why. Final.
    kMalformed,
  };

  static constexpr size_t kMaxHeadBytes = 64 << 10;
  /// Longest part of a body passed on at once.
  static constexpr size_t kMaxDataBytes = 64 << 10;
  /// Size line of a chunk with its extensions.
  static constexpr size_t kMaxChunkLineBytes = 1024;

  /// How an answer with neither Content-Length nor chunks is read.
  enum class Unframed : uint8_t {
    kReject,
    /// The body ends with the connection; the reader reports an orderly close by `OnClose`.
    kUntilClose,
  };

  /// `no_body`: the request was HEAD.
  explicit ResponseParser(bool no_body, Unframed unframed = Unframed::kReject)
      : no_body_(no_body), unframed_(unframed) {}

  /// Takes the next piece from `input`.
  Step Next(evbuffer* input);

  /// Tells that the peer closed the connection in order and that all its bytes were taken. Returns
  /// true if this completes the answer. A reset must not be reported here.
  bool OnClose();

  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  /// Content-Length that the answer gave.
  const std::optional<int64_t>& content_length() const { return content_length_; }
  /// May be moved from.
  std::string& data() { return data_; }
  const std::string& fault() const { return fault_; }
  /// True if the connection may carry another request after this answer.
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

  Step Fail(const std::string& fault);
  /// Takes one line; sets `*step` to what has to be returned if there is none.
  bool TakeLine(evbuffer* input, size_t limit, std::string* line, Step* step);
  Step ReadStatusLine(evbuffer* input);
  Step ReadHeaders(evbuffer* input);
  bool ReadHeaderLine(const std::string& line);
  Step EndHead();
  Step ReadBody(evbuffer* input);
  Step ReadChunkSize(evbuffer* input);
  Step ReadChunkEnd(evbuffer* input);
  Step ReadTrailer(evbuffer* input);
  Step TakeData(evbuffer* input);
  Step TakeUntilClose(evbuffer* input);

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
  std::string fault_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_RESPONSE_PARSER_H_
