#include "libbase/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

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

}  // namespace

void ConfigureLogging(const std::string& level, const std::string& process_name,
                      const std::string& place, Findings* findings) {
  log4cplus::initialize();
  log4cplus::LogLevel value = log4cplus::NOT_SET_LOG_LEVEL;
  if (level == "debug") value = log4cplus::DEBUG_LOG_LEVEL;
  if (level == "info") value = log4cplus::INFO_LOG_LEVEL;
  if (level == "warn") value = log4cplus::WARN_LOG_LEVEL;
  if (level == "error") value = log4cplus::ERROR_LOG_LEVEL;
  if (value == log4cplus::NOT_SET_LOG_LEVEL) {
    findings->Add(place, "value \"" + level + "\" is not one of debug, info, warn, error");
    return;
  }
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p process=" + process_name + " module=%c %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(value);
}

LogEvent::LogEvent(LogLevel level, const char* module, const char* event)
    : level_(level),
      enabled_(log4cplus::Logger::getInstance(module).isEnabledFor(ToLibraryLevel(level))),
      module_(module) {
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
