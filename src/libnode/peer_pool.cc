#include "libnode/peer_pool.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include <utility>

#include "camphorhoist/error.h"
#include "libbase/log.h"

namespace camphorhoist {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCheckPeriod{50};
/// A longer interval between two checks means that this process was paused.
constexpr std::chrono::milliseconds kPauseThreshold{200};

class TaskErrorLogger final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override {
    LogEvent(LogLevel::kWarn, "node", "task_failed")
        .Add("error", exception.getDescription().cStr());
  }
};

/// Promise adapter that is fulfilled after a delay.
class Delay {
 public:
  Delay(kj::PromiseFulfiller<void>& fulfiller, event_base* base, std::chrono::milliseconds delay)
      : timer_(base, [&fulfiller] { fulfiller.fulfill(); }) {
    timer_.StartOnce(delay);
  }

 private:
  Timer timer_;
};

kj::Promise<void> DelayedPromise(event_base* base, std::chrono::milliseconds delay) {
  return kj::newAdaptedPromise<void, Delay>(base, delay);
}

}  // namespace

/// One connection to a peer: connects, exchanges hello messages, and then carries calls.
class PeerPool::Connection {
 public:
  Connection(EventLoop* loop, const NodeIdentity& identity, NetAddress peer)
      : peer_(std::move(peer)),
        last_activity_(Clock::now()),
        last_used_(last_activity_),
        ready_(Open(loop, identity).fork()) {}
  KJ_DISALLOW_COPY(Connection);

  /// Fulfilled once the connection is open and the peer has confirmed the name of the mesh.
  kj::Promise<void> Ready() { return ready_.addBranch(); }
  rpc::Node::Client& node() { return KJ_ASSERT_NONNULL(node_); }

  void RecordActivity() { last_activity_ = Clock::now(); }
  void MarkUsed() { last_used_ = Clock::now(); }
  bool open() const { return open_; }
  bool IsIdle(Clock::time_point now) const { return now - last_used_ > kIdleTimeout; }

  /// Sends a ping if nothing was received for `kPingDelay`. Returns true if the last ping was not
  /// answered within `kPingTimeout`.
  bool CheckSilent(Clock::time_point now) {
    if (!open_) return false;
    if (ping_pending_) return now - ping_sent_ > kPingTimeout;
    if (now - last_activity_ < kPingDelay) return false;
    ping_pending_ = true;
    ping_sent_ = now;
    ping_ = node()
                .pingRequest()
                .send()
                .then([this](auto&&) {
                  ping_pending_ = false;
                  RecordActivity();
                })
                .eagerlyEvaluate([](kj::Exception&&) {});
    return false;
  }
  /// Gives the peer another `kPingTimeout` to answer a pending ping.
  void RestartPingTimeout(Clock::time_point now) { ping_sent_ = now; }
  /// Restarts the delay before the next ping, unless a ping is pending. Called when a call starts,
  /// since a connection without calls is not pinged.
  void RestartPingDelay() {
    if (ping_pending_) return;
    RecordActivity();
  }

 private:
  kj::Promise<void> Open(EventLoop* loop, const NodeIdentity& identity) {
    auto timeout = DelayedPromise(loop->base(), kConnectTimeout).then([]() -> kj::Promise<void> {
      return KJ_EXCEPTION(OVERLOADED, "connection was not ready in time");
    });
    return ConnectSocket(loop, peer_)
        .then([this, identity](kj::Own<SocketStream> stream) {
          stream_ = kj::mv(stream);
          client_ = kj::heap<capnp::TwoPartyClient>(*stream_);
          node_ = client_->bootstrap().castAs<rpc::Node>();
          auto hello = node().helloRequest();
          hello.setMesh(identity.mesh);
          hello.setAddress(identity.address.ToString());
          hello.setIncarnation(identity.incarnation);
          return hello.send().then([this, mesh = identity.mesh](auto&& response) {
            if (mesh != response.getMesh().cStr()) {
              kj::throwFatalException(KJ_EXCEPTION(FAILED, "mesh name of the peer differs"));
            }
            open_ = true;
            RecordActivity();
          });
        })
        .exclusiveJoin(kj::mv(timeout));
  }

  NetAddress peer_;
  Clock::time_point last_activity_;
  Clock::time_point last_used_;
  Clock::time_point ping_sent_;
  bool open_ = false;
  bool ping_pending_ = false;
  kj::Own<SocketStream> stream_;
  kj::Own<capnp::TwoPartyClient> client_;
  kj::Maybe<rpc::Node::Client> node_;
  kj::Promise<void> ping_ = nullptr;
  kj::ForkedPromise<void> ready_;
};

