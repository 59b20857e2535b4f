#include "libnode/node_server.h"

#include <capnp/rpc-twoparty.h>
#include <errno.h>
#include <kj/debug.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "libbase/log.h"
#include "libnode/response_writer.h"

namespace camphorhoist {

namespace {

/// Upper limit of one RPC message; has room for a full configuration or a 1 MB request body.
constexpr uint64_t kMaxMessageWords = (16ULL << 20) / sizeof(capnp::word);

/// Attached to the promise of a call; cancels the writer when the promise is destroyed.
class CancelOnDestruction {
 public:
  explicit CancelOnDestruction(std::shared_ptr<RpcResponseWriter> writer)
      : writer_(std::move(writer)) {}
  ~CancelOnDestruction() { writer_->Cancel(); }
  KJ_DISALLOW_COPY(CancelOnDestruction);

 private:
  std::shared_ptr<RpcResponseWriter> writer_;
};

}  // namespace

/// One accepted connection with its bootstrap capability.
class NodeServer::Connection final : private kj::TaskSet::ErrorHandler {
 public:
  Connection(NodeServer* owner, int fd);
  ~Connection();
  KJ_DISALLOW_COPY(Connection);

 private:
  class Handler;

  void taskFailed(kj::Exception&& exception) override {
    if (exception.getType() == kj::Exception::Type::DISCONNECTED) return;
    LogEvent(LogLevel::kWarn, "node", "connection_error")
        .Add("error", exception.getDescription().cStr());
  }
  // After a malformed message the RPC layer sends the reason and disconnects, which cannot be
  // distinguished from a normal disconnect here. A connection that ends before a hello therefore
  // counts as one of a foreign or faulty peer.
  void OnDisconnect() {
    if (!hello_received_ && !wrong_mesh_) {
      ++owner_->rejected_;
      LogEvent(LogLevel::kWarn, "node", "closed_before_hello");
    }
    close_timer_.StartOnce(std::chrono::microseconds(0));
  }

  NodeServer* owner_;
  bool hello_received_ = false;
  /// The peer named another mesh; already counted in `rejected_`.
  bool wrong_mesh_ = false;
  SocketStream stream_;
  capnp::TwoPartyVatNetwork network_;
  kj::TaskSet tasks_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
  Timer close_timer_;
};

class NodeServer::Connection::Handler final : public rpc::Node::Server {
 public:
  explicit Handler(Connection* connection)
      : connection_(connection), owner_(connection->owner_), service_(owner_->service_) {}

  kj::Promise<void> hello(HelloContext context) override {
    const std::string mesh(context.getParams().getMesh().cStr());
    const NodeIdentity& self = owner_->identity_;
    if (mesh != self.mesh) {
      connection_->wrong_mesh_ = true;
      ++owner_->rejected_;
      LogEvent(LogLevel::kWarn, "node", "wrong_mesh")
          .Add("peer", context.getParams().getAddress().cStr())
          .Add("mesh", mesh)
          .Add("expected", self.mesh);
      return KJ_EXCEPTION(FAILED, "mesh name differs", mesh, self.mesh);
    }
    connection_->hello_received_ = true;
    auto results = context.getResults();
    results.setMesh(self.mesh);
    results.setAddress(self.address.ToString());
    results.setIncarnation(self.incarnation);
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext context) override {
    context.getResults().setPayload(context.getParams().getPayload());
    return kj::READY_NOW;
  }

  kj::Promise<void> call(CallContext context) override {
    RequireHello();
    context.allowCancellation();
    NodeCallRequest request = ReadCallRequest(context.getParams().getRequest());
    auto writer =
        std::make_shared<RpcResponseWriter>(&connection_->tasks_, context.getParams().getSink());
    context.releaseParams();
    auto done = writer->WhenDone();
    service_->OnCall(std::move(request), writer);
    return done
        .then([context](NodeCallResult&& result) mutable {
          WriteCallResult(result, context.getResults().initResult());
        })
        .attach(kj::heap<CancelOnDestruction>(writer));
  }

  kj::Promise<void> resolveCall(ResolveCallContext context) override {
    RequireHello();
    const auto params = context.getParams();
    const CallId id(params.getId().getOrigin(), params.getId().getCounter());
    const ResolveReply reply = service_->OnResolve(id, params.getTargetIncarnation());
    context.getResults().setState(static_cast<rpc::Node::CallState>(reply.state));
    return kj::READY_NOW;
  }

  kj::Promise<void> pullConfig(PullConfigContext context) override {
    RequireHello();
    const auto params = context.getParams();
    const std::string hash(params.getHash().cStr());
    WriteDelta(service_->OnPull(ReadVersion(params.getVersion()), hash), context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> floor(FloorContext context) override {
    RequireHello();
    const FloorReply reply = service_->OnFloor(context.getParams().getAddress().cStr());
    auto results = context.getResults();
    WriteVersion(reply.highest, results.initHighest());
    WriteVersion(reply.reported, results.initReported());
    return kj::READY_NOW;
  }

 private:
  void RequireHello() const {
    if (!connection_->hello_received_) {
      kj::throwFatalException(KJ_EXCEPTION(FAILED, "the first call has to be hello"));
    }
  }

  Connection* connection_;
  NodeServer* owner_;
  NodeService* service_;
};

NodeServer::Connection::Connection(NodeServer* owner, int fd)
    : owner_(owner),
      stream_(owner->loop_, fd),
      network_(stream_, capnp::rpc::twoparty::Side::SERVER,
               capnp::ReaderOptions{kMaxMessageWords, 64}),
      tasks_(*this),
      rpc_(capnp::makeRpcServer(network_, kj::heap<Handler>(this))),
      close_timer_(owner->loop_->base(), [this] { owner_->Close(this); }) {
  tasks_.add(network_.onDisconnect().then([this] { OnDisconnect(); }));
}

NodeServer::Connection::~Connection() = default;

NodeServer::NodeServer(EventLoop* loop, NodeIdentity identity, NodeService* service)
    : loop_(loop), identity_(std::move(identity)), service_(service) {}

NodeServer::~NodeServer() { StopAccepting(); }

std::error_code NodeServer::Listen(const NetAddress& address) {
  std::error_code ec;
  listen_fd_ = ListenSocket(address, &ec);
  if (ec) return ec;
  bound_ = BoundAddress(listen_fd_);
  if (identity_.address.port() == 0) identity_.address = bound_;
  accept_event_.reset(event_new(
      loop_->base(), listen_fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
        static_cast<NodeServer*>(arg)->Accept();
      },
      this));
  event_add(accept_event_.get(), nullptr);
  return {};
}

void NodeServer::StopAccepting() {
  accept_event_.reset();
  if (listen_fd_ >= 0) close(listen_fd_);
  listen_fd_ = -1;
}

void NodeServer::Accept() {
  while (true) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto connection = std::make_unique<Connection>(this, fd);
    Connection* raw = connection.get();
    connections_.emplace(raw, std::move(connection));
  }
}

void NodeServer::Close(Connection* connection) { connections_.erase(connection); }

}  // namespace camphorhoist
