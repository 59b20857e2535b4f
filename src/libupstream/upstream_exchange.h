#ifndef CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_
#define CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "libupstream/response_parser.h"
#include "libupstream/upstream_client.h"

namespace camphorhoist {

/// One request of an `UpstreamClient` on its own connection. The client may destroy it while one of
/// its callbacks runs.
class UpstreamClient::Exchange {
 public:
  Exchange(UpstreamClient* owner, Handle handle, UpstreamRequest request, ResponseSink* sink);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Writes the request to `idle`, or to a new connection if `idle` is null.
  void Begin(BuffereventPtr idle);
  /// Ends the exchange with `kNeverSent` in the next iteration of the event loop.
  void ScheduleFailure(const std::string& detail);
  void Pause();
  void Resume();

  /// Whether at least one byte of the request was written to the socket.
  bool Sent() const;
  const CallId& call_id() const { return request_.call_id; }
  const std::string& method() const { return request_.method; }

 private:
  static void OnRead(bufferevent*, void* arg);
  static void OnEvent(bufferevent*, short what,  // NOLINT(google-runtime-int): libevent
                      void* arg);

  void Connect();
  void WriteRequest();
  void ProcessInput();
  void DeliverHead();
  void HandleFailure(const std::string& detail);
  void OnDeadline();
  void Finish(UpstreamResult result, std::string detail);

  UpstreamClient* owner_;
  Handle handle_;
  UpstreamRequest request_;
  ResponseSink* sink_;
  std::chrono::steady_clock::time_point started_;
  ResponseParser parser_;
  size_t request_bytes_ = 0;
  bool written_ = false;
  bool head_received_ = false;
  bool shed_ = false;
  bool paused_ = false;
  std::string failure_;
  BuffereventPtr bufev_;
  Timer deadline_timer_;
  /// Processes buffered data after `Resume`, or reports `failure_`.
  Timer continue_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_
