#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_SETTINGS_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"
#include "camphorhoist_load/arrivals.h"
#include "camphorhoist_load/mix.h"

namespace camphorhoist {

/// Command line of the load tool.
struct LoadSettings {
  std::vector<NetAddress> targets;
  std::vector<RateStep> steps;
  uint64_t seed = 1;
  std::vector<RequestShape> mix;
  /// Requests beyond this many without a result are dropped and counted.
  size_t max_outstanding = 2000;
  /// Time from sending a request to the start of its answer.
  std::chrono::milliseconds timeout{5000};
  /// Longest wait for the last answers.
  std::chrono::milliseconds drain{30000};
  /// Wait before the ledgers are read, for work that outlived its caller.
  std::chrono::milliseconds settle{1000};
  std::string results_file;
  std::string json_file;
  /// "ip:port", "http://ip:port" or "file:PATH".
  std::vector<std::string> ledgers;
};

/// Reads the command line. Adds all faults to `findings`. Returns nothing if the program should
/// exit successfully, after `--help`.
std::optional<LoadSettings> ReadLoadSettings(int argc, const char** argv, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_SETTINGS_H_
