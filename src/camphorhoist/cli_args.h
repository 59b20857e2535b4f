#ifndef CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_
#define CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_

#include <chrono>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

enum class CliCommand { kNone, kApply, kGet, kDiff, kStatus, kDump, kOutcome, kDrain, kCheck };

/// Kind and name of a record. When used as a selection, an empty field matches everything.
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

/// The parsed and validated command line.
struct CliArguments {
  bool help = false;
  CliCommand command = CliCommand::kNone;
  std::vector<NetAddress> nodes;
  std::chrono::milliseconds timeout{10000};
  bool json = false;
  /// Path of the records file, or of the configuration that `check` reads; "-" for standard input.
  std::string file;
  /// Version that `check` compares the file with: the path of a file, or the name of a version that
  /// is read from `store`. Empty: none.
  std::string against;
  std::optional<NetAddress> store;
  std::vector<RecordName> remove;
  /// Change set id; a random one is generated if empty.
  std::string id;
  /// How long `apply` waits for the change to be in force on every node; 0 disables waiting.
  std::chrono::seconds wait{0};
  bool allow_newer_schema = false;
  /// Records that `get` prints.
  RecordName selection;
};

/// Parses `args`, which excludes the program name. `node_setting` is the value of
/// CAMPHORHOIST_NODE, used if `--node` is not given. Adds one finding per error.
CliArguments ParseCliArguments(const std::vector<std::string>& args,
                               const std::string& node_setting, Findings* findings);

/// Returns the text of `--help`, with all options, commands and exit codes.
std::string CliHelp();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_CLI_ARGS_H_
