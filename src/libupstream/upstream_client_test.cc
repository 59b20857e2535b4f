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

constexpr size_t kMaxConnectionCount = 4;
const char kCompleteResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// Records one response.
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
  CPPUNIT_TEST(ReusesConnectionOnlyAfterCompleteResponse);
  CPPUNIT_TEST(StrayDataReachesNoRequest);
  CPPUNIT_TEST(LateResponseReachesNoRequest);
  CPPUNIT_TEST(ClosedIdleConnectionCausesNoSecondSend);
  CPPUNIT_TEST(NonIdempotentRequestAvoidsOldConnections);
  CPPUNIT_TEST(PassesCallHeaders);
  CPPUNIT_TEST(RejectsRequestsThatBreakFraming);
  CPPUNIT_TEST(CancelsUpstreamWork);
  CPPUNIT_TEST(LimitsConnections);
  CPPUNIT_TEST(PausedResponseAppliesBackpressure);
  CPPUNIT_TEST(SinkMayCancelFromCallback);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    base_.reset(event_base_new());
    server_ = std::make_unique<RawServer>(base_.get(), [this](size_t number) {
      if (respond_) respond_(server_->at(number));
    });
    client_ =
        std::make_unique<UpstreamClient>(base_.get(), server_->address(), kMaxConnectionCount);
  }
  void tearDown() override {
    respond_ = nullptr;
    client_.reset();
    server_.reset();
    base_.reset();
  }

  // Guards against a truncated response reported as complete (P4) and against reporting that the
  // upstream did not run a request that it may have run (P5).
  void ClassifiesResults() {
    const std::string shed = "HTTP/1.1 503 Busy\r\nX-Upstream-Shed: 1\r\nContent-Length: 4\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const struct {
      std::string response;
      UpstreamResult result;
      const char* body;
    } cases[] = {
        {kCompleteResponse, UpstreamResult::kWhole, "whole"},
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
      respond_ = [this, &it](RawServer::Connection& connection) {
        connection.Write(it.response);
        bufferevent_flush(connection.bufev.get(), EV_WRITE, BEV_FLUSH);
        shutdown_when_sent_ = &connection;
      };
      RecordingSink sink;
      client_->Start(MakeRequest("GET"), &sink);
      CPPUNIT_ASSERT_MESSAGE(it.response, PumpUntil(base_.get(), [&] {
                               ShutDownWhenSent();
                               return sink.ends > 0;
                             }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.response, std::string(ToString(it.result)),
                                   std::string(ToString(sink.result)));
      CPPUNIT_ASSERT_EQUAL(std::string(it.body), sink.body);
      CPPUNIT_ASSERT_EQUAL(1, sink.ends);
      PumpUntilStable(base_.get(), [&] {
        ShutDownWhenSent();
        return client_->open_connections();
      });
    }
  }

  // Guards against an unknown result for a request that was certainly not sent: the caller would
  // not retry it.
  void RefusedConnectionIsNeverSent() {
    server_.reset();
    RecordingSink sink;
    client_->Start(MakeRequest("POST"), &sink);
    CPPUNIT_ASSERT_EQUAL(0, sink.ends);
    WaitForEnd(sink);
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kNeverSent);
  }

  // Guards against requests that never end and against `kNeverSent` for a request that may run.
  void SilentUpstreamTimesOut() {
    UpstreamRequest request = MakeRequest("POST");
    request.timeout = milliseconds(50);
    RecordingSink sink;
    client_->Start(request, &sink);
    WaitForEnd(sink);
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kTimedOut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client_->open_connections());
  }

  // Guards against reading the rest of a malformed response as the next response (P4).
  void ReusesConnectionOnlyAfterCompleteResponse() {
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->size());
    respond_ = [](RawServer::Connection& it) {
      it.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole");
    };
    Fetch("GET");
    respond_ = [](RawServer::Connection& it) { it.Write("HTTP/1.1 200 OK\r\nbroken\r\n\r\n"); };
    Fetch("GET");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, server_->size());
  }

  // Guards against delivering a surplus response on a connection to the next request (P4).
  void StrayDataReachesNoRequest() {
    respond_ = [](RawServer::Connection& it) {
      it.Write(std::string(kCompleteResponse) +
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client_->idle_connections());
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, client_->idle_connections());
    // Data that arrives while the connection is idle.
    server_->at(1).Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client_->idle_connections() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
  }

  // Guards against delivering the response of a cancelled request to another request (P4).
  void LateResponseReachesNoRequest() {
    RecordingSink abandoned;
    const auto handle = client_->Start(MakeRequest("GET", "/late"), &abandoned);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->requests() == 1; }));
    CPPUNIT_ASSERT(!client_->Cancel(handle));
    server_->at(0).Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(0, abandoned.ends);
    CPPUNIT_ASSERT_EQUAL(std::string(), abandoned.body);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->at(0).closed; }));
  }

  // Guards against sending a POST request twice because the close of a connection was detected only
  // after the request was written (P6).
  void ClosedIdleConnectionCausesNoSecondSend() {
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    Fetch("GET");
    // The close has arrived, but the event loop has not processed it yet.
    shutdown(bufferevent_getfd(server_->at(0).bufev.get()), SHUT_RDWR);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("POST"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
    // The upstream reads the request on the reused connection and closes it without a response.
    const size_t before = server_->requests();
    respond_ = [](RawServer::Connection& it) {
      shutdown(bufferevent_getfd(it.bufev.get()), SHUT_RDWR);
    };
    RecordingSink sink;
    client_->Start(MakeRequest("POST"), &sink);
    WaitForEnd(sink);
    PumpUntilStable(base_.get(), [&] { return server_->requests(); });
    CPPUNIT_ASSERT(sink.result == UpstreamResult::kNoWholeAnswer);
    CPPUNIT_ASSERT_EQUAL(before + 1, server_->requests());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
  }

  // Guards against sending a POST request on a connection that the upstream may be about to close.
  void NonIdempotentRequestAvoidsOldConnections() {
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    Fetch("GET");
    const auto old = std::chrono::steady_clock::now() + UpstreamClient::kMaxIdleTimeUnsafe;
    PumpUntil(base_.get(), [&] { return std::chrono::steady_clock::now() > old; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, client_->idle_connections());
    Fetch("POST");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->size());
  }

  // Guards against losing the call id and against passing on a longer timeout than the remaining
  // one.
  void PassesCallHeaders() {
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
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
    WaitForEnd(sink);
    const std::string text = server_->AllReceived();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, text.find("POST /order?n=1 HTTP/1.1\r\nHost: 127.0.0.1:"));
    for (const char* it : {"\r\nX-Kept: 1\r\n", "\r\nContent-Length: 4\r\n", "\r\n\r\nbody",
                           "\r\nX-Camphorhoist-Call-Id: 0000000000000007-0000000000000009\r\n",
                           "\r\nX-Camphorhoist-Depth: 3\r\n"}) {
      CPPUNIT_ASSERT_MESSAGE(it, text.find(it) != std::string::npos);
    }
    // The port in the Host header is arbitrary and may contain these digits.
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

  // Guards against injecting a second request through the header, target or method of a request
  // from another node.
  void RejectsRequestsThatBreakFraming() {
    std::vector<UpstreamRequest> requests(4, MakeRequest("GET"));
    requests[0].headers = {{"X-A", "1\r\n\r\nGET /forged HTTP/1.1"}};
    requests[1].headers = {{"X A", "1"}};
    requests[2].target = "/a HTTP/1.1\r\nX: y";
    requests[3].method = "GET /forged";
    for (const UpstreamRequest& it : requests) {
      RecordingSink sink;
      client_->Start(it, &sink);
      WaitForEnd(sink);
      CPPUNIT_ASSERT(sink.result == UpstreamResult::kNeverSent);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->requests());
  }

  // Guards against a cancelled request that keeps its slot in the upstream and against sending
  // cancellations to an upstream that does not accept them.
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
    WaitForEnd(late);
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

  // Guards against opening more connections than the upstream accepts.
  void LimitsConnections() {
    std::vector<RecordingSink> sinks(kMaxConnectionCount + 1);
    for (RecordingSink& it : sinks) client_->Start(MakeRequest("GET"), &it);
    WaitForEnd(sinks.back());
    CPPUNIT_ASSERT(sinks.back().result == UpstreamResult::kNeverSent);
    CPPUNIT_ASSERT(
        PumpUntil(base_.get(), [&] { return server_->requests() == kMaxConnectionCount; }));
    for (size_t i = 0; i < kMaxConnectionCount; ++i) server_->at(i).Write(kCompleteResponse);
    for (size_t i = 0; i < kMaxConnectionCount; ++i) WaitForEnd(sinks[i]);
    CPPUNIT_ASSERT_EQUAL(kMaxConnectionCount, client_->idle_connections());
    respond_ = [](RawServer::Connection& it) { it.Write(kCompleteResponse); };
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetch("GET"));
    CPPUNIT_ASSERT_EQUAL(kMaxConnectionCount, server_->size());
  }

  // Guards against unbounded buffering of a response whose caller reads slowly, also if the
  // upstream sends it as a single chunk.
  void PausedResponseAppliesBackpressure() {
    constexpr size_t kBodyBytes = 20 << 20;
    for (const bool chunked : {false, true}) {
      std::string body(kBodyBytes, 'x');
      for (size_t i = 0; i < kBodyBytes; i += 4096) {
        body[i] = static_cast<char>('a' + i / 4096 % 26);
      }
      RawServer::Connection* connection = nullptr;
      respond_ = [&](RawServer::Connection& it) {
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
      WaitForEnd(sink);
      CPPUNIT_ASSERT(sink.result == UpstreamResult::kWhole);
      CPPUNIT_ASSERT(sink.body == body);
    }
  }

  // Guards against use of a freed request after its sink has cancelled it.
  void SinkMayCancelFromCallback() {
    respond_ = [](RawServer::Connection& it) {
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
  void WaitForEnd(const RecordingSink& sink) {
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return sink.ends > 0; }));
    CPPUNIT_ASSERT_EQUAL(1, sink.ends);
  }
  std::string Fetch(const std::string& method) {
    RecordingSink sink;
    client_->Start(MakeRequest(method), &sink);
    WaitForEnd(sink);
    return sink.body;
  }
  void ShutDownWhenSent() {
    if (shutdown_when_sent_ == nullptr || shutdown_when_sent_->unsent() > 0) return;
    shutdown(bufferevent_getfd(shutdown_when_sent_->bufev.get()), SHUT_WR);
    shutdown_when_sent_ = nullptr;
  }

  RawServer::Connection* shutdown_when_sent_ = nullptr;
  EventBasePtr base_;
  std::function<void(RawServer::Connection&)> respond_;
  std::unique_ptr<RawServer> server_;
  std::unique_ptr<UpstreamClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamClientTest);

}  // namespace
}  // namespace camphorhoist
