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

/// Settings of the stand-in upstream, from its command line.
struct StandinSettings {
  NetAddress listen{"127.0.0.1", 0};
  std::string service = "inventory";
  /// Nodes to announce to, in order; each one is the fallback of the one before. If empty, nothing
  /// is announced.
  std::vector<NetAddress> nodes;
  /// Maximum number of concurrently executed requests; further ones are shed.
  int slots = 6;
  /// Connection limit to announce.
  int connections = 110;
  std::chrono::milliseconds service_time{5};
  /// Service times vary uniformly by up to this share, 0 to 1.
  double service_jitter = 0;
  /// Time after the start during which the state is "warming" and service times are longer.
  std::chrono::milliseconds cold_start{0};
  uint64_t seed = 1;
  /// File that the ledger is appended to; empty for none.
  std::string ledger_file;
  std::string log_level = "warn";
};

/// Parses the command line. Adds all errors to `findings`. Returns nothing if `--help` was given
/// and the program should exit successfully.
std::optional<StandinSettings> ReadStandinSettings(int argc, const char** argv, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_SETTINGS_H_
