#ifndef CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_
#define CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "libupstream/response_parser.h"
#include "libupstream/upstream_client.h"

namespace camphorhoist {

/// One request of an `UpstreamClient` on its own connection. Destroyed by the client, also from
/// inside its callbacks.
class UpstreamClient::Exchange {
 public:
  Exchange(UpstreamClient* owner, Handle handle, UpstreamRequest request, ResponseSink* sink);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Writes the request on `idle`, or on a fresh connection if there is none.
  void Begin(BuffereventPtr idle);
  /// Ends the exchange from the next turn of the loop.
  void FailLater(const std::string& detail);
  void Pause();
  void Resume();

  /// True once the socket has taken a byte of the request.
  bool Sent() const;
  const CallId& call_id() const { return request_.call_id; }
  const std::string& method() const { return request_.method; }

 private:
  static void OnRead(bufferevent*, void* arg);
  static void OnEvent(bufferevent*, short what,  // NOLINT(google-runtime-int): libevent
                      void* arg);

  void Connect();
  void Write();
  void Process();
  void PassHead();
  void Lose(const std::string& detail);
  void OnDeadline();
  void End(UpstreamResult result, std::string detail);

  UpstreamClient* owner_;
  Handle handle_;
  UpstreamRequest request_;
  ResponseSink* sink_;
  std::chrono::steady_clock::time_point started_;
  ResponseParser parser_;
  size_t request_bytes_ = 0;
  bool written_ = false;
  bool has_head_ = false;
  bool shed_ = false;
  bool paused_ = false;
  std::string failure_;
  BuffereventPtr bufev_;
  Timer deadline_;
  /// Continues with buffered data after `Resume`, or reports `failure_`.
  Timer continue_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_UPSTREAM_EXCHANGE_H_
