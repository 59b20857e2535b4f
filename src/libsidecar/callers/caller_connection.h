#ifndef CAMPHORHOIST_LIBSIDECAR_CALLER_CONNECTION_H_
#define CAMPHORHOIST_LIBSIDECAR_CALLER_CONNECTION_H_

#include <http_parser.h>

#include <cstdint>
#include <string>

#include "libbase/event_ptr.h"
#include "libsidecar/callers/caller_listener.h"

namespace camphorhoist {

/// One connection of a caller. Reads a complete request, passes it to the dispatcher, writes the
/// response, and continues with the next request. A caller that closes its connection cancels its
/// call.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerConnection {
 public:
  /// Time for a caller to read the rest of a response before the connection is closed.
  static constexpr std::chrono::milliseconds kLingerTimeout{2000};
  /// Maximum number of bytes that are buffered while a request is pending.
  static constexpr size_t kMaxReadAhead = 64 << 10;

  CallerConnection(CallerListener* owner, uint64_t id, evutil_socket_t fd);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Whether no request is pending and none has been started.
  bool idle() const;
  void Close();

 private:
  enum class State : uint8_t {
    kReading,
    kCalling,
    /// A large response is being sent in parts.
    kResponding,
    kClosing,
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

  /// Returns the result for the parser: 0, or 1 with `reject_status_` set once the head is too
  /// large.
  int CountHeadBytes(size_t size);
  void Parse();
  void RejectRequest(int status);
  void BeginCall();
  void Respond(const CallerResponse& response);
  void SendPaced(EvbufferPtr response, bool close);
  /// Called when the complete response has been added to the output buffer.
  void EndCall(bool close);
  void CloseAfterWrite();
  void ArmTimer();
  void OnTimeout();

  CallerListener* owner_;
  uint64_t id_;
  State state_ = State::kReading;
  http_parser parser_{};
  /// Response status chosen by a parser callback that rejects the request; 0 for none.
  int reject_status_ = 0;
  bool request_started_ = false;
  bool request_complete_ = false;
  bool keep_alive_ = false;
  bool last_was_value_ = false;
  size_t head_bytes_ = 0;
  CallerRequest request_;
  Dispatcher::Handle call_ = 0;
  /// Response that is queued in the pacer; 0 for none.
  LinkPacer::MessageId paced_message_id_ = 0;
  Timer timer_;
  BuffereventPtr bufev_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CALLER_CONNECTION_H_
