#ifndef CAMPHORHOIST_LIBNODE_NODE_SERVER_H_
#define CAMPHORHOIST_LIBNODE_NODE_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "libnode/event_loop.h"
#include "libnode/node_messages.h"

namespace camphorhoist {

/// Sends the response of one call to the caller-side node. A small complete response is sent with
/// the result, a larger one is streamed with flow control.
///
/// Thread safety: none; use on the loop's thread. All methods are safe after the call was
/// cancelled.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual void SendHead(int status, HttpHeaders headers) = 0;
  /// Precondition: `SendHead` was called.
  virtual void SendChunk(std::string data) = 0;
  /// Marks the response as complete.
  virtual void EndBody() = 0;
  /// Ends the call. Without an earlier `EndBody` the response counts as incomplete or absent.
  virtual void Finish(NodeCallResult result) = 0;

  /// Bytes accepted by `SendChunk` and not yet sent.
  virtual size_t buffered_bytes() const = 0;
  /// `callback` runs when `buffered_bytes` has dropped to zero.
  virtual void SetOnWritable(std::function<void()> callback) = 0;
  /// `callback` runs when the caller-side node drops the call or its connection is lost.
  virtual void SetOnCancelled(std::function<void()> callback) = 0;
};

/// Handles the requests of other nodes. Thread safety: called on the loop's thread.
class NodeService {
 public:
  virtual ~NodeService() = default;

  /// Runs a call. `ResponseWriter::Finish` must be called on `writer` exactly once, unless the call
  /// is cancelled.
  virtual void OnCall(NodeCallRequest request, std::shared_ptr<ResponseWriter> writer) = 0;
  virtual ResolveReply OnResolve(const CallId& id, uint64_t target_incarnation) = 0;
  virtual ConfigDeltaMessage OnPull(const ConfigVersion& version, const std::string& hash) = 0;
  virtual FloorReply OnFloor(const std::string& address) = 0;
};

struct NodeIdentity {
  std::string mesh;
  NetAddress address;
  uint64_t incarnation = 0;
};

/// Accepts RPC connections from other nodes. A connection on which a malformed message arrives is
/// closed, and a hello with the name of another mesh is refused; other connections are not
/// affected.
///
/// Thread safety: none; use on the loop's thread.
class NodeServer {
 public:
  /// Precondition: `loop` and `service` outlive the server.
  NodeServer(EventLoop* loop, NodeIdentity identity, NodeService* service);
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  /// Starts to listen. Returns the system error if the address cannot be bound.
  std::error_code Listen(const NetAddress& address);
  /// Stops accepting connections; open ones are kept.
  void StopAccepting();

  NetAddress bound_address() const { return bound_; }
  size_t connections() const { return connections_.size(); }
  /// Number of connections that named another mesh, or were closed before a hello.
  uint64_t rejected() const { return rejected_; }

 private:
  class Connection;
  void Accept();
  void Close(Connection* connection);

  EventLoop* loop_;
  NodeIdentity identity_;
  NodeService* service_;
  int listen_fd_ = -1;
  NetAddress bound_;
  EventPtr accept_event_;
  uint64_t rejected_ = 0;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_NODE_SERVER_H_
