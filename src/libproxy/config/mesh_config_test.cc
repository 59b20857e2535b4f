#include "camphorhoist/mesh_config.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace camphorhoist {
namespace {

MeshRoute Route(const std::string& host, const std::string& prefix) {
  MeshRoute route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.destinations = {{"service", 1}};
  return route;
}

class MeshConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeshConfigTest);
  CPPUNIT_TEST(MatchesTheLongestPrefix);
  CPPUNIT_TEST(FindsOrganisationsByAnyOfTheirKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a match of a shorter prefix, of another host's route, or of a prefix that ends
  // within a path segment.
  void MatchesTheLongestPrefix() {
    const MeshConfig config(3,
                            {Route("a.example", "/"), Route("a.example", "/x/"),
                             Route("a.example", "/x/y/"), Route("b.example", "/only/")},
                            {}, {});
    const std::vector<std::pair<std::pair<std::string, std::string>, std::string>> cases = {
        {{"a.example", "/x/y/z"}, "a.example/x/y/"},
        {{"a.example", "/x/y"}, "a.example/x/"},
        {{"a.example", "/xy/z"}, "a.example/"},
        {{"A.Example:8080", "/x/?q=/y/"}, "a.example/x/"},
        {{"a.example", "/x/yy/"}, "a.example/x/"},
        {{"b.example", "/only/"}, "b.example/only/"},
        {{"b.example", "/other/"}, ""},
        {{"c.example", "/x/"}, ""},
        {{"a.example", "no-slash"}, ""},
        {{"", "/x/"}, ""},
    };
    for (const auto& [input, expected] : cases) {
      const MeshRoute* route = config.Match(input.first, input.second);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(input.first + input.second, expected,
                                   route == nullptr ? std::string() : route->name);
    }
  }

  // Guards against a key that identifies another organisation, or that no lookup finds among many.
  void FindsOrganisationsByAnyOfTheirKeys() {
    constexpr int kOrganisations = 100;
    constexpr int kKeysOfEach = 50;
    const auto key = [](int i, int k) { return "key-" + std::to_string(i * kKeysOfEach + k); };
    std::vector<MeshOrganisation> organisations(kOrganisations);
    for (int i = 0; i < kOrganisations; ++i) {
      organisations[i].name = "org-" + std::to_string(i);
      for (int k = 0; k < kKeysOfEach; ++k) organisations[i].keys.push_back(key(i, k));
    }
    const MeshConfig config(3, {}, {}, {}, organisations);
    CPPUNIT_ASSERT(config.organisations() == organisations);
    for (int i = 0; i < kOrganisations; ++i) {
      for (int k = 0; k < kKeysOfEach; ++k) {
        const MeshOrganisation* found = config.FindOrganisationByKey(key(i, k));
        CPPUNIT_ASSERT_EQUAL(organisations[i].name, found == nullptr ? "" : found->name);
      }
    }
    for (const std::string& unknown : {std::string(), key(kOrganisations, 0), std::string("key")}) {
      CPPUNIT_ASSERT(config.FindOrganisationByKey(unknown) == nullptr);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshConfigTest);

}  // namespace
}  // namespace camphorhoist
