#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "system_tests/mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;

constexpr int kAccepted = 0;
constexpr int kConflict = 3;
constexpr int kUnknown = 4;
constexpr int kUnavailable = 5;
constexpr int kTimeoutMs = 3000;

uint64_t Number(const std::string& version) {
  return std::stoull(version.substr(version.rfind('.') + 1));
}

/// The configuration under faults of the platform and of nodes.
class ConfigFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFaultsTest);
  CPPUNIT_TEST(RestartWithoutPlatform);
  CPPUNIT_TEST(LostAnswer);
  CPPUNIT_TEST(PlatformDown);
  CPPUNIT_TEST(RacingOperators);
  CPPUNIT_TEST(Herd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against P1 broken by a restarted node: traffic by an older configuration, or none at all
  // while the platform is down.
  void RestartWithoutPlatform() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc1", "dc2"});
    mesh.StartUpstream("old", {0});
    mesh.StartUpstream("new", {0});
    mesh.WaitEndpoints("old", 1);
    mesh.WaitEndpoints("new", 1);
    json records = ServiceWithRoute("old", 2000);
    records.push_back(ServiceWithRoute("new", 2000)[0]);
    records.push_back(Route("moved", "old", 2000));
    const std::string first = mesh.ApplyEverywhere(0, records);
    const std::string second = mesh.ApplyEverywhere(0, json::array({Route("moved", "new", 2000)}));
    CPPUNIT_ASSERT(Number(second) > Number(first));

    mesh.platform().Kill();
    mesh.node(1).process->Kill();
    mesh.Restart(1);
    // From the first instant: only refusals until the configuration is there, then the new route.
    WaitFor("the restarted node serves", [&mesh] {
      const HttpResponse answer = Fetch(mesh.node(1).caller(), "GET", "/moved/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE("answered by the old route", size_t{0}, mesh.upstream(0).Runs());
      if (answer.status == 200) return true;
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.Header("X-Camphorhoist-Outcome"));
      return false;
    });
    CPPUNIT_ASSERT_EQUAL(second, mesh.Version(1));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitStatus(i, second);
  }

  // Guards against a change that is applied twice or reported as failed when the platform's answer
  // to the deciding write is lost.
  void LostAnswer() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    const std::string first = mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 2000));
    mesh.SetPlatformFaults({{"mode", "lost_answer"},
                            {"methods", {"PUT"}},
                            {"key_prefix", "config/head"},
                            {"count", 1}});
    const json change = json::array({Route("orders", "orders", 2500)});
    const ProgramResult lost = mesh.Apply(0, change, {"--id=lost-answer"});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.text, kAccepted, lost.exit);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, InjectedFaults(&mesh));
    const std::string second = lost.output.at("version").get<std::string>();
    CPPUNIT_ASSERT_EQUAL(Number(first) + 1, Number(second));
    // Sent again, also through the other node, it is found and not applied once more.
    for (size_t i = 0; i < mesh.size(); ++i) {
      const ProgramResult again = mesh.Apply(i, change, {"--id=lost-answer"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.text, kAccepted, again.exit);
      CPPUNIT_ASSERT_EQUAL(second, again.output.at("version").get<std::string>());
    }
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitStatus(i, second);
  }

  // Guards against a guess told to an operator, or a change in force that no one accepted, while
  // the platform is down.
  void PlatformDown() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    const std::string first = mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 2000));
    const json change = json::array({Route("orders", "orders", 2500)});
    mesh.SetPlatformFaults({{"mode", "down"}});
    const ProgramResult down =
        mesh.Apply(0, change, {"--id=down", "--timeout-ms=" + std::to_string(kTimeoutMs)});
    CPPUNIT_ASSERT_MESSAGE(down.text, down.exit == kUnknown || down.exit == kUnavailable);
    for (size_t i = 0; i < mesh.size(); ++i) CPPUNIT_ASSERT_EQUAL(first, mesh.Version(i));
    mesh.SetPlatformFaults(json::array());
    std::string second;
    WaitFor("the change is accepted after the outage", [&] {
      const ProgramResult later = mesh.Apply(0, change, {"--id=down"});
      if (later.exit != kAccepted) return false;
      second = later.output.at("version").get<std::string>();
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(Number(first) + 1, Number(second));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitStatus(i, second);
  }

  // Guards against a change that overwrites another operator's, and against a refusal of changes
  // that do not touch the same record.
  void RacingOperators() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    json records = ServiceWithRoute("orders", 2000);
    records.push_back(Route("other", "orders", 2000));
    mesh.ApplyEverywhere(0, records);
    const std::string base = mesh.Version(0);

    const std::vector<int> same = Race(&mesh, "orders", "orders");
    CPPUNIT_ASSERT_EQUAL(kAccepted, std::min(same[0], same[1]));
    CPPUNIT_ASSERT_EQUAL(kConflict, std::max(same[0], same[1]));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitStatus(i, Next(base, 1));
    // The accepted change is the one in force.
    const int winner = same[0] == kAccepted ? 0 : 1;
    const json read = mesh.Cli(0, {"get", "route/orders"}).output;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(read.dump(), kRaceTimeoutMs + winner,
                                 RecordOf(read).at("timeout_ms").get<int>());

    const std::vector<int> different = Race(&mesh, "orders", "other");
    CPPUNIT_ASSERT_EQUAL(kAccepted, different[0]);
    CPPUNIT_ASSERT_EQUAL(kAccepted, different[1]);
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitStatus(i, Next(base, 3));
  }

  // Guards against the platform being flooded by a herd of restarted nodes, and against nodes that
  // do not come back to the version in force.
  void Herd() {
    constexpr size_t kNodes = 8;
    constexpr size_t kSurvivors = 2;
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2", "dc1", "dc1", "dc1", "dc2", "dc2", "dc2"});
    json records = ServiceWithRoute("orders", 2000);
    for (int i = 0; i < 100; ++i) records.push_back(Route("r" + std::to_string(i), "orders", 1000));
    const std::string version = mesh.ApplyEverywhere(0, records);
    for (size_t i = kSurvivors; i < kNodes; ++i) mesh.node(i).process->Kill();
    const uint64_t before = mesh.PlatformReads();
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = kSurvivors; i < kNodes; ++i) mesh.Restart(i);
    for (size_t i = 0; i < kNodes; ++i) mesh.WaitStatus(i, version);
    const uint64_t reads = mesh.PlatformReads() - before;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    // The stated budget of every node, without its burst.
    const double budget = kReadsPerSecond * kNodes * std::max(elapsed.count(), 1.0);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(reads) + " reads in " + std::to_string(elapsed.count()) + " s",
        static_cast<double>(reads) < budget);
    // Peers hold the snapshot, so no node reads it from the platform.
    for (size_t i = kSurvivors; i < kNodes; ++i) {
      CPPUNIT_ASSERT_EQUAL(0, mesh.Dump(i).at("config").at("platform_loads").get<int>());
    }
  }

 private:
  static constexpr int kRaceTimeoutMs = 3000;
  /// Default of --platform-reads-per-second.
  static constexpr double kReadsPerSecond = 5;

  static uint64_t InjectedFaults(Mesh* mesh) {
    return FetchJson(mesh->platform().LastAddress(), "GET", "/meter")
        .at("faults_injected")
        .get<uint64_t>();
  }

  static std::string Next(const std::string& version, uint64_t steps) {
    return version.substr(0, version.rfind('.') + 1) + std::to_string(Number(version) + steps);
  }

  /// The single record that `camphorhoist get KIND/NAME` printed.
  static json RecordOf(const json& read) { return read.at("records").at(0).at("record"); }

  /// Both operators read, then both write through different nodes at the same time. Page
  /// writes are slowed, so that both have read the head before either has moved it.
  /// Returns the exit codes of the CLI.
  static std::vector<int> Race(Mesh* mesh, const std::string& first, const std::string& second) {
    const std::vector<std::string> names = {first, second};
    std::vector<json> changes;
    for (size_t i = 0; i < names.size(); ++i) {
      json read = mesh->Cli(i, {"get", "route/" + names[i]}).output;
      read.at("records").at(0).at("record")["timeout_ms"] = kRaceTimeoutMs + static_cast<int>(i);
      changes.push_back(std::move(read));
    }
    mesh->SetPlatformFaults({{"mode", "slow"},
                             {"methods", {"PUT"}},
                             {"key_prefix", "config/page/"},
                             {"delay_ms", 500}});
    std::vector<std::unique_ptr<Process>> programs;
    programs.reserve(changes.size());
    for (size_t i = 0; i < changes.size(); ++i) programs.push_back(mesh->StartApply(i, changes[i]));
    std::vector<int> exits;
    exits.reserve(programs.size());
    for (const auto& it : programs) exits.push_back(Mesh::Finish(it.get()).exit);
    mesh->SetPlatformFaults(json::array());
    return exits;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFaultsTest);

}  // namespace
}  // namespace camphorhoist
