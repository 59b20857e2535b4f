#include "camphorhoist/record.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace camphorhoist {
namespace {

struct ParseCase {
  const char* text;
  /// All expected findings, one per line.
  const char* findings;
};

const ParseCase kParseCases[] = {
    {"[{]", "f:1:3: malformed JSON"},
    {"[\n{\"a\":1,}]", "f:2:8: malformed JSON"},
    {"{\"records\":1}", "f.records: must be an array"},
    {"{\"records\":[],\"x\":1}", "f.x: is not a known field"},
    {"7", "f: must be an object"},
    {"[7]", "f[0]: must be an object"},
    {R"([{"schema":1,"schema":1,"kind":"service","name":"a"}])",
     "f: field \"schema\" stands more than once in an object"},
    {R"([{"schema":1,"kind":"queue","name":"a"}])",
     "f[0].kind: must be \"service\", \"endpoint\" or \"route\""},
    {R"([{"kind":"service"}])", "f[0].name: is missing\nf[0].schema: is missing"},
    {R"([{"schema":2,"kind":"service","name":"a"}])",
     "f[0].schema: must be an integer from 1 to 1"},
    {R"([{"schema":3,"kind":"route","name":"a"}])", "f[0].schema: must be an integer from 1 to 2"},
    {R"([{"schema":1,"kind":"service","name":"A b"}])",
     "f[0].name: must be 1 to 128 characters of [a-z0-9._-]"},
    {R"([{"schema":1,"kind":"service","name":"a","timeout_ms":"2","hedge":1,"x":0}])",
     "f[0].timeout_ms: must be an integer from 1 to 86400000\n"
     "f[0].hedge: must be true or false\nf[0].x: is not a known field"},
    {R"([{"schema":1,"kind":"service","name":"a","timeout_ms":18446744073709551615}])",
     "f[0].timeout_ms: must be an integer from 1 to 86400000"},
    {R"([{"schema":1,"kind":"endpoint","name":"e","service":"a","address":"h:1","weight":101}])",
     "f[0].address: must be \"ip:port\" with port 1 to 65535\n"
     "f[0].weight: must be an integer from 1 to 100"},
    {R"([{"schema":1,"kind":"route","name":"r","service":"a","match":{"path_prefix":"a"}},7])",
     "f[0].match.path_prefix: must start with \"/\" and have at most 1024 printable characters "
     "without blanks, \"?\" and \"#\"\nf[1]: must be an object"},
    {R"([{"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/"},"service":"a",
          "destinations":[{"service":"a","weight":0}]}])",
     "f[0].destinations[0].weight: must be an integer from 1 to 100\n"
     "f[0].service: is not a known field"},
    {R"([{"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/","methods":["get"]},
          "destinations":[]}])",
     "f[0].match.methods: \"get\" must be an upper-case HTTP method\n"
     "f[0].destinations: must have 1 to 64 entries"},
    {R"([{"schema":1,"kind":"service","name":"a"},{"schema":1,"kind":"service","name":"a"}])",
     "f[1].name: service/a stands already in f[0]"},
};

struct ValidateCase {
  const char* records;
  const char* findings;
};

const char kServices[] =
    R"({"schema":1,"kind":"service","name":"a"},{"schema":1,"kind":"service","name":"b"},
       {"schema":1,"kind":"endpoint","name":"e","service":"b","address":"10.0.0.1:80"})";

const ValidateCase kValidateCases[] = {
    {R"({"schema":1,"kind":"route","name":"r","match":{"path_prefix":"/"},"service":"c"})",
     "route/r.service: service \"c\" does not exist"},
    {R"({"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/"},"destinations":[
         {"service":"c","weight":1},{"service":"a","weight":1,"endpoint":"e"},
         {"service":"a","weight":1,"endpoint":"x"},{"service":"c","weight":2}]})",
     "route/r.destinations[0].service: service \"c\" does not exist\n"
     "route/r.destinations[1].endpoint: endpoint \"e\" belongs to service \"b\", not \"a\"\n"
     "route/r.destinations[2].endpoint: endpoint \"x\" does not exist\n"
     "route/r.destinations[3].service: service \"c\" does not exist\n"
     "route/r.destinations[3].service: repeats destinations[0]"},
    {R"({"schema":1,"kind":"endpoint","name":"f","service":"b","address":"10.0.0.1:80"},
        {"schema":1,"kind":"endpoint","name":"g","service":"c","address":"10.0.0.1:80"})",
     "endpoint/f.address: is the address of endpoint/e of the same service\n"
     "endpoint/g.service: service \"c\" does not exist"},
    {R"({"schema":1,"kind":"route","name":"r","match":{"path_prefix":"/"},"service":"a"},
        {"schema":1,"kind":"route","name":"s","match":{"path_prefix":"/"},"service":"b"},
        {"schema":1,"kind":"route","name":"t","match":{"path_prefix":"/","methods":["GET"]},
         "service":"b"},
        {"schema":1,"kind":"route","name":"u","match":{"path_prefix":"/","host":"h"},
         "service":"b"},
        {"schema":1,"kind":"route","name":"v","match":{"path_prefix":"/"},"priority":1,
         "service":"b"},
        {"schema":1,"kind":"route","name":"w","match":{"path_prefix":"/","methods":["PUT","GET"]},
         "service":"b"})",
     "route/s.match: has the same match and priority as route/r\n"
     "route/w.match: has the same match and priority as route/t"},
};

