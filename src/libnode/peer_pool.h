#ifndef CAMPHORHOIST_LIBNODE_PEER_POOL_H_
#define CAMPHORHOIST_LIBNODE_PEER_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "libbase/mailbox.h"
#include "libnode/event_loop.h"
#include "libnode/node_messages.h"
#include "libnode/node_server.h"

namespace camphorhoist {

/// How a call to a peer ended.
enum class PeerCallStatus {
  /// The peer returned a result.
  kResult,
  /// The connection could not be opened, so the call was not sent.
  kNotSent,
  /// The connection was lost after the call was sent.
  kLost,
  /// The connection is open but the peer does not answer pings on it.
  kSilent,
};

/// Receives the response of one call. Thread safety: called on the loop's thread, never from inside
/// `PeerPool::Call`.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;

  /// Start of a streamed response. Not called for an inline response.
  virtual void OnHead(int status, HttpHeaders headers) = 0;
  /// `ready` acknowledges the chunk: the peer sends at most one flow-control window of chunks that
  /// are not acknowledged.
  virtual void OnChunk(std::string data, std::function<void()> ready) = 0;
  /// The streamed response is complete.
  virtual void OnEnd() = 0;
  /// The last callback of the call; runs exactly once unless the call is cancelled. For `kResult`,
  /// `result` is the peer's result; for `kNotSent` and `kLost` its `reason` describes the error.
  virtual void OnDone(PeerCallStatus status, NodeCallResult result) = 0;
};

/// Connections to other nodes. Short calls and bulk calls to a node use separate connections, so
/// that a bulk response does not delay short ones.
///
/// Thread safety: none; use on the loop's thread.
class PeerPool {
 public:
  using CallHandle = uint64_t;
  using ResolveCallback = std::function<void(std::error_code, ResolveReply)>;
  using PullCallback = std::function<void(std::error_code, ConfigDeltaMessage)>;
  using FloorCallback = std::function<void(std::error_code, FloorReply)>;

  static constexpr std::chrono::milliseconds kConnectTimeout{500};
  /// A connection with pending calls on which nothing was received for this long is pinged.
  static constexpr std::chrono::milliseconds kPingDelay{100};
  /// A connection counts as silent if a ping is not answered within this time.
  static constexpr std::chrono::milliseconds kPingTimeout{300};
  /// A connection without calls that was not used for this long is closed.
  static constexpr std::chrono::seconds kIdleTimeout{60};

  /// Precondition: `loop` outlives the pool.
  PeerPool(EventLoop* loop, NodeIdentity identity);
  ~PeerPool();
  PeerPool(const PeerPool&) = delete;
  PeerPool& operator=(const PeerPool&) = delete;

  /// Sends a call. `handler` must outlive the call, that is, live until `OnDone` or `Cancel`.
  CallHandle Call(const NetAddress& peer, bool bulk, const NodeCallRequest& request,
                  ResponseHandler* handler);
  /// Drops the call and cancels it at the peer. None of its callbacks runs afterwards. Unknown
  /// handles are ignored.
  void Cancel(CallHandle handle);

  /// Requests the state of an earlier call, always over a new connection. This and the following
  /// methods fail with `kUnavailable` or `kDeadlineExceeded`.
  void Resolve(const NetAddress& peer, const CallId& id, uint64_t target_incarnation,
               std::chrono::milliseconds timeout, ResolveCallback callback);
  void Pull(const NetAddress& peer, const ConfigVersion& version, const std::string& hash,
            std::chrono::milliseconds timeout, PullCallback callback);
  void Floor(const NetAddress& peer, const std::string& address, std::chrono::milliseconds timeout,
             FloorCallback callback);

  size_t connections() const { return connections_.size(); }
  size_t calls() const { return calls_.size(); }

 private:
  class Connection;
  class ActiveCall;
  class ResponseSink;
  using Key = std::pair<NetAddress, bool>;

  std::shared_ptr<Connection> GetConnection(const NetAddress& peer, bool bulk);
  void RemoveConnection(const Connection* connection);
  void CheckConnections();
  void FinishCall(CallHandle handle, PeerCallStatus status, NodeCallResult result);
  template <typename Reply, typename Send, typename Callback>
  void SendRequest(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds timeout,
                   Send send, Callback callback);

  EventLoop* loop_;
  NodeIdentity identity_;
  CallHandle next_handle_ = 1;
  std::chrono::steady_clock::time_point last_check_ = std::chrono::steady_clock::now();
  std::map<Key, std::shared_ptr<Connection>> connections_;
  std::map<CallHandle, std::unique_ptr<ActiveCall>> calls_;
  /// Calls and connections whose destruction is deferred to a later turn of the loop, because a
  /// promise must not be destroyed from inside its own continuation.
  std::vector<std::unique_ptr<ActiveCall>> retired_calls_;
  std::vector<std::shared_ptr<Connection>> retired_connections_;
  Timer retire_timer_;
  Timer check_timer_;
  std::unique_ptr<kj::TaskSet::ErrorHandler> error_handler_;
  std::unique_ptr<kj::TaskSet> tasks_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_PEER_POOL_H_
