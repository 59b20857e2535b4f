#ifndef CAMPHORHOIST_LIBSIDECAR_CONTROL_CONNECTION_H_
#define CAMPHORHOIST_LIBSIDECAR_CONTROL_CONNECTION_H_

#include <http_parser.h>

#include <cstdint>

#include "libbase/event_ptr.h"
#include "libsidecar/control_server.h"

namespace camphorhoist {

/// One connection of a `ControlServer`. Reads the next request only after the response to the
/// previous one has been written, and keeps no header fields.
///
/// Thread safety: none; use on the thread of the event loop.
class ControlConnection {
 public:
  ControlConnection(ControlServer* owner, uint64_t id, MemoryBudget::ConnectionId budget_id,
                    evutil_socket_t fd);
  ~ControlConnection();
  ControlConnection(const ControlConnection&) = delete;
  ControlConnection& operator=(const ControlConnection&) = delete;

  void Close();

 private:
  enum class State : uint8_t { kReading, kWriting, kClosing, kClosed };

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

  /// Returns the result for the parser.
  int CountHeadBytes(size_t size);
  void Parse();
  void Handle();
  void Respond(const ControlResponse& response, bool close);
  void Reject(int status);
  void DiscardRequest();
  void OnTimeout();
  /// Returns false if there is no memory for the request.
  bool Reserve(size_t bytes);

  ControlServer* owner_;
  uint64_t id_;
  MemoryBudget::ConnectionId budget_id_;
  State state_ = State::kReading;
  http_parser parser_{};
  /// Response status chosen by a parser callback that rejects the request; 0 for none.
  int reject_status_ = 0;
  bool request_started_ = false;
  bool request_complete_ = false;
  bool client_done_ = false;
  size_t head_bytes_ = 0;
  /// Start of the name of the current header field.
  std::string field_;
  bool last_was_value_ = false;
  bool expects_interim_ = false;
  ControlRequest request_;
  Timer timer_;
  BuffereventPtr bufev_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CONTROL_CONNECTION_H_
