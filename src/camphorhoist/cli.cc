#include "camphorhoist/cli.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "camphorhoist/cli_session.h"
#include "camphorhoist/error.h"

namespace camphorhoist {

namespace {

using Command = CliExit (*)(const CliSession&);

struct CommandEntry {
  CliCommand command;
  Command run;
};

constexpr CommandEntry kCommands[] = {
    {CliCommand::kApply, &RunApply}, {CliCommand::kGet, &RunGet},
    {CliCommand::kDiff, &RunDiff},   {CliCommand::kStatus, &RunStatus},
    {CliCommand::kDump, &RunDump},   {CliCommand::kOutcome, &RunOutcome},
    {CliCommand::kDrain, &RunDrain},
};

std::string ReadAll(std::istream& in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string ReadFile(const std::string& path, std::istream& standard_input, Findings* findings) {
  if (path.empty()) return "";
  if (path == "-") return ReadAll(standard_input);
  std::ifstream in(path, std::ios::binary);
  std::string text = in ? ReadAll(in) : std::string();
  if (!in) findings->Add(path, "cannot be read");
  return text;
}

}  // namespace

CliExit ReportError(const CliSession& session, const std::error_code& error) {
  session.context.err << session.client.current_node().ToString() << ": " << error.message()
                      << "\n";
  if (error == Errc::kUnknownEffect) return CliExit::kUnknown;
  if (error == Errc::kUnavailable) return CliExit::kUnavailable;
  return CliExit::kFindings;
}

CliExit ExitCodeFor(const ChangeResult& result) {
  if (result.error == Errc::kUnavailable) return CliExit::kUnavailable;
  if (result.error) return CliExit::kFindings;
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      return CliExit::kOk;
    case ChangeOutcome::kConflict:
      return CliExit::kConflict;
    case ChangeOutcome::kRejected:
      return CliExit::kFindings;
    case ChangeOutcome::kUnknown:
      return CliExit::kUnknown;
  }
  return CliExit::kUnknown;
}

CliExit RunCli(const std::vector<std::string>& args, const CliContext& context) {
  Findings findings;
  const CliArguments arguments = ParseCliArguments(args, context.node_setting, &findings);
  if (arguments.help && findings.empty()) {
    context.out << CliHelp();
    return CliExit::kOk;
  }
  const std::string text = ReadFile(arguments.file, context.in, &findings);
  if (!findings.empty()) {
    context.err << findings.ToString() << "\n";
    return CliExit::kUsage;
  }
  OperatorClient client(context.base, arguments.nodes);
  const CliSession session{context, arguments, client, text};
  for (const CommandEntry& it : kCommands) {
    if (it.command == arguments.command) return it.run(session);
  }
  return CliExit::kUsage;
}

}  // namespace camphorhoist
