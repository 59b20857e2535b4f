#ifndef CAMPHORHOIST_LIBNODE_TESTING_NODE_FAKES_H_
#define CAMPHORHOIST_LIBNODE_TESTING_NODE_FAKES_H_

#include <cppunit/TestAssert.h>
#include <errno.h>
#include <sys/socket.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libnode/event_loop.h"
#include "libnode/node_server.h"
#include "libnode/peer_pool.h"

namespace camphorhoist {

constexpr size_t kLargeBytes = 8 << 20;
constexpr std::chrono::seconds kWaitTimeout{20};

/// Serves calls depending on their target.
class FakeService : public NodeService {
 public:
  void OnCall(NodeCallRequest request, std::shared_ptr<ResponseWriter> writer) override {
    requests.push_back(request);
    writer->SetOnCancelled([this] { ++cancelled; });
    writers.push_back(writer);
    if (request.target == "/hold") return;
    if (request.target == "/refuse") return Finish(writer.get(), NodeOutcome::kNotRun, "draining");
    writer->SendHead(200, {{"X-Test", "1"}});
    if (request.target == "/large") {
      for (size_t sent = 0; sent < kLargeBytes; sent += kChunkBytes) {
        writer->SendChunk(
            std::string(kChunkBytes, static_cast<char>('a' + sent / kChunkBytes % 26)));
      }
    } else {
      writer->SendChunk("echo " + request.body);
    }
    if (request.target != "/broken") writer->EndBody();
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

  static void Finish(ResponseWriter* writer, NodeOutcome outcome, const std::string& reason) {
    NodeCallResult result;
    result.outcome = outcome;
    result.reason = reason;
    result.limit = 6;
    writer->Finish(result);
  }

  static constexpr size_t kChunkBytes = 32 << 10;
  std::vector<NodeCallRequest> requests;
  std::vector<std::shared_ptr<ResponseWriter>> writers;
  int cancelled = 0;
};

/// Collects one response. If `hold` is set, chunks are not acknowledged until `Release`.
class FakeHandler : public ResponseHandler {
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

inline NodeIdentity Identity(const std::string& mesh) {
  return {mesh, NetAddress("127.0.0.1", 0), 42};
}

inline NodeCallRequest Request(const std::string& target) {
  NodeCallRequest request;
  request.id = CallId(1, 1);
  request.target_incarnation = 42;
  request.method = "POST";
  request.target = target;
  request.body = "body";
  return request;
}

/// Returns true once the peer has closed the connection. Discards received data.
inline bool ClosedByPeer(int fd) {
  char buf[256];
  const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno == ECONNRESET);
}

/// Runs the loop until `condition` holds; fails the test after `kWaitTimeout`.
inline void WaitUntil(EventLoop* loop, const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("condition not met in time", std::chrono::steady_clock::now() < limit);
    auto paf = kj::newPromiseAndFulfiller<void>();
    Timer timer(loop->base(), [&paf] { paf.fulfiller->fulfill(); });
    timer.StartOnce(std::chrono::milliseconds(1));
    paf.promise.wait(loop->wait_scope());
  }
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_TESTING_NODE_FAKES_H_
