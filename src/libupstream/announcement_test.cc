#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libbase/http_client.h"
#include "libcaller/testing/raw_peer.h"
#include "libupstream/announcement_codec.h"
#include "libupstream/announcement_server.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

const AnnouncementTable::TimePoint kStart{std::chrono::seconds(1000)};

Announcement MakeAnnouncement(const std::string& instance, UpstreamState state) {
  Announcement announcement;
  announcement.service = "orders";
  announcement.address = NetAddress("127.0.0.1", 9000);
  announcement.slots = 6;
  announcement.connections = 110;
  announcement.state = state;
  announcement.instance = instance;
  return announcement;
}

/// Formats messages for comparison, such as "announced a, left a".
std::string Describe(const std::vector<UpstreamMessage>& messages) {
  struct Visitor {
    std::string operator()(const UpstreamAnnounced& it) {
      return "announced " + it.announcement.instance;
    }
    std::string operator()(const UpstreamDraining& it) {
      return "draining " + it.announcement.instance;
    }
    std::string operator()(const UpstreamLeft& it) {
      const char* reasons[] = {"left", "lapsed", "replaced"};
      return std::string(reasons[static_cast<int>(it.reason)]) + " " + it.announcement.instance;
    }
    std::string operator()(const UpstreamLoad& it) { return "load " + it.instance; }
  };
  std::string text;
  for (const UpstreamMessage& it : messages) {
    text += (text.empty() ? "" : ", ") + std::visit(Visitor(), it);
  }
  return text;
}

class AnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTest);
  CPPUNIT_TEST(ExpiresAfterFiveSeconds);
  CPPUNIT_TEST(RejectsOutOfOrderAnnouncements);
  CPPUNIT_TEST(ReplacesPreviousInstance);
  CPPUNIT_TEST(ReportsAllFindingsTogether);
  CPPUNIT_TEST(PostsAcceptedChangesOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a dead upstream that stays in rotation and a live one that is removed early.
  void ExpiresAfterFiveSeconds() {
    AnnouncementTable table;
    const Announcement a = MakeAnnouncement("a", UpstreamState::kServing);
    CPPUNIT_ASSERT_EQUAL(std::string("announced a"), Describe(table.Announce(a, kStart).messages));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Describe(table.Announce(a, kStart + milliseconds(3000)).messages));
    CPPUNIT_ASSERT_EQUAL(std::string(), Describe(table.Expire(kStart + milliseconds(7999))));
    CPPUNIT_ASSERT_EQUAL(std::string("lapsed a"),
                         Describe(table.Expire(kStart + milliseconds(8000))));
    CPPUNIT_ASSERT(table.Entries().empty());
    // An upstream that was only paused is announced again.
    CPPUNIT_ASSERT_EQUAL(std::string("announced a"),
                         Describe(table.Announce(a, kStart + milliseconds(9000)).messages));
  }

  // Guards against new requests to an upstream that is draining or has left, which happen if an
  // older announcement arrives last and is accepted (P7).
  void RejectsOutOfOrderAnnouncements() {
    AnnouncementTable table;
    const Announcement serving = MakeAnnouncement("a", UpstreamState::kServing);
    const Announcement draining = MakeAnnouncement("a", UpstreamState::kDraining);
    table.Announce(serving, kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("draining a"),
                         Describe(table.Announce(draining, kStart).messages));
    CPPUNIT_ASSERT(!table.Announce(serving, kStart).accepted);
    CPPUNIT_ASSERT(table.Entries()[0].state == UpstreamState::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::string("left a"),
                         Describe(table.Leave(serving.address, "a", kStart).messages));
    CPPUNIT_ASSERT(!table.Announce(serving, kStart).accepted);
    CPPUNIT_ASSERT(!table.Announce(draining, kStart + milliseconds(1000)).accepted);
    // The leave message may also arrive before the first announcement.
    table.Leave(serving.address, "b", kStart);
    CPPUNIT_ASSERT(
        !table.Announce(MakeAnnouncement("b", UpstreamState::kServing), kStart).accepted);
    CPPUNIT_ASSERT(table.Entries().empty());
  }

  // Guards against a restarted upstream that inherits the state of its previous instance.
  void ReplacesPreviousInstance() {
    AnnouncementTable table;
    table.Announce(MakeAnnouncement("a", UpstreamState::kDraining), kStart);
    const Announcement b = MakeAnnouncement("b", UpstreamState::kWarming);
    CPPUNIT_ASSERT_EQUAL(std::string("replaced a, announced b"),
                         Describe(table.Announce(b, kStart).messages));
    CPPUNIT_ASSERT(
        !table.Announce(MakeAnnouncement("a", UpstreamState::kDraining), kStart).accepted);
    CPPUNIT_ASSERT_EQUAL(std::string(), Describe(table.Leave(b.address, "a", kStart).messages));
    CPPUNIT_ASSERT(table.Entries()[0] == b);
    UpstreamLoad load;
    load.address = b.address;
    load.instance = "a";
    CPPUNIT_ASSERT(!table.ReportLoad(load).accepted);
    load.instance = "b";
    CPPUNIT_ASSERT_EQUAL(std::string("load b"), Describe(table.ReportLoad(load).messages));
  }

  // Guards against accepting invalid input and against reporting only the first error of a body.
  void ReportsAllFindingsTogether() {
    const Announcement valid = MakeAnnouncement("a", UpstreamState::kWarming);
    Findings none;
    CPPUNIT_ASSERT(ParseAnnouncement(FormatAnnouncement(valid), &none) == valid);
    CPPUNIT_ASSERT(none.empty());
    const struct {
      const char* text;
      std::vector<std::string> places;
    } cases[] = {
        {"", {"body"}},
        {"[1]", {"body"}},
        {"{}",
         {"service", "address", "slots", "connections", "state", "instance", "accepts_cancel"}},
        {R"({"service":"No Name","address":"localhost:1","slots":0,"connections":"9",
             "state":"up","instance":"","accepts_cancel":1})",
         {"service", "address", "slots", "connections", "state", "instance", "accepts_cancel"}},
        {R"({"service":"orders","address":"1.2.3.4:0","slots":18446744073709551615,
             "connections":1.5,"state":"serving","instance":"a","accepts_cancel":true})",
         {"address", "slots", "connections"}},
    };
    for (const auto& it : cases) {
      Findings findings;
      ParseAnnouncement(it.text, &findings);
      std::vector<std::string> places;
      for (const Finding& finding : findings.items()) places.push_back(finding.place());
      CPPUNIT_ASSERT_MESSAGE(std::string(it.text) + "\n" + findings.ToString(),
                             places == it.places);
    }
    Findings findings;
    ParseLoad(R"({"address":"1.2.3.4:5","instance":"a","load":-1,"running":-2})", &findings);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, findings.items().size());
  }

  // Guards against messages that are accepted over HTTP but not posted to the mailbox, and against
  // rejected messages that are posted.
  void PostsAcceptedChangesOnly() {
    EventBasePtr base(event_base_new());
    std::vector<UpstreamMessage> messages;
    Mailbox<UpstreamMessage> mailbox(
        base.get(), [&](UpstreamMessage it) { messages.push_back(std::move(it)); });
    AnnouncementServer server(base.get(), &mailbox);
    CPPUNIT_ASSERT(!server.Listen());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), server.address().ip());
    const std::string serving = FormatAnnouncement(MakeAnnouncement("a", UpstreamState::kServing));
    const std::string draining =
        FormatAnnouncement(MakeAnnouncement("a", UpstreamState::kDraining));
    const std::string load = R"({"address":"127.0.0.1:9000","instance":"a","load":0.5})";
    const struct {
      const char* method;
      const char* path;
      std::string body;
      int status;
      const char* messages;
    } cases[] = {
        {"POST", "/announce", "{", 400, ""},
        {"POST", "/load", load, 409, ""},
        {"POST", "/announce", serving, 200, "announced a"},
        {"POST", "/announce", serving, 200, "announced a"},
        {"POST", "/load", load, 200, "announced a, load a"},
        {"GET", "/announce", "", 405, "announced a, load a"},
        {"POST", "/other", serving, 404, "announced a, load a"},
        {"POST", "/announce", draining, 200, "announced a, load a, draining a"},
        {"POST", "/announce", serving, 409, "announced a, load a, draining a"},
        {"POST", "/leave", load, 200, "announced a, load a, draining a, left a"},
    };
    HttpClient client(base.get());
    for (const auto& it : cases) {
      HttpRequest request{it.method, it.path, {}, it.body};
      HttpResponse response;
      bool done = false;
      client.Send(server.address(), request, milliseconds(5000), [&](HttpResponse result) {
        response = std::move(result);
        done = true;
      });
      CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return done; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.path + it.body, it.status, response.status);
      CPPUNIT_ASSERT_EQUAL(std::string(it.messages), Describe(messages));
      CPPUNIT_ASSERT(it.status != 400 || response.body.find("findings") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTest);

}  // namespace
}  // namespace camphorhoist
