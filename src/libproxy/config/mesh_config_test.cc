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
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshConfigTest);

}  // namespace
}  // namespace camphorhoist
