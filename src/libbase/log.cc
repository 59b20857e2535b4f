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

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
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

constexpr int64_t kRateWindowNs = 1000000000;
// A write of at most this size does not block on a pipe that poll() reports as writable.
constexpr size_t kMaxWriteBytes = 4096;

int64_t SteadyNanos() {
  return std::chrono::steady_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}

/// Appender that buffers lines until they can be written without blocking, and limits their rate.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(const LogLimits& limits) : limits_(limits) {}
  ~BoundedAppender() override { destructorImpl(); }
  void close() override {}

  /// Counts a line of this event and returns whether it is within the rate and buffer limits.
  bool AdmitLine(const std::string& module, const std::string& event) {
    EventRate& rate = rates_[module + "." + event];
    const int64_t now = SteadyNanos();
    if (now - rate.window_start_ns >= kRateWindowNs) {
      rate.window_start_ns = now;
      rate.lines = 0;
    }
    if (++rate.lines <= limits_.lines_per_second && buffer_.size() <= limits_.buffer_bytes) {
      return true;
    }
    ++rate.dropped;
    return false;
  }

  void Flush() {
    for (auto& [name, rate] : rates_) {
      if (rate.dropped == 0 || buffer_.size() > limits_.buffer_bytes) continue;
      const uint64_t count = rate.dropped;
      rate.dropped = 0;
      LogEvent(LogLevel::kWarn, "log", "dropped").Add("lines_of", name).Add("count", count);
    }
    size_t written = 0;
    while (written < buffer_.size()) {
      pollfd ready{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) break;
      const size_t size = std::min(kMaxWriteBytes, buffer_.size() - written);
      const ssize_t n = write(STDOUT_FILENO, buffer_.data() + written, size);
      if (n <= 0) break;
      written += static_cast<size_t>(n);
    }
    buffer_.erase(0, written);
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream out;
    layout->formatAndAppend(out, event);
    buffer_ += out.str();
  }

 private:
  struct EventRate {
    int64_t window_start_ns = 0;
    uint32_t lines = 0;
    uint64_t dropped = 0;
  };

  LogLimits limits_;
  std::map<std::string, EventRate> rates_;
  std::string buffer_;
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

void InstallAppender(log4cplus::SharedAppenderPtr appender, log4cplus::LogLevel level,
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
  InstallAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)), *value,
                  process_name);
}

void ConfigureBoundedLogging(const std::string& level, const std::string& process_name,
                             const std::string& place, const LogLimits& limits,
                             Findings* findings) {
  log4cplus::initialize();
  // No appender is asynchronous, so the worker threads of log4cplus are not needed.
  log4cplus::helpers::Properties properties;
  properties.setProperty("log4cplus.threadPoolSize", "0");
  log4cplus::PropertyConfigurator(properties).configure();
  const std::optional<log4cplus::LogLevel> value = ParseLevel(level, place, findings);
  if (!value) return;
  bounded_appender = new BoundedAppender(limits);
  InstallAppender(log4cplus::SharedAppenderPtr(bounded_appender), *value, process_name);
}

void FlushLog() {
  if (bounded_appender != nullptr) bounded_appender->Flush();
}

LogEvent::LogEvent(LogLevel level, const char* module, const char* event)
    : level_(level),
      enabled_(log4cplus::Logger::getInstance(module).isEnabledFor(ToLog4cplusLevel(level))),
      module_(module) {
  if (enabled_ && bounded_appender != nullptr) {
    enabled_ = bounded_appender->AdmitLine(module, event);
  }
  if (enabled_) line_ = std::string("event=") + event;
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  log4cplus::Logger logger = log4cplus::Logger::getInstance(module_);
  logger.forcedLog(ToLog4cplusLevel(level_), line_);
}

void LogEvent::Append(const char* key, const std::string& value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += NeedsQuotes(value) ? Quote(value) : value;
}

}  // namespace camphorhoist