class PeerPool::ActiveCall {
 public:
  ActiveCall(std::shared_ptr<Connection> connection_in, ResponseHandler* handler_in)
      : connection(std::move(connection_in)), handler(handler_in) {}

  std::shared_ptr<Connection> connection;
  ResponseHandler* handler;
  bool sent = false;
  kj::Promise<void> promise = nullptr;
};

/// Passes a streamed response to the handler of the call, if the call still exists.
class PeerPool::ResponseSink final : public rpc::AnswerSink::Server {
 public:
  ResponseSink(PeerPool* pool, CallHandle handle) : pool_(pool), handle_(handle) {}

  kj::Promise<void> head(HeadContext context) override {
    if (auto* handler = Handler()) {
      const auto params = context.getParams();
      handler->OnHead(params.getStatus(), ReadHeaders(params.getHeaders()));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> chunk(ChunkContext context) override {
    auto* handler = Handler();
    if (handler == nullptr) return kj::READY_NOW;
    const auto data = context.getParams().getData();
    std::string copy(reinterpret_cast<const char*>(data.begin()), data.size());
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    handler->OnChunk(std::move(copy), [fulfiller] { (*fulfiller)->fulfill(); });
    return kj::mv(paf.promise);
  }

  kj::Promise<void> end(EndContext) override {
    if (auto* handler = Handler()) handler->OnEnd();
    return kj::READY_NOW;
  }

 private:
  ResponseHandler* Handler() {
    const auto it = pool_->calls_.find(handle_);
    if (it == pool_->calls_.end()) return nullptr;
    it->second->connection->RecordActivity();
    return it->second->handler;
  }

  PeerPool* pool_;
  CallHandle handle_;
};

PeerPool::PeerPool(EventLoop* loop, NodeIdentity identity)
    : loop_(loop),
      identity_(std::move(identity)),
      retire_timer_(loop->base(),
                    [this] {
                      retired_calls_.clear();
                      retired_connections_.clear();
                    }),
      check_timer_(loop->base(), [this] { CheckConnections(); }),
      error_handler_(std::make_unique<TaskErrorLogger>()),
      tasks_(std::make_unique<kj::TaskSet>(*error_handler_)) {
  check_timer_.StartPeriodic(kCheckPeriod);
}

PeerPool::~PeerPool() {
  tasks_.reset();
  calls_.clear();
  retired_calls_.clear();
}

std::shared_ptr<PeerPool::Connection> PeerPool::GetConnection(const NetAddress& peer, bool bulk) {
  auto& entry = connections_[Key(peer, bulk)];
  if (!entry) entry = std::make_shared<Connection>(loop_, identity_, peer);
  entry->MarkUsed();
  return entry;
}

void PeerPool::RemoveConnection(const Connection* connection) {
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.get() != connection) continue;
    retired_connections_.push_back(std::move(it->second));
    connections_.erase(it);
    retire_timer_.StartOnce(std::chrono::microseconds(0));
    return;
  }
}

PeerPool::CallHandle PeerPool::Call(const NetAddress& peer, bool bulk,
                                    const NodeCallRequest& request, ResponseHandler* handler) {
  const CallHandle handle = next_handle_++;
  auto call = std::make_unique<ActiveCall>(GetConnection(peer, bulk), handler);
  ActiveCall* raw = call.get();
  calls_.emplace(handle, std::move(call));
  raw->connection->RestartPingDelay();
  raw->promise =
      raw->connection->Ready()
          .then([this, raw, handle, request]() -> kj::Promise<void> {
            if (calls_.count(handle) == 0) return kj::READY_NOW;  // cancelled before it was sent
            raw->sent = true;
            auto message = raw->connection->node().callRequest();
            WriteCallRequest(request, message.initRequest());
            message.setSink(kj::heap<ResponseSink>(this, handle));
            return message.send().then([this, raw, handle](auto&& response) {
              raw->connection->RecordActivity();
              FinishCall(handle, PeerCallStatus::kResult, ReadCallResult(response.getResult()));
            });
          })
          .eagerlyEvaluate([this, raw, handle](kj::Exception&& e) {
            // A connection is not used again after a failure.
            RemoveConnection(raw->connection.get());
            NodeCallResult result;
            result.reason = e.getDescription().cStr();
            FinishCall(handle, raw->sent ? PeerCallStatus::kLost : PeerCallStatus::kNotSent,
                       std::move(result));
          });
  return handle;
}

void PeerPool::Cancel(CallHandle handle) {
  const auto it = calls_.find(handle);
  if (it == calls_.end()) return;
  it->second->connection->MarkUsed();
  retired_calls_.push_back(std::move(it->second));
  calls_.erase(it);
  retire_timer_.StartOnce(std::chrono::microseconds(0));
}

