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

/// Settings of the load tool, from its command line.
struct LoadSettings {
  std::vector<NetAddress> targets;
  std::vector<RateStep> steps;
  uint64_t seed = 1;
  std::vector<RequestShape> mix;
  /// Limit of requests in flight. Requests beyond it are not sent and get the outcome "dropped".
  size_t max_outstanding = 2000;
  /// Time limit from sending a request to the start of its response; shapes may override it.
  std::chrono::milliseconds timeout{5000};
  /// Longest wait for outstanding responses after the last request was sent.
  std::chrono::milliseconds drain_timeout{30000};
  /// Delay before the ledgers are read, so that requests still running after their caller gave up
  /// are recorded.
  std::chrono::milliseconds settle_delay{1000};
  std::string results_file;
  std::string json_file;
  /// Ledgers to check: "ip:port", "http://ip:port" or "file:PATH".
  std::vector<std::string> ledgers;
};

/// Parses the command line. Adds all errors to `findings`. Returns nothing if `--help` was given
/// and the program should exit successfully.
std::optional<LoadSettings> ReadLoadSettings(int argc, const char** argv, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_SETTINGS_H_
