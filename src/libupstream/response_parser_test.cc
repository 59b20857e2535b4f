#include "libupstream/response_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "libbase/event_ptr.h"

namespace camphorhoist {
namespace {

struct Parsed {
  std::string outcome;
  int status = 0;
  std::string body;
  bool keep_alive = false;
  size_t unread_bytes = 0;
};

/// Parses `text`, which arrives in pieces of `piece_bytes`. `outcome` is "whole", "incomplete" or
/// the parser's error.
Parsed Parse(const std::string& text, size_t piece_bytes, bool no_body) {
  ResponseParser parser(no_body);
  const EvbufferPtr input(evbuffer_new());
  Parsed result;
  result.outcome = "incomplete";
  for (size_t at = 0; at < text.size() && result.outcome == "incomplete"; at += piece_bytes) {
    evbuffer_add(input.get(), text.data() + at, std::min(piece_bytes, text.size() - at));
    for (bool more = true; more;) {
      switch (parser.Next(input.get())) {
        case ResponseParser::Step::kNeedMore:
          more = false;
          break;
        case ResponseParser::Step::kHead:
          break;
        case ResponseParser::Step::kBodyData:
          result.body += parser.data();
          break;
        case ResponseParser::Step::kComplete:
          result.outcome = "whole";
          more = false;
          break;
        case ResponseParser::Step::kMalformed:
          result.outcome = parser.error();
          more = false;
          break;
      }
    }
  }
  result.status = parser.status();
  result.keep_alive = parser.keep_alive();
  result.unread_bytes = evbuffer_get_length(input.get());
  return result;
}

class ResponseParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseParserTest);
  CPPUNIT_TEST(ParsesResponsesInPiecesOfAnySize);
  CPPUNIT_TEST(RejectsResponsesWithAmbiguousFraming);
  CPPUNIT_TEST(RejectsStatusesAndFieldNamesThatAreNotHttp);
  CPPUNIT_TEST(LimitsHeadSize);
  CPPUNIT_TEST(HeadsWithoutEndAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against detecting the end of a response too early or too late (P4).
  void ParsesResponsesInPiecesOfAnySize() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const struct {
      std::string text;
      bool head_request;
      const char* outcome;
      const char* body;
      bool keep_alive;
      size_t unread_bytes;
    } cases[] = {
        {ok + "Content-Length: 3\r\n\r\nabc", false, "whole", "abc", true, 0},
        {ok + "Content-Length: 3\r\n\r\nab", false, "incomplete", "ab", true, 0},
        {ok + "Content-Length: 0\r\n\r\n", false, "whole", "", true, 0},
        {ok + "content-length: 3\r\nConnection: Close\r\n\r\nabc", false, "whole", "abc", false, 0},
        {ok + "Content-Length: 3\r\n\r\n", true, "whole", "", true, 0},
        {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", false, "whole", "a", false, 0},
        {"HTTP/1.1 204 \r\nContent-Length: 3\r\n\r\n", false, "whole", "", true, 0},
        {"HTTP/1.1 304\r\n\r\n", false, "whole", "", true, 0},
        {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", false, "whole", "a",
         true, 0},
        {chunked + "3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n", false, "whole",
         "abc0123456789", true, 0},
        {chunked + "3\r\nabc\r\n0\r\n", false, "incomplete", "abc", true, 0},
        {chunked + "3\r\nabc\r\n", false, "incomplete", "abc", true, 0},
    };
    for (const auto& it : cases) {
      for (size_t piece_bytes : {size_t{1}, size_t{7}, it.text.size()}) {
        const Parsed parsed = Parse(it.text, piece_bytes, it.head_request);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, std::string(it.outcome), parsed.outcome);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, std::string(it.body), parsed.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, it.keep_alive, parsed.keep_alive);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, it.unread_bytes, parsed.unread_bytes);
      }
    }
    // Bytes after the end stay in the buffer, where the client detects them.
    CPPUNIT_ASSERT_EQUAL(size_t{4},
                         Parse(ok + "Content-Length: 1\r\n\r\naHTTP", 999, false).unread_bytes);
  }

  // Guards against accepting a response whose end two parsers could see at different positions.
  void RejectsResponsesWithAmbiguousFraming() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& it :
         {ok + "\r\nabc",
          ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
          ok + "Content-Length: -1\r\n\r\n",
          ok + "Content-Length: 1, 1\r\n\r\na",
          ok + "Content-Length: 99999999999999999999\r\n\r\na",
          ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          ok + "Transfer-Encoding: gzip\r\n\r\nabc",
          ok + "Transfer-Encoding : chunked\r\n\r\n",
          ok + " folded\r\n\r\n",
          chunked + "\r\n",
          chunked + "x\r\n",
          chunked + "-1\r\n",
          chunked + "3\r\nabcd\r\n",
          chunked + "fffffffffffffffff\r\n",
          chunked + "3 4\r\nabc",
          std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
          std::string("HTTP/2 200\r\n\r\n"),
          std::string("HTTP/1.1 2x0 OK\r\n\r\n"),
          std::string("HTTP/1.1 20\r\n\r\n"),
          std::string("\r\n\r\n"),
          std::string("nonsense\r\n")}) {
      const Parsed parsed = Parse(it, it.size(), false);
      CPPUNIT_ASSERT_MESSAGE(it, parsed.outcome != "whole" && parsed.outcome != "incomplete");
      CPPUNIT_ASSERT_MESSAGE(it, !parsed.keep_alive);
    }
  }

  // Guards against passing on a status or a field name that the caller's parser rejects or reads
  // differently.
  void RejectsStatusesAndFieldNamesThatAreNotHttp() {
    const std::string rest = "Content-Length: 1\r\n\r\na";
    for (const char* status :
         {"000", "099", "600", "700", "999", "+20", "-20", "2 0", "1000", "20a"}) {
      const Parsed parsed = Parse("HTTP/1.1 " + std::string(status) + " X\r\n" + rest, 999, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::string("the status line is malformed"),
                                   parsed.outcome);
      CPPUNIT_ASSERT_MESSAGE(status, !parsed.keep_alive);
    }
    for (const int status : {200, 299, 418, 599}) {
      const Parsed parsed =
          Parse("HTTP/1.1 " + std::to_string(status) + " X\r\n" + rest, 999, false);
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), parsed.outcome);
      CPPUNIT_ASSERT_EQUAL(status, parsed.status);
    }
    const std::string nul("X\0Y", 3);
    for (const std::string& name :
         {std::string("X Y"), std::string("X "), std::string(" X"), std::string("\tX"),
          std::string("X\tY"), std::string(), nul, std::string("X\x01"), std::string("X\x7f"),
          std::string("X\rY"), std::string("X(Y)"), std::string("X/Y"), std::string("\"X\""),
          std::string("X\xc3\xa9"), std::string("X@"), std::string("X,Y")}) {
      std::string text = "HTTP/1.1 200 OK\r\n";
      text.append(name).append(": v\r\n").append(rest);
      const Parsed parsed = Parse(text, 999, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("a header line is malformed"), parsed.outcome);
      CPPUNIT_ASSERT_MESSAGE(name, !parsed.keep_alive);
    }
  }

  // Guards against unbounded memory use for an endless response head.
  void LimitsHeadSize() {
    const std::string line = "A: " + std::string(1000, 'a') + "\r\n";
    std::string text = "HTTP/1.1 200 OK\r\n";
    while (text.size() < 2 * ResponseParser::kMaxHeadBytes) text += line;
    for (const std::string& it :
         {text, "HTTP/1.1 200 " + std::string(2 * ResponseParser::kMaxHeadBytes, 'x')}) {
      const Parsed parsed = Parse(it, 4096, false);
      CPPUNIT_ASSERT(parsed.outcome != "whole" && parsed.outcome != "incomplete");
    }
  }

  // Guards against an upstream that keeps the reader busy with a head that never ends.
  void HeadsWithoutEndAreRejected() {
    for (const char* repeated : {"x", "X-Header: value\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
                                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}) {
      std::string text = repeated[0] == 'X' ? "HTTP/1.1 200 OK\r\n" : "";
      while (text.size() < (400 << 10)) text += repeated;
      const std::string outcome = Parse(text, 4096, false).outcome;
      CPPUNIT_ASSERT_MESSAGE(repeated, outcome != "incomplete" && outcome != "whole");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseParserTest);

}  // namespace
}  // namespace camphorhoist
