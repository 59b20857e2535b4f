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
#include "libnode/testing/node_fakes.h"
#include "testing/tcp_relay.h"

namespace camphorhoist {
namespace {

/// Flow-control window plus the buffers of the layers below it.
constexpr size_t kMaxBytesInFlight = 512 << 10;

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(SmallResponseIsSentInline);
  CPPUNIT_TEST(LargeResponseIsFlowControlled);
  CPPUNIT_TEST(IncompleteResponseHasNoEnd);
  CPPUNIT_TEST(RefusedCallIsNotRun);
  CPPUNIT_TEST(ClosedPortIsReportedAsNotSent);
  CPPUNIT_TEST(LostConnectionIsReportedAsLost);
  CPPUNIT_TEST(SilentConnectionIsReportedAndCallResolvable);
  CPPUNIT_TEST(ResponseAfterProcessPauseIsAccepted);
  CPPUNIT_TEST(CancelReachesPeer);
  CPPUNIT_TEST(CallCancelledBeforeConnectIsNotSent);
  CPPUNIT_TEST(CallCancelledOnOpenConnectionIsNotSent);
  CPPUNIT_TEST(WrongMeshIsRefused);
  CPPUNIT_TEST(MalformedMessageClosesOnlyItsConnection);
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

  // Guards against losing or mixing up parts of a response that is sent with the result.
  void SmallResponseIsSentInline() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kResult);
    CPPUNIT_ASSERT(handler.result.inline_response);
    CPPUNIT_ASSERT_EQUAL(200, handler.result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("echo body"), handler.result.body);
    CPPUNIT_ASSERT_EQUAL(6u, handler.result.limit);
    CPPUNIT_ASSERT_EQUAL(uint64_t{42}, service_.requests.at(0).target_incarnation);
  }

  // Guards against a bulk response that fills the memory of the caller-side node: if the caller
  // reads nothing, no more than the flow-control window may arrive.
  void LargeResponseIsFlowControlled() {
    FakeHandler handler;
    handler.hold = true;
    pool_->Call(server_->bound_address(), true, Request("/large"), &handler);
    WaitFor([&] { return !handler.held.empty(); });
    FakeHandler second;
    pool_->Call(server_->bound_address(), false, Request("/echo"), &second);
    WaitFor([&] { return second.done == 1; });
    CPPUNIT_ASSERT(handler.body.size() < kMaxBytesInFlight);
    CPPUNIT_ASSERT(service_.writers[0]->buffered_bytes() > kLargeBytes - kMaxBytesInFlight);
    handler.Release();
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.ended);
    CPPUNIT_ASSERT_EQUAL(kLargeBytes, handler.body.size());
    for (size_t i = 0; i < kLargeBytes; i += FakeService::kChunkBytes) {
      CPPUNIT_ASSERT_EQUAL(static_cast<char>('a' + i / FakeService::kChunkBytes % 26),
                           handler.body[i]);
    }
  }

  // Guards against forwarding a truncated response as complete.
  void IncompleteResponseHasNoEnd() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/broken"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(!handler.result.inline_response);
    CPPUNIT_ASSERT(!handler.ended);
  }

  void RefusedCallIsNotRun() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/refuse"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.result.outcome == NodeOutcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), handler.result.reason);
  }

  // Guards against reporting a call that was not sent as possibly run.
  void ClosedPortIsReportedAsNotSent() {
    const NetAddress address = server_->bound_address();
    server_.reset();
    FakeHandler handler;
    pool_->Call(address, false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kNotSent);
  }

  // Guards against reporting a call that was sent as not sent.
  void LostConnectionIsReportedAsLost() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    server_.reset();
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kLost);
  }

  // Guards against waiting forever on a connection that a device between the nodes has dropped
  // without closing it.
  void SilentConnectionIsReportedAndCallResolvable() {
    TcpRelay relay(loop_->base(), server_->bound_address());
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
    CPPUNIT_ASSERT(next.result.inline_response);
  }

  // Guards against a process that, after it was paused, drops connections as silent although their
  // replies are waiting unread in the sockets. The pause is simulated by a sleep of the only
  // thread.
  void ResponseAfterProcessPauseIsAccepted() {
    TcpRelay relay(loop_->base(), server_->bound_address());
    FakeHandler handler;
    pool_->Call(relay.address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    relay.FreezeOpenConnections();
    // Long enough for a ping to be sent, too short for it to time out.
    RunFor(PeerPool::kPingDelay + PeerPool::kPingTimeout / 3);
    relay.ResumeOpenConnections();
    std::this_thread::sleep_for(2 * PeerPool::kPingTimeout);
    RunFor(PeerPool::kPingDelay);
    CPPUNIT_ASSERT_EQUAL(0, handler.done);
    FakeService::Finish(service_.writers[0].get(), NodeOutcome::kNotRun, "test");
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kResult);
  }

  void CancelReachesPeer() {
    FakeHandler handler;
    const auto handle = pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    pool_->Cancel(handle);
    WaitFor([&] { return service_.cancelled == 1; });
    CPPUNIT_ASSERT_EQUAL(0, handler.done);
  }

  // Guards against running a call that was cancelled before the connection was open (P5).
  void CallCancelledBeforeConnectIsNotSent() {
    FakeHandler cancelled;
    pool_->Cancel(pool_->Call(server_->bound_address(), false, Request("/hold"), &cancelled));
    AssertEchoIsOnlyRequest();
    CPPUNIT_ASSERT_EQUAL(0, cancelled.done);
  }

  // Guards against running a call that was cancelled in the loop turn in which it would have been
  // sent (P5).
  void CallCancelledOnOpenConnectionIsNotSent() {
    AssertEchoIsOnlyRequest();
    service_.requests.clear();
    FakeHandler cancelled;
    pool_->Cancel(pool_->Call(server_->bound_address(), false, Request("/hold"), &cancelled));
    AssertEchoIsOnlyRequest();
    CPPUNIT_ASSERT_EQUAL(0, cancelled.done);
  }

  // Guards against calls between nodes of different meshes after an address was reused.
  void WrongMeshIsRefused() {
    PeerPool other(loop_.get(), Identity("other"));
    FakeHandler handler;
    other.Call(server_->bound_address(), false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT(handler.status == PeerCallStatus::kNotSent);
    CPPUNIT_ASSERT(service_.requests.empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server_->rejected());
  }

  // Guards against malformed or malicious frames that crash the process or affect other
  // connections.
  void MalformedMessageClosesOnlyItsConnection() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/hold"), &handler);
    WaitFor([&] { return !service_.requests.empty(); });
    uint64_t rejected = 0;
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
      CPPUNIT_ASSERT_EQUAL(++rejected, server_->rejected());
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
  void StartServer() {
    service_ = FakeService();
    server_ = std::make_unique<NodeServer>(loop_.get(), Identity("mesh"), &service_);
    CPPUNIT_ASSERT(!server_->Listen(NetAddress("127.0.0.1", 0)));
  }

  // Sends another call on the same connection. Calls are sent in order, so an earlier one would
  // have arrived before it.
  void AssertEchoIsOnlyRequest() {
    FakeHandler handler;
    pool_->Call(server_->bound_address(), false, Request("/echo"), &handler);
    WaitFor([&] { return handler.done == 1; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, service_.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/echo"), service_.requests[0].target);
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

  void RunFor(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    WaitFor([end] { return std::chrono::steady_clock::now() >= end; });
  }

  void WaitFor(const std::function<bool()>& condition) { WaitUntil(loop_.get(), condition); }

  std::unique_ptr<EventLoop> loop_;
  FakeService service_;
  std::unique_ptr<NodeServer> server_;
  std::unique_ptr<PeerPool> pool_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

}  // namespace
}  // namespace camphorhoist
