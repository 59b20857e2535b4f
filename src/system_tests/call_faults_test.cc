#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <chrono>
#include <thread>

#include "system_tests/mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;

/// Guarantee P7: no request starts on a draining or stopping upstream later than this after it has
/// announced that it leaves.
constexpr int64_t kDrainBoundMs = 3000;

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Fails unless requests were sent and every one was answered.
void AssertAllAnswered(const json& group) {
  CPPUNIT_ASSERT_MESSAGE("no request was sent", group.at("requests").get<int>() > 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(group.dump(), group.at("requests"), group.at("answered"));
}

int OutcomeCount(const json& group, const std::string& outcome) {
  return group.at("outcomes").value(outcome, 0);
}

/// Calls during failures of nodes and upstreams. The load tool compares its results with the
/// upstreams' ledgers.
class CallFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallFaultsTest);
  CPPUNIT_TEST(KilledNode);
  CPPUNIT_TEST(PausedNode);
  CPPUNIT_TEST(DrainedUpstreams);
  CPPUNIT_TEST(StoppedNode);
  CPPUNIT_TEST(TruncatedAndLargeBodies);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards guarantees P5 and P6 when the node on the upstream's side is killed: a non-idempotent
  // request must not be repeated elsewhere while the upstream still runs it, nor be reported as not
  // run although it runs.
  void KilledNode() {
    Mesh mesh;
    StartOrdersMesh(&mesh, 8000);
    const auto load = mesh.StartLoad({0, 2}, LongCalls(), {"--rate=60", "--duration-s=7"});
    WaitForRunningCalls(&mesh, 1, 6);
    mesh.node(1).process->Kill();
    const json report = mesh.FinishLoad(load.get());
    AssertAllAnswered(ShapeReport(report, "get"));
    // The responses of requests that ran when the node was killed are lost, so some outcomes are
    // unknown.
    CPPUNIT_ASSERT_MESSAGE(report.dump(),
                           OutcomeCount(ShapeReport(report, "post"), "unknown 502") > 0);
  }

  // Guards against a resumed node that starts requests whose callers were told not-run or that were
  // voided and sent elsewhere, and against idempotent calls that wait for the paused node.
  void PausedNode() {
    Mesh mesh;
    StartOrdersMesh(&mesh, 8000);
    const auto load = mesh.StartLoad({0, 2}, LongCalls(), {"--rate=60", "--duration-s=8"});
    WaitForRunningCalls(&mesh, 1, 6);
    const size_t before = mesh.upstream(0).RunCount();
    mesh.node(1).process->Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(3));  // duration of the fault
    mesh.node(1).process->Signal(SIGCONT);
    const json report = mesh.FinishLoad(load.get());
    AssertAllAnswered(ShapeReport(report, "get"));
    WaitFor("the other nodes send to the resumed node again", [&] {
      const HttpResponse response =
          Fetch(mesh.node(0).caller_address(), "GET", "/orders/list?ms=1");
      CPPUNIT_ASSERT_EQUAL(200, response.status);
      return mesh.upstream(0).RunCount() > before;
    });
  }

  // Guards guarantees P7 and P8 while upstreams leave: no call fails because its sender does not
  // know yet that the upstream is draining, and no request starts there after the bound.
  void DrainedUpstreams() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc1", "dc2"});
    for (size_t node : {0, 1, 2}) mesh.StartUpstream("orders", {node}, {"--slots=20"});
    mesh.WaitEndpoints("orders", 3);
    mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 4000));
    const auto load = mesh.StartLoad({0, 1, 2}, ShortCalls(), {"--rate=150", "--duration-s=9"});
    MeshUpstream& drained = mesh.upstream(0);
    MeshUpstream& stopped = mesh.upstream(1);
    WaitFor("both upstreams get calls",
            [&] { return drained.RunCount() > 20 && stopped.RunCount() > 20; });
    FetchJson(drained.address(), "POST", "/control", R"({"drain": true})");
    const int64_t drained_ms = drained.FetchLedger().at("draining_since_ms").get<int64_t>();
    CPPUNIT_ASSERT(drained_ms > 0);
    const int64_t stopped_ms = WallClockMs();
    CPPUNIT_ASSERT_EQUAL(0, stopped.process->Terminate());

    AssertAllAnswered(mesh.FinishLoad(load.get()).at("total"));
    CPPUNIT_ASSERT(drained.LastStartMs() <= drained_ms + kDrainBoundMs);
    CPPUNIT_ASSERT(stopped.LastStartMs() <= stopped_ms + kDrainBoundMs);
    CPPUNIT_ASSERT_MESSAGE("the load outlasted the bound",
                           mesh.upstream(2).LastStartMs() > stopped_ms + kDrainBoundMs);
    CPPUNIT_ASSERT_EQUAL(0, drained.process->Terminate());
  }

  // Guards guarantee P8 during a graceful stop of a node: calls in flight must not be cut off, and
  // refused calls must be sent to another node.
  void StoppedNode() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc1", "dc2"});
    mesh.StartUpstream("orders", {1, 0}, {"--slots=20"});
    mesh.StartUpstream("orders", {0, 1}, {"--slots=20"});
    mesh.StartUpstream("orders", {2, 0}, {"--slots=20"});
    mesh.WaitEndpoints("orders", 3);
    mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 4000));
    const auto load = mesh.StartLoad({0, 2}, LongCalls(), {"--rate=60", "--duration-s=6"});
    // The calls take 300 ms, so a stop that does not wait for them loses their responses.
    WaitForRunningCalls(&mesh, 1, 4);
    CPPUNIT_ASSERT_EQUAL(0, mesh.node(1).process->Terminate());
    AssertAllAnswered(mesh.FinishLoad(load.get()).at("total"));
  }

  // Guards guarantee P4: a truncated response body must not look complete, and large bodies must
  // not lose or repeat bytes on the way through two nodes.
  void TruncatedAndLargeBodies() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    mesh.StartUpstream("orders", {1});
    mesh.WaitEndpoints("orders", 1);
    mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 8000));
    for (const char* framing : {"", "&chunked=1"}) {
      const std::string response =
          FetchRaw(&mesh, std::string("bytes=100000&break_after=50000") + framing);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("head", std::string("HTTP/1.1 200"), response.substr(0, 12));
      CPPUNIT_ASSERT_MESSAGE("length of the body", BodyOf(response).size() < 100000);
      CPPUNIT_ASSERT_MESSAGE("last chunk", !EndsWith(response, "0\r\n\r\n"));
    }
    // Without the fault the same requests give complete bodies, which shows that the checks above
    // detect truncation.
    CPPUNIT_ASSERT_EQUAL(size_t{100000}, BodyOf(FetchRaw(&mesh, "bytes=100000")).size());
    CPPUNIT_ASSERT(EndsWith(FetchRaw(&mesh, "bytes=100000&chunked=1"), "0\r\n\r\n"));

    json download = Shape("download", "GET", "/orders/file", 1, 1);
    download["bytes"] = 20 << 20;
    const auto load = mesh.StartLoad({0}, json::array({download}), {"--rate=2", "--duration-s=2"});
    AssertAllAnswered(mesh.FinishLoad(load.get()).at("total"));
  }

 private:
  /// Starts three nodes and two upstreams of the service, the first on node 1 and the second on
  /// node 0.
  static void StartOrdersMesh(Mesh* mesh, int timeout_ms) {
    mesh->StartNodes({"dc1", "dc1", "dc2"});
    mesh->StartUpstream("orders", {1}, {"--slots=40"});
    mesh->StartUpstream("orders", {0}, {"--slots=40"});
    mesh->WaitEndpoints("orders", 2);
    mesh->ApplyEverywhere(0, ServiceWithRoute("orders", timeout_ms));
  }

  static json LongCalls() {
    return json::array({Shape("post", "POST", "/orders/new", 300, 3),
                        Shape("get", "GET", "/orders/list", 300, 1)});
  }
  static json ShortCalls() {
    return json::array(
        {Shape("post", "POST", "/orders/new", 50, 1), Shape("get", "GET", "/orders/list", 50, 1)});
  }

  /// Waits until `node` has answered enough calls to allow retries and runs at least `min_running`.
  static void WaitForRunningCalls(Mesh* mesh, size_t node, int min_running) {
    WaitFor("calls run", [mesh, node, min_running] {
      const json upstreams = mesh->Dump(node).at("upstreams");
      int running = 0;
      for (const json& it : upstreams.at("upstreams")) running += it.at("running").get<int>();
      return running >= min_running && upstreams.at("answered").get<int>() >= kMinAnswered;
    });
  }

  static std::string FetchRaw(Mesh* mesh, const std::string& query) {
    bool closed = false;
    std::string response = ExchangeBytes(mesh->node(0).caller_address(),
                                         "GET /orders/file?" + query +
                                             " HTTP/1.1\r\nHost: test\r\n"
                                             "Connection: close\r\nX-Request-Key: k\r\n\r\n",
                                         kIdleTimeoutMs, &closed);
    CPPUNIT_ASSERT_MESSAGE("the connection was closed", closed);
    return response;
  }

  static std::string BodyOf(const std::string& response) {
    const size_t end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
  }
  static bool EndsWith(const std::string& text, const std::string& suffix) {
    return text.size() >= suffix.size() &&
           text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
  }

  static constexpr int kMinAnswered = 30;
  static constexpr int kIdleTimeoutMs = 10000;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallFaultsTest);

}  // namespace
}  // namespace camphorhoist
