#include "camphorhoist/cli.h"

#include <array>
#include <fstream>
#include <iostream>
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

// Unlike an iterator over the stream buffer, `read` sets `badbit` on a read error, such as that of
// a directory, instead of throwing.
std::string ReadAll(std::istream& in) {
  std::string text;
  std::array<char, 4096> buf{};
  while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
    text.append(buf.data(), static_cast<size_t>(in.gcount()));
  }
  return text;
}

}  // namespace

std::string ReadInputFile(const std::string& path, std::istream& standard_input,
                          Findings* findings) {
  if (path.empty()) return "";
  std::ifstream file;
  if (path != "-") file.open(path, std::ios::binary);
  std::istream& in = path == "-" ? standard_input : file;
  const bool is_open = path == "-" || file.is_open();
  std::string text = is_open ? ReadAll(in) : std::string();
  if (!is_open || in.bad()) findings->Add(path, "cannot be read");
  return text;
}

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
  const std::string text = ReadInputFile(arguments.file, context.in, &findings);
  if (!findings.empty()) {
    context.err << findings.ToString() << "\n";
    return CliExit::kUsage;
  }
  if (arguments.command == CliCommand::kCheck) return RunCheck(context, arguments, text);
  OperatorClient client(context.base, arguments.nodes);
  const CliSession session{context, arguments, client, text};
  for (const CommandEntry& it : kCommands) {
    if (it.command == arguments.command) return it.run(session);
  }
  return CliExit::kUsage;
}

}  // namespace camphorhoist
