#include "libbase/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace camphorhoist {
namespace {

/// Redirects standard output to a pipe that the test can read or leave full.
class CapturedOutput {
 public:
  CapturedOutput() : saved_(dup(STDOUT_FILENO)) {
    CPPUNIT_ASSERT_EQUAL(0, pipe(fds_));
    fcntl(fds_[0], F_SETFL, O_NONBLOCK);
    fflush(stdout);
    dup2(fds_[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(saved_, STDOUT_FILENO);
    for (const int fd : {saved_, fds_[0], fds_[1]}) close(fd);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::string Read() {
    std::string text;
    char buf[4096];
    ssize_t n = 0;
    while ((n = read(fds_[0], buf, sizeof(buf))) > 0) text.append(buf, static_cast<size_t>(n));
    return text;
  }

 private:
  int saved_;
  int fds_[2] = {-1, -1};
};

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

class BoundedLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedLogTest);
  CPPUNIT_TEST(UnreadOutputDropsLinesWithoutBlocking);
  CPPUNIT_TEST(LimitsAndCountsBurstOfOneEvent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    Findings findings;
    ConfigureLogging("error", "test", "log level", &findings);
  }

  // Guards against a process that blocks because nobody reads its log output.
  void UnreadOutputDropsLinesWithoutBlocking() {
    CapturedOutput output;
    LogLimits limits;
    limits.lines_per_second = 1000000;
    limits.buffer_bytes = 100 << 10;
    Findings findings;
    ConfigureBoundedLogging("info", "test", "log level", limits, &findings);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 20000; ++i) {
      LogEvent(LogLevel::kInfo, "test", "flood").Add("i", i).Add("text", std::string(100, 'x'));
      if (i % 100 == 0) FlushLog();
    }
    // Far above the time that formatting takes; a blocking write would never return.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    std::string text;
    for (int i = 0; i < 100; ++i) {
      text += output.Read();
      FlushLog();
    }
    CPPUNIT_ASSERT(CountOf(text, "event=flood") > 100);
    CPPUNIT_ASSERT(text.find("module=log event=dropped lines_of=test.flood count=") !=
                   std::string::npos);
  }

  // Guards against a burst of log lines that takes CPU time from requests and against dropping
  // lines without a report.
  void LimitsAndCountsBurstOfOneEvent() {
    CapturedOutput output;
    LogLimits limits;
    limits.lines_per_second = 10;
    Findings findings;
    ConfigureBoundedLogging("info", "test", "log level", limits, &findings);
    for (int i = 0; i < 500; ++i) LogEvent(LogLevel::kInfo, "test", "burst").Add("i", i);
    LogEvent(LogLevel::kInfo, "test", "other").Add("key", "a value");
    FlushLog();
    const std::string text = output.Read();
    // The burst may span two rate windows of one second each.
    CPPUNIT_ASSERT(CountOf(text, "event=burst") >= 10 && CountOf(text, "event=burst") <= 20);
    CPPUNIT_ASSERT(text.find("event=other key=\"a value\"") != std::string::npos);
    CPPUNIT_ASSERT(CountOf(text, "event=dropped") >= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedLogTest);

}  // namespace
}  // namespace camphorhoist