void PeerPool::FinishCall(CallHandle handle, PeerCallStatus status, NodeCallResult result) {
  const auto it = calls_.find(handle);
  if (it == calls_.end()) return;
  ResponseHandler* handler = it->second->handler;
  Cancel(handle);
  handler->OnDone(status, std::move(result));
}

// Drops silent and idle connections. The calls on a silent connection are reported to their
// handlers and not sent again here.
void PeerPool::CheckConnections() {
  const auto now = Clock::now();
  if (now - last_check_ > kPauseThreshold) {
    // Replies that arrived during the pause have not been read from the sockets yet.
    for (const auto& it : connections_) it.second->RestartPingTimeout(now);
  }
  last_check_ = now;
  std::map<Connection*, std::vector<CallHandle>> busy;
  for (const auto& it : calls_) busy[it.second->connection.get()].push_back(it.first);
  for (const auto& it : busy) {
    if (!it.first->CheckSilent(now)) continue;
    LogEvent(LogLevel::kWarn, "node", "connection_silent").Add("calls", it.second.size());
    RemoveConnection(it.first);
    for (const CallHandle handle : it.second) FinishCall(handle, PeerCallStatus::kSilent, {});
  }
  std::vector<const Connection*> idle;
  for (const auto& it : connections_) {
    if (busy.count(it.second.get()) == 0 && it.second->IsIdle(now)) idle.push_back(it.second.get());
  }
  for (const Connection* it : idle) RemoveConnection(it);
}

template <typename Reply, typename Send, typename Callback>
void PeerPool::SendRequest(const std::shared_ptr<Connection>& connection,
                           std::chrono::milliseconds timeout, Send send, Callback callback) {
  connection->MarkUsed();
  auto shared = std::make_shared<Callback>(std::move(callback));
  auto expired = DelayedPromise(loop_->base(), timeout).then([]() -> kj::Promise<Reply> {
    return KJ_EXCEPTION(OVERLOADED, "no reply in time");
  });
  auto reply = connection->Ready().then([connection, send] { return send(connection->node()); });
  tasks_->add(reply.exclusiveJoin(kj::mv(expired))
                  .then([connection, shared](Reply&& value) {
                    connection->RecordActivity();
                    (*shared)({}, std::move(value));
                  })
                  .catch_([this, connection, shared](kj::Exception&& e) {
                    RemoveConnection(connection.get());
                    const bool timed_out = e.getType() == kj::Exception::Type::OVERLOADED;
                    (*shared)(timed_out ? Errc::kDeadlineExceeded : Errc::kUnavailable, Reply());
                  })
                  .attach(std::shared_ptr<Connection>(connection)));
}

void PeerPool::Resolve(const NetAddress& peer, const CallId& id, uint64_t target_incarnation,
                       std::chrono::milliseconds timeout, ResolveCallback callback) {
  auto send = [id, target_incarnation](rpc::Node::Client& node) {
    auto request = node.resolveCallRequest();
    request.initId().setOrigin(id.origin());
    request.getId().setCounter(id.counter());
    request.setTargetIncarnation(target_incarnation);
    return request.send().then([](auto&& response) {
      ResolveReply reply;
      if (response.getState() <= rpc::Node::CallState::UNKNOWN) {
        reply.state = static_cast<NodeCallState>(response.getState());
      }
      return reply;
    });
  };
  SendRequest<ResolveReply>(std::make_shared<Connection>(loop_, identity_, peer), timeout, send,
                            std::move(callback));
}

void PeerPool::Pull(const NetAddress& peer, const ConfigVersion& version, const std::string& hash,
                    std::chrono::milliseconds timeout, PullCallback callback) {
  auto send = [version, hash](rpc::Node::Client& node) {
    auto request = node.pullConfigRequest();
    WriteVersion(version, request.initVersion());
    request.setHash(hash);
    return request.send().then([](auto&& response) { return ReadDelta(response); });
  };
  SendRequest<ConfigDeltaMessage>(GetConnection(peer, true), timeout, send, std::move(callback));
}

void PeerPool::Floor(const NetAddress& peer, const std::string& address,
                     std::chrono::milliseconds timeout, FloorCallback callback) {
  auto send = [address](rpc::Node::Client& node) {
    auto request = node.floorRequest();
    request.setAddress(address);
    return request.send().then([](auto&& response) {
      FloorReply reply;
      reply.highest = ReadVersion(response.getHighest());
      reply.reported = ReadVersion(response.getReported());
      return reply;
    });
  };
  SendRequest<FloorReply>(GetConnection(peer, true), timeout, send, std::move(callback));
}

}  // namespace camphorhoist
