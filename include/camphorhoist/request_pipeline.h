#ifndef CAMPHORHOIST_REQUEST_PIPELINE_H_
#define CAMPHORHOIST_REQUEST_PIPELINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace camphorhoist {

/// Decides when the requests that a caller pipelines on one connection are started, and which
/// response is sent next. Idempotent requests run concurrently, any other request runs alone, and
/// responses are sent in the order of the requests.
///
/// Has no sockets and no clock. Thread safety: none; use from one thread.
class RequestPipeline {
 public:
  /// Identifies a request of the connection.
  using RequestId = uint64_t;

  /// Maximum number of requests of a connection that run at the same time.
  static constexpr size_t kMaxConcurrentRequests = 16;
  /// No request is started while more bytes of responses are buffered.
  static constexpr size_t kMaxBufferedResponseBytes = 1 << 20;
  /// Estimated memory that a buffered response takes beside its headers and body. Bounds the number
  /// of empty responses.
  static constexpr size_t kResponseOverheadBytes = 256;

  /// Why a request is not started now.
  enum class Delay : uint8_t {
    kNone,
    /// An earlier request has not been answered, and it or this request is not idempotent.
    kOrder,
    /// `kMaxConcurrentRequests` are running.
    kConcurrency,
    /// The buffered responses exceed `kMaxBufferedResponseBytes`.
    kBufferedResponses,
    /// The connection closes before the request; the caller sends it again.
    kClosing,
  };

  /// State of the connection that a decision depends on.
  struct Connection {
    /// False if the connection closes after the requests that are in progress.
    bool keep_alive = true;
    /// Bytes of responses that were sent but that the socket has not accepted.
    size_t unsent_bytes = 0;
  };

  /// A response to send.
  struct Response {
    RequestId id = 0;
    /// The connection closes after this response.
    bool closes = false;
  };

  /// Whether a request that follows all added ones may be started now, and if not, why.
  Delay DelayOf(bool idempotent, const Connection& connection) const;
  /// Whether to begin reading a request, whose kind is not known yet.
  Delay ReadDelay(const Connection& connection) const { return DelayOf(true, connection); }

  /// Adds a request that is being started. `closes`: the caller wants the connection to close after
  /// its response. Precondition: `DelayOf` returned kNone.
  RequestId Start(bool idempotent, bool closes);
  /// Adds a request that is answered without being run and whose response closes the connection.
  /// Returns nullopt if the connection already closes before it; then it gets no response.
  std::optional<RequestId> Reject();
  /// Precondition: the request was added and has no response yet. `bytes`: size of its headers and
  /// body.
  void OnResponse(RequestId id, size_t bytes);
  /// Returns the response to send now, once. Returns nullopt if there is none, or while another
  /// response is being sent. `keep_alive`: as in `Connection`.
  std::optional<Response> NextResponse(bool keep_alive);
  /// Called when the response that `NextResponse` returned has been sent completely.
  void OnSent();

  /// Whether all requests have been answered.
  bool empty() const { return requests_.empty(); }
  /// Estimated memory of the responses that wait for an earlier one, in bytes.
  size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  struct Request {
    RequestId id = 0;
    bool idempotent = false;
    bool closes = false;
    bool answered = false;
    bool sending = false;
    size_t response_bytes = 0;
  };

  RequestId Add(bool idempotent, bool closes);

  /// Requests whose response has not been sent completely, in the order of arrival.
  std::deque<Request> requests_;
  RequestId next_id_ = 1;
  /// Number of requests without a response.
  size_t running_ = 0;
  size_t buffered_bytes_ = 0;
  /// A request or response that closes the connection was added or sent.
  bool closing_ = false;
};

/// Name in logs and metrics.
const char* ToString(RequestPipeline::Delay delay);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_REQUEST_PIPELINE_H_
