#include "camphorhoist/caller_identity.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = CallerIdentity::Verdict;

constexpr int kRoutePriority = 1;
constexpr int kOrganisationPriority = 3;
constexpr ProxyDuration kLongAfterStart = seconds(100);

MeshRoute Route(const std::string& prefix, bool is_public, ProxyDuration timeout) {
  MeshRoute route;
  route.host = "h";
  route.path_prefix = prefix;
  route.priority = kRoutePriority;
  route.is_public = is_public;
  route.timeout = timeout;
  return route;
}

std::unique_ptr<const MeshConfig> Config(std::vector<MeshOrganisation> organisations) {
  std::vector<MeshRoute> routes = {Route("/", false, seconds(1)), Route("/p/", true, seconds(3))};
  return std::make_unique<const MeshConfig>(1, std::move(routes), std::vector<MeshService>(),
                                            CallerLimits(), std::move(organisations));
}

std::unique_ptr<const MeshConfig> ConfigWithOrganisations() {
  return Config(
      {{"org-a", {"key-a"}, kOrganisationPriority, 0, 0}, {"org-b", {"key-b"}, {}, 0, 0}});
}

CallerIdentity Decide(const MeshConfig& config, const char* path, const char* key,
                      const char* request_id = "id", bool nested = false,
                      ProxyDuration since_start = kLongAfterStart) {
  return CallerIdentity::Decide(config, *config.Match("h", path), {key, request_id, nested},
                                since_start);
}

std::string VerdictOf(const CallerIdentity& identity) { return ToString(identity.verdict()); }

class CallerIdentityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerIdentityTest);
  CPPUNIT_TEST(KeyDeterminesOrganisationAndPriority);
  CPPUNIT_TEST(MissingAndUnknownKeysAreRejected);
  CPPUNIT_TEST(PublicRoutesNeedNoKey);
  CPPUNIT_TEST(NestedRequestsNeedNoKey);
  CPPUNIT_TEST(ParentsAreUnknownAfterStart);
  CPPUNIT_TEST(NoKeyIsNeededWithoutOrganisations);
  CPPUNIT_TEST(DecisionOutlivesTheConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are served for another organisation or with its priority.
  void KeyDeterminesOrganisationAndPriority() {
    const auto config = ConfigWithOrganisations();
    const CallerIdentity a = Decide(*config, "/x", "key-a");
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), VerdictOf(a));
    CPPUNIT_ASSERT_EQUAL(std::string("org-a"), a.organisation());
    CPPUNIT_ASSERT_EQUAL(kOrganisationPriority, a.priority());
    const CallerIdentity b = Decide(*config, "/x", "key-b");
    CPPUNIT_ASSERT_EQUAL(std::string("org-b"), b.organisation());
    CPPUNIT_ASSERT_EQUAL(kRoutePriority, b.priority());
  }

  // Guards against requests that are served without a valid key, also with an id that looks like
  // that of a nested request.
  void MissingAndUnknownKeysAreRejected() {
    const auto config = ConfigWithOrganisations();
    CPPUNIT_ASSERT_EQUAL(std::string("missing_key"), VerdictOf(Decide(*config, "/x", "")));
    CPPUNIT_ASSERT_EQUAL(std::string("missing_key"), VerdictOf(Decide(*config, "/x", "", "a.1")));
    for (const char* key : {"key-", "key-aa", "KEY-A", "org-a", " "}) {
      const CallerIdentity identity = Decide(*config, "/x", key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, std::string("unknown_key"), VerdictOf(identity));
      CPPUNIT_ASSERT_EQUAL(std::string(), identity.organisation());
    }
  }

  // Guards against public routes that reject callers, or that do not identify an organisation.
  void PublicRoutesNeedNoKey() {
    const auto config = ConfigWithOrganisations();
    for (const char* key : {"", "revoked"}) {
      const CallerIdentity identity = Decide(*config, "/p/x", key, "a.1", false, milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(std::string("accepted"), VerdictOf(identity));
      CPPUNIT_ASSERT_EQUAL(std::string(), identity.organisation());
      CPPUNIT_ASSERT_EQUAL(kRoutePriority, identity.priority());
    }
    const CallerIdentity identity = Decide(*config, "/p/x", "key-a");
    CPPUNIT_ASSERT_EQUAL(std::string("org-a"), identity.organisation());
    CPPUNIT_ASSERT_EQUAL(kOrganisationPriority, identity.priority());
  }

  // Guards against calls that fail because their server calls another service, and against a
  // revoked key that is accepted with a request id derived from that of a running call.
  void NestedRequestsNeedNoKey() {
    const auto config = ConfigWithOrganisations();
    const CallerIdentity identity = Decide(*config, "/x", "", "a.1", true);
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), VerdictOf(identity));
    CPPUNIT_ASSERT_EQUAL(std::string(), identity.organisation());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                         VerdictOf(Decide(*config, "/x", "revoked", "a.1", true)));
  }

  // Guards against a 401, which callers do not repeat, for a nested request of a call that started
  // before the process, and against a 503 without end for requests without a key.
  void ParentsAreUnknownAfterStart() {
    const auto config = ConfigWithOrganisations();
    const auto verdict = [&config](const char* key, const char* id, ProxyDuration since_start) {
      return VerdictOf(Decide(*config, "/x", key, id, false, since_start));
    };
    for (const char* id : {"a.1", "a:1", "a/1", "a_1", "a-1", "a-b-1"}) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown_parent"), verdict("", id, milliseconds(2999)));
      CPPUNIT_ASSERT_EQUAL(std::string("missing_key"), verdict("", id, seconds(3)));
    }
    for (const char* id : {"a1", ".1", "-"}) {
      CPPUNIT_ASSERT_EQUAL(std::string("missing_key"), verdict("", id, milliseconds(0)));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"), verdict("revoked", "a.1", milliseconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), verdict("key-a", "a.1", milliseconds(0)));
  }

  // Guards against a deployment without organisations that rejects requests.
  void NoKeyIsNeededWithoutOrganisations() {
    const auto config = Config({});
    for (const char* key : {"", "any"}) {
      const CallerIdentity identity = Decide(*config, "/x", key, "a.1", false, milliseconds(0));
      CPPUNIT_ASSERT_EQUAL(std::string("accepted"), VerdictOf(identity));
      CPPUNIT_ASSERT_EQUAL(std::string(), identity.organisation());
      CPPUNIT_ASSERT_EQUAL(kRoutePriority, identity.priority());
    }
  }

  // Guards against access to a configuration that was replaced while the call ran.
  void DecisionOutlivesTheConfiguration() {
    auto config = ConfigWithOrganisations();
    const CallerIdentity identity = Decide(*config, "/x", "key-a");
    config.reset();
    CPPUNIT_ASSERT_EQUAL(std::string("org-a"), identity.organisation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerIdentityTest);

}  // namespace
}  // namespace camphorhoist
