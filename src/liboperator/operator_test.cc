#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "camphorhoist/error.h"
#include "liboperator/fake_backend.h"
#include "liboperator/operator_client.h"
#include "liboperator/operator_json.h"
#include "liboperator/operator_server.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr milliseconds kShortTimeout{200};

/// An operator server with a fake backend and its own event loop.
struct Node {
  Node() : base(event_base_new()), server(new OperatorServer(base.get(), &backend)) {
    // As in the programs: a write to a connection that the server closed must fail with an error
    // instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    CPPUNIT_ASSERT(!server->Listen());
    address = server->address();
  }

  HttpResponse Send(const std::string& method, const std::string& target,
                    const std::string& body = "") {
    HttpClient client(base.get());
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    return Await<HttpResponse>(
        base.get(), [&](auto done) { client.Send(address, request, kTimeout, std::move(done)); });
  }

  EventBasePtr base;
  FakeBackend backend;
  std::unique_ptr<OperatorServer> server;
  NetAddress address;
};

ChangeRequest NewChange(const std::string& id) {
  return ChangeRequest{id, R"({"id":")" + id + R"(","records":[]})"};
}

ChangeResult NewResult(ChangeOutcome outcome, ConfigVersion version) {
  ChangeResult result;
  result.outcome = outcome;
  result.version = version;
  return result;
}

class OperatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorTest);
  CPPUNIT_TEST(MalformedRequestsAreRefusedWithFindings);
  CPPUNIT_TEST(ChangeSizeLimitIsEnforced);
  CPPUNIT_TEST(OutcomesRoundTrip);
  CPPUNIT_TEST(QueriesRoundTrip);
  CPPUNIT_TEST(BackendErrorsMapToHttpStatuses);
  CPPUNIT_TEST(ReplyToClosedConnectionIsDropped);
  CPPUNIT_TEST(UnreadReplyDoesNotKeepServerBusy);
  CPPUNIT_TEST(ResultAfterDestructionIsDropped);
  CPPUNIT_TEST(ClientFailsOverOnlyWithoutEffect);
  CPPUNIT_TEST(MalformedResponsesAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a malformed request that reaches the backend or stops the node.
  void MalformedRequestsAreRefusedWithFindings() {
    struct Case {
      const char* method;
      const char* target;
      std::string body;
      int status;
      const char* place;
    };
    const Case cases[] = {
        {"POST", "/v1/changes", "", 400, "body"},
        {"POST", "/v1/changes", "{\"id\":", 400, "body"},
        {"POST", "/v1/changes", "{\"id\":\"\xff\"}", 400, "body"},
        {"POST", "/v1/changes", std::string(400000, '['), 400, "body"},
        {"POST", "/v1/changes", std::string(200000, '[') + std::string(200000, ']'), 400, "body"},
        {"POST", "/v1/changes", "[]", 400, "body"},
        {"POST", "/v1/changes", "{}", 400, "body.id"},
        {"POST", "/v1/changes", R"({"id":7})", 400, "body.id"},
        {"POST", "/v1/changes", R"({"id":""})", 400, "body.id"},
        {"POST", "/v1/changes", R"({"id":"a b"})", 400, "body.id"},
        {"POST", "/v1/changes", R"({"id":")" + std::string(129, 'a') + "\"}", 400, "body.id"},
        {"GET", "/v1/changes", "", 405, "method"},
        {"GET", "/v1/changes/", "", 404, "path"},
        {"GET", "/v1/changes/a%20b", "", 400, "path"},
        {"POST", "/v1/changes/a", "", 405, "method"},
        {"GET", "/v1/records?name=x", "", 400, "query.name"},
        {"DELETE", "/v1/records", "", 405, "method"},
        {"POST", "/v1/status", "", 405, "method"},
        {"GET", "/v1/drain", "", 405, "method"},
        {"GET", "/v1/drain/x", "", 404, "path"},
        {"GET", "/", "", 404, "path"},
        {"PATCH", "/v2/status", "", 404, "path"},
    };
    Node node;
    for (const Case& it : cases) {
      const HttpResponse response = node.Send(it.method, it.target, it.body);
      const std::string name =
          std::string(it.method) + " " + it.target + " " + it.body.substr(0, 40);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, it.status, response.status);
      const auto json = nlohmann::json::parse(response.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(it.place),
                                   json["findings"][0]["place"].get<std::string>());
    }
    CPPUNIT_ASSERT(node.backend.applied.empty());
    CPPUNIT_ASSERT_EQUAL(0, node.backend.drain_calls);
  }

  void ChangeSizeLimitIsEnforced() {
    Node node;
    node.backend.change = NewResult(ChangeOutcome::kAccepted, ConfigVersion(1, 2));
    std::string body = R"({"id":"a","pad":""})";
    body.insert(body.size() - 2, kMaxChangeBytes - body.size(), 'x');
    CPPUNIT_ASSERT_EQUAL(200, node.Send("POST", "/v1/changes", body).status);
    CPPUNIT_ASSERT(node.backend.applied.at(0).body == body);
    body.insert(body.size() - 2, 1, 'x');
    const HttpResponse refused = node.Send("POST", "/v1/changes", body);
    CPPUNIT_ASSERT_EQUAL(413, refused.status);
    CPPUNIT_ASSERT(refused.body.find("524288") != std::string::npos);
    // evhttp refuses a body far above the limit while it reads it; nothing reaches the backend.
    node.Send("POST", "/v1/changes", std::string(9 << 20, 'x'));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.backend.applied.size());
    CPPUNIT_ASSERT_EQUAL(200, node.Send("GET", "/v1/status").status);
  }

  void OutcomesRoundTrip() {
    const ChangeOutcome outcomes[] = {ChangeOutcome::kAccepted, ChangeOutcome::kConflict,
                                      ChangeOutcome::kRejected, ChangeOutcome::kUnknown};
    Node node;
    OperatorClient client(node.base.get(), {node.address});
    for (ChangeOutcome it : outcomes) {
      node.backend.change = NewResult(it, ConfigVersion(1, 7));
      node.backend.change.findings = Findings();
      node.backend.change.findings.Add("records[0].name", "odd \"\xc3\xbc\"");
      for (const ChangeResult& result :
           {Apply(&node, &client, "a:b.c"), Outcome(&node, &client, "a:b.c")}) {
        CPPUNIT_ASSERT(!result.error);
        CPPUNIT_ASSERT(result.outcome == it);
        CPPUNIT_ASSERT_EQUAL(std::string("a:b.c"), result.id);
        CPPUNIT_ASSERT(result.version == ConfigVersion(1, 7));
        CPPUNIT_ASSERT(result.findings.items() == node.backend.change.findings.items());
      }
    }
    CPPUNIT_ASSERT_EQUAL(NewChange("a:b.c").body, node.backend.applied[0].body);
  }

  void QueriesRoundTrip() {
    Node node;
    OperatorClient client(node.base.get(), {node.address});
    node.backend.records.version = ConfigVersion(1, 7);
    node.backend.records.records = {{5, R"({"kind":"service","name":"a"})"}};
    const auto records = Await<RecordsResult>(node.base.get(), [&](auto done) {
      client.Records({"service", "a"}, kTimeout, std::move(done));
    });
    CPPUNIT_ASSERT_EQUAL(std::string("service"), node.backend.records_request.kind);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), node.backend.records_request.name);
    CPPUNIT_ASSERT_EQUAL(EncodeRecords(node.backend.records), EncodeRecords(records));

    node.backend.status.node = "127.0.0.1:9";
    node.backend.status.version = ConfigVersion(1, 7);
    node.backend.status.members = {
        {"127.0.0.1:9", "dc1", ConfigVersion(1, 6), 12, "serving", "schema 3"}};
    node.backend.status.data_centres = {{"dc1", 3, {{ConfigVersion(1, 6), 3}}}};
    const auto status = Await<StatusResult>(
        node.base.get(), [&](auto done) { client.Status(kTimeout, std::move(done)); });
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"data_centres":[{"name":"dc1","nodes":3,"versions":{"1.6":3}}],)"
                    R"("members":[{"address":"127.0.0.1:9","age_ms":12,"data_centre":"dc1",)"
                    R"("reason":"schema 3","state":"serving","version":"1.6"}],)"
                    R"("node":"127.0.0.1:9","version":"1.7"})"
                    "\n"),
        EncodeStatus(status));

    node.backend.dump.dump = R"({"x":1})";
    const auto dump = Await<DumpResult>(node.base.get(),
                                        [&](auto done) { client.Dump(kTimeout, std::move(done)); });
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":1}\n"), dump.dump);

    node.backend.drain.draining = true;
    node.backend.drain.in_flight = 4;
    const auto drain = Await<DrainResult>(
        node.base.get(), [&](auto done) { client.Drain(kTimeout, std::move(done)); });
    CPPUNIT_ASSERT(drain.draining);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, drain.in_flight);
  }

  void BackendErrorsMapToHttpStatuses() {
    struct Case {
      Errc error;
      int status;
      Errc seen;
    };
    const Case cases[] = {{Errc::kUnavailable, 503, Errc::kUnavailable},
                          {Errc::kBudgetExhausted, 503, Errc::kUnavailable},
                          {Errc::kNotFound, 404, Errc::kNotFound},
                          {Errc::kInvalidInput, 400, Errc::kInvalidInput},
                          {Errc::kCancelled, 500, Errc::kUnavailable}};
    Node node;
    OperatorClient client(node.base.get(), {node.address});
    for (const Case& it : cases) {
      node.backend.change.error = it.error;
      node.backend.records.error = it.error;
      CPPUNIT_ASSERT_EQUAL(it.status, node.Send("GET", "/v1/changes/a").status);
      CPPUNIT_ASSERT_EQUAL(it.status, node.Send("GET", "/v1/records").status);
      CPPUNIT_ASSERT(Outcome(&node, &client, "a").error == it.seen);
    }
  }

  // Guards against a reply to a connection that the operator has closed.
  void ReplyToClosedConnectionIsDropped() {
    Node node;
    node.backend.hold = true;
    OperatorClient client(node.base.get(), {node.address});
    const ChangeResult lost = Apply(&node, &client, "a", kShortTimeout);
    CPPUNIT_ASSERT(!lost.error);
    CPPUNIT_ASSERT(lost.outcome == ChangeOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), lost.id);

    ChangeResult late;
    client.Apply(NewChange("b"), kTimeout, [&late](ChangeResult it) { late = std::move(it); });
    RunUntil(node.base.get(), [&node] { return node.backend.held.size() == 2; });
    ChangeResult accepted = NewResult(ChangeOutcome::kAccepted, ConfigVersion(1, 2));
    for (const auto& it : node.backend.held) it(accepted);
    node.backend.held[0](accepted);  // a second result is ignored
    RunUntil(node.base.get(), [&late] { return late.outcome == ChangeOutcome::kAccepted; });
    CPPUNIT_ASSERT_EQUAL(200, node.Send("GET", "/v1/status").status);
    RunUntil(node.base.get(), [&node] { return node.server->idle(); });
  }

  // Guards against a graceful stop that waits for a reply that the client no longer reads.
  void UnreadReplyDoesNotKeepServerBusy() {
    Node node;
    node.backend.dump.dump.assign(4 * HttpClient::kMaxBodyBytes, ' ');
    OperatorClient client(node.base.get(), {node.address});
    const auto dump = Await<DumpResult>(node.base.get(),
                                        [&](auto done) { client.Dump(kTimeout, std::move(done)); });
    CPPUNIT_ASSERT(dump.error == Errc::kUnavailable);
    RunUntil(node.base.get(), [&node] { return node.server->idle(); });
  }

  void ResultAfterDestructionIsDropped() {
    Node node;
    node.backend.hold = true;
    OperatorClient client(node.base.get(), {node.address});
    ChangeResult result;
    bool done = false;
    client.Apply(NewChange("a"), kTimeout, [&](ChangeResult it) {
      result = std::move(it);
      done = true;
    });
    RunUntil(node.base.get(), [&node] { return node.backend.held.size() == 1; });
    node.server.reset();
    node.backend.held[0](NewResult(ChangeOutcome::kAccepted, ConfigVersion(1, 2)));
    RunUntil(node.base.get(), [&done] { return done; });
    CPPUNIT_ASSERT(result.outcome == ChangeOutcome::kUnknown);
  }

  // Guards against failover of a change set that may have taken effect on the first node: the
  // result of the second node would hide the unknown outcome.
  void ClientFailsOverOnlyWithoutEffect() {
    Node node;
    node.backend.change = NewResult(ChangeOutcome::kAccepted, ConfigVersion(1, 2));
    Node refusing;
    refusing.server.reset();
    OperatorClient client(node.base.get(), {refusing.address, node.address});
    CPPUNIT_ASSERT(Apply(&node, &client, "a").outcome == ChangeOutcome::kAccepted);
    CPPUNIT_ASSERT(client.current_node() == node.address);

    FakeBackend silent_backend;
    silent_backend.hold = true;
    OperatorServer silent(node.base.get(), &silent_backend);
    CPPUNIT_ASSERT(!silent.Listen());
    OperatorClient second(node.base.get(), {silent.address(), node.address});
    const size_t before = node.backend.applied.size();
    CPPUNIT_ASSERT(Apply(&node, &second, "b", kShortTimeout).outcome == ChangeOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(before, node.backend.applied.size());

    node.backend.change.error = Errc::kUnavailable;
    OperatorClient third(node.base.get(), {refusing.address, node.address});
    CPPUNIT_ASSERT(Apply(&node, &third, "c").error == Errc::kUnavailable);
  }

  void MalformedResponsesAreErrors() {
    const char* const malformed[] = {"",
                                     "7",
                                     "{}",
                                     "[]",
                                     R"({"version":"1"})",
                                     R"({"version":"1.x","records":[],"members":[]})"};
    for (const char* it : malformed) {
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeChangeResult(it));
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeRecords(it));
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeStatus(it));
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeDrain(it));
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeError(it, "place").empty());
    }
    CPPUNIT_ASSERT(!DecodeRecords(R"({"version":"1.2","records":[{"version":1,"record":7}]})"));
    CPPUNIT_ASSERT(
        !DecodeStatus(R"({"node":"n","version":"1.2","members":[{}],"data_centres":[]})"));
    CPPUNIT_ASSERT(!DecodeStatus(
        R"({"node":"n","version":"1.2","members":[],
            "data_centres":[{"name":"d","nodes":1,"versions":{"x":1}}]})"));
    CPPUNIT_ASSERT(!ParseVersion("1.2.3"));
    CPPUNIT_ASSERT(!ParseVersion("-1.2"));
    CPPUNIT_ASSERT(!ParseVersion("1.99999999999999999999"));
  }

 private:
  static ChangeResult Apply(Node* node, OperatorClient* client, const std::string& id,
                            milliseconds timeout = kTimeout) {
    return Await<ChangeResult>(node->base.get(), [&](auto done) {
      client->Apply(NewChange(id), timeout, std::move(done));
    });
  }
  static ChangeResult Outcome(Node* node, OperatorClient* client, const std::string& id) {
    return Await<ChangeResult>(node->base.get(), [&](auto done) {
      client->ChangeSetOutcome(id, kTimeout, std::move(done));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTest);

}  // namespace
}  // namespace camphorhoist
