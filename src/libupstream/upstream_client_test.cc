#include "libupstream/upstream_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libcaller/caller_server.h"
#include "libcaller/http_headers.h"
#include "libcaller/testing/raw_peer.h"
#include "libupstream/response_parser.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr size_t kConnections = 4;
const char kWhole[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// Collects one answer.
class RecordingSink : public ResponseSink {
 public:
  void OnHead(int code, HttpHeaders fields) override {
    status = code;
    headers = std::move(fields);
  }
  void OnData(std::string data) override {
    body += data;
    ++parts;
    if (on_data) on_data();
  }
  void OnEnd(UpstreamResult end, const std::string& reason) override {
    ++ends;
    result = end;
    detail = reason;
  }
  int status = 0;
  HttpHeaders headers;
  std::string body;
  size_t parts = 0;
  int ends = 0;
  UpstreamResult result = UpstreamResult::kNeverSent;
  std::string detail;
  std::function<void()> on_data;
};

UpstreamRequest MakeRequest(const std::string& method, const std::string& target = "/") {
  UpstreamRequest request;
  request.method = method;
  request.target = target;
  request.call_id = CallId(7, 9);
  request.timeout = milliseconds(5000);
  return request;
}

class UpstreamClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamClientTest);
  CPPUNIT_TEST(ClassifiesResults);
  CPPUNIT_TEST(RefusedConnectionIsNeverSent);
  CPPUNIT_TEST(SilentUpstreamTimesOut);
  CPPUNIT_TEST(ReusesAConnectionOnlyAfterAWholeAnswer);
  CPPUNIT_TEST(StrayDataReachesNoRequest);
  CPPUNIT_TEST(LateAnswerReachesNoRequest);
  CPPUNIT_TEST(ClosedIdleConnectionCausesNoSecondSend);
  CPPUNIT_TEST(NonIdempotentRequestAvoidsOldConnections);
  CPPUNIT_TEST(PassesCallHeaders);
  CPPUNIT_TEST(RefusesRequestsThatBreakTheFraming);
  CPPUNIT_TEST(CancelsUpstreamWork);
  CPPUNIT_TEST(LimitsConnections);
  CPPUNIT_TEST(PausedAnswerHoldsTheUpstreamBack);
  CPPUNIT_TEST(SinkMayCancelFromItsFunctions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    base_.reset(event_base_new());
    server_ = std::make_unique<RawServer>(base_.get(), [this](size_t number) {
      if (answer_) answer_(server_->at(number));
    });
    client_ = std::make_unique<UpstreamClient>(base_.get(), server_->address(), kConnections);
  }
  void tearDown() override {
    answer_ = nullptr;
    client_.reset();
    server_.reset();
    base_.reset();
  }

  // Guards against a truncated answer reported as whole (P4), and against a wrong claim that the
  // upstream did not run a request (P5).
  void ClassifiesResults() {
    const std::string shed = "HTTP/1.1 503 Busy\r\nX-Upstream-Shed: 1\r\nContent-Length: 4\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const struct {
      std::string answer;
      UpstreamResult result;
      const char* body;
    } cases[] = {
        {kWhole, UpstreamResult::kWhole, "whole"},
        {chunked + "2\r\nab\r\n0\r\n\r\n", UpstreamResult::kWhole, "ab"},
        {"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", UpstreamResult::kWhole, "busy"},
        {shed + "shed", UpstreamResult::kShed, ""},
        {shed, UpstreamResult::kShed, ""},
        {"", UpstreamResult::kNoWholeAnswer, ""},
        {"HTTP/1.1 200", UpstreamResult::kNoWholeAnswer, ""},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol", UpstreamResult::kNoWholeAnswer,
         "whol"},
        {chunked + "2\r\nab\r\n", UpstreamResult::kNoWholeAnswer, "ab"},
        {chunked + "2\r\nab\r\n0\r\n", UpstreamResult::kNoWholeAnswer, "ab"},
        {"HTTP/1.1 200 OK\r\n\r\nall up to the close", UpstreamResult::kNoWholeAnswer, ""},
    };
    for (const auto& it : cases) {
      answer_ = [this, &it](RawServer::Connection& connection) {
        connection.Write(it.answer);
        bufferevent_flush(connection.bufev.get(), EV_WRITE, BEV_FLUSH);
        shutdown_after_ = &connection;
      };
      RecordingSink sink;
      client_->Start(MakeRequest("GET"), &sink);
      CPPUNIT_ASSERT_MESSAGE(it.answer, PumpUntil(base_.get(), [&] {
                               CloseWhenSent();
                               return sink.ends > 0;
                             }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.answer, std::string(ToString(it.result)),
                                   std::string(ToString(sink.result)));
      CPPUNIT_ASSERT_EQUAL(std::string(it.body), sink.body);
      CPPUNIT_ASSERT_EQUAL(1, sink.ends);
      PumpUntilStable(base_.get(), [&] {
        CloseWhenSent();
        return client_->open_connections();
      });
    }
  }

  // Guards against "unknown" for a request that certainly was not sent: the caller would not retry.
  void RefusedConnectionIsNeverSent() {
    server_.reset();
    RecordingSink sink;
    client_->Start(MakeRequest("POST"), &sink);
    CPPUNIT_ASSERT_EQUAL(0, sink.ends);
    Wait(sink);
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kNeverSent);
  }

  // Guards against requests that wait for ever, and against "never sent" for one that may run.
  void SilentUpstreamTimesOut() {
    UpstreamRequest request = MakeRequest("POST");
    request.timeout = milliseconds(50);
    RecordingSink sink;
    client_->Start(request, &sink);
    Wait(sink);
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kTimedOut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client_->open_connections());
  }

  // Guards against taking the rest of a broken answer for the next one (P4).
  void ReusesAConnectionOnlyAfterAWholeAnswer() {
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->size());
    answer_ = [](RawServer::Connection& it) {
      it.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole");
    };
    Fetch("GET");
    answer_ = [](RawServer::Connection& it) { it.Write("HTTP/1.1 200 OK\r\nbroken\r\n\r\n"); };
    Fetch("GET");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, server_->size());
  }

  // Guards against a second answer on a connection that reaches the next request (P4).
  void StrayDataReachesNoRequest() {
    answer_ = [](RawServer::Connection& it) {
      it.Write(std::string(kWhole) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client_->idle_connections());
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, client_->idle_connections());
    // Stray data that comes while the connection is idle.
    server_->at(1).Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client_->idle_connections() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
  }

  // Guards against the answer to an abandoned request reaching another one (P4).
  void LateAnswerReachesNoRequest() {
    RecordingSink abandoned;
    const auto handle = client_->Start(MakeRequest("GET", "/late"), &abandoned);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->requests() == 1; }));
    CPPUNIT_ASSERT(!client_->Cancel(handle));
    server_->at(0).Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(0, abandoned.ends);
    CPPUNIT_ASSERT_EQUAL(std::string(), abandoned.body);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->at(0).closed; }));
  }

  // Guards against an order that runs twice because a dead connection was noticed too late (P6).
  void ClosedIdleConnectionCausesNoSecondSend() {
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    Fetch("GET");
    // The close has arrived, but the loop has not run to notice it.
    shutdown(bufferevent_getfd(server_->at(0).bufev.get()), SHUT_RDWR);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("POST"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
    // The upstream takes the request on the reused connection and closes it without an answer.
    const size_t before = server_->requests();
    answer_ = [](RawServer::Connection& it) {
      shutdown(bufferevent_getfd(it.bufev.get()), SHUT_RDWR);
    };
    RecordingSink sink;
    client_->Start(MakeRequest("POST"), &sink);
    Wait(sink);
    PumpUntilStable(base_.get(), [&] { return server_->requests(); });
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kNoWholeAnswer);
    CPPUNIT_ASSERT_EQUAL(before + 1, server_->requests());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
  }

  // Guards against orders on connections that the upstream is about to close.
  void NonIdempotentRequestAvoidsOldConnections() {
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    Fetch("GET");
    const auto old = std::chrono::steady_clock::now() + UpstreamClient::kMaxIdleUnsafe;
    PumpUntil(base_.get(), [&] { return std::chrono::steady_clock::now() > old; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, client_->idle_connections());
    Fetch("POST");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
  }

  // Guards against calls that lose their id, and against deadlines that grow on the way.
  void PassesCallHeaders() {
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    UpstreamRequest request = MakeRequest("POST", "/order?n=1");
    request.headers = {{"X-Kept", "1"},
                       {"Connection", "X-Hop"},
                       {"X-Hop", "1"},
                       {"content-length", "999"},
                       {"Transfer-Encoding", "chunked"},
                       {"x-camphorhoist-timeout-ms", "99999"},
                       {"X-Camphorhoist-Depth", "77"}};
    request.body = "body";
    request.depth = 3;
    RecordingSink sink;
    client_->Start(request, &sink);
    Wait(sink);
    const std::string text = server_->AllReceived();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, text.find("POST /order?n=1 HTTP/1.1\r\nHost: 127.0.0.1:"));
    for (const char* it : {"\r\nX-Kept: 1\r\n", "\r\nContent-Length: 4\r\n", "\r\n\r\nbody",
                           "\r\nX-Camphorhoist-Call-Id: 0000000000000007-0000000000000009\r\n",
                           "\r\nX-Camphorhoist-Depth: 3\r\n"}) {
      CPPUNIT_ASSERT_MESSAGE(it, text.find(it) != std::string::npos);
    }
    // The Host header holds a free port, which may contain these digits.
    std::string without_host = text;
    const size_t host = without_host.find("\r\nHost: ");
    without_host.erase(host, without_host.find("\r\n", host + 2) - host);
    for (const char* it : {"X-Hop", "999", "chunked", "77"}) {
      CPPUNIT_ASSERT_MESSAGE(it, without_host.find(it) == std::string::npos);
    }
    const size_t at = text.find("X-Camphorhoist-Timeout-Ms: ");
    const int remaining = std::atoi(text.c_str() + at + sizeof("X-Camphorhoist-Timeout-Ms: ") - 1);
    CPPUNIT_ASSERT(remaining > 0 && remaining <= 5000);
  }

  // Guards against headers from another node that forge a second request.
  void RefusesRequestsThatBreakTheFraming() {
    std::vector<UpstreamRequest> requests(4, MakeRequest("GET"));
    requests[0].headers = {{"X-A", "1\r\n\r\nGET /forged HTTP/1.1"}};
    requests[1].headers = {{"X A", "1"}};
    requests[2].target = "/a HTTP/1.1\r\nX: y";
    requests[3].method = "GET /forged";
    for (const UpstreamRequest& it : requests) {
      RecordingSink sink;
      client_->Start(it, &sink);
      Wait(sink);
      CPPUNIT_ASSERT(sink.result == UpstreamResult::kNeverSent);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->requests());
  }

  // Guards against cancelled work that keeps its slot, and against cancellations that an upstream
  // does not expect.
  void CancelsUpstreamWork() {
    const std::string line = "POST /cancel?id=0000000000000007-0000000000000009 HTTP/1.1";
    for (const bool accepts : {false, true}) {
      client_->SetAcceptsCancel(accepts);
      RecordingSink sink;
      const size_t before = server_->requests();
      const auto handle = client_->Start(MakeRequest("GET"), &sink);
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->requests() == before + 1; }));
      CPPUNIT_ASSERT(!client_->Cancel(handle));
      PumpUntilStable(base_.get(), [&] { return server_->requests(); });
      const bool cancelled = server_->AllReceived().find(line) != std::string::npos;
      CPPUNIT_ASSERT_EQUAL(accepts, cancelled);
      CPPUNIT_ASSERT_EQUAL(0, sink.ends);
    }
    // A request that timed out may still be running.
    RecordingSink late;
    UpstreamRequest request = MakeRequest("GET");
    request.timeout = milliseconds(50);
    request.call_id = CallId(8, 9);
    client_->Start(request, &late);
    Wait(late);
    PumpUntilStable(base_.get(), [&] { return server_->requests(); });
    CPPUNIT_ASSERT(server_->AllReceived().find("POST /cancel?id=0000000000000008-") !=
                   std::string::npos);
    // A request that was never sent needs no cancellation.
    RecordingSink sink;
    const size_t before = server_->requests();
    CPPUNIT_ASSERT(client_->Cancel(client_->Start(MakeRequest("GET"), &sink)));
    PumpUntilStable(base_.get(), [&] { return server_->requests(); });
    CPPUNIT_ASSERT_EQUAL(before, server_->requests());
  }

  // Guards against more connections than the upstream accepts.
  void LimitsConnections() {
    std::vector<RecordingSink> sinks(kConnections + 1);
    for (RecordingSink& it : sinks) client_->Start(MakeRequest("GET"), &it);
    Wait(sinks.back());
    CPPUNIT_ASSERT(sinks.back().result == UpstreamResult::kNeverSent);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->requests() == kConnections; }));
    for (size_t i = 0; i < kConnections; ++i) server_->at(i).Write(kWhole);
    for (size_t i = 0; i < kConnections; ++i) Wait(sinks[i]);
    CPPUNIT_ASSERT_EQUAL(kConnections, client_->idle_connections());
    answer_ = [](RawServer::Connection& it) { it.Write(kWhole); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(kConnections, server_->size());
  }

  // Guards against unbounded memory for an answer whose caller is slow, also if the upstream sends
  // it as a single chunk.
  void PausedAnswerHoldsTheUpstreamBack() {
    constexpr size_t kBodyBytes = 20 << 20;
    for (const bool chunked : {false, true}) {
      std::string body(kBodyBytes, 'x');
      for (size_t i = 0; i < kBodyBytes; i += 4096) {
        body[i] = static_cast<char>('a' + i / 4096 % 26);
      }
      RawServer::Connection* connection = nullptr;
      answer_ = [&](RawServer::Connection& it) {
        connection = &it;
        it.Write(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1400000\r\n"
                         : "HTTP/1.1 200 OK\r\nContent-Length: 20971520\r\n\r\n");
        it.Write(body);
        if (chunked) it.Write("\r\n0\r\n\r\n");
      };
      RecordingSink sink;
      UpstreamClient::Handle handle = 0;
      sink.on_data = [&] {
        if (sink.parts == 1) client_->Pause(handle);
      };
      handle = client_->Start(MakeRequest("GET"), &sink);
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return sink.parts > 0; }));
      PumpUntilStable(base_.get(), [&] { return connection->unsent(); });
      CPPUNIT_ASSERT_EQUAL(size_t{1}, sink.parts);
      CPPUNIT_ASSERT(sink.body.size() <= ResponseParser::kMaxDataBytes);
      CPPUNIT_ASSERT(connection->unsent() > 0);
      client_->Resume(handle);
      Wait(sink);
      CPPUNIT_ASSERT(sink.result == UpstreamResult::kWhole);
      CPPUNIT_ASSERT(sink.body == body);
    }
  }

  // Guards against a use of the freed request after its sink has cancelled it.
  void SinkMayCancelFromItsFunctions() {
    answer_ = [](RawServer::Connection& it) {
      it.Write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
    };
    RecordingSink sink;
    UpstreamClient::Handle handle = 0;
    sink.on_data = [&] { client_->Cancel(handle); };
    handle = client_->Start(MakeRequest("GET"), &sink);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client_->in_flight() == 0; }));
    PumpUntilStable(base_.get(), [&] { return sink.parts; });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sink.body);
    CPPUNIT_ASSERT_EQUAL(0, sink.ends);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client_->open_connections());
  }

 private:
  void Wait(const RecordingSink& sink) {
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return sink.ends > 0; }));
    CPPUNIT_ASSERT_EQUAL(1, sink.ends);
  }
  std::string Fetch(const std::string& method) {
    RecordingSink sink;
    client_->Start(MakeRequest(method), &sink);
    Wait(sink);
    return sink.body;
  }
  void CloseWhenSent() {
    if (shutdown_after_ == nullptr || shutdown_after_->unsent() > 0) return;
    shutdown(bufferevent_getfd(shutdown_after_->bufev.get()), SHUT_WR);
    shutdown_after_ = nullptr;
  }

  RawServer::Connection* shutdown_after_ = nullptr;
  EventBasePtr base_;
  std::function<void(RawServer::Connection&)> answer_;
  std::unique_ptr<RawServer> server_;
  std::unique_ptr<UpstreamClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamClientTest);

}  // namespace
}  // namespace camphorhoist