Record Parse(const std::string& text) {
  Findings findings;
  const std::optional<Record> record = Record::Parse(text, "r", &findings);
  CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
  return *record;
}

class RecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordTest);
  CPPUNIT_TEST(CollectsParseFindings);
  CPPUNIT_TEST(EnforcesLimits);
  CPPUNIT_TEST(HandlesDeepNesting);
  CPPUNIT_TEST(CollectsValidationFindings);
  CPPUNIT_TEST(ConvertsWithoutLoss);
  CPPUNIT_TEST(RefusesLossyConversion);
  CPPUNIT_TEST(NamesFirstDifference);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting only the first error of an input.
  void CollectsParseFindings() {
    for (const ParseCase& it : kParseCases) {
      Findings findings;
      ParseRecords(it.text, "f", &findings);
      CPPUNIT_ASSERT_EQUAL(std::string(it.findings), findings.ToString());
    }
  }

  // Guards against off-by-one errors in limits, which would accept a record that does not fit into
  // a page.
  void EnforcesLimits() {
    const std::string service_prefix = R"([{"schema":1,"kind":"service","name":")";
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountFindings(service_prefix + std::string(128, 'a') + "\"}]"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountFindings(service_prefix + std::string(129, 'a') + "\"}]"));
    const std::string route_prefix =
        R"([{"schema":1,"kind":"route","name":"r","service":"a","match":{"path_prefix":"/)";
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountFindings(route_prefix + std::string(1023, 'a') + "\"}}]"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountFindings(route_prefix + std::string(1024, 'a') + "\"}}]"));
    std::string methods = "\"A\"";
    for (int i = 0; i < 10000; ++i) methods += ",\"" + Method(i) + "\"";
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         CountFindings(R"([{"schema":1,"kind":"route","name":"r","service":"a",)"
                                       R"("match":{"path_prefix":"/","methods":[)" +
                                       methods + "]}}]"));
  }

  // Guards against a stack overflow when deeply nested JSON is parsed or its result is destroyed.
  void HandlesDeepNesting() {
    constexpr size_t kDepth = 200000;
    const std::string open(kDepth, '[');
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountFindings(open));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountFindings(open + std::string(kDepth, ']')));
  }

  // Guards against a route that refers to a service or endpoint that does not exist (P2).
  void CollectsValidationFindings() {
    for (const ValidateCase& it : kValidateCases) {
      Findings findings;
      const std::string text = "[" + std::string(kServices) + "," + it.records + "]";
      const std::vector<Record> records = ParseRecords(text, "f", &findings);
      CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
      Validate(records, &findings);
      CPPUNIT_ASSERT_EQUAL(std::string(it.findings), findings.ToString());
    }
  }

  // Guards against a field that is lost by the conversion to schema 2 and back.
  void ConvertsWithoutLoss() {
    const Record first = Parse(
        R"({"schema":1,"kind":"route","name":"r","match":{"path_prefix":"/a","methods":["GET"],
            "host":"h"},"service":"a","timeout_ms":7,"idempotent":["PUT"],"priority":-3})");
    const Record second = first.Upgraded();
    CPPUNIT_ASSERT_EQUAL(2, second.schema());
    CPPUNIT_ASSERT(first.route().destinations == second.route().destinations);
    CPPUNIT_ASSERT_EQUAL(int64_t{-3}, second.route().priority);
    CPPUNIT_ASSERT_EQUAL(first.body(), second.Downgraded()->body());
  }

  // Guards against a conversion to schema 1 that silently drops weights, endpoints or destinations.
  void RefusesLossyConversion() {
    for (const char* it :
         {R"({"service":"a","weight":2})", R"({"service":"a","weight":1,"endpoint":"e"})",
          R"({"service":"a","weight":1},{"service":"b","weight":1})"}) {
      const Record record =
          Parse(R"({"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/"},)" +
                std::string("\"destinations\":[") + it + "]}");
      CPPUNIT_ASSERT_MESSAGE(it, !record.Downgraded());
    }
  }

  // Guards against a conflict report that names the wrong field.
  void NamesFirstDifference() {
    const std::string start = R"({"schema":1,"kind":"route","name":"r","service":"a",)";
    const Record a = Parse(start + R"("match":{"path_prefix":"/a","host":"h"},"priority":1})");
    const Record b = Parse(start + R"("match":{"path_prefix":"/b","host":"h"},"priority":2})");
    const Record c = Parse(start + R"("match":{"path_prefix":"/a","host":"h"}})");
    CPPUNIT_ASSERT_EQUAL(std::string("/match/path_prefix"), FirstDifference(a, b));
    CPPUNIT_ASSERT_EQUAL(std::string("/priority"), FirstDifference(a, c));
    CPPUNIT_ASSERT_EQUAL(std::string("/priority"), FirstDifference(c, a));
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstDifference(a, a));
  }

 private:
  static size_t CountFindings(const std::string& text) {
    Findings findings;
    ParseRecords(text, "f", &findings);
    return findings.items().size();
  }

  static std::string Method(int n) {
    std::string text = "M";
    for (; n > 0; n /= 26) text += static_cast<char>('A' + n % 26);
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordTest);

}  // namespace
}  // namespace camphorhoist
