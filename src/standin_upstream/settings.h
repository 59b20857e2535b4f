#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_SETTINGS_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Command line of the stand-in upstream.
struct StandinSettings {
  NetAddress listen{"127.0.0.1", 0};
  std::string service = "inventory";
  /// Nodes to announce to; the later ones are fallbacks. Empty: no announcements.
  std::vector<NetAddress> nodes;
  int slots = 6;
  int connections = 110;
  std::chrono::milliseconds service_time{5};
  /// Service times vary uniformly by up to this share, 0 to 1.
  double service_jitter = 0;
  /// Time after the start in which it announces "warming" and is slower.
  std::chrono::milliseconds cold_start{0};
  uint64_t seed = 1;
  /// File for the lines of the ledger; empty for none.
  std::string ledger_file;
  std::string log_level = "warn";
};

/// Reads the command line. Adds all faults to `findings`. Returns nothing if the program should
/// exit successfully, after `--help`.
std::optional<StandinSettings> ReadStandinSettings(int argc, const char** argv, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_SETTINGS_H_
