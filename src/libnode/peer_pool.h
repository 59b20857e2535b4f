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
  /// The connection could not be opened: the peer never saw the call.
  kNotSent,
  /// The connection was lost after the call was sent.
  kLost,
  /// The connection is open but the peer does not react on it.
  kSilent,
};

/// Receives the answer of one call. Thread safety: called on the loop's thread, never from inside
/// `PeerPool::Call`.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;

  /// Start of a streamed answer. Not called for an inline answer.
  virtual void OnHead(int status, HttpHeaders headers) = 0;
  /// The peer sends no more than a window beyond the chunks for which `ready` was called.
  virtual void OnChunk(std::string data, std::function<void()> ready) = 0;
  /// The streamed answer is whole.
  virtual void OnEnd() = 0;
  /// The last callback of the call, exactly once unless it was cancelled. `result` is meaningful
  /// for `kResult`.
  virtual void OnDone(PeerCallStatus status, NodeCallResult result) = 0;
};

/// Connections to other nodes. Short calls and bulk calls use separate connections to the same
/// node, so that a bulk answer does not delay short ones.
///
/// Thread safety: none; use on the loop's thread.
class PeerPool {
 public:
  using CallHandle = uint64_t;
  using ResolveCallback = std::function<void(std::error_code, ResolveReply)>;
  using PullCallback = std::function<void(std::error_code, ConfigDeltaMessage)>;
  using FloorCallback = std::function<void(std::error_code, FloorReply)>;

  static constexpr std::chrono::milliseconds kConnectTimeout{500};
  /// A connection with calls waiting and nothing heard for this long is pinged.
  static constexpr std::chrono::milliseconds kQuietBeforePing{100};
  /// Bound of the reply to a ping, after which the connection counts as silent.
  static constexpr std::chrono::milliseconds kPingTimeout{300};
  /// A connection that carried nothing for this long is closed.
  static constexpr std::chrono::seconds kIdleTimeout{60};

  /// Precondition: `loop` outlives the pool.
  PeerPool(EventLoop* loop, NodeIdentity identity);
  ~PeerPool();
  PeerPool(const PeerPool&) = delete;
  PeerPool& operator=(const PeerPool&) = delete;

  /// Sends a call; `handler` must live until `OnDone` or `Cancel`.
  CallHandle Call(const NetAddress& peer, bool bulk, const NodeCallRequest& request,
                  ResponseHandler* handler);
  /// Drops the call and tells the peer. No callback of the call runs afterwards. Unknown handles
  /// are ignored.
  void Cancel(CallHandle handle);

  /// Asks about an earlier call, always on a new connection. The errors of this and the following
  /// methods are `kUnavailable` and `kDeadlineExceeded`.
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
  class Sink;
  using Key = std::pair<NetAddress, bool>;

  std::shared_ptr<Connection> Get(const NetAddress& peer, bool bulk);
  void Forget(const Connection* connection);
  void CheckConnections();
  void FinishCall(CallHandle handle, PeerCallStatus status, NodeCallResult result);
  template <typename Reply, typename Send, typename Callback>
  void Ask(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds timeout,
           Send send, Callback callback);

  EventLoop* loop_;
  NodeIdentity identity_;
  CallHandle next_handle_ = 1;
  std::chrono::steady_clock::time_point last_check_ = std::chrono::steady_clock::now();
  std::map<Key, std::shared_ptr<Connection>> connections_;
  std::map<CallHandle, std::unique_ptr<ActiveCall>> calls_;
  /// Calls and connections whose promises are destroyed in a later turn of the loop, because a
  /// promise must not be destroyed from inside its own continuation.
  std::vector<std::unique_ptr<ActiveCall>> retired_calls_;
  std::vector<std::shared_ptr<Connection>> retired_connections_;
  Timer retire_;
  Timer check_;
  std::unique_ptr<kj::TaskSet::ErrorHandler> error_handler_;
  std::unique_ptr<kj::TaskSet> tasks_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_PEER_POOL_H_
