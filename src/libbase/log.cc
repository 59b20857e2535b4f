#include "libbase/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/property.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace camphorhoist {

namespace {

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool NeedsQuotes(const std::string& value) {
  if (value.empty()) return true;
  for (char c : value) {
    if (c <= ' ' || c == '"' || c == '=') return true;
  }
  return false;
}

std::string Quote(const std::string& value) {
  std::string text = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    if (c == '\n') {
      text += "\\n";
    } else {
      text += static_cast<unsigned char>(c) < ' ' ? '?' : c;
    }
  }
  return text + '"';
}

constexpr int64_t kWindowNs = 1000000000;
// A write of at most this size does not block on a pipe that reports room.
constexpr size_t kWriteBytes = 4096;

int64_t SteadyNanos() {
  return std::chrono::steady_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}

/// Holds lines until they can be written without blocking.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(const LogLimits& limits) : limits_(limits) {}
  ~BoundedAppender() override { destructorImpl(); }
  void close() override {}

  /// Whether a line of this event is within its rate. Counts the line.
  bool Admit(const std::string& module, const std::string& event) {
    Usage& usage = usage_[module + "." + event];
    const int64_t now = SteadyNanos();
    if (now - usage.window_start >= kWindowNs) {
      usage.window_start = now;
      usage.lines = 0;
    }
    if (++usage.lines <= limits_.lines_per_second && held_.size() <= limits_.buffer_bytes) {
      return true;
    }
    ++usage.dropped;
    return false;
  }

  void Flush() {
    for (auto& [name, usage] : usage_) {
      if (usage.dropped == 0 || held_.size() > limits_.buffer_bytes) continue;
      const uint64_t count = usage.dropped;
      usage.dropped = 0;
      LogEvent(LogLevel::kWarn, "log", "dropped").Add("lines_of", name).Add("count", count);
    }
    size_t written = 0;
    while (written < held_.size()) {
      pollfd ready{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) break;
      const size_t size = std::min(kWriteBytes, held_.size() - written);
      const ssize_t n = write(STDOUT_FILENO, held_.data() + written, size);
      if (n <= 0) break;
      written += static_cast<size_t>(n);
    }
    held_.erase(0, written);
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream out;
    layout->formatAndAppend(out, event);
    held_ += out.str();
  }

 private:
  struct Usage {
    int64_t window_start = 0;
    uint32_t lines = 0;
    uint64_t dropped = 0;
  };

  LogLimits limits_;
  std::map<std::string, Usage> usage_;
  std::string held_;
};

BoundedAppender* bounded_appender = nullptr;

std::optional<log4cplus::LogLevel> ParseLevel(const std::string& level, const std::string& place,
                                              Findings* findings) {
  if (level == "debug") return log4cplus::DEBUG_LOG_LEVEL;
  if (level == "info") return log4cplus::INFO_LOG_LEVEL;
  if (level == "warn") return log4cplus::WARN_LOG_LEVEL;
  if (level == "error") return log4cplus::ERROR_LOG_LEVEL;
  findings->Add(place, "value \"" + level + "\" is not one of debug, info, warn, error");
  return std::nullopt;
}

void Install(log4cplus::SharedAppenderPtr appender, log4cplus::LogLevel level,
             const std::string& process_name) {
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p process=" + process_name + " module=%c %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(std::move(appender));
  root.setLogLevel(level);
}

}  // namespace

void ConfigureLogging(const std::string& level, const std::string& process_name,
                      const std::string& place, Findings* findings) {
  log4cplus::initialize();
  const std::optional<log4cplus::LogLevel> value = ParseLevel(level, place, findings);
  if (!value) return;
  bounded_appender = nullptr;
  Install(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)), *value,
          process_name);
}

void ConfigureBoundedLogging(const std::string& level, const std::string& process_name,
                             const std::string& place, const LogLimits& limits,
                             Findings* findings) {
  log4cplus::initialize();
  // No appender is asynchronous, so that the library's worker threads have nothing to do.
  log4cplus::helpers::Properties properties;
  properties.setProperty("log4cplus.threadPoolSize", "0");
  log4cplus::PropertyConfigurator(properties).configure();
  const std::optional<log4cplus::LogLevel> value = ParseLevel(level, place, findings);
  if (!value) return;
  bounded_appender = new BoundedAppender(limits);
  Install(log4cplus::SharedAppenderPtr(bounded_appender), *value, process_name);
}

void FlushLog() {
  if (bounded_appender != nullptr) bounded_appender->Flush();
}

LogEvent::LogEvent(LogLevel level, const char* module, const char* event)
    : level_(level),
      enabled_(log4cplus::Logger::getInstance(module).isEnabledFor(ToLibraryLevel(level))),
      module_(module) {
  if (enabled_ && bounded_appender != nullptr) enabled_ = bounded_appender->Admit(module, event);
  if (enabled_) line_ = std::string("event=") + event;
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  log4cplus::Logger logger = log4cplus::Logger::getInstance(module_);
  logger.forcedLog(ToLibraryLevel(level_), line_);
}

void LogEvent::Append(const char* key, const std::string& value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += NeedsQuotes(value) ? Quote(value) : value;
}

}  // namespace camphorhoist
