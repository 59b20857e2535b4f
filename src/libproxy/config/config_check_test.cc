#include "camphorhoist/config_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

MeshRoute Route(const std::string& name, const std::string& host, const std::string& prefix) {
  MeshRoute route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.timeout = milliseconds(800);
  route.objective = milliseconds(500);
  route.destinations = {{"s1", 1}};
  return route;
}

MeshOrganisation Organisation(const std::string& name, double rate, double burst) {
  return {name, {"secret-" + name}, {}, rate, burst};
}

std::vector<ConfigFinding> Check(std::vector<MeshRoute> routes,
                                 std::vector<MeshOrganisation> organisations = {},
                                 std::vector<MeshService> services = {{"s1", "/", 10}}) {
  const MeshConfig config(1, std::move(routes), std::move(services), {}, std::move(organisations));
  return ConfigCheck::Run(config);
}

ConfigFinding Warning(ConfigTable table, size_t row, ConfigField field, const std::string& message,
                      std::optional<size_t> destination = {}) {
  return {ConfigSeverity::kWarning, {table, row, field, destination}, message};
}

// Compares item by item, so that a failure shows the message that differs.
void AssertFindings(const std::vector<ConfigFinding>& expected,
                    const std::vector<ConfigFinding>& found) {
  for (size_t i = 0; i < expected.size() && i < found.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(expected[i].message, found[i].message);
    CPPUNIT_ASSERT_MESSAGE(found[i].message, expected[i] == found[i]);
  }
  CPPUNIT_ASSERT_EQUAL(expected.size(), found.size());
}

class ConfigCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigCheckTest);
  CPPUNIT_TEST(ConsistentConfigHasNoFindings);
  CPPUNIT_TEST(ReportsRoutesThatNeverMatch);
  CPPUNIT_TEST(EveryReportedRouteIsUnreachableAndNoOther);
  CPPUNIT_TEST(ReportsTimeoutsBelowTheObjective);
  CPPUNIT_TEST(ReportsDestinationsWithoutService);
  CPPUNIT_TEST(ReportsDestinationsWithoutWeight);
  CPPUNIT_TEST(ReportsServicesWithoutRoute);
  CPPUNIT_TEST(ReportsContradictingLimits);
  CPPUNIT_TEST(FindingsContainNoKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against false alarms for values at the limit of what is allowed: an objective equal to
  // the timeout, a burst of one request, an omitted burst, and routes with a common prefix.
  void ConsistentConfigHasNoFindings() {
    MeshRoute tight = Route("r3", "b.example", "/");
    tight.objective = tight.timeout;
    MeshRoute split = Route("r4", "c.example", "/");
    split.destinations = {{"s1", 90}, {"s2", 0.5}};
    MeshRoute single = Route("r5", "d.example", "/");
    single.destinations = {{"s1", 0}};
    AssertFindings(
        {}, Check({Route("r1", "a.example", "/"), Route("r2", "a.example", "/x/"), tight, split,
                   single},
                  {Organisation("a", 12.5, 1), Organisation("b", 0.2, 0), Organisation("c", 0, 0)},
                  {{"s1", "/", 10}, {"s2", "/", 10}}));
    AssertFindings({}, Check({}, {}, {}));
  }

  // Guards against a route that is silently replaced, because hosts are compared without case and
  // port.
  void ReportsRoutesThatNeverMatch() {
    const auto warning = [](size_t row, const std::string& message) {
      return Warning(ConfigTable::kRoutes, row, ConfigField::kPathPrefix, message);
    };
    AssertFindings(
        {warning(0, "route \"r1\" never matches a request: route \"r3\" matches all of them"),
         warning(3, "route \"r4\" never matches a request"),
         warning(4, "route \"r5\" never matches a request: route \"r2\" matches all of them")},
        Check({Route("r1", "A.example", "/x/"), Route("r2", "a.example", "/"),
               Route("r3", "a.example:80", "/x/"), Route("r4", "b.example", "/y?z/"),
               Route("r5", "a.example", "/y?z/")}));
  }

  // Guards against a check that differs from how requests are matched: over all combinations of
  // some hosts and prefixes, a route is reported exactly if no request path up to three segments
  // reaches it.
  void EveryReportedRouteIsUnreachableAndNoOther() {
    const std::vector<std::string> hosts = {"a.example", "A.example", "a.example:80", "b.example"};
    const std::vector<std::string> prefixes = {"/", "/x/", "/x/y/", "/x/?y/"};
    const std::vector<std::string> targets = {"/",      "/x",     "/x/",     "/x/y",  "/x/y/",
                                              "/x/y/z", "/x/?y/", "/x/?y/z", "/z/x/y"};
    std::vector<MeshRoute> all;
    for (const std::string& host : hosts) {
      for (const std::string& prefix : prefixes) {
        all.push_back(Route(host + prefix, host, prefix));
      }
    }
    for (uint32_t chosen = 0; chosen < (1U << all.size()); ++chosen) {
      std::vector<MeshRoute> routes;
      for (size_t i = 0; i < all.size(); ++i) {
        if ((chosen >> i & 1U) != 0) routes.push_back(all[i]);
      }
      const MeshConfig config(1, routes, {{"s1", "/", 10}}, {});
      std::vector<bool> reached(routes.size());
      for (const std::string& host : hosts) {
        for (const std::string& target : targets) {
          const MeshRoute* match = config.Match(host, target);
          if (match != nullptr) reached[match - config.routes().data()] = true;
        }
      }
      std::vector<bool> reported(routes.size());
      for (const ConfigFinding& it : ConfigCheck::Run(config)) {
        if (it.location.table == ConfigTable::kRoutes) reported[it.location.row] = true;
      }
      for (size_t i = 0; i < routes.size(); ++i) {
        CPPUNIT_ASSERT_MESSAGE(routes[i].name + " in " + std::to_string(chosen),
                               reached[i] != reported[i]);
      }
    }
  }

  // Guards against a route whose requests are given up before they can miss their objective.
  void ReportsTimeoutsBelowTheObjective() {
    MeshRoute route = Route("r2", "a.example", "/x/");
    route.timeout = milliseconds(250);
    AssertFindings({Warning(ConfigTable::kRoutes, 1, ConfigField::kTimeout,
                            "route \"r2\" has a timeout of 0.25 s, below its latency objective of "
                            "0.5 s")},
                   Check({Route("r1", "a.example", "/"), route}));
  }

  // Guards against a configuration that was not decoded and sends requests to no server.
  void ReportsDestinationsWithoutService() {
    MeshRoute route = Route("r1", "a.example", "/");
    route.destinations = {{"s1", 1}, {"s9", 1}};
    AssertFindings({{ConfigSeverity::kError,
                     {ConfigTable::kRoutes, 0, ConfigField::kDestinations, 1},
                     "route \"r1\" has the destination \"s9\", which this configuration does not "
                     "contain"}},
                   Check({route}));
  }

  // Guards against a destination that was left at weight 0 by mistake.
  void ReportsDestinationsWithoutWeight() {
    MeshRoute route = Route("r1", "a.example", "/");
    route.destinations = {{"s2", 0}, {"s1", 3}};
    AssertFindings({Warning(ConfigTable::kRoutes, 0, ConfigField::kWeight,
                            "route \"r1\" has the destination \"s2\" with weight 0, which gets no "
                            "requests",
                            0)},
                   Check({route}, {}, {{"s1", "/", 10}, {"s2", "/", 10}}));
  }

  // Guards against a service that no request can reach, e.g. after its route was renamed.
  void ReportsServicesWithoutRoute() {
    AssertFindings({Warning(ConfigTable::kServices, 1, ConfigField::kName,
                            "service \"s2\" is the destination of no route")},
                   Check({Route("r1", "a.example", "/")}, {}, {{"s1", "/", 10}, {"s2", "/", 10}}));
  }

  // Guards against an organisation that is believed to be limited and is not, or the other way
  // round.
  void ReportsContradictingLimits() {
    const auto warning = [](size_t row, const std::string& message) {
      return Warning(ConfigTable::kOrganisations, row, ConfigField::kBurst, message);
    };
    const std::string no_rate = ", but no rate, so that it has no limit";
    const std::string below_one = ", less than one request; a burst of 1 applies";
    AssertFindings({warning(0, "organisation \"a\" has a burst of 20" + no_rate),
                    warning(2, "organisation \"c\" has a burst of 0.5" + below_one),
                    warning(3, "organisation \"d\" has a burst of 0.25" + no_rate),
                    warning(3, "organisation \"d\" has a burst of 0.25" + below_one)},
                   Check({Route("r1", "a.example", "/")},
                         {Organisation("a", 0, 20), Organisation("b", 3, 20),
                          Organisation("c", 3, 0.5), Organisation("d", 0, 0.25)}));
  }

  // Guards against a key in the output of the operator's command, which may be logged.
  void FindingsContainNoKey() {
    const std::vector<ConfigFinding> findings =
        Check({}, {Organisation("a", 0, 0.5), Organisation("b", 0, 20)});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, findings.size());
    for (const ConfigFinding& it : findings) {
      CPPUNIT_ASSERT_EQUAL(std::string::npos, it.message.find("secret"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);

}  // namespace
}  // namespace camphorhoist
