#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/call_id.h"
#include "camphorhoist/content_hash.h"
#include "camphorhoist/error.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/http_client.h"
#include "libbase/mailbox.h"
#include "libbase/precise_event_base.h"
#include "libcaller/testing/raw_peer.h"

namespace camphorhoist {
namespace {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(ParsesAddresses);
  CPPUNIT_TEST(CallIdRoundTripsThroughText);
  CPPUNIT_TEST(HashesContent);
  CPPUNIT_TEST(CollectsFindings);
  CPPUNIT_TEST(ErrorCodesCompare);
  CPPUNIT_TEST(TimerWithNegativeDelayFiresImmediately);
  CPPUNIT_TEST(MailboxDoesNotDeliverInsidePost);
  CPPUNIT_TEST(HttpClientDistinguishesUnavailableFromUnknownEffect);
  CPPUNIT_TEST(HttpClientRejectsPartialResponseToCutOffRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an abort in libevent if a timer is started for a deadline that has already
  // passed.
  void TimerWithNegativeDelayFiresImmediately() {
    const EventBasePtr base = NewPreciseEventBase();
    int fired = 0;
    std::vector<std::unique_ptr<Timer>> timers;
    for (const int us : {-1, -999999, -1500000, -60000000}) {
      timers.push_back(std::make_unique<Timer>(base.get(), [&fired] { ++fired; }));
      timers.back()->StartOnce(std::chrono::microseconds(us));
    }
    event_base_dispatch(base.get());
    CPPUNIT_ASSERT_EQUAL(4, fired);
  }

  void ParsesAddresses() {
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"),
                         NetAddress::Parse("127.0.0.1:80")->ToString());
    for (const char* it : {"", "127.0.0.1", "localhost:80", "1.2.3.4:", "1.2.3.4:65536",
                           "1.2.3.4:-1", "1.2.3:80", "1.2.3.4:8 0"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !NetAddress::Parse(it));
    }
  }

  void CallIdRoundTripsThroughText() {
    const CallId id(0xfedcba9876543210ULL, 7);
    CPPUNIT_ASSERT(CallId::Parse(id.ToString()) == id);
    CPPUNIT_ASSERT(!CallId::Parse("fedcba9876543210-000000000000000g"));
    CPPUNIT_ASSERT(!CallId::Parse("7"));
  }

