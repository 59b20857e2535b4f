#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "camphorhoist/error.h"
#include "libnode/datagram_socket.h"
#include "libnode/node_server.h"
#include "libnode/peer_pool.h"
#include "testing/relay_test.h"

namespace camphorhoist {
namespace {

constexpr size_t kLargeBytes = 8 << 20;
/// Flow-control window plus what the layers on the way may hold.
constexpr size_t kWindowBound = 512 << 10;
constexpr std::chrono::seconds kGiveUp{20};

/// Serves calls according to their target.
class FakeService : public NodeService {
 public:
  void OnCall(NodeCallRequest request, std::shared_ptr<AnswerWriter> writer) override {
    requests.push_back(request);
    writer->SetOnCancelled([this] { ++cancelled; });
    writers.push_back(writer);
    if (request.target == "/hold") return;
    if (request.target == "/refuse") return Finish(writer.get(), NodeOutcome::kNotRun, "draining");
    writer->Head(200, {{"X-Test", "1"}});
    if (request.target == "/large") {
      for (size_t sent = 0; sent < kLargeBytes; sent += kChunk) {
        writer->Chunk(std::string(kChunk, static_cast<char>('a' + sent / kChunk % 26)));
      }
    } else {
      writer->Chunk("echo " + request.body);
    }
    if (request.target != "/broken") writer->End();
    Finish(writer.get(), NodeOutcome::kAnswered, "");
  }
  ResolveReply OnResolve(const CallId& id, uint64_t) override {
    ResolveReply reply;
    reply.state = id.counter() == 7 ? NodeCallState::kStarted : NodeCallState::kVoided;
    return reply;
  }
  ConfigDeltaMessage OnPull(const ConfigVersion& version, const std::string& hash) override {
    return {ConfigVersion(version.epoch(), version.number() + 1),
            hash,
            true,
            {{"route", "r", 3, "{}"}}};
  }
  FloorReply OnFloor(const std::string&) override {
    return {ConfigVersion(2, 9), ConfigVersion(2, 8)};
  }

  static void Finish(AnswerWriter* writer, NodeOutcome outcome, const std::string& reason) {
    NodeCallResult result;
    result.outcome = outcome;
    result.reason = reason;
    result.limit = 6;
    writer->Done(result);
  }

  static constexpr size_t kChunk = 32 << 10;
  std::vector<NodeCallRequest> requests;
  std::vector<std::shared_ptr<AnswerWriter>> writers;
  int cancelled = 0;
};

/// Collects one answer. With `hold` set, chunks are not released until `Release`.
class FakeHandler : public AnswerHandler {
 public:
  void OnHead(int code, HttpHeaders) override { status_code = code; }
  void OnChunk(std::string data, std::function<void()> ready) override {
    body += data;
    if (!hold) return ready();
    held.push_back(std::move(ready));
  }
  void OnEnd() override { ended = true; }
  void OnDone(PeerCallStatus call_status, NodeCallResult call_result) override {
    ++done;
    status = call_status;
    result = std::move(call_result);
  }
  void Release() {
    hold = false;
    for (auto& it : held) it();
  }

  bool hold = false;
  std::vector<std::function<void()>> held;
  int status_code = 0;
  std::string body;
  bool ended = false;
  int done = 0;
  PeerCallStatus status = PeerCallStatus::kResult;
  NodeCallResult result;
};

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(SmallAnswerTravelsInline);
  CPPUNIT_TEST(LargeAnswerIsFlowControlled);
  CPPUNIT_TEST(BrokenAnswerHasNoEnd);
  CPPUNIT_TEST(RefusedCallIsNotRun);
  CPPUNIT_TEST(ClosedPortIsNotSent);
  CPPUNIT_TEST(LostConnectionIsNotNotSent);
  CPPUNIT_TEST(SilentConnectionIsReportedAndResolvable);
  CPPUNIT_TEST(AnswerDuringOwnPauseIsTaken);
  CPPUNIT_TEST(CancelReachesThePeer);
  CPPUNIT_TEST(WrongMeshIsRefused);
  CPPUNIT_TEST(BrokenMessageClosesOnlyItsConnection);
  CPPUNIT_TEST(PullAndFloorCarryVersions);
  CPPUNIT_TEST(DatagramsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<EventLoop>();
    StartServer();
    pool_ = std::make_unique<PeerPool>(loop_.get(), Identity("mesh"));
  }
  void tearDown() override {
    pool_.reset();
    server_.reset();
    loop_.reset();
  }

