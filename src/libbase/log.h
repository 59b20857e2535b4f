#ifndef CAMPHORHOIST_LIBBASE_LOG_H_
#define CAMPHORHOIST_LIBBASE_LOG_H_

#include <cstdint>
#include <sstream>
#include <string>

#include "camphorhoist/finding.h"

namespace camphorhoist {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Configures log4cplus to write structured lines to standard error. `level` is "debug", "info",
/// "warn" or "error"; anything else adds a finding at `place`. Call once, before the first
/// `LogEvent`. Thread safety: call from the main thread only.
void ConfigureLogging(const std::string& level, const std::string& process_name,
                      const std::string& place, Findings* findings);

/// Limits the CPU time and memory that logging takes in a process that serves requests.
struct LogLimits {
  /// Maximum lines per second of one event of one module; further lines are dropped and counted.
  uint32_t lines_per_second = 50;
  /// Maximum buffered bytes while standard output is not writable; further lines are dropped and
  /// counted.
  size_t buffer_bytes = 256 << 10;
};

/// Like `ConfigureLogging`, but writes to standard output, within `limits`, and never blocks: lines
/// are buffered until `FlushLog` writes as many as it can without blocking. Thread safety: call
/// from the main thread only.
void ConfigureBoundedLogging(const std::string& level, const std::string& process_name,
                             const std::string& place, const LogLimits& limits, Findings* findings);

/// Writes buffered lines without blocking, and adds one line for each event whose lines were
/// dropped. Call it several times a second and at the end of the process. Does nothing without
/// `ConfigureBoundedLogging`.
void FlushLog();

/// One structured log line: "module=config event=applied version=1.7". The line is written when the
/// object is destroyed. Values with spaces, quotes or control characters are written in quotes.
///
/// Thread safety: distinct objects may be used from distinct threads.
class LogEvent {
 public:
  LogEvent(LogLevel level, const char* module, const char* event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  template <typename T>
  LogEvent& Add(const char* key, const T& value) {
    if (!enabled_) return *this;
    std::ostringstream out;
    out << value;
    Append(key, out.str());
    return *this;
  }

 private:
  void Append(const char* key, const std::string& value);

  LogLevel level_;
  bool enabled_;
  const char* module_;
  std::string line_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_LOG_H_
