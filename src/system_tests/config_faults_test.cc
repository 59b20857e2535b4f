#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "system_tests/mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;

// Exit codes of the CLI command `apply`.
constexpr int kAccepted = 0;
constexpr int kConflict = 3;
constexpr int kUnknown = 4;
constexpr int kUnavailable = 5;

constexpr int kApplyTimeoutMs = 3000;

/// Returns the sequence number at the end of a version.
uint64_t VersionNumber(const std::string& version) {
  return std::stoull(version.substr(version.rfind('.') + 1));
}

/// Configuration changes during faults of the platform and of nodes.
class ConfigFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFaultsTest);
  CPPUNIT_TEST(RestartWithoutPlatform);
  CPPUNIT_TEST(LostCommitResponse);
  CPPUNIT_TEST(PlatformDown);
  CPPUNIT_TEST(ConcurrentOperators);
  CPPUNIT_TEST(MassRestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards guarantee P1 for a restarted node: it must neither route by an older configuration nor
  // fail to serve while the platform is down.
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
    CPPUNIT_ASSERT(VersionNumber(second) > VersionNumber(first));

    mesh.platform().Kill();
    mesh.node(1).process->Kill();
    mesh.RestartNode(1);
    // From the start on the node refuses calls until it has the configuration, then it uses the new
    // route.
    WaitFor("the restarted node serves", [&mesh] {
      const HttpResponse response = Fetch(mesh.node(1).caller_address(), "GET", "/moved/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE("answered by the old route", size_t{0},
                                   mesh.upstream(0).RunCount());
      if (response.status == 200) return true;
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), response.Header("X-Camphorhoist-Outcome"));
      return false;
    });
    CPPUNIT_ASSERT_EQUAL(second, mesh.Version(1));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitVersionInStatus(i, second);
  }

  // Guards against a change that is applied twice or reported as failed when the platform's
  // response to the write of the configuration head, which commits the change, is lost.
  void LostCommitResponse() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    const std::string first = mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 2000));
    mesh.SetPlatformFaults({{"mode", "lost_answer"},
                            {"methods", {"PUT"}},
                            {"key_prefix", "config/head"},
                            {"count", 1}});
    const json change = json::array({Route("orders", "orders", 2500)});
    const ProgramResult lost = mesh.Apply(0, change, {"--id=lost-answer"});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.combined_output, kAccepted, lost.exit_code);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, InjectedFaults(&mesh));
    const std::string second = lost.json_output.at("version").get<std::string>();
    CPPUNIT_ASSERT_EQUAL(VersionNumber(first) + 1, VersionNumber(second));
    // A resent change with the same id, also through the other node, is recognised and not applied
    // again.
    for (size_t i = 0; i < mesh.size(); ++i) {
      const ProgramResult again = mesh.Apply(i, change, {"--id=lost-answer"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.combined_output, kAccepted, again.exit_code);
      CPPUNIT_ASSERT_EQUAL(second, again.json_output.at("version").get<std::string>());
    }
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitVersionInStatus(i, second);
  }

  // Guards against a wrong outcome reported to the operator, or an unaccepted change in force,
  // while the platform is down.
  void PlatformDown() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    const std::string first = mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 2000));
    const json change = json::array({Route("orders", "orders", 2500)});
    mesh.SetPlatformFaults({{"mode", "down"}});
    const ProgramResult down =
        mesh.Apply(0, change, {"--id=down", "--timeout-ms=" + std::to_string(kApplyTimeoutMs)});
    CPPUNIT_ASSERT_MESSAGE(down.combined_output,
                           down.exit_code == kUnknown || down.exit_code == kUnavailable);
    for (size_t i = 0; i < mesh.size(); ++i) CPPUNIT_ASSERT_EQUAL(first, mesh.Version(i));
    mesh.SetPlatformFaults(json::array());
    std::string second;
    WaitFor("the change is accepted after the outage", [&] {
      const ProgramResult later = mesh.Apply(0, change, {"--id=down"});
      if (later.exit_code != kAccepted) return false;
      second = later.json_output.at("version").get<std::string>();
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(VersionNumber(first) + 1, VersionNumber(second));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitVersionInStatus(i, second);
  }

  // Guards against a change that overwrites a concurrent change of another operator, and against
  // conflicts reported for concurrent changes of different records.
  void ConcurrentOperators() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    json records = ServiceWithRoute("orders", 2000);
    records.push_back(Route("other", "orders", 2000));
    mesh.ApplyEverywhere(0, records);
    const std::string base = mesh.Version(0);

    const std::vector<int> same_route = ApplyConcurrently(&mesh, "orders", "orders");
    CPPUNIT_ASSERT_EQUAL(kAccepted, std::min(same_route[0], same_route[1]));
    CPPUNIT_ASSERT_EQUAL(kConflict, std::max(same_route[0], same_route[1]));
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitVersionInStatus(i, VersionAfter(base, 1));
    // The accepted change must be the one in force.
    const int winner = same_route[0] == kAccepted ? 0 : 1;
    const json read = mesh.RunCli(0, {"get", "route/orders"}).json_output;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(read.dump(), kBaseTimeoutMs + winner,
                                 RecordOf(read).at("timeout_ms").get<int>());

    const std::vector<int> different_routes = ApplyConcurrently(&mesh, "orders", "other");
    CPPUNIT_ASSERT_EQUAL(kAccepted, different_routes[0]);
    CPPUNIT_ASSERT_EQUAL(kAccepted, different_routes[1]);
    for (size_t i = 0; i < mesh.size(); ++i) mesh.WaitVersionInStatus(i, VersionAfter(base, 3));
  }

  // Guards against a flood of platform reads when most nodes restart at once, and against restarted
  // nodes that do not reach the version in force.
  void MassRestart() {
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
    for (size_t i = kSurvivors; i < kNodes; ++i) mesh.RestartNode(i);
    for (size_t i = 0; i < kNodes; ++i) mesh.WaitVersionInStatus(i, version);
    const uint64_t reads = mesh.PlatformReads() - before;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    // The read rate limit of all nodes together, without their burst allowance.
    const double max_reads = kPlatformReadsPerSecond * kNodes * std::max(elapsed.count(), 1.0);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(reads) + " reads in " + std::to_string(elapsed.count()) + " s",
        static_cast<double>(reads) < max_reads);
    // The running nodes hold the snapshot, so no restarted node reads it from the platform.
    for (size_t i = kSurvivors; i < kNodes; ++i) {
      CPPUNIT_ASSERT_EQUAL(0, mesh.Dump(i).at("config").at("platform_loads").get<int>());
    }
  }

 private:
  static constexpr int kBaseTimeoutMs = 3000;
  /// Default of --platform-reads-per-second.
  static constexpr double kPlatformReadsPerSecond = 5;

  static uint64_t InjectedFaults(Mesh* mesh) {
    return FetchJson(mesh->platform().LastAddress(), "GET", "/meter")
        .at("faults_injected")
        .get<uint64_t>();
  }

  /// Returns the version `steps` changes after `version`.
  static std::string VersionAfter(const std::string& version, uint64_t steps) {
    return version.substr(0, version.rfind('.') + 1) +
           std::to_string(VersionNumber(version) + steps);
  }

  /// Returns the single record in the output of `camphorhoist get KIND/NAME`.
  static json RecordOf(const json& read) { return read.at("records").at(0).at("record"); }

  /// Two operators read the routes `first` and `second`, then write them through different nodes at
  /// the same time. Page writes are delayed, so that both have read the configuration head before
  /// either writes it. Returns the exit codes of the CLI.
  static std::vector<int> ApplyConcurrently(Mesh* mesh, const std::string& first,
                                            const std::string& second) {
    const std::vector<std::string> names = {first, second};
    std::vector<json> changes;
    for (size_t i = 0; i < names.size(); ++i) {
      json read = mesh->RunCli(i, {"get", "route/" + names[i]}).json_output;
      read.at("records").at(0).at("record")["timeout_ms"] = kBaseTimeoutMs + static_cast<int>(i);
      changes.push_back(std::move(read));
    }
    mesh->SetPlatformFaults({{"mode", "slow"},
                             {"methods", {"PUT"}},
                             {"key_prefix", "config/page/"},
                             {"delay_ms", 500}});
    std::vector<std::unique_ptr<Process>> programs;
    programs.reserve(changes.size());
    for (size_t i = 0; i < changes.size(); ++i) programs.push_back(mesh->StartApply(i, changes[i]));
    std::vector<int> exit_codes;
    exit_codes.reserve(programs.size());
    for (const auto& it : programs) exit_codes.push_back(Mesh::WaitResult(it.get()).exit_code);
    mesh->SetPlatformFaults(json::array());
    return exit_codes;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFaultsTest);

}  // namespace
}  // namespace camphorhoist
