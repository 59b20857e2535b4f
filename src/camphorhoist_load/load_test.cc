#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "camphorhoist_load/arrivals.h"
#include "camphorhoist_load/body_check.h"
#include "camphorhoist_load/ledger_check.h"
#include "camphorhoist_load/mix.h"
#include "camphorhoist_load/report.h"

namespace camphorhoist {
namespace {

RequestResult MakeResult(const std::string& method, const std::string& outcome, int status) {
  RequestResult result;
  result.key = "k";
  result.method = method;
  result.outcome = outcome;
  result.status = status;
  return result;
}

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(FindsViolations);
  CPPUNIT_TEST(CountsARunFoundInTwoSourcesOnce);
  CPPUNIT_TEST(ArrivalsFollowRatesAndSeed);
  CPPUNIT_TEST(ChecksResponseBodies);
  CPPUNIT_TEST(ReportsExactQuantiles);
  CPPUNIT_TEST(RejectsInvalidMix);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against missed and false violations of P4, P5 and P6: answered requests are in a ledger,
  // requests reported as not run never ran, and only GET and HEAD run more than once.
  void FindsViolations() {
    const struct {
      const char* method;
      const char* outcome;
      int status;
      size_t runs;
      size_t violations;
    } cases[] = {
        {"POST", "answered", 200, 1, 0}, {"POST", "answered", 200, 2, 1},
        {"POST", "unknown", 502, 0, 0},  {"POST", "unknown", 502, 1, 0},
        {"POST", "unknown", 502, 2, 1},  {"POST", "not-run", 503, 0, 0},
        {"POST", "not-run", 503, 1, 1},  {"POST", "not-run", 503, 2, 2},
        {"GET", "answered", 200, 2, 0},  {"GET", "not-run", 503, 1, 1},
        {"GET", "answered", 200, 0, 1},  {"GET", "-", 200, 0, 1},
        {"POST", "never-sent", 0, 1, 1}, {"POST", "dropped", 0, 1, 1},
        {"POST", "shed", 0, 1, 1},       {"POST", "timed-out", 0, 1, 0},
        {"POST", "timed-out", 0, 0, 0},  {"POST", "no-whole-answer", 0, 1, 0},
        {"GET", "not-run", 404, 0, 0},   {"DELETE", "answered", 200, 2, 1},
    };
    for (const auto& it : cases) {
      RunCounts runs;
      if (it.runs > 0) runs["k"] = it.runs;
      const Findings found = FindViolations({MakeResult(it.method, it.outcome, it.status)}, runs);
      const std::string name = std::string(it.method) + " " + it.outcome;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, it.violations, found.items().size());
    }
  }

