#include "camphorhoistd/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace camphorhoist {
namespace {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsFlagsAndVariables);
  CPPUNIT_TEST(ReportsAllErrorsTogether);
  CPPUNIT_TEST(ReportsPlaceOfEachError);
  CPPUNIT_TEST(OperatorPortDefaultsToLoopback);
  CPPUNIT_TEST(HelpNeedsNoOtherSetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsFlagsAndVariables() {
    Findings findings;
    const auto parsed = Parse({"--mesh=flag", "--drain-timeout-ms=5"},
                              {{"CAMPHORHOIST_MESH", "variable"}}, &findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("flag"), parsed.settings.mesh);
    CPPUNIT_ASSERT_EQUAL(std::string("dc1"), parsed.settings.data_centre);
    CPPUNIT_ASSERT(parsed.settings.drain_timeout == std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, parsed.settings.seeds.size());
  }

  // Guards against a parser that reports only the first error.
  void ReportsAllErrorsTogether() {
    Findings findings;
    ParseSettings(
        {"camphorhoistd", "--log-level=loud"}, [](const std::string&) { return std::nullopt; },
        &findings);
    CPPUNIT_ASSERT_EQUAL(size_t{7}, findings.items().size());
  }

  void ReportsPlaceOfEachError() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"--mesh=Has Space", "--mesh"},
        {"--caller-listen=localhost:80", "--caller-listen"},
        {"--seeds=1.2.3.4:5,x", "--seeds"},
        {"--platform=1.2.3.4:0", "--platform"},
        {"--drain-timeout-ms=-1", "--drain-timeout-ms"},
        {"--max-calls=0", "--max-calls"},
        {"--hedging=maybe", "--hedging"},
        {"--balancer=best", "--balancer"},
        {"--watch=some", "--watch"},
        {"--config-transfer=page", "--config-transfer"},
        {"--unknown", "--unknown"},
        {"stray", "stray"},
    };
    for (const auto& it : cases) {
      Findings findings;
      Parse({it.first}, {}, &findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.first, size_t{1}, findings.items().size());
      CPPUNIT_ASSERT_EQUAL(it.second, findings.items()[0].place());
    }
    Findings findings;
    Parse({}, {{"CAMPHORHOIST_REGION", ""}}, &findings);
    CPPUNIT_ASSERT_EQUAL(std::string("CAMPHORHOIST_REGION"), findings.items().at(0).place());
  }

  // Guards against operator and upstream ports that are reachable from the network by default.
  void OperatorPortDefaultsToLoopback() {
    Findings findings;
    const auto parsed = Parse({}, {}, &findings);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), parsed.settings.operator_listen.ip());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), parsed.settings.upstream_listen.ip());
  }

  void HelpNeedsNoOtherSetting() {
    Findings findings;
    const auto parsed = ParseSettings(
        {"camphorhoistd", "--help"}, [](const std::string&) { return std::nullopt; }, &findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT(parsed.action == SettingsAction::kHelp);
    CPPUNIT_ASSERT(parsed.help.find("--drain-timeout-ms=MS") != std::string::npos);
  }

 private:
  /// Parses `flags` and `variables`, with defaults for all required settings in the environment.
  static ParsedSettings Parse(std::vector<std::string> flags,
                              const std::map<std::string, std::string>& variables,
                              Findings* findings) {
    std::map<std::string, std::string> environment = {
        {"CAMPHORHOIST_MESH", "mesh"},
        {"CAMPHORHOIST_DATA_CENTRE", "dc1"},
        {"CAMPHORHOIST_REGION", "r1"},
        {"CAMPHORHOIST_CALLER_LISTEN", "0.0.0.0:8080"},
        {"CAMPHORHOIST_NODE_LISTEN", "127.0.0.1:7000"},
        {"CAMPHORHOIST_SEEDS", "127.0.0.1:7001,127.0.0.1:7002"},
        {"CAMPHORHOIST_PLATFORM", "127.0.0.1:9000"}};
    for (const auto& it : variables) environment[it.first] = it.second;
    flags.insert(flags.begin(), "camphorhoistd");
    return ParseSettings(
        flags,
        [&environment](const std::string& name) -> std::optional<std::string> {
          const auto it = environment.find(name);
          if (it == environment.end()) return std::nullopt;
          return it->second;
        },
        findings);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace camphorhoist
