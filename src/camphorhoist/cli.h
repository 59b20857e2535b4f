#ifndef CAMPHORHOIST_CAMPHORHOIST_CLI_H_
#define CAMPHORHOIST_CAMPHORHOIST_CLI_H_

#include <event2/event.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace camphorhoist {

/// Exit codes of the operator CLI. They are part of its interface and documented in `CliHelp`.
enum class CliExit {
  kOk = 0,
  kFindings = 1,
  kUsage = 2,
  kConflict = 3,
  kUnknown = 4,
  kUnavailable = 5,
  kWaitTimedOut = 6,
};

/// Event loop, streams and environment of one invocation.
struct CliContext {
  /// Run by the commands until their responses arrive.
  event_base* base;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Value of the environment variable CAMPHORHOIST_NODE, or empty if it is not set.
  std::string node_setting;
};

/// Runs the operator CLI; `args` excludes the program name. Blocks until the command has finished.
/// Thread safety: none.
CliExit RunCli(const std::vector<std::string>& args, const CliContext& context);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_CLI_H_
