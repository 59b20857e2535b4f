#include "camphorhoistd/change_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "camphorhoistd/change_result.h"

namespace camphorhoist {
namespace {

class ChangeRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeRequestTest);
  CPPUNIT_TEST(ReadsConditionalAndUnconditionalChanges);
  CPPUNIT_TEST(ReportsPlaceOfEachError);
  CPPUNIT_TEST(ReportsAllErrorsTogether);
  CPPUNIT_TEST(ReportsConflictOnce);
  CPPUNIT_TEST(CopiesFieldsOfEachOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version condition that is lost or applied to another record (F6).
  void ReadsConditionalAndUnconditionalChanges() {
    Findings findings;
    const auto parsed = ParseChangeRequest(
        R"({"id": "c1", "allow_newer_schema": true,
            "records": [{"schema": 1, "kind": "service", "name": "a"},
                        {"schema": 1, "kind": "service", "name": "b"}],
            "remove": [{"kind": "route", "name": "r"}, {"kind": "route", "name": "s"}],
            "read_at": {"service/a": 4, "route/s": 7}})",
        &findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    CPPUNIT_ASSERT(parsed && parsed->allow_newer_schema);
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), parsed->id);
    struct Expected {
      const char* key;
      bool upsert;
      std::optional<uint64_t> read_version;
    };
    const std::vector<Expected> expected = {{"service/a", true, 4},
                                            {"service/b", true, std::nullopt},
                                            {"route/r", false, std::nullopt},
                                            {"route/s", false, 7}};
    CPPUNIT_ASSERT_EQUAL(expected.size(), parsed->changes.size());
    for (size_t i = 0; i < expected.size(); ++i) {
      const Change& it = parsed->changes[i];
      CPPUNIT_ASSERT_EQUAL(std::string(expected[i].key), it.key().ToString());
      CPPUNIT_ASSERT_EQUAL(expected[i].upsert, it.record().has_value());
      CPPUNIT_ASSERT(expected[i].read_version == it.read_version());
    }
  }

  // Guards against an invalid request that is accepted, and an error reported at the wrong place.
  void ReportsPlaceOfEachError() {
    struct Case {
      const char* body;
      const char* place;
    };
    const std::vector<Case> cases = {
        {"", "request"},
        {"[]", "request"},
        {R"({"id": "c")", "request"},
        {R"({"remove": [{"kind": "route", "name": "r"}]})", "id"},
        {R"({"id": 5, "remove": [{"kind": "route", "name": "r"}]})", "id"},
        {R"({"id": "a b", "remove": [{"kind": "route", "name": "r"}]})", "id"},
        {R"({"id": "c"})", "changes"},
        {R"({"id": "c", "records": {}})", "records"},
        {R"({"id": "c", "records": [7]})", "records[0]"},
        {R"({"id": "c", "records": [{"schema": 1, "kind": "service", "name": "A"}]})",
         "records[0].name"},
        {R"({"id": "c", "remove": "r"})", "remove"},
        {R"({"id": "c", "remove": [{"kind": "route", "name": "r"}, {"kind": "route"}]})",
         "remove[1]"},
        {R"({"id": "c", "remove": [{"kind": "road", "name": "r"}]})", "remove[0]"},
        {R"({"id": "c", "remove": [{"kind": 1, "name": "r"}]})", "remove[0]"},
        {R"({"id": "c", "read_at": [], "remove": [{"kind": "route", "name": "r"}]})", "read_at"},
        {R"({"id": "c", "read_at": {"route/r": -1}, "remove": [{"kind": "route", "name": "r"}]})",
         "read_at.route/r"},
        {R"({"id": "c", "allow_newer_schema": 1, "remove": [{"kind": "route", "name": "r"}]})",
         "allow_newer_schema"},
        {R"({"id": "c", "force": true, "remove": [{"kind": "route", "name": "r"}]})", "force"},
        {R"({"id": "c", "remove": [{"kind": "route", "name": "r"},
                                   {"kind": "route", "name": "r"}]})",
         "changes[1]"},
    };
    for (const Case& it : cases) {
      Findings findings;
      CPPUNIT_ASSERT_MESSAGE(it.body, !ParseChangeRequest(it.body, &findings));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(findings.ToString(), size_t{1}, findings.items().size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, std::string(it.place), findings.items()[0].place());
      CPPUNIT_ASSERT(!findings.items()[0].message().empty());
    }
  }

  // Guards against a parser that stops at the first error, so that an operator has to repeat the
  // request to see the next one.
  void ReportsAllErrorsTogether() {
    Findings findings;
    CPPUNIT_ASSERT(!ParseChangeRequest(
        R"({"id": 1, "allow_newer_schema": "no", "force": 1, "read_at": {"route/r": "x"},
            "records": [{"schema": 1, "kind": "service", "name": "A"}, 3],
            "remove": [{"kind": "road", "name": "r"}, 4]})",
        &findings));
    std::vector<std::string> places;
    for (const Finding& it : findings.items()) places.push_back(it.place());
    const std::vector<std::string> expected = {
        "force",           "id",         "allow_newer_schema", "read_at.route/r",
        "records[0].name", "records[1]", "remove[0]",          "remove[1]"};
    CPPUNIT_ASSERT_MESSAGE(findings.ToString(), expected == places);
  }

  // Guards against duplicate findings for one conflict, and against a finding without the record,
  // both versions or the field that differs.
  void ReportsConflictOnce() {
    Findings findings;
    const auto service = [&findings](int timeout) {
      return *Record::Parse(R"({"schema": 1, "kind": "service", "name": "a", "timeout_ms": )" +
                                std::to_string(timeout) + "}",
                            "test", &findings);
    };
    const ConfigVersion version(1, 6);
    const Snapshot::Ptr base = Snapshot::Build(version, {{service(100), 6}}, &findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    Acceptance acceptance({"c1", {Change::Upsert(service(200), 4)}}, base, 2);
    acceptance.Start();
    const AcceptEffect effect =
        acceptance.OnRead(ObjectFound{1, EncodeHead(MakeHead(*base, {}, "c0"))});
    const auto* outcome = std::get_if<AcceptOutcome>(&effect);
    CPPUNIT_ASSERT(outcome != nullptr && outcome->conflicts.size() == 1);
    const ChangeResult result = ToChangeResult(*outcome);
    CPPUNIT_ASSERT(result.outcome == ChangeOutcome::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("service/a: was read at version 4, but is at version 6 and "
                                     "differs in /timeout_ms"),
                         result.findings.ToString());
  }

  void CopiesFieldsOfEachOutcome() {
    struct Case {
      AcceptStatus status;
      ChangeOutcome outcome;
    };
    const std::vector<Case> cases = {{AcceptStatus::kAccepted, ChangeOutcome::kAccepted},
                                     {AcceptStatus::kConflict, ChangeOutcome::kConflict},
                                     {AcceptStatus::kRejected, ChangeOutcome::kRejected},
                                     {AcceptStatus::kUnknown, ChangeOutcome::kUnknown}};
    for (const Case& it : cases) {
      AcceptOutcome outcome;
      outcome.status = it.status;
      outcome.change_set_id = "c1";
      outcome.version = ConfigVersion(1, 2);
      outcome.findings.Add("place", "message");
      const ChangeResult result = ToChangeResult(outcome);
      CPPUNIT_ASSERT(!result.error && result.outcome == it.outcome);
      CPPUNIT_ASSERT_EQUAL(outcome.change_set_id, result.id);
      CPPUNIT_ASSERT(outcome.version == result.version);
      CPPUNIT_ASSERT_EQUAL(std::string("place: message"), result.findings.ToString());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeRequestTest);

}  // namespace
}  // namespace camphorhoist
