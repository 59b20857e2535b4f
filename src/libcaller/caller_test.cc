#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "libcaller/caller_server.h"
#include "libcaller/http_headers.h"
#include "libcaller/testing/raw_peer.h"

namespace camphorhoist {
namespace {

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: mesh\r\n\r\n";

/// Records requests and replies.
class RecordingHandler : public CallHandler {
 public:
  void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) override {
    requests.push_back(std::move(request));
    replies.push_back(std::move(reply));
    if (reply_immediately) SendWholeReply(replies.back().get(), 200, {}, "ok");
  }
  std::vector<CallRequest> requests;
  std::vector<std::shared_ptr<CallReply>> replies;
  bool reply_immediately = false;
};

class CallerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerTest);
  CPPUNIT_TEST(FramesResponses);
  CPPUNIT_TEST(LargeResponseIsBufferedWithinLimit);
  CPPUNIT_TEST(AbortIsVisibleToCaller);
  CPPUNIT_TEST(AbortSendsDataOfTheSameTurn);
  CPPUNIT_TEST(ResponseOfWrongLengthIsAborted);
  CPPUNIT_TEST(DroppedReplyIsAborted);
  CPPUNIT_TEST(DisconnectIsReported);
  CPPUNIT_TEST(RejectsInvalidRequests);
  CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
  CPPUNIT_TEST(RemovesHopByHopHeaders);
  CPPUNIT_TEST(GracefulStopFinishesRequests);
  CPPUNIT_TEST(GracefulStopAnswersUnreadRequest);
  CPPUNIT_TEST(GracefulStopAnswersPipelinedRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    base_.reset(event_base_new());
    handler_ = std::make_unique<RecordingHandler>();
    server_ = std::make_unique<CallerServer>(base_.get(), handler_.get());
    CPPUNIT_ASSERT(!server_->Listen(NetAddress("127.0.0.1", 0)));
  }
  void tearDown() override {
    handler_->replies.clear();
    server_.reset();
    base_.reset();
  }

  // Guards against responses whose end the caller cannot determine, and bodies where none is
  // allowed.
  void FramesResponses() {
    struct Case {
      const char* request;
      int status;
      HttpHeaders headers;
      const char* expected_header;
      const char* expected_end;
    };
    const Case cases[] = {
        {kGet, 200, {{"Content-Length", "3"}}, "Content-Length: 3\r\n", "\r\n\r\nabc"},
        {kGet, 200, {}, "Transfer-Encoding: chunked\r\n", "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        {"HEAD /a HTTP/1.1\r\n\r\n",
         200,
         {{"Content-Length", "3"}},
         "Content-Length: 3\r\n",
         "\r\n\r\n"},
        {kGet, 204, {}, "204", "\r\n\r\n"},
        {kGet, 304, {{"Content-Length", "3"}}, "304", "\r\n\r\n"},
        {"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
         200,
         {},
         "Connection: close\r\n",
         "\r\n\r\nabc"},
    };
    for (const Case& it : cases) {
      RawClient client(server_->address());
      client.Send(it.request);
      CallReply* reply = NextReply();
      reply->SendHead(it.status, it.headers);
      // An upstream sends no body in response to HEAD, whatever the Content-Length.
      if (handler_->requests.back().method != "HEAD") reply->SendChunk("abc");
      reply->Finish();
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->open_requests() == 0; }));
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("\r\n\r\n"); }));
      const std::string text = client.Read();
      const std::string end = it.expected_end;
      CPPUNIT_ASSERT_MESSAGE(text, text.find(it.expected_header) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(text, text.size() > end.size());
      CPPUNIT_ASSERT_EQUAL(end, text.substr(text.size() - end.size()));
      CPPUNIT_ASSERT_MESSAGE(text, text.find("Content-Length: 0") == std::string::npos);
    }
  }

  // Guards against unbounded buffering for a slow caller, and against a sender that is never
  // resumed.
  void LargeResponseIsBufferedWithinLimit() {
    constexpr size_t kBodyBytes = 20 << 20;
    constexpr size_t kChunkBytes = 64 << 10;
    RawClient client(server_->address());
    client.Send(kGet);
    CallReply* reply = NextReply();
    reply->SendHead(200, {{"Content-Length", std::to_string(kBodyBytes)}});
    size_t sent = 0;
    size_t most_buffered = 0;
    const std::string chunk(kChunkBytes, 'x');
    const auto send_more = [&] {
      while (sent < kBodyBytes && reply->buffered_bytes() < CallReply::kHighWaterBytes) {
        reply->SendChunk(chunk);
        sent += kChunkBytes;
        most_buffered = std::max(most_buffered, reply->buffered_bytes());
      }
      if (sent == kBodyBytes) reply->Finish();
    };
    reply->SetOnWritable(send_more);
    send_more();
    PumpUntilStable(base_.get(), [&] { return sent; });
    CPPUNIT_ASSERT(sent < kBodyBytes);
    CPPUNIT_ASSERT(
        PumpUntil(base_.get(), [&] { return client.Read(1 << 20).size() > kBodyBytes; }));
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->open_requests() == 0; }));
    CPPUNIT_ASSERT(most_buffered < CallReply::kHighWaterBytes + 2 * kChunkBytes);
    const std::string& text = client.Read();
    CPPUNIT_ASSERT_EQUAL(kBodyBytes, text.size() - text.find("\r\n\r\n") - 4);
  }

  // Guards against an aborted response that looks complete to the caller (P4).
  void AbortIsVisibleToCaller() {
    struct Case {
      const char* request;
      HttpHeaders headers;
      bool reset;
    };
    const Case cases[] = {{kGet, {}, false},
                          {kGet, {{"Content-Length", "100"}}, false},
                          {"GET /a HTTP/1.0\r\n\r\n", {}, true}};
    for (const Case& it : cases) {
      RawClient client(server_->address());
      client.Send(it.request);
      CallReply* reply = NextReply();
      reply->SendHead(200, it.headers);
      reply->SendChunk("part of the body");
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("part of the body"); }));
      reply->Abort();
      CPPUNIT_ASSERT(reply->closed());
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
      CPPUNIT_ASSERT_EQUAL(it.reset, client.reset());
      CPPUNIT_ASSERT(!client.Contains("0\r\n\r\n"));
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return server_->open_requests() == 0; }));
    }
  }

  // Guards against an abort that drops the head and the data accepted in the same turn of the loop,
  // so that the caller receives nothing of the response.
  void AbortSendsDataOfTheSameTurn() {
    RawClient client(server_->address());
    client.Send(kGet);
    CallReply* reply = NextReply();
    reply->SendHead(200, {{"Content-Length", "100"}});
    reply->SendChunk("part of the body");
    reply->Abort();
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
    CPPUNIT_ASSERT(client.Contains("HTTP/1.1 200"));
    CPPUNIT_ASSERT(client.Contains("part of the body"));
  }

  // Guards against a caller that reads the next response on the connection as the rest of this one.
  void ResponseOfWrongLengthIsAborted() {
    for (const char* more : {"", "de>beyond"}) {
      RawClient client(server_->address());
      client.Send(std::string(kGet) + kGet);
      CallReply* reply = NextReply();
      const size_t calls = handler_->requests.size();
      reply->SendHead(200, {{"Content-Length", "5"}});
      reply->SendChunk("abc");
      reply->SendChunk(more);
      PumpUntilStable(base_.get(), [&] { return client.Read().size(); });
      reply->Finish();
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
      CPPUNIT_ASSERT(!client.Contains(">"));
      CPPUNIT_ASSERT_EQUAL(calls, handler_->requests.size());
    }
  }

  // Guards against a caller that waits forever for a response that will not be sent.
  void DroppedReplyIsAborted() {
    RawClient client(server_->address());
    client.Send(kGet);
    NextReply();
    handler_->replies.clear();
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
  }

  // Guards against work for callers that have disconnected, and against use of the freed request.
  void DisconnectIsReported() {
    for (const bool head_sent : {false, true}) {
      RawClient client(server_->address());
      client.Send(kGet);
      CallReply* reply = NextReply();
      int disconnects = 0;
      reply->SetOnDisconnect([&] { ++disconnects; });
      if (head_sent) reply->SendHead(200, {});
      client.Close();
      CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return disconnects > 0; }));
      CPPUNIT_ASSERT(reply->closed());
      reply->SendHead(200, {});
      reply->SendChunk("late");
      reply->Finish();
      reply->Abort();
      CPPUNIT_ASSERT_EQUAL(size_t{0}, reply->buffered_bytes());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->open_requests());
      CPPUNIT_ASSERT_EQUAL(1, disconnects);
    }
  }

  // Guards against invalid input that crashes the process, and against requests whose end this hop
  // and the next determine differently.
  void RejectsInvalidRequests() {
    const std::string post = "POST /a HTTP/1.1\r\n";
    const std::string zeros(2 << 20, '0');
    const struct {
      std::string request;
      const char* expected;  // if empty, any close of the connection is accepted
    } cases[] = {
        {"nonsense\r\n\r\n", ""},
        {std::string("\x16\x03\x01\0\xff\r\n\r\n", 9), ""},
        {"GET relative HTTP/1.1\r\n\r\n", "400"},
        {"GET /a HTTP/1.1\r\nno colon\r\n\r\n", "400"},
        {"BREW /a HTTP/1.1\r\n\r\n", "501"},
        {"TRACE /a HTTP/1.1\r\n\r\n", "501"},
        {post + "Content-Length: 2000000\r\n\r\n" + zeros.substr(0, 2000000), "413"},
        {post + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + zeros + "\r\n0\r\n\r\n", "413"},
        {post + "Content-Length: -1\r\n\r\n", "400"},
        {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
        {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {post + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab", "400"},
        {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "413"},  // status chosen by evhttp
        {post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400"},
        {"GET /a HTTP/1.1\r\nContent-Length: 28\r\n\r\nGET /inner HTTP/1.1\r\nA: b\r\n\r\n", "400"},
        {"GET /a HTTP/1.1\r\nA: " + zeros.substr(0, 40000) + "\r\n\r\n", "431"},
        {"GET /a HTTP/1.1\r\nA: " + zeros.substr(0, 90000) + "\r\n\r\n", "400"},
    };
    for (const auto& it : cases) {
      const std::string name = it.request.substr(0, 60);
      RawClient client(server_->address());
      client.SendAll(base_.get(), it.request);
      const std::string expected = std::string("HTTP/1.1 ") + it.expected;
      const bool any_close = *it.expected == '\0';
      CPPUNIT_ASSERT_MESSAGE(name, PumpUntil(base_.get(), [&] {
                               return any_close ? client.closed() : client.Contains(expected);
                             }));
      client.Close();
    }
    CPPUNIT_ASSERT(handler_->requests.empty());
    handler_->reply_immediately = true;
    RawClient client(server_->address());
    client.Send(post + "Content-Length: 2\r\n\r\nab");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("200 OK"); }));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), handler_->requests.back().body);
  }

  // Guards against evhttp aborting the process on data that arrives while a request is handled, and
  // against responses that are sent in the wrong order.
  void AnswersPipelinedRequestsInOrder() {
    RawClient client(server_->address());
    client.Send("GET /1 HTTP/1.1\r\n\r\n");
    CallReply* first = NextReply();
    client.Send("GET /2?q=1 HTTP/1.1\r\n\r\n");
    PumpUntilStable(base_.get(), [&] { return handler_->requests.size(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, handler_->requests.size());
    SendWholeReply(first, 200, {}, "first");
    SendWholeReply(NextReply(), 200, {}, "second");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("second"); }));
    CPPUNIT_ASSERT(client.Read().find("first") < client.Read().find("second"));
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), handler_->requests[1].path);
    CPPUNIT_ASSERT_EQUAL(std::string("/2?q=1"), handler_->requests[1].target);
  }

  // Guards against forwarding headers that apply to one connection only, and against header
  // injection.
  void RemovesHopByHopHeaders() {
    RawClient client(server_->address());
    client.Send(
        "GET /a HTTP/1.1\r\nHost: mesh\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\n"
        "Keep-Alive: timeout=5\r\nTE: trailers\r\nX-Kept: 2\r\n\r\n");
    CallReply* reply = NextReply();
    const CallRequest& request = handler_->requests.back();
    CPPUNIT_ASSERT_EQUAL(std::string("mesh"), request.host);
    for (const char* it : {"Connection", "X-Private", "Keep-Alive", "TE"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !FindHeader(request.headers, it));
    }
    CPPUNIT_ASSERT(FindHeader(request.headers, "x-kept") == "2");
    reply->SendHead(200, {{"Transfer-Encoding", "gzip"},
                          {"Upgrade", "h2"},
                          {"X-Bad", "1\r\nX-Forged: 1"},
                          {"X-Folded", "1\r\n 2"},
                          {"X-No Token", "1"},
                          {"X-Kept", "3"}});
    reply->Finish();
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("0\r\n\r\n"); }));
    CPPUNIT_ASSERT(client.Contains("X-Kept: 3"));
    for (const char* it : {"gzip", "Upgrade", "X-Forged", "X-Folded", "X-No"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !client.Contains(it));
    }
  }

  // Guards against a graceful stop that cuts off a request (P8), and one that does not end because
  // of idle connections.
  void GracefulStopFinishesRequests() {
    RawClient idle(server_->address());
    idle.Send(kGet);
    SendWholeReply(NextReply(), 200, {}, "idle");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return idle.Contains("idle"); }));
    RawClient started(server_->address());
    started.Send(kGet);
    CallReply* head_sent = NextReply();
    head_sent->SendHead(200, {});
    RawClient waiting(server_->address());
    waiting.Send(kGet);
    CallReply* reply = NextReply();

    int drained = 0;
    server_->StopAccepting([&] { ++drained; });
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return idle.closed(); }));
    CPPUNIT_ASSERT(!RawClient(server_->address()).connected());
    CPPUNIT_ASSERT_EQUAL(0, drained);
    reply->SendHead(200, {});
    reply->SendChunk("whole");
    reply->Finish();
    head_sent->SendChunk("whole");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return waiting.closed(); }));
    CPPUNIT_ASSERT(waiting.Contains("Connection: close"));
    CPPUNIT_ASSERT(waiting.Contains("whole\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(0, drained);
    head_sent->Finish();
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return started.closed(); }));
    CPPUNIT_ASSERT(started.Contains("whole\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return drained == 1; }));
  }

  // Guards against cutting off a request that has arrived in the kernel but is not read yet when
  // the server is stopped.
  void GracefulStopAnswersUnreadRequest() {
    handler_->reply_immediately = true;
    RawClient client(server_->address());
    client.Send(kGet);
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.Contains("ok"); }));
    client.Send("GET /last HTTP/1.1\r\n\r\n");
    server_->StopAccepting([] {});
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("/last"), handler_->requests.back().target);
    CPPUNIT_ASSERT(client.Contains("Connection: close"));
  }

  // Guards against closing a connection as idle while a pipelined request is waiting on it.
  void GracefulStopAnswersPipelinedRequest() {
    RawClient client(server_->address());
    client.Send(kGet);
    CallReply* first = NextReply();
    first->SendHead(200, {});
    client.Send("GET /ahead HTTP/1.1\r\n\r\n");
    PumpUntilStable(base_.get(), [&] { return client.Read().size(); });
    server_->StopAccepting([] {});
    first->Finish();
    SendWholeReply(NextReply(), 200, {}, "second");
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return client.closed(); }));
    CPPUNIT_ASSERT(client.Contains("second"));
  }

 private:
  /// Waits for the next request and returns its reply.
  CallReply* NextReply() {
    const size_t number = replies_taken_++;
    CPPUNIT_ASSERT(PumpUntil(base_.get(), [&] { return handler_->replies.size() > number; }));
    return handler_->replies[number].get();
  }

  size_t replies_taken_ = 0;
  EventBasePtr base_;
  std::unique_ptr<RecordingHandler> handler_;
  std::unique_ptr<CallerServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTest);

}  // namespace
}  // namespace camphorhoist
