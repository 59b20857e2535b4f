#ifndef CAMPHORHOIST_CAMPHORHOISTD_SETTINGS_H_
#define CAMPHORHOIST_CAMPHORHOISTD_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Settings of the daemon, read from flags and environment variables. A flag `--some-name` has the
/// variable `CAMPHORHOIST_SOME_NAME`; the flag goes before the variable.
struct Settings {
  std::string mesh;
  std::string data_centre;
  std::string region;
  NetAddress caller_listen;
  NetAddress node_listen;
  NetAddress upstream_listen{"127.0.0.1", 0};
  NetAddress operator_listen{"127.0.0.1", 0};
  /// Node addresses of members to join through; may be empty for the first node.
  std::vector<NetAddress> seeds;
  NetAddress platform;
  std::string log_level = "info";
  std::chrono::milliseconds drain_timeout{30000};
  /// Platform calls per second that this node may make.
  double platform_reads_per_second = 5;
  double platform_writes_per_second = 5;
  /// Calls of all callers that this node holds at once; further ones are refused as not run.
  uint32_t max_calls = 4096;
  /// Response bytes that this node holds for callers at once; see docs/CAPACITY.md.
  uint64_t max_buffered_bytes = 64ULL << 20;
  std::string balancer = "p2c";
  std::string admission = "default";
  bool hedging = true;
  /// Which nodes watch the platform: `elected`, or `all` as a baseline.
  std::string watch = "elected";
  /// What peers send to a node that asks for a newer configuration: `delta`, or `full` as a
  /// baseline.
  std::string config_transfer = "delta";
};

enum class SettingsAction { kRun, kCheck, kHelp, kVersion };

struct ParsedSettings {
  Settings settings;
  SettingsAction action = SettingsAction::kRun;
  /// Text for `kHelp`.
  std::string help;
};

/// Reads an environment variable; returns nothing if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Parses and checks all settings. All faults are added to `findings`, each with the flag or
/// variable it comes from, its value and what is allowed. `args` holds the program name first.
///
/// Thread safety: safe from any thread if `environment` is.
ParsedSettings ParseSettings(const std::vector<std::string>& args, const Environment& environment,
                             Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_SETTINGS_H_
