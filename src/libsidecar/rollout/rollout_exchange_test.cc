#include "libsidecar/rollout/rollout_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Roll-outs of the service of a mesh whose first half of the nodes has servers of version "v1", and
// the others of "v2".
class RolloutExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutExchangeTest);
  CPPUNIT_TEST(MessagesAreReadAsWritten);
  CPPUNIT_TEST(NoBoundsNoStoreCalls);
  CPPUNIT_TEST(NoOrderNoStoreCalls);
  CPPUNIT_TEST(GoodVersionIsCompleted);
  CPPUNIT_TEST(FailingVersionIsRolledBack);
  CPPUNIT_TEST(VersionIsStoppedWhileStoreIsUnavailable);
  CPPUNIT_TEST(NextWriterCompletes);
  CPPUNIT_TEST(RestartedSidecarsKeepTheState);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kNodes = 6;
  static constexpr seconds kPeriod{12};

  /// A mesh that serves both versions, and the traffic to it.
  struct Fixture {
    Fixture() : mesh(kNodes, SidecarMesh::kFastLinkBytesPerSecond, RolloutBounds()) {
      for (size_t i = 0; i < kNodes; ++i) {
        mesh.at(i).version = IsTarget(i) ? "v2" : "v1";
        CPPUNIT_ASSERT(mesh.Pump([this, i] { return mesh.Ready(i) == 200; }));
      }
      SendHeartbeats();
      for (size_t i = 0; i < kNodes; ++i) mesh.WaitUntilServing(i);
      CPPUNIT_ASSERT(mesh.Pump([this] { return mesh.store().watches() == 12; }));
      before = Requests(true);
    }

    static bool IsTarget(size_t i) { return i >= kNodes / 2; }

    void Order() {
      const double period_s = std::chrono::duration<double>(kPeriod).count();
      mesh.store().Put("rollouts", "s",
                       {{"service", "s"}, {"targetVersion", "v2"}, {"periodS", period_s}});
      ordered_at = steady_clock::now();
    }

    void SendHeartbeats() {
      for (size_t i = 0; i < kNodes; ++i) {
        if (mesh.at(i).sidecar != nullptr) mesh.SendHeartbeat(i);
      }
      heartbeats_at = steady_clock::now();
    }

    /// Number of requests that the servers of the target version, or the other ones, have got.
    size_t Requests(bool target) {
      size_t count = 0;
      for (size_t i = 0; i < kNodes; ++i) {
        if (IsTarget(i) == target) count += mesh.at(i).upstream->request_heads().size();
      }
      return count;
    }

    /// Sends requests to the running sidecars in turn until `done` or `end`.
    void Serve(steady_clock::time_point end, const std::function<bool()>& done) {
      while (steady_clock::now() < end && !done()) {
        if (steady_clock::now() - heartbeats_at > milliseconds(1000)) SendHeartbeats();
        const size_t i = sent % kNodes;
        ++sent;
        if (mesh.at(i).sidecar == nullptr || mesh.Ready(i) != 200) continue;
        const std::string id = "r-" + std::to_string(sent);
        ++statuses[StatusOf(mesh.Call(i, "GET", "/safe/x", id))];
        mesh.PumpFor(milliseconds(1));
      }
    }
    bool ServeUntilState(const std::string& state) {
      const auto reached = [this, &state] { return State() == state; };
      Serve(ordered_at + kPeriod, reached);
      return reached();
    }

    std::string State() {
      const json status = mesh.store().Status("rollouts", "s");
      return status.is_object() ? status["state"].get<std::string>() : "";
    }
    std::vector<std::string> WrittenStates() {
      std::vector<std::string> states;
      for (const json& it : mesh.store().statuses()) {
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), it["targetVersion"].get<std::string>());
        states.push_back(it["state"]);
      }
      return states;
    }

    SidecarMesh mesh;
    steady_clock::time_point ordered_at;
    steady_clock::time_point heartbeats_at;
    size_t before = 0;
    size_t sent = 0;
    std::map<int, size_t> statuses;
  };

  static void FailSomeResponses(FakeUpstream* upstream) {
    upstream->set_responder([](RawServer::Connection* connection, const std::string& head) {
      static unsigned number = 0;
      if (++number % 3 != 0) return FakeUpstream::RespondOk(connection, head);
      connection->Write("HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: " +
                        FakeUpstream::RequestId(head) + "\r\nContent-Length: 0\r\n\r\n");
    });
  }

  static size_t WriterOf(const std::vector<size_t>& nodes) {
    std::vector<std::string> names;
    names.reserve(nodes.size());
    for (const size_t i : nodes) names.push_back("node-" + std::to_string(i));
    const std::string writer = RankedNodes("s", names, 1).front();
    return static_cast<size_t>(std::stoi(writer.substr(writer.find('-') + 1)));
  }

  template <typename Message>
  static Message Pass(const Message& message) {
    const EvbufferPtr buffer(evbuffer_new());
    AppendFrame(message, buffer.get());
    PeerMessage read;
    CPPUNIT_ASSERT(ExtractFrame(buffer.get(), &read) == FrameStatus::kMessage);
    return std::get<Message>(read);
  }

 public:
  void MessagesAreReadAsWritten() {
    RolloutUpdate update;
    update.record.order = {"s", "v2", milliseconds(61500)};
    update.record.era = 3;
    update.record.revision = 12;
    update.record.first_revision = 9;
    update.record.deleted = true;
    update.record.state = RolloutState::kRunning;
    update.record.phase = RolloutPhase::kStopped;
    update.record.elapsed = milliseconds(777);
    CPPUNIT_ASSERT(Pass(update).record == update.record);
    CPPUNIT_ASSERT(!Pass(update).decision);
    RolloutDecision decision;
    decision.share = 0.3;
    decision.servers = 2;
    decision.valid_for = milliseconds(1200);
    update.decision = decision;
    CPPUNIT_ASSERT(*Pass(update).decision == decision);
    RolloutCounts counts{"s", {"v2", 5, 7, 2, {}}};
    counts.counts.AddResponse(77, false, milliseconds(3));
    counts.counts.AddResponse(78, true, milliseconds(0));
    CPPUNIT_ASSERT(Pass(counts).counts == counts.counts);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), Pass(RolloutTold{"s", "v2"}).target_version);
    PeerHello hello;
    hello.rollouts = {update.record};
    hello.upstream.version = "v1";
    CPPUNIT_ASSERT(Pass(hello).rollouts == hello.rollouts);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), Pass(hello).upstream.version);
    CallOffer offer;
    offer.route = 99;
    CPPUNIT_ASSERT_EQUAL(uint64_t{99}, Pass(offer).route);
  }

  // Guards against billed calls in a deployment without roll-outs.
  void NoBoundsNoStoreCalls() {
    SidecarMesh mesh(kNodes);
    for (size_t i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return mesh.Ready(i) == 200; }));
    }
    mesh.PumpFor(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mesh.store().calls("rollouts"));
  }

  // Guards against more calls than a list and a watch of each of the four watching sidecars.
  void NoOrderNoStoreCalls() {
    Fixture fixture;
    fixture.mesh.PumpFor(milliseconds(1000));
    const uint64_t calls = fixture.mesh.store().calls("rollouts");
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, calls);
    fixture.mesh.PutConfig(2);
    fixture.mesh.PumpFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(calls, fixture.mesh.store().calls("rollouts"));
    // Both versions are served.
    fixture.Serve(steady_clock::now() + milliseconds(500), [] { return false; });
    CPPUNIT_ASSERT(fixture.Requests(true) > fixture.before);
  }

  // Guards against a roll-out that exposes too much, ends late, or stops the old servers while
  // something is sent to them.
  void GoodVersionIsCompleted() {
    Fixture fixture;
    fixture.Order();
    CPPUNIT_ASSERT(fixture.ServeUntilState("running"));
    const size_t total = fixture.Requests(true) + fixture.Requests(false);
    // The observation has not ended.
    fixture.Serve(fixture.ordered_at + seconds(6), [] { return false; });
    const auto exposed = static_cast<double>(fixture.Requests(true) - fixture.before);
    const auto requests =
        static_cast<double>(fixture.Requests(true) + fixture.Requests(false) - total);
    CPPUNIT_ASSERT(exposed > 0);
    CPPUNIT_ASSERT(exposed <= 0.1 * requests + 50);
    CPPUNIT_ASSERT(fixture.ServeUntilState("completed"));
    const size_t others = fixture.Requests(false);
    fixture.Serve(steady_clock::now() + milliseconds(500), [] { return false; });
    CPPUNIT_ASSERT_EQUAL(others, fixture.Requests(false));
    CPPUNIT_ASSERT((fixture.WrittenStates() == std::vector<std::string>{"running", "completed"}));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.statuses.size());
    CPPUNIT_ASSERT_EQUAL(200, fixture.statuses.begin()->first);
  }

  void FailingVersionIsRolledBack() {
    Fixture fixture;
    for (size_t i = 0; i < kNodes; ++i) {
      if (Fixture::IsTarget(i)) FailSomeResponses(fixture.mesh.at(i).upstream.get());
    }
    fixture.Order();
    CPPUNIT_ASSERT(fixture.ServeUntilState("rolled_back"));
    const size_t targets = fixture.Requests(true);
    CPPUNIT_ASSERT(static_cast<double>(targets - fixture.before) <=
                   0.1 * static_cast<double>(fixture.sent) + 50);
    fixture.Serve(steady_clock::now() + milliseconds(500), [] { return false; });
    CPPUNIT_ASSERT_EQUAL(targets, fixture.Requests(true));
    CPPUNIT_ASSERT_EQUAL(std::string("rolled_back"), fixture.WrittenStates().back());
    CPPUNIT_ASSERT(fixture.WrittenStates().size() <= 2);
    // The requests that the bad version failed were repeated at the other one.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.statuses.size());
  }

  // Guards against traffic to a bad version until the store responds again.
  void VersionIsStoppedWhileStoreIsUnavailable() {
    Fixture fixture;
    for (size_t i = 0; i < kNodes; ++i) {
      if (Fixture::IsTarget(i)) FailSomeResponses(fixture.mesh.at(i).upstream.get());
    }
    fixture.Order();
    fixture.Serve(fixture.ordered_at + milliseconds(1000), [] { return false; });
    fixture.mesh.store().set_fault(FakeStore::Fault::kBusy);
    fixture.Serve(fixture.ordered_at + seconds(9), [] { return false; });
    const size_t targets = fixture.Requests(true);
    fixture.Serve(steady_clock::now() + milliseconds(700), [] { return false; });
    CPPUNIT_ASSERT_EQUAL(targets, fixture.Requests(true));
    CPPUNIT_ASSERT(fixture.WrittenStates().empty());
    fixture.mesh.store().set_fault(FakeStore::Fault::kNone);
    fixture.Serve(fixture.ordered_at + kPeriod + seconds(3),
                  [&fixture] { return fixture.State() == "rolled_back"; });
    CPPUNIT_ASSERT((fixture.WrittenStates() == std::vector<std::string>{"rolled_back"}));
  }

  // Guards against a roll-out that ends with its writer, and against a state that is written twice.
  void NextWriterCompletes() {
    Fixture fixture;
    fixture.Order();
    CPPUNIT_ASSERT(fixture.ServeUntilState("running"));
    std::vector<size_t> nodes;
    for (size_t i = 0; i < kNodes; ++i) nodes.push_back(i);
    fixture.mesh.Kill(WriterOf(nodes));
    CPPUNIT_ASSERT(fixture.ServeUntilState("completed"));
    CPPUNIT_ASSERT((fixture.WrittenStates() == std::vector<std::string>{"running", "completed"}));
  }

  // Guards against a sidecar that sends requests to all versions after a restart, also if the store
  // does not respond to it.
  void RestartedSidecarsKeepTheState() {
    Fixture fixture;
    for (size_t i = 0; i < kNodes; ++i) {
      if (Fixture::IsTarget(i)) FailSomeResponses(fixture.mesh.at(i).upstream.get());
    }
    fixture.Order();
    CPPUNIT_ASSERT(fixture.ServeUntilState("rolled_back"));
    fixture.mesh.PumpFor(milliseconds(300));
    const size_t targets = fixture.Requests(true);
    for (size_t i = 0; i < kNodes; ++i) {
      fixture.mesh.Kill(i);
      fixture.mesh.Start(i);
      fixture.SendHeartbeats();
      fixture.Serve(steady_clock::now() + milliseconds(400), [] { return false; });
    }
    CPPUNIT_ASSERT_EQUAL(targets, fixture.Requests(true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutExchangeTest);

}  // namespace
}  // namespace camphorhoist
