#ifndef CAMPHORHOIST_LIBSIDECAR_UPSTREAM_POOL_H_
#define CAMPHORHOIST_LIBSIDECAR_UPSTREAM_POOL_H_

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
#include "libsidecar/peer_messages.h"
#include "platform/message_headers.h"

namespace camphorhoist {

/// One request to the upstream. `headers` are complete but for those that concern the connection.
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
};

/// HTTP/1.1 connections to the upstream on this VM. Responses are read whole, so that a broken one
/// never starts towards a caller, and matched to their request by id, since an upstream may send
/// one twice or late.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread, never
/// from inside `Start` or `Cancel`, and may call both.
class UpstreamPool {
 public:
  using Handle = uint64_t;
  using Callback = std::function<void(UpstreamOutcome)>;

  /// Idle time after which a connection is not used again when the upstream names no limit.
  static constexpr std::chrono::milliseconds kMaxIdleTime{4000};
  /// Limit for requests that must not run twice: a connection that the upstream closes at the same
  /// moment leaves it unknown whether the request has run.
  static constexpr std::chrono::milliseconds kMaxIdleTimeNonIdempotent{1000};
  /// Kept between the last use of a connection and the limit that the upstream names.
  static constexpr std::chrono::milliseconds kIdleMargin{1000};
  static constexpr std::chrono::milliseconds kConnectTimeout{400};
  /// Largest response that is held.
  static constexpr size_t kMaxResponseBytes = 32 << 20;

  /// Precondition: `base` outlives the pool.
  UpstreamPool(event_base* base, NetAddress upstream);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  Handle Start(UpstreamCall call, Callback callback);
  /// Closes the connection of a request; its callback does not run. Unknown handles are ignored.
  void Cancel(Handle handle);
  /// Closes the idle connections, when another start of the upstream has taken over.
  void CloseIdle();

  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Exchange;
  struct IdleConnection {
    BuffereventPtr bufev;
    std::chrono::steady_clock::time_point since;
    std::chrono::milliseconds limit{};
  };
  static void OnIdleEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                          void* arg);
  static void OnIdleRead(bufferevent* bufev, void* arg);
  BuffereventPtr TakeIdle(bool idempotent);
  void AddIdle(BuffereventPtr bufev, std::chrono::milliseconds limit);
  void RemoveIdle(bufferevent* bufev);
  void Finish(Handle handle, UpstreamOutcome outcome);

  event_base* base_;
  NetAddress upstream_;
  Handle next_handle_ = 1;
  uint64_t connections_opened_ = 0;
  std::vector<IdleConnection> idle_connections_;
  std::map<Handle, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_UPSTREAM_POOL_H_