  // Guards against an answer that loses or mixes its parts on the short path.
  void SmallAnswerTravelsInline() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kResult);
    CPPUNIT_ASSERT(handler.result.inline_answer);
    CPPUNIT_ASSERT_EQUAL(200, handler.result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("echo body"), handler.result.body);
    CPPUNIT_ASSERT_EQUAL(6u, handler.result.limit);
    CPPUNIT_ASSERT_EQUAL(uint64_t{42}, service_.requests.at(0).target_incarnation);
  }

  // Guards against a bulk answer that fills the memory of the upstream-side node's peer: with a
  // caller that reads nothing, only a window may arrive.
  void LargeAnswerIsFlowControlled() {
    FakeHandler handler;
    handler.hold = true;
    pool_->Call(server_->bound_address(), true, Request("/large"), &handler);
    WaitFor([&] { return !handler.held.empty(); });
    FakeHandler second;
    pool_->Call(server_->bound_address(), false, Request("/echo"), &second);
    WaitFor([&] { return second.done == 1; });
    CPPUNIT_ASSERT(handler.body.size() < kWindowBound);
    CPPUNIT_ASSERT(service_.writers[0]->buffered_bytes() > kLargeBytes - kWindowBound);
    handler.Release();
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.ended);
    CPPUNIT_ASSERT_EQUAL(kLargeBytes, handler.body.size());
    for (size_t i = 0; i < kLargeBytes; i += FakeService::kChunk) {
      CPPUNIT_ASSERT_EQUAL(static_cast<char>('a' + i / FakeService::kChunk % 26), handler.body[i]);
    }
  }

  // Guards against a truncated answer that is passed on as whole.
  void BrokenAnswerHasNoEnd() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/broken"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(!handler.result.inline_answer);
    CPPUNIT_ASSERT(!handler.ended);
  }

  void RefusedCallIsNotRun() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/refuse"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.result.outcome == NodeOutcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), handler.result.reason);
  }

  // Guards against reporting a call that never left as possibly run, and the reverse below.
  void ClosedPortIsNotSent() {
    const NetAddress address = server_->bound_address();
    server_.reset();
    FakeHandler handler;
    pool_->Call(address, false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kNotSent);
  }

  void LostConnectionIsNotNotSent() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    server_.reset();
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kLost);
  }

  // Guards against waiting forever on a connection that something between the nodes forgot.
  void SilentConnectionIsReportedAndResolvable() {
    Relay relay(loop_->base(), server_->bound_address());
    FakeHandler handler;
    pool_->Call(relay.address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    relay.FreezeOpenConnections();
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kSilent);
    CPPUNIT_ASSERT(Resolve(relay.address(), CallId(1, 7)) == NodeCallState::kStarted);
    CPPUNIT_ASSERT(Resolve(relay.address(), CallId(1, 8)) == NodeCallState::kVoided);
    FakeHandler next;
    pool_->Call(relay.address(), false, Request("/echo"), &next);
    WaitFor([&] { return next.done == 1; });
    CPPUNIT_ASSERT(next.result.inline_answer);
  }

  // Guards against a process that was paused and, on waking, gives up connections whose replies lie
  // unread in the sockets. The pause is a sleep of the only thread.
  void AnswerDuringOwnPauseIsTaken() {
    Relay relay(loop_->base(), server_->bound_address());
    FakeHandler handler;
    pool_->Call(relay.address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    relay.FreezeOpenConnections();
    // Long enough for a ping to be sent, too short for it to be given up.
    RunFor(PeerPool::kQuietBeforePing + PeerPool::kPingTimeout / 3);
    relay.ResumeOpenConnections();
    std::this_thread::sleep_for(2 * PeerPool::kPingTimeout);
    RunFor(PeerPool::kQuietBeforePing);
    CPPUNIT_ASSERT_EQUAL(0, handler.done);
    FakeService::Finish(service_.writers[0].get(), NodeOutcome::kNotRun, "test");
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kResult);
  }

  void CancelReachesThePeer() {
    FakeHandler handler;
    const auto handle = pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    pool_->Cancel(handle);
    WaitFor([&] { return service_.cancelled == 1; });
    CPPUNIT_ASSERT_EQUAL(0, handler.done);
  }

  // Guards against nodes of two meshes that exchange calls after an address was reused.
  void WrongMeshIsRefused() {
    PeerPool other(loop_.get(), Identity("other"));
    FakeHandler handler;
    other.Call(server_->bound_address(), false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kNotSent);
    CPPUNIT_ASSERT(service_.requests.empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server_->rejected());
  }

  // Guards against a damaged or hostile frame that ends the process or disturbs other connections.
  void BrokenMessageClosesOnlyItsConnection() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    const std::vector<std::string> frames = {
        std::string(64, '\xff'), std::string(8, '\0') + std::string(64, '\x7f'),
        std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0\0\0\0\1\0\0\0\5\0\0\0\0\0\0\0", 16)};
    for (const std::string& it : frames) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in name = ToSockaddr(server_->bound_address());
      CPPUNIT_ASSERT_EQUAL(0, connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)));
      CPPUNIT_ASSERT(send(fd, it.data(), it.size(), MSG_NOSIGNAL) > 0);
      shutdown(fd, SHUT_WR);
      WaitFor([&] { return ClosedByPeer(fd); });
      WaitFor([&] { return server_->connections() == 1; });
      close(fd);
    }
    FakeService::Finish(service_.writers[0].get(), NodeOutcome::kNotRun, "test");
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kResult);
  }

  void PullAndFloorCarryVersions() {
    ConfigDeltaMessage delta;
    FloorReply floor;
    int done = 0;
    pool_->Pull(server_->bound_address(), ConfigVersion(2, 9), "abc", std::chrono::seconds(5),
                [&](std::error_code ec, const ConfigDeltaMessage& message) {
                  CPPUNIT_ASSERT(!ec);
                  delta = message;
                  ++done;
                });
    pool_->Floor(server_->bound_address(), "127.0.0.1:1", std::chrono::seconds(5),
                 [&](std::error_code ec, const FloorReply& reply) {
                   CPPUNIT_ASSERT(!ec);
                   floor = reply;
                   ++done;
                 });
    WaitFor([&] { return done == 2; });
    CPPUNIT_ASSERT(delta.version == ConfigVersion(2, 10));
    CPPUNIT_ASSERT(delta.full);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, delta.changes.at(0).changed_at);
    CPPUNIT_ASSERT(floor.highest == ConfigVersion(2, 9));
    CPPUNIT_ASSERT(floor.reported == ConfigVersion(2, 8));
  }

  void DatagramsAreBounded() {
    std::vector<std::string> seen;
    DatagramSocket a(loop_->base(), [](const NetAddress&, const std::string&) {});
    DatagramSocket b(loop_->base(),
                     [&seen](const NetAddress&, const std::string& data) { seen.push_back(data); });
    CPPUNIT_ASSERT(!a.Bind(NetAddress("127.0.0.1", 0)));
    CPPUNIT_ASSERT(!b.Bind(NetAddress("127.0.0.1", 0)));
    a.Send(b.bound_address(), std::string(DatagramSocket::kMaxBytes + 1, 'x'));
    a.Send(b.bound_address(), "hello");
    WaitFor([&] { return !seen.empty(); });
    CPPUNIT_ASSERT(seen == std::vector<std::string>{"hello"});
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, a.dropped());
  }

 private:
  static NodeIdentity Identity(const std::string& mesh) {
    return {mesh, NetAddress("127.0.0.1", 0), 42};
  }

  void StartServer() {
    service_ = FakeService();
    server_ = std::make_unique<NodeServer>(loop_.get(), Identity("mesh"), &service_);
    CPPUNIT_ASSERT(!server_->Listen(NetAddress("127.0.0.1", 0)));
  }

  static NodeCallRequest Request(const std::string& target) {
    NodeCallRequest request;
    request.id = CallId(1, 1);
    request.target_incarnation = 42;
    request.method = "POST";
    request.target = target;
    request.body = "body";
    return request;
  }

  NodeCallState Resolve(const NetAddress& address, const CallId& id) {
    ResolveReply result;
    bool done = false;
    pool_->Resolve(address, id, 42, std::chrono::seconds(5),
                   [&](std::error_code ec, ResolveReply reply) {
                     CPPUNIT_ASSERT(!ec);
                     result = reply;
                     done = true;
                   });
    WaitFor([&] { return done; });
    return result.state;
  }

  static bool ClosedByPeer(int fd) {
    char buf[256];
    const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno == ECONNRESET);
  }

  void RunFor(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    WaitFor([end] { return std::chrono::steady_clock::now() >= end; });
  }

  void WaitFor(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + kGiveUp;
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE("condition not met in time", std::chrono::steady_clock::now() < limit);
      auto paf = kj::newPromiseAndFulfiller<void>();
      Timer timer(loop_->base(), [&paf] { paf.fulfiller->fulfill(); });
      timer.StartOnce(std::chrono::milliseconds(1));
      paf.promise.wait(loop_->wait_scope());
    }
  }

  std::unique_ptr<EventLoop> loop_;
  FakeService service_;
  std::unique_ptr<NodeServer> server_;
  std::unique_ptr<PeerPool> pool_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

}  // namespace
}  // namespace camphorhoist