  void HashesContent() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
        ContentHash("abc"));
  }

  void CollectsFindings() {
    Findings findings;
    CPPUNIT_ASSERT(findings.empty());
    findings.Add("a.json[0].name", "is missing");
    findings.Add("a.json[1]", "is not an object");
    CPPUNIT_ASSERT_EQUAL(std::string("a.json[0].name: is missing\na.json[1]: is not an object"),
                         findings.ToString());
  }

  void ErrorCodesCompare() {
    const std::error_code ec = Errc::kConflict;
    CPPUNIT_ASSERT(ec == Errc::kConflict);
    CPPUNIT_ASSERT(ec != Errc::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::string("version conflict"), ec.message());
  }

  // Guards against delivery from inside `Post`, where the receiver could call back into the sender.
  void MailboxDoesNotDeliverInsidePost() {
    EventBasePtr base(event_base_new());
    std::vector<int> seen;
    Mailbox<int> mailbox(base.get(), [&seen](int n) { seen.push_back(n); });
    mailbox.Post(1);
    mailbox.Post(2);
    CPPUNIT_ASSERT(seen.empty());
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CPPUNIT_ASSERT(seen == (std::vector<int>{1, 2}));
  }

  // Guards against reporting "no effect" for a request that the server may have seen.
  void HttpClientDistinguishesUnavailableFromUnknownEffect() {
    EventBasePtr base(event_base_new());
    EvhttpPtr server(evhttp_new(base.get()));
    evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(server.get(), "127.0.0.1", 0);
    const NetAddress address("127.0.0.1", PortOf(evhttp_bound_socket_get_fd(socket)));
    evhttp_set_cb(
        server.get(), "/ok",
        [](evhttp_request* req, void*) { evhttp_send_reply(req, 200, "OK", nullptr); }, nullptr);
    evhttp_set_cb(
        server.get(), "/silent", [](evhttp_request*, void*) {}, nullptr);

    HttpClient client(base.get());
    CPPUNIT_ASSERT_EQUAL(200, Fetch(base.get(), &client, address, "/ok").status);
    CPPUNIT_ASSERT_EQUAL(200, Fetch(base.get(), &client, address, "/ok").status);
    CPPUNIT_ASSERT(Fetch(base.get(), &client, address, "/silent").error == Errc::kUnknownEffect);
    server.reset();
    CPPUNIT_ASSERT(Fetch(base.get(), &client, address, "/ok").error == Errc::kUnavailable);
  }

  // Guards against a partial response without a length that is taken for a complete one, because
  // the server resets or ends the connection while the request is being written.
  void HttpClientRejectsPartialResponseToCutOffRequest() {
    std::signal(SIGPIPE, SIG_IGN);
    const EventBasePtr base(event_base_new());
    const std::string text = "HTTP/1.1 200 OK\r\n\r\n" + std::string(100, 'r');
    bool reset = false;
    bool whole_request = false;
    constexpr size_t kBodyBytes = 12'000'000;
    std::unique_ptr<RawServer> server;
    const auto respond = [&](RawServer::Connection* connection) {
      const int fd = bufferevent_getfd(connection->bufev.get());
      bufferevent_disable(connection->bufev.get(), EV_READ);
      send(fd, text.data(), text.size(), MSG_NOSIGNAL);
      if (!reset) shutdown(fd, SHUT_WR);
    };
    server = std::make_unique<RawServer>(base.get(), [&](size_t number) {
      if (!whole_request) respond(&server->at(number));
    });
    HttpClient client(base.get());
    for (const bool cut_off : {true, false}) {
      for (const bool with_reset : {true, false}) {
        reset = with_reset;
        whole_request = !cut_off;
        HttpRequest request;
        request.method = "POST";
        request.body.assign(kBodyBytes, 'u');
        HttpResponse response;
        bool done = false;
        client.Send(server->address(), std::move(request), std::chrono::seconds(5),
                    [&](HttpResponse it) {
                      response = std::move(it);
                      done = true;
                    });
        const size_t number = server->size();
        if (whole_request) {
          CPPUNIT_ASSERT(PumpUntil(base.get(), [&] {
            return server->size() > number && server->at(number).received.size() >= kBodyBytes &&
                   server->at(number).received.find("\r\n\r\n") + 4 + kBodyBytes ==
                       server->at(number).received.size();
          }));
          respond(&server->at(number));
        }
        const auto start = std::chrono::steady_clock::now();
        PumpUntil(base.get(), [&] {
          return std::chrono::steady_clock::now() - start > std::chrono::milliseconds(50);
        });
        if (reset) {
          const linger reset_on_close{1, 0};
          setsockopt(bufferevent_getfd(server->at(number).bufev.get()), SOL_SOCKET, SO_LINGER,
                     &reset_on_close, sizeof(reset_on_close));
          server->at(number).Close();
        }
        CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return done; }));
        if (cut_off || reset) {
          CPPUNIT_ASSERT_EQUAL(0, response.status);
          CPPUNIT_ASSERT(response.error == Errc::kUnknownEffect);
        } else {
          CPPUNIT_ASSERT_EQUAL(200, response.status);
          CPPUNIT_ASSERT_EQUAL(size_t{100}, response.body.size());
        }
      }
    }
  }

 private:
  static uint16_t PortOf(evutil_socket_t fd) {
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
  }

  static HttpResponse Fetch(event_base* base, HttpClient* client, const NetAddress& address,
                            const std::string& target) {
    HttpRequest request;
    request.target = target;
    HttpResponse result;
    bool done = false;
    client->Send(address, request, std::chrono::milliseconds(300), [&](HttpResponse response) {
      result = std::move(response);
      done = true;
    });
    while (!done) event_base_loop(base, EVLOOP_ONCE);
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace
}  // namespace camphorhoist
