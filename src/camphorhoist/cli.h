#ifndef CAMPHORHOIST_CAMPHORHOIST_CLI_H_
#define CAMPHORHOIST_CAMPHORHOIST_CLI_H_

#include <event2/event.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace camphorhoist {

/// Exit codes of the operator CLI; part of its interface, see `CliHelp`.
enum class CliExit {
  kOk = 0,
  kFindings = 1,
  kUsage = 2,
  kConflict = 3,
  kUnknown = 4,
  kUnavailable = 5,
  kWaitTimedOut = 6,
};

/// Streams and settings of one run.
struct CliContext {
  /// Run by the commands until they have their answers.
  event_base* base;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Value of CAMPHORHOIST_NODE, or empty.
  std::string node_setting;
};

/// Runs the operator CLI with the arguments after the program name. Blocks until the command is
/// done. Thread safety: none.
CliExit RunCli(const std::vector<std::string>& args, const CliContext& context);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_CLI_H_
