#ifndef CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_
#define CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

enum class CliCommand { kNone, kApply, kGet, kDiff, kStatus, kDump, kOutcome, kDrain };

/// Kind and name of a record; an empty part selects all.
struct RecordName {
  std::string kind;
  std::string name;

  std::string ToString() const { return kind + "/" + name; }
  friend bool operator==(const RecordName& a, const RecordName& b) {
    return std::tie(a.kind, a.name) == std::tie(b.kind, b.name);
  }
  friend bool operator<(const RecordName& a, const RecordName& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

/// The checked command line.
struct CliArguments {
  bool help = false;
  CliCommand command = CliCommand::kNone;
  std::vector<NetAddress> nodes;
  std::chrono::milliseconds timeout{10000};
  bool json = false;
  /// Path of the records file, "-" for standard input.
  std::string file;
  std::vector<RecordName> remove;
  /// Change set id; empty: draw one.
  std::string id;
  /// 0: do not wait.
  std::chrono::seconds wait{0};
  bool allow_newer_schema = false;
  RecordName selection;
};

/// Parses the arguments after the program name. `node_setting` is the value of CAMPHORHOIST_NODE
/// and applies when there is no `--node`. Adds one finding per fault.
CliArguments ParseCliArguments(const std::vector<std::string>& args,
                               const std::string& node_setting, Findings* findings);

/// Text of `--help`, with all options, commands and exit codes.
std::string CliHelp();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_