  // Guards against a false report of a repeated execution when the same ledger is read twice.
  void CountsARunFoundInTwoSourcesOnce() {
    RunCounter counter;
    const nlohmann::json run = {{"instance", "a"}, {"sequence", 1u}, {"key", "k"}};
    nlohmann::json other = run;
    other["instance"] = "b";
    CPPUNIT_ASSERT(counter.Add(run));
    CPPUNIT_ASSERT(counter.Add(run));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, counter.counts().at("k"));
    CPPUNIT_ASSERT(counter.Add(other));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, counter.counts().at("k"));
    CPPUNIT_ASSERT(!counter.Add({{"instance", "a"}}));
  }

  // Guards against arrivals that are not reproducible or do not have the requested rate.
  void ArrivalsFollowRatesAndSeed() {
    Findings findings;
    const std::vector<RateStep> steps = ParseSteps("1000:10,100:10", "--steps", &findings);
    CPPUNIT_ASSERT(findings.empty());
    ArrivalSchedule schedule(steps, 7);
    ArrivalSchedule same(steps, 7);
    std::vector<size_t> counts(2);
    std::chrono::microseconds last{0};
    while (const auto arrival = schedule.Next()) {
      CPPUNIT_ASSERT(arrival->at == same.Next()->at);
      CPPUNIT_ASSERT(arrival->at >= last);
      CPPUNIT_ASSERT_EQUAL(arrival->step, static_cast<size_t>(arrival->at.count() >= 10000000));
      last = arrival->at;
      ++counts[arrival->step];
    }
    // Five standard deviations of the Poisson counts.
    CPPUNIT_ASSERT(counts[0] > 9500 && counts[0] < 10500);
    CPPUNIT_ASSERT(counts[1] > 841 && counts[1] < 1159);
    // Every arrival lies within its step, regardless of the last gap of the preceding step.
    ArrivalSchedule short_steps(std::vector<RateStep>(100, {20, 0.1}), 7);
    while (const auto arrival = short_steps.Next()) {
      CPPUNIT_ASSERT_EQUAL(arrival->step, static_cast<size_t>(arrival->at.count() / 100000));
    }
    for (const char* it : {"1000", "x:1", "0:1", "10:0", "-1:1", "1:1x", "1:"}) {
      Findings faults;
      ParseSteps(it, "--steps", &faults);
      CPPUNIT_ASSERT_MESSAGE(it, !faults.empty());
    }
  }

  // Guards against accepting truncated responses or the response to another request (P4).
  void ChecksResponseBodies() {
    RequestShape streamed;
    streamed.response_bytes = 5;
    const RequestShape json;
    const struct {
      const RequestShape& shape;
      const char* echoed;
      std::vector<std::string> parts;
      bool right;
    } cases[] = {
        {streamed, "k1", {"k1\nk1"}, true},      {streamed, "k1", {"k", "1", "\nk1"}, true},
        {streamed, "k1", {"k1\nk"}, false},      {streamed, "k1", {"k1\nk1\n"}, false},
        {streamed, "k1", {"k1\n", "k2"}, false}, {streamed, "k2", {"k1\nk1"}, false},
        {json, "k1", {R"({"key":"k1"})"}, true}, {json, "k1", {R"({"key":"k2"})"}, false},
        {json, "k1", {R"({"key":"k1")"}, false},
    };
    for (const auto& it : cases) {
      BodyCheck check(it.shape, "k1");
      check.OnHead(200, {{"x-request-key", it.echoed}});
      for (const std::string& part : it.parts) check.OnData(part);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.parts[0], it.right, check.Finish(true).empty());
    }
  }

  // Guards against a report that omits the slowest requests or counts rejections as answered.
  void ReportsExactQuantiles() {
    LoadSettings settings;
    settings.mix.resize(1);
    settings.steps.resize(1);
    std::vector<RequestResult> results;
    for (int i = 1000; i >= 1; --i) {
      results.push_back(MakeResult("GET", "answered", 200));
      results.back().latency = std::chrono::milliseconds(i);
    }
    results.push_back(MakeResult("GET", "not-run", 503));
    results.back().reason = "queue-full";
    results.back().latency = std::chrono::milliseconds(5000);
    const LoadReport report = Summarize(settings, results, std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1001}, report.total.requests);
    CPPUNIT_ASSERT_EQUAL(size_t{1000}, report.total.answered);
    CPPUNIT_ASSERT_EQUAL(500.0, report.total.p50_ms);
    CPPUNIT_ASSERT_EQUAL(900.0, report.total.p90_ms);
    CPPUNIT_ASSERT_EQUAL(990.0, report.total.p99_ms);
    CPPUNIT_ASSERT_EQUAL(999.0, report.total.p999_ms);
    CPPUNIT_ASSERT_EQUAL(1000.0, report.total.max_ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.total.outcomes.at("not-run 503"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.total.reasons.at("not-run queue-full"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.total.reasons.size());
  }

  // Guards against a run with another mix than the one specified.
  void RejectsInvalidMix() {
    Findings none;
    const auto mix =
        ReadMix(R"([{"path":"/a?x=1","ms":2,"bytes":3},{"path":"/b","weight":2}])", &none);
    CPPUNIT_ASSERT(none.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("/a?x=1&ms=2&bytes=3"), mix[0].Target());
    CPPUNIT_ASSERT_EQUAL(std::string("/b"), mix[1].Target());
    Findings findings;
    ReadMix(R"([{"path":"a","weight":0,"ms":-1,"other":1},7])", &findings);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, findings.items().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace camphorhoist
