#include "camphorhoist/config_diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using Fields = std::vector<ConfigFieldDifference>;

/// Content of a configuration that a test changes.
struct Content {
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services = {{"s1", "/healthz", 110}, {"s2", "/healthz", 110}};
  CallerLimits limits;
  std::vector<MeshOrganisation> organisations = {{"a", {"secret-1", "secret-2"}, 3, 12.5, 13},
                                                 {"b", {"secret-3"}, {}, 0, 0}};

  Content() {
    MeshRoute route;
    route.name = "r1";
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.kind = RequestKind::kIdempotent;
    route.timeout = milliseconds(800);
    route.objective = milliseconds(500);
    route.destinations = {{"s1", 90}, {"s2", 10}};
    routes = {route, route};
    routes[1].name = "r2";
    routes[1].path_prefix = "/y/";
  }

  MeshConfig Config(uint64_t version) const {
    return {version, routes, services, limits, organisations};
  }
};

std::string Describe(const std::vector<ConfigDifference>& differences) {
  std::string text;
  for (const ConfigDifference& it : differences) {
    text += it.name + " " + std::to_string(static_cast<int>(it.change)) + ":";
    for (const ConfigFieldDifference& field : it.fields) {
      text += " " + std::to_string(static_cast<int>(field.field)) + " \"" +
              field.before.value_or("-") + "\" \"" + field.after.value_or("-") + "\"";
    }
    text += "\n";
  }
  return text;
}

void AssertDifferences(const std::vector<ConfigDifference>& expected, const Content& before,
                       const Content& after) {
  const std::vector<ConfigDifference> found =
      ConfigDiff::Compare(before.Config(1), after.Config(2));
  CPPUNIT_ASSERT_EQUAL(Describe(expected), Describe(found));
  CPPUNIT_ASSERT(expected == found);
}

class ConfigDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigDiffTest);
  CPPUNIT_TEST(EqualContentHasNoDifferences);
  CPPUNIT_TEST(ReportsEveryChangedField);
  CPPUNIT_TEST(ReportsAddedAndRemovedRows);
  CPPUNIT_TEST(PairsRowsWithTheSameNameInOrder);
  CPPUNIT_TEST(CountsKeysAndPrintsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a report of differences that have no effect: the version, the order of rows and
  // the order of keys.
  void EqualContentHasNoDifferences() {
    const Content content;
    Content reordered;
    std::swap(reordered.routes[0], reordered.routes[1]);
    std::swap(reordered.services[0], reordered.services[1]);
    std::swap(reordered.organisations[0], reordered.organisations[1]);
    std::swap(reordered.organisations[1].keys[0], reordered.organisations[1].keys[1]);
    AssertDifferences({}, content, content);
    AssertDifferences({}, content, reordered);
  }

  // Guards against a field that is not compared.
  void ReportsEveryChangedField() {
    struct Case {
      ConfigTable table;
      const char* name;
      ConfigField field;
      const char* before;
      const char* after;
      std::function<void(Content*)> change;
    };
    const ConfigTable routes = ConfigTable::kRoutes;
    const ConfigTable services = ConfigTable::kServices;
    const ConfigTable organisations = ConfigTable::kOrganisations;
    const ConfigTable limits = ConfigTable::kLimits;
    const std::vector<Case> cases = {
        {routes, "r1", ConfigField::kHost, "a.example", "b.example",
         [](Content* c) { c->routes[0].host = "b.example"; }},
        {routes, "r1", ConfigField::kPathPrefix, "/x/", "/z/",
         [](Content* c) { c->routes[0].path_prefix = "/z/"; }},
        {routes, "r2", ConfigField::kKind, "idempotent", "non-idempotent",
         [](Content* c) { c->routes[1].kind = RequestKind::kNonIdempotent; }},
        {routes, "r2", ConfigField::kKind, "idempotent", "bulk",
         [](Content* c) { c->routes[1].kind = RequestKind::kBulk; }},
        {routes, "r1", ConfigField::kTimeout, "0.8 s", "0.80001 s",
         [](Content* c) { c->routes[0].timeout += std::chrono::microseconds(10); }},
        {routes, "r1", ConfigField::kObjective, "0.5 s", "3 s",
         [](Content* c) { c->routes[0].objective = std::chrono::seconds(3); }},
        {routes, "r1", ConfigField::kPriority, "0", "-2",
         [](Content* c) { c->routes[0].priority = -2; }},
        {routes, "r1", ConfigField::kMaxServers, "1", "4",
         [](Content* c) { c->routes[0].max_servers = 4; }},
        {routes, "r1", ConfigField::kDestinations, "s1 with weight 90, s2 with weight 10",
         "s1 with weight 90, s2 with weight 0.1",
         [](Content* c) { c->routes[0].destinations[1].weight = 0.1; }},
        {routes, "r1", ConfigField::kIsPublic, "false", "true",
         [](Content* c) { c->routes[0].is_public = true; }},
        {services, "s2", ConfigField::kHealthPath, "/healthz", "",
         [](Content* c) { c->services[1].health_path = ""; }},
        {services, "s1", ConfigField::kMaxConnections, "110", "4000000000",
         [](Content* c) { c->services[0].max_connections = 4000000000; }},
        {organisations, "a", ConfigField::kPriority, "3", "none",
         [](Content* c) { c->organisations[0].priority.reset(); }},
        {organisations, "b", ConfigField::kPriority, "none", "0",
         [](Content* c) { c->organisations[1].priority = 0; }},
        {organisations, "a", ConfigField::kRequestsPerSecond, "12.5", "0",
         [](Content* c) { c->organisations[0].requests_per_second = 0; }},
        {organisations, "a", ConfigField::kBurst, "13", "2000000",
         [](Content* c) { c->organisations[0].burst = 2e6; }},
        {limits, "", ConfigField::kMaxHeaderBytes, "16384", "8192",
         [](Content* c) { c->limits.max_header_bytes = 8192; }},
        {limits, "", ConfigField::kMaxBodyBytes, "67108864", "0",
         [](Content* c) { c->limits.max_body_bytes = 0; }},
        {limits, "", ConfigField::kHeaderTimeout, "10 s", "2.5 s",
         [](Content* c) { c->limits.header_timeout = milliseconds(2500); }},
        {limits, "", ConfigField::kIdleTimeout, "60 s", "0 s",
         [](Content* c) { c->limits.idle_timeout = {}; }},
    };
    for (const Case& it : cases) {
      Content after;
      it.change(&after);
      AssertDifferences(
          {{it.table, it.name, ConfigChange::kChanged, {{it.field, it.before, it.after}}}}, {},
          after);
    }
  }

  // Guards against an added or removed row that is reported for the wrong version or without its
  // values.
  void ReportsAddedAndRemovedRows() {
    const Content before;
    Content after;
    after.services[0].name = "s3";
    AssertDifferences(
        {{ConfigTable::kServices,
          "s3",
          ConfigChange::kAdded,
          {{ConfigField::kHealthPath, {}, "/healthz"}, {ConfigField::kMaxConnections, {}, "110"}}},
         {ConfigTable::kServices,
          "s1",
          ConfigChange::kRemoved,
          {{ConfigField::kHealthPath, "/healthz", {}}, {ConfigField::kMaxConnections, "110", {}}}}},
        before, after);
    after = Content();
    after.organisations.pop_back();
    AssertDifferences({{ConfigTable::kOrganisations,
                        "b",
                        ConfigChange::kRemoved,
                        {{ConfigField::kKeys, "1 key", {}},
                         {ConfigField::kPriority, "none", {}},
                         {ConfigField::kRequestsPerSecond, "0", {}},
                         {ConfigField::kBurst, "0", {}}}}},
                      before, after);
    after = Content();
    after.routes.erase(after.routes.begin());
    const auto removed = ConfigDiff::Compare(before.Config(1), after.Config(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, removed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), removed[0].name);
    CPPUNIT_ASSERT(removed[0].change == ConfigChange::kRemoved);
    CPPUNIT_ASSERT_EQUAL(size_t{9}, removed[0].fields.size());
  }

  // Guards against rows that are left out because another one has the same name, which is allowed
  // for routes.
  void PairsRowsWithTheSameNameInOrder() {
    Content before;
    before.routes[1].name = "r1";
    Content after = before;
    after.routes[1].timeout = milliseconds(900);
    AssertDifferences({{ConfigTable::kRoutes,
                        "r1",
                        ConfigChange::kChanged,
                        {{ConfigField::kTimeout, "0.8 s", "0.9 s"}}}},
                      before, after);
    after = before;
    after.routes.pop_back();
    const auto removed = ConfigDiff::Compare(before.Config(1), after.Config(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, removed.size());
    CPPUNIT_ASSERT(removed[0].change == ConfigChange::kRemoved);
    CPPUNIT_ASSERT_EQUAL(std::string("/y/"), removed[0].fields.at(1).before.value_or(""));
  }

  // Guards against a key in the output, and against a replaced key that is not reported because
  // the number of keys is the same.
  void CountsKeysAndPrintsNone() {
    Content after;
    after.organisations[0].keys = {"secret-2", "secret-4"};
    after.organisations[1].keys = {};
    after.organisations.push_back({"c", {"secret-5", "secret-6", "secret-7"}, {}, 0, 0});
    const auto found = ConfigDiff::Compare(Content().Config(1), after.Config(2));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Describe(found).find("secret"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, found.size());
    CPPUNIT_ASSERT(
        (found[0].fields == Fields{{ConfigField::kKeys, "2 keys", "2 keys (1 added, 1 removed)"}}));
    CPPUNIT_ASSERT(
        (found[1].fields == Fields{{ConfigField::kKeys, "1 key", "0 keys (0 added, 1 removed)"}}));
    CPPUNIT_ASSERT((found[2].fields[0] == ConfigFieldDifference{ConfigField::kKeys, {}, "3 keys"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDiffTest);

}  // namespace
}  // namespace camphorhoist
