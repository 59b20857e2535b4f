#ifndef CAMPHORHOIST_CAMPHORHOIST_CLI_SESSION_H_
#define CAMPHORHOIST_CAMPHORHOIST_CLI_SESSION_H_

#include <chrono>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <utility>

#include "camphorhoist/cli.h"
#include "camphorhoist/cli_args.h"
#include "libbase/event_ptr.h"
#include "liboperator/operator_client.h"

namespace camphorhoist {

/// Starts an asynchronous call and runs the event loop until its result arrives.
template <typename Result>
Result AwaitResult(event_base* base,
                   const std::function<void(std::function<void(Result)>)>& start) {
  std::optional<Result> result;
  start([&result](Result value) { result = std::move(value); });
  while (!result) event_base_loop(base, EVLOOP_ONCE);
  return std::move(*result);
}

/// State shared by the commands of one CLI invocation.
struct CliSession {
  const CliContext& context;
  const CliArguments& arguments;
  OperatorClient& client;
  /// Content of the records file; empty if none was given.
  std::string file_text;

  /// Starts an asynchronous call and runs the event loop until its result arrives.
  template <typename Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& start) const {
    return AwaitResult<Result>(context.base, start);
  }

  /// Runs the event loop for `duration`.
  void Sleep(std::chrono::milliseconds duration) const {
    bool done = false;
    Timer timer(context.base, [&done] { done = true; });
    timer.StartOnce(duration);
    while (!done) event_base_loop(context.base, EVLOOP_ONCE);
  }
};

// Implementations of the commands.
CliExit RunApply(const CliSession& session);
CliExit RunGet(const CliSession& session);
CliExit RunDiff(const CliSession& session);
CliExit RunStatus(const CliSession& session);
CliExit RunDump(const CliSession& session);
CliExit RunOutcome(const CliSession& session);
CliExit RunDrain(const CliSession& session);

/// Checks the configuration `text` of the file `arguments.file`; calls no node.
CliExit RunCheck(const CliContext& context, const CliArguments& arguments, const std::string& text);

/// Reads a file, or `standard_input` if `path` is "-". Returns an empty text if `path` is empty.
/// Adds a finding if the file cannot be read.
std::string ReadInputFile(const std::string& path, std::istream& standard_input,
                          Findings* findings);
/// Prints the error of a failed query to standard error and returns the exit code for it.
CliExit ReportError(const CliSession& session, const std::error_code& error);
/// Returns the exit code for the result of `apply` or `outcome`.
CliExit ExitCodeFor(const ChangeResult& result);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_CLI_SESSION_H_
