#include "camphorhoist/cli.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "camphorhoist/cli_args.h"
#include "camphorhoist/error.h"
#include "liboperator/fake_backend.h"
#include "liboperator/operator_server.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using Json = nlohmann::json;

const char kRecords[] = R"([{"schema":1,"kind":"service","name":"a","timeout_ms":5}])";

/// An operator server with a fake backend on a loopback port, and a CLI that connects to it.
struct Cli {
  Cli() : base(event_base_new()), server(base.get(), &backend) {
    CPPUNIT_ASSERT(!server.Listen());
    node = server.address().ToString();
    backend.change.outcome = ChangeOutcome::kAccepted;
    backend.change.version = ConfigVersion(1, 8);
    backend.records.version = ConfigVersion(1, 7);
    backend.records.records = {{5, R"({"schema":1,"kind":"service","name":"a","timeout_ms":5})"}};
  }

  int Run(const std::vector<std::string>& args, const std::string& input = kRecords) {
    std::istringstream in(input);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    const CliContext context{base.get(), in, out_stream, err_stream, node};
    const CliExit code = RunCli(args, context);
    out = out_stream.str();
    err = err_stream.str();
    return static_cast<int>(code);
  }

  EventBasePtr base;
  FakeBackend backend;
  OperatorServer server;
  /// Value of CAMPHORHOIST_NODE.
  std::string node;
  std::string out;
  std::string err;
};

StatusResult StatusAt(const std::vector<ConfigVersion>& versions) {
  StatusResult status;
  status.node = "127.0.0.1:1";
  for (const ConfigVersion& it : versions) {
    MemberStatus member;
    member.address = "127.0.0.1:" + std::to_string(status.members.size() + 1);
    member.version = it;
    status.members.push_back(member);
  }
  return status;
}

class CliTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CliTest);
  CPPUNIT_TEST(AllArgumentErrorsAreReported);
  CPPUNIT_TEST(EachArgumentErrorExitsWithUsage);
  CPPUNIT_TEST(HelpListsCommandsAndExitCodes);
  CPPUNIT_TEST(OutcomesMapToExitCodes);
  CPPUNIT_TEST(ApplySendsRecordsRemovalsAndReadVersions);
  CPPUNIT_TEST(ApplyRetriesWithTheSameIdWhileOutcomeUnknown);
  CPPUNIT_TEST(UnknownOutcomeIsKeptWhenNodesBecomeUnavailable);
  CPPUNIT_TEST(UnavailableNodesAreSkipped);
  CPPUNIT_TEST(WaitEndsWhenEveryNodeHasTheVersion);
  CPPUNIT_TEST(WaitTimesOutAndListsLaggingNodes);
  CPPUNIT_TEST(MalformedFilesAreFindings);
  CPPUNIT_TEST(GetPrintsRecords);
  CPPUNIT_TEST(DiffComparesWithRecordsInForce);
  CPPUNIT_TEST(QueriesPrintAndReportErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllArgumentErrorsAreReported() {
    Cli cli;
    cli.node = "127.0.0.1,localhost:1";
    CPPUNIT_ASSERT_EQUAL(
        2, cli.Run({"apply", "--odd", "--timeout-ms", "0", "--output", "xml", "--remove", "a",
                    "--wait-seconds", "x", "--id", "a b", "extra"}));
    for (const char* it : {"--odd", "--timeout-ms", "--output", "--remove", "--wait-seconds",
                           "--id", "extra", "127.0.0.1\"", "localhost:1"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(it) + " in " + cli.err,
                             cli.err.find(it) != std::string::npos);
    }
    CPPUNIT_ASSERT(cli.backend.applied.empty());
  }

  void EachArgumentErrorExitsWithUsage() {
    const std::vector<std::string> cases[] = {
        {},
        {"odd"},
        {"apply"},
        {"apply", "--remove", "inventory"},
        {"diff"},
        {"outcome"},
        {"outcome", "a", "b"},
        {"outcome", "a/b"},
        {"get", "Service"},
        {"get", "service/"},
        {"get", "a/b/c"},
        {"get", "service", "route"},
        {"get", "-f", "-"},
        {"diff", "-f", "-", "--remove", "service/a"},
        {"status", "--id", "x"},
        {"status", "--json"},
        {"apply", "-f", "-", "--against", "r1"},
        {"diff", "-f", "-", "--store", "127.0.0.1:1"},
        {"status", "--wait-seconds", "3"},
        {"dump", "--allow-newer-schema"},
        {"apply", "-f", "-", "-f", "-"},
        {"apply", "-f"},
        {"apply", "-f", ""},
        {"apply", "-f", "/nonexistent/file"},
        {"apply", "-f", "/"},
        {"status", "--timeout-ms", "-5"},
        {"status", "--timeout-ms", "600001"},
        {"status", "--node", ""},
        {"status", "--node", "127.0.0.1:0"},
        {"status", "--node", "127.0.0.1:1,,127.0.0.1:2"},
    };
    Cli cli;
    for (const auto& it : cases) {
      std::string name;
      for (const std::string& word : it) name += word + " ";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 2, cli.Run(it));
      CPPUNIT_ASSERT_MESSAGE(name, !cli.err.empty());
    }
    CPPUNIT_ASSERT(cli.backend.applied.empty());
  }

  void HelpListsCommandsAndExitCodes() {
    Cli cli;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"--help"}));
    for (const char* it : {"apply", "get", "diff", "status", "dump", "outcome", "drain", "check",
                           "--wait-seconds", "Exit codes", "  6  "}) {
      CPPUNIT_ASSERT_MESSAGE(it, cli.out.find(it) != std::string::npos);
    }
  }

  void OutcomesMapToExitCodes() {
    struct Case {
      Errc error;
      ChangeOutcome outcome;
      int apply;
      int query;
    };
    const Case cases[] = {
        {Errc::kOk, ChangeOutcome::kAccepted, 0, 0},
        {Errc::kOk, ChangeOutcome::kRejected, 1, 1},
        {Errc::kOk, ChangeOutcome::kConflict, 3, 3},
        {Errc::kOk, ChangeOutcome::kUnknown, 4, 4},
        {Errc::kInvalidInput, ChangeOutcome::kUnknown, 1, 1},
        {Errc::kUnavailable, ChangeOutcome::kUnknown, 5, 5},
        {Errc::kNotFound, ChangeOutcome::kUnknown, 1, 1},
    };
    Cli cli;
    for (const Case& it : cases) {
      cli.backend.change.error = it.error == Errc::kOk ? std::error_code() : it.error;
      cli.backend.change.outcome = it.outcome;
      cli.backend.change.findings = Findings();
      cli.backend.change.findings.Add("records[0]", "detail");
      const std::string name = ChangeOutcomeName(it.outcome) + cli.backend.change.error.message();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          name, it.apply, cli.Run({"apply", "-f", "-", "--id", "x", "--timeout-ms", "300"}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, it.query, cli.Run({"outcome", "x"}));
      const char* detail = it.error == Errc::kNotFound ? "x: is not among" : "records[0]: detail";
      CPPUNIT_ASSERT_MESSAGE(name, cli.err.find(detail) != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, it.query, cli.Run({"outcome", "x", "--output", "json"}));
      CPPUNIT_ASSERT(Json::parse(cli.out)["findings"].size() == 1);
    }
  }

  void ApplySendsRecordsRemovalsAndReadVersions() {
    Cli cli;
    // The output of `get --output json` is valid input for `apply` and carries the versions read.
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"get", "--output", "json"}));
    const std::string file = cli.out;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "-f", "-", "--remove", "route/r", "--remove",
                                     "endpoint/e", "--allow-newer-schema"},
                                    file));
    const ChangeRequest request = cli.backend.applied.at(0);
    const Json body = Json::parse(request.body);
    CPPUNIT_ASSERT_EQUAL(request.id, body["id"].get<std::string>());
    CPPUNIT_ASSERT(body["records"] == Json::parse(kRecords));
    CPPUNIT_ASSERT(body["read_at"] == Json::parse(R"({"service/a":5})"));
    CPPUNIT_ASSERT(body["remove"] == Json::parse(R"([{"kind":"route","name":"r"},
                                                     {"kind":"endpoint","name":"e"}])"));
    CPPUNIT_ASSERT(body["allow_newer_schema"].get<bool>());
    CPPUNIT_ASSERT(cli.out.find("change set " + request.id) == 0);
    CPPUNIT_ASSERT(cli.out.find("accepted in version 1.8") != std::string::npos);

    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "-f", "-"}, R"({"records":[]})"));
    CPPUNIT_ASSERT(cli.backend.applied.at(1).id != request.id);
    const Json plain = Json::parse(cli.backend.applied.at(1).body);
    CPPUNIT_ASSERT(plain["read_at"] == Json::object());
    CPPUNIT_ASSERT(plain["records"] == Json::array());
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "--remove", "route/r"}));
  }

  // Guards against retries with a new id, which could apply the change twice.
  void ApplyRetriesWithTheSameIdWhileOutcomeUnknown() {
    Cli cli;
    ChangeResult unknown;
    cli.backend.next_changes = {unknown, unknown};
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "-f", "-"}));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, cli.backend.applied.size());
    for (const ChangeRequest& it : cli.backend.applied) {
      CPPUNIT_ASSERT_EQUAL(cli.backend.applied[0].id, it.id);
      CPPUNIT_ASSERT_EQUAL(cli.backend.applied[0].body, it.body);
    }
  }

  // Guards against reporting that nothing was applied when an earlier attempt had an unknown
  // outcome.
  void UnknownOutcomeIsKeptWhenNodesBecomeUnavailable() {
    Cli cli;
    ChangeResult unknown;
    cli.backend.next_changes = {unknown};
    cli.backend.change.error = Errc::kUnavailable;
    CPPUNIT_ASSERT_EQUAL(4, cli.Run({"apply", "-f", "-", "--timeout-ms", "700"}));
    CPPUNIT_ASSERT(cli.backend.applied.size() > 1);
  }

  void UnavailableNodesAreSkipped() {
    Cli cli;
    Cli stopped;
    stopped.server.StopListening();
    const std::string nodes = stopped.node + "," + cli.node;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "-f", "-", "--node", nodes}));
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"status", "--node", nodes}));
    CPPUNIT_ASSERT_EQUAL(5, cli.Run({"apply", "-f", "-", "--node", stopped.node}));
    CPPUNIT_ASSERT_EQUAL(5, cli.Run({"status", "--node", stopped.node}));
    // A drain targets one node and must not fail over to another one.
    CPPUNIT_ASSERT_EQUAL(5, cli.Run({"drain", "--node", nodes}));
    CPPUNIT_ASSERT_EQUAL(0, cli.backend.drain_calls);
  }

  void WaitEndsWhenEveryNodeHasTheVersion() {
    Cli cli;
    const ConfigVersion old(1, 7);
    const ConfigVersion accepted(1, 8);
    cli.backend.next_statuses = {StatusAt({old, old}), StatusAt({accepted, old})};
    // A node that has left stays listed for some time and never receives the version.
    cli.backend.status = StatusAt({accepted, ConfigVersion(1, 9), old});
    cli.backend.status.members[2].state = "left";
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"apply", "-f", "-", "--wait-seconds", "20"}));
    CPPUNIT_ASSERT_EQUAL(3, cli.backend.status_calls);
    CPPUNIT_ASSERT(cli.out.find("in force on every node") != std::string::npos);
  }

  void WaitTimesOutAndListsLaggingNodes() {
    Cli cli;
    cli.backend.status = StatusAt({ConfigVersion(1, 8), ConfigVersion(1, 7)});
    cli.backend.status.members[1].reason = "schema 3";
    cli.backend.status.members[1].state = "dead";
    CPPUNIT_ASSERT_EQUAL(6, cli.Run({"apply", "-f", "-", "--wait-seconds", "1"}));
    CPPUNIT_ASSERT(cli.err.find("127.0.0.1:2 has 1.7 (schema 3)") != std::string::npos);
    CPPUNIT_ASSERT(cli.err.find("127.0.0.1:1 has") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(6,
                         cli.Run({"apply", "-f", "-", "--wait-seconds", "1", "--output", "json"}));
    CPPUNIT_ASSERT(!Json::parse(cli.out)["in_force"].get<bool>());
    cli.backend.status.members.clear();
    CPPUNIT_ASSERT_EQUAL(6, cli.Run({"apply", "-f", "-", "--wait-seconds", "1"}));
  }

  void MalformedFilesAreFindings() {
    struct Case {
      std::string text;
      const char* place;
    };
    const Case cases[] = {
        {"", "-:byte"},
        {"{", "-:byte"},
        {"7", "-: must be"},
        {R"({"record":[]})", "-: must be"},
        {R"([{"kind":"service","name":"a"},7])", "-[1]: must be"},
        {R"([{"record":7,"version":1}])", "-[0].record"},
        {R"([{"record":{},"version":"1"}])", "-[0].version"},
        {"[\"" + std::string(kMaxChangeBytes, 'x') + "\"]", "-: makes"},
        {R"([{"kind":"service","name":"a","x":")" + std::string(kMaxChangeBytes, 'x') + "\"}]",
         "-: makes a change set of"},
    };
    Cli cli;
    for (const Case& it : cases) {
      const std::string name = it.text.substr(0, 60);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, cli.Run({"apply", "-f", "-"}, it.text));
      if (it.text.size() < 1000) {
        CPPUNIT_ASSERT_MESSAGE(name + ": " + cli.err, cli.err.find(it.place) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, cli.Run({"diff", "-f", "-"}, it.text));
      }
    }
    CPPUNIT_ASSERT(cli.backend.applied.empty());
  }

  void GetPrintsRecords() {
    Cli cli;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"get", "service/a"}));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), cli.backend.records_request.name);
    CPPUNIT_ASSERT(cli.out.find("version 1.7\n5  {") == 0);
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"get", "service"}));
    CPPUNIT_ASSERT_EQUAL(std::string("service"), cli.backend.records_request.kind);
    CPPUNIT_ASSERT_EQUAL(std::string(), cli.backend.records_request.name);
    cli.backend.records.records.clear();
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"get", "service"}));
    CPPUNIT_ASSERT_EQUAL(1, cli.Run({"get", "service/none"}));
  }

  void DiffComparesWithRecordsInForce() {
    Cli cli;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"diff", "-f", "-"}));
    const std::string changed =
        R"([{"schema":1,"kind":"service","name":"a","timeout_ms":9,"hedge":true},
            {"schema":1,"kind":"service","name":"b"}])";
    CPPUNIT_ASSERT_EQUAL(1, cli.Run({"diff", "-f", "-"}, changed));
    CPPUNIT_ASSERT_EQUAL(std::string("changed service/a\n"
                                     "    /timeout_ms: 5 -> 9\n"
                                     "    /hedge: adds true\n"
                                     "added   service/b\n"),
                         cli.out);
    CPPUNIT_ASSERT_EQUAL(1, cli.Run({"diff", "-f", "-", "--output", "json"}, changed));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Json::parse(cli.out)["differences"].size());
    const std::string fewer = R"([{"schema":1,"kind":"service","name":"a"}])";
    CPPUNIT_ASSERT_EQUAL(1, cli.Run({"diff", "-f", "-"}, fewer));
    CPPUNIT_ASSERT(cli.out.find("/timeout_ms: removes 5") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, cli.Run({"diff", "-f", "-"}, R"([{"kind":"service"}])"));
  }

  void QueriesPrintAndReportErrors() {
    Cli cli;
    cli.backend.status = StatusAt({ConfigVersion(1, 7)});
    cli.backend.status.data_centres = {{"dc1", 1, {{ConfigVersion(1, 7), 1}}}};
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"status"}));
    CPPUNIT_ASSERT(cli.out.find("data centre dc1: 1 nodes, 1 at 1.7") != std::string::npos);
    cli.backend.dump.dump = R"({"a":1})";
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"dump"}));
    CPPUNIT_ASSERT_EQUAL(std::string("{\n  \"a\": 1\n}\n"), cli.out);
    cli.backend.drain.draining = true;
    CPPUNIT_ASSERT_EQUAL(0, cli.Run({"drain"}));
    CPPUNIT_ASSERT_EQUAL(1, cli.backend.drain_calls);
    const std::error_code unavailable = Errc::kUnavailable;
    cli.backend.status.error = unavailable;
    cli.backend.dump.error = unavailable;
    cli.backend.drain.error = unavailable;
    cli.backend.records.error = unavailable;
    for (const char* it : {"status", "dump", "drain", "get"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 5, cli.Run({it}));
      CPPUNIT_ASSERT_MESSAGE(it, !cli.err.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);

}  // namespace
}  // namespace camphorhoist
