#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "camphorhoist/error.h"
#include "libbase/http_client.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};

class StandinPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinPlatformTest);
  CPPUNIT_TEST(InvalidRequestsAreRefused);
  CPPUNIT_TEST(InvalidFaultRulesAreRefused);
  CPPUNIT_TEST(FaultRulesMatchByMethodPrefixAndCount);
  CPPUNIT_TEST(DownModeClosesWaitingWatches);
  CPPUNIT_TEST(MeterReportsCallsAndObjects);
  CPPUNIT_TEST(StopCompletesPendingRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidRequestsAreRefused() {
    struct Case {
      const char* method;
      const char* target;
      const char* if_match;
      int status;
    };
    const Case cases[] = {
        {"PUT", "/objects/a", "", 428},       {"PUT", "/objects/a", "x", 428},
        {"PUT", "/objects/a", "0", 413},      {"DELETE", "/objects/a", "", 428},
        {"DELETE", "/objects/a", "1", 404},   {"GET", "/objects/a", "", 404},
        {"GET", "/objects/", "", 400},        {"PATCH", "/objects/a", "", 405},
        {"POST", "/objects", "", 405},        {"PUT", "/watch/a", "0", 405},
        {"GET", "/watch/a?after=0", "", 400}, {"GET", "/watch/a?after=x&timeout_ms=1", "", 400},
        {"GET", "/nowhere", "", 404},         {"GET", "/faults", "", 405},
        {"POST", "/meter", "", 405},          {"POST", "/faults", "", 400},
    };
    TestPlatform platform;
    HttpClient client(platform.base.get());
    for (const Case& it : cases) {
      HttpRequest request;
      request.method = it.method;
      request.target = it.target;
      if (*it.if_match != '\0') request.headers.emplace_back("If-Match", it.if_match);
      if (request.method == "PUT") request.body.assign(kMaxObjectBytes + 1, 'x');
      const std::string name = request.method + " " + request.target + " " + it.if_match;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, it.status, Send(&platform, &client, request).status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, platform.server.objects().size());
  }

  void InvalidFaultRulesAreRefused() {
    const char* const malformed[] = {"",
                                     "{",
                                     "7",
                                     "{}",
                                     R"({"mode":"odd"})",
                                     R"({"mode":"down","count":-1})",
                                     R"({"mode":"down","delay_ms":"x"})",
                                     R"({"mode":"down","methods":"PUT"})",
                                     R"({"mode":"down","key_prefix":1})",
                                     R"([{"mode":"slow"},{"mode":"slow","typo":1}])"};
    FaultRules rules;
    for (const char* it : malformed) {
      Findings findings;
      rules.Set(it, &findings);
      CPPUNIT_ASSERT_MESSAGE(it, !findings.empty());
      CPPUNIT_ASSERT_MESSAGE(it, rules.Match("PUT", "a").mode == FaultMode::kNone);
    }
  }

  void FaultRulesMatchByMethodPrefixAndCount() {
    FaultRules rules;
    Findings findings;
    rules.Set(R"([{"mode":"lost_answer","count":2,"key_prefix":"config/","methods":["PUT"]},
                  {"mode":"slow","delay_ms":30,"methods":["GET"]}])",
              &findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    CPPUNIT_ASSERT(rules.Match("PUT", "status/x").mode == FaultMode::kNone);
    CPPUNIT_ASSERT(rules.Match("DELETE", "config/x").mode == FaultMode::kNone);
    CPPUNIT_ASSERT(rules.Match("PUT", "config/x").mode == FaultMode::kLostAnswer);
    CPPUNIT_ASSERT(rules.Match("PUT", "config/y").mode == FaultMode::kLostAnswer);
    CPPUNIT_ASSERT(rules.Match("PUT", "config/x").mode == FaultMode::kNone);
    CPPUNIT_ASSERT_EQUAL(int64_t{30}, int64_t{rules.Match("GET", "config/x").delay.count()});
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, rules.injected());
  }

  void DownModeClosesWaitingWatches() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    std::vector<WatchResult> results;
    store->Watch("a", 0, kMaxTestWait, [&](WatchResult it) { results.push_back(std::move(it)); });
    RunUntil(platform.base.get(), [&] { return platform.server.waiting_watches() == 1; });
    HttpClient client(platform.base.get());
    CPPUNIT_ASSERT_EQUAL(200, SetFaults(&platform, &client, R"({"mode":"down"})"));
    RunUntil(platform.base.get(), [&results] { return results.size() == 1; });
    CPPUNIT_ASSERT(results[0].error == Errc::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(200, SetFaults(&platform, &client, R"({"mode":"none"})"));
    CPPUNIT_ASSERT(!platform.Put(store.get(), "a", "x", 0).error);
  }

  void MeterReportsCallsAndObjects() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    platform.Put(store.get(), "a", "12345", 0);
    platform.Put(store.get(), "a", "1", 0);  // conflicts, still counted as a call
    platform.Get(store.get(), "a");
    platform.List(store.get(), "");
    platform.Watch(store.get(), "a", 0, kTimeout);
    platform.Delete(store.get(), "a", 99);
    HttpClient client(platform.base.get());
    HttpRequest request;
    request.target = "/meter";
    const auto meter = nlohmann::json::parse(Send(&platform, &client, request).body);
    const nlohmann::json calls = {{"get", 1}, {"put", 2}, {"list", 1}, {"watch", 1}, {"delete", 1}};
    CPPUNIT_ASSERT_EQUAL(calls.dump(), meter["calls"].dump());
    CPPUNIT_ASSERT_EQUAL(1, meter["objects"].get<int>());
    CPPUNIT_ASSERT_EQUAL(5, meter["bytes"].get<int>());
    CPPUNIT_ASSERT_EQUAL(6, meter["bytes_in"].get<int>());
  }

  // Guards against a stop that drops requests already received.
  void StopCompletesPendingRequests() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    platform.server.faults().Set({FaultRule{FaultMode::kSlow, 1, milliseconds(200), "", {"PUT"}}});
    std::vector<WatchResult> watches;
    std::vector<PutResult> puts;
    store->Watch("a", 0, kMaxTestWait, [&](WatchResult it) { watches.push_back(std::move(it)); });
    store->Put("b", "x", 0, [&](const PutResult& it) { puts.push_back(it); });
    RunUntil(platform.base.get(), [&] {
      return platform.server.waiting_watches() == 1 && platform.server.meter().put == 1;
    });
    bool stopped = false;
    bool applied = false;
    platform.server.Stop([&] {
      stopped = true;
      applied = platform.server.objects().Get("b") != nullptr;
    });
    RunUntil(platform.base.get(), [&] { return stopped && watches.size() + puts.size() == 2; });
    CPPUNIT_ASSERT_MESSAGE("stopped before the delayed write was applied", applied);
    CPPUNIT_ASSERT(!watches.at(0).error);
    CPPUNIT_ASSERT(!watches[0].changed);
    CPPUNIT_ASSERT(!puts.at(0).error);
  }

 private:
  static HttpResponse Send(TestPlatform* platform, HttpClient* client, const HttpRequest& request) {
    return Await<HttpResponse>(platform->base.get(), [&](auto done) {
      client->Send(platform->server.address(), request, kTimeout, std::move(done));
    });
  }

  static int SetFaults(TestPlatform* platform, HttpClient* client, const std::string& json) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/faults";
    request.body = json;
    return Send(platform, client, request).status;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinPlatformTest);

}  // namespace
}  // namespace camphorhoist
