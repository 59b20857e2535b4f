#ifndef CAMPHORHOIST_LIBSIDECAR_SERVERS_UPSTREAM_POOL_H_
#define CAMPHORHOIST_LIBSIDECAR_SERVERS_UPSTREAM_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"
#include "camphorhoist/server_queue.h"
#include "libbase/event_ptr.h"
#include "libbase/http_client.h"
#include "libsidecar/peers/peer_messages.h"
#include "platform/message_headers.h"

namespace camphorhoist {

/// A request to the upstream. `headers` are complete except for those that concern the connection.
struct UpstreamCall {
  std::string request_id;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  bool idempotent = false;
};

struct UpstreamOutcome {
  ResultKind kind = ResultKind::kUnknown;
  ResultReason reason = ResultReason::kNone;
  /// The request was written to a connection.
  bool sent = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  platform::UpstreamHeaders decoded;

  /// The upstream has sent a complete response.
  bool answered() const {
    return kind == ResultKind::kResponse || reason == ResultReason::kUpstreamRefused;
  }
};

/// HTTP/1.1 connections to the upstream on this VM. Responses are read completely before they are
/// passed on, so that a caller never receives the start of a broken one, and are matched to their
/// request by id, since an upstream may send a response twice or late.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread, never
/// from within `Start` or `Cancel`, and may call both.
class UpstreamPool {
 public:
  using Handle = uint64_t;
  using Callback = std::function<void(UpstreamOutcome)>;

  /// Idle time after which a connection is not reused if the upstream advertises no limit.
  static constexpr std::chrono::milliseconds kMaxIdleTime{4000};
  /// Idle limit for requests that must not run twice: if the upstream closes the connection at the
  /// same moment, it is unknown whether the request has run.
  static constexpr std::chrono::milliseconds kMaxIdleTimeNonIdempotent{1000};
  /// Margin between the last use of a connection and the idle limit that the upstream advertises.
  static constexpr std::chrono::milliseconds kIdleMargin{1000};
  static constexpr std::chrono::milliseconds kConnectTimeout{400};
  /// Maximum size of a response body.
  static constexpr size_t kMaxResponseBytes = 16 << 20;
  /// Maximum total size of the response bodies that are being read. Beyond it, bodies of more than
  /// `kMinLargeBytes` fail.
  static constexpr size_t kMaxBufferedBytes = 24 << 20;
  static constexpr size_t kMinLargeBytes = 256 << 10;

  /// Precondition: `base` outlives the pool.
  UpstreamPool(event_base* base, NetAddress upstream);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  Handle Start(UpstreamCall call, Callback callback);
  /// Closes the connection of a request; its callback does not run. Unknown handles are ignored.
  void Cancel(Handle handle);
  /// Closes the idle connections. To be called when the upstream starts to accept calls, e.g. a
  /// new incarnation of it.
  void CloseIdle();

  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Exchange;
  struct IdleConnection {
    BuffereventPtr bufev;
    std::chrono::steady_clock::time_point since;
    std::chrono::milliseconds limit{};
    /// The upstream has refused a request on this connection.
    bool refused = false;
  };
  static void OnIdleEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                          void* arg);
  static void OnIdleRead(bufferevent* bufev, void* arg);
  /// Returns a connection without a bufferevent if there is none.
  IdleConnection TakeIdle(bool idempotent);
  void AddIdle(IdleConnection connection);
  void RemoveIdle(bufferevent* bufev);
  void Finish(Handle handle, UpstreamOutcome outcome);

  event_base* base_;
  NetAddress upstream_;
  Handle next_handle_ = 1;
  uint64_t connections_opened_ = 0;
  size_t buffered_bytes_ = 0;
  std::vector<IdleConnection> idle_connections_;
  std::map<Handle, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_SERVERS_UPSTREAM_POOL_H_
