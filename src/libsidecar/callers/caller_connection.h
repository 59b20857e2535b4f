#ifndef CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_CONNECTION_H_
#define CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_CONNECTION_H_

#include <http_parser.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "camphorhoist/request_pipeline.h"
#include "libbase/event_ptr.h"
#include "libsidecar/callers/caller_listener.h"
#include "libsidecar/callers/caller_memory.h"

namespace camphorhoist {

/// One connection of a caller. Reads requests, passes them to the dispatcher and writes the
/// responses in the order of the requests. `RequestPipeline` decides which pipelined requests run
/// concurrently. A caller that closes its connection cancels all its calls.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerConnection {
 public:
  /// Time for a caller to read the rest of a response before the connection is closed.
  static constexpr std::chrono::milliseconds kLingerTimeout{2000};
  /// The connection stops reading while more bytes of requests are buffered that are not read yet.
  static constexpr size_t kMaxReadAhead = 64 << 10;
  /// Interval at which a connection that has stopped reading checks whether the caller has left.
  static constexpr std::chrono::milliseconds kDisconnectCheckInterval{50};

  CallerConnection(CallerListener* owner, uint64_t id, MemoryBudget::ConnectionId budget_id,
                   evutil_socket_t fd);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Whether no request is in progress and none is being read, and all responses were written.
  bool idle() const;
  void Close();
  /// The budget needs the memory or the descriptor of this connection, which waits for its caller.
  void Evict(MemoryBudget::Reason reason);

 private:
  /// A request whose response has not been passed to the pacer or the output buffer.
  struct PendingRequest {
    /// 0 if the call has ended, or if there is none.
    Dispatcher::Handle call = 0;
    bool with_body = true;
    /// Memory reserved for the request.
    size_t request_bytes = 0;
    std::optional<CallerResponse> response;
  };

  static void OnRead(bufferevent* bufev, void* arg);
  static void OnWritten(bufferevent* bufev, void* arg);
  static void OnEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                      void* arg);
  static int OnMessageBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, size_t size);
  static int OnHeaderField(http_parser* parser, const char* at, size_t size);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t size);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings* ParserSettings();

  static void OnOutputChanged(evbuffer* output, const evbuffer_cb_info* info, void* arg);

  /// Returns the result for the parser: 0, or 1 with `reject_status_` set once the head is too
  /// large.
  int CountHeadBytes(size_t size);
  /// Returns the result for the parser: 0, or 1 with `reject_status_` set if there is no memory for
  /// the request with a body of `body_bytes`, held in a string of the given capacity.
  int ReserveRequest(size_t body_bytes, size_t body_capacity);
  /// Frees the request that is being read.
  void DiscardRequest();
  /// Reserves the responses that have not been sent. Returns false if there is no memory for them.
  bool ReserveOutput();
  void SetReadSize(size_t bytes);
  size_t unsent_bytes() const;
  void Parse();
  /// Whether the decision permits to continue. Counts and logs a delay once.
  bool IsPermitted(RequestPipeline::Delay delay);
  /// Starts the complete request in `request_`. Returns false if it has to wait.
  bool BeginCall();
  /// Answers the request that is being read without running it, behind all earlier responses; not
  /// if one of those closes the connection.
  void RejectRequest(int status);
  void OnResponse(RequestPipeline::RequestId id, CallerResponse response);
  /// Sends the responses that no earlier one precedes.
  void SendResponses();
  void SendPaced(EvbufferPtr response, bool close);
  /// Called when the complete response has been added to the output buffer.
  void OnResponseSent(bool close);
  void SendInterimResponse();
  void CloseAfterWrite();
  /// Parses further data in a later iteration of the event loop, so that the stack does not grow.
  void ParseLater();
  /// Stops reading while too many bytes are buffered.
  void LimitReadAhead();
  void CheckDisconnect();
  void CancelCalls();
  /// State of the connection that decisions of the pipeline depend on.
  RequestPipeline::Connection PipelineInput() const;
  void ArmTimer();
  void OnTimeout();

  CallerListener* owner_;
  uint64_t id_;
  /// Only the rest of the output is written; further input is discarded.
  bool closing_ = false;
  http_parser parser_{};
  /// Response status chosen by a parser callback that rejects the request; 0 for none.
  int reject_status_ = 0;
  /// A request is being read, or waits until the pipeline permits to start it.
  bool request_started_ = false;
  bool request_complete_ = false;
  /// The caller waits for "100 Continue", which is sent after the responses to earlier requests.
  bool interim_response_due_ = false;
  bool last_was_value_ = false;
  size_t head_bytes_ = 0;
  CallerRequest request_;
  RequestPipeline pipeline_;
  std::map<RequestPipeline::RequestId, PendingRequest> pending_;
  /// Why the next request is waiting, so that a delay is counted once.
  RequestPipeline::Delay delay_ = RequestPipeline::Delay::kNone;
  /// Response that is queued in the pacer; 0 for none.
  LinkPacer::MessageId paced_message_id_ = 0;
  /// Size of that response.
  size_t paced_bytes_ = 0;
  CallerMemory memory_;
  Timer timer_;
  Timer disconnect_timer_;
  BuffereventPtr bufev_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_CONNECTION_H_
