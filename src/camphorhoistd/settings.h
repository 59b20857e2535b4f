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
/// variable `CAMPHORHOIST_SOME_NAME`; the flag takes precedence.
struct Settings {
  std::string mesh;
  std::string data_centre;
  std::string region;
  NetAddress caller_listen;
  NetAddress node_listen;
  NetAddress upstream_listen{"127.0.0.1", 0};
  NetAddress operator_listen{"127.0.0.1", 0};
  /// Node addresses of members to join through. May be empty for the first node of a mesh.
  std::vector<NetAddress> seeds;
  NetAddress platform;
  std::string log_level = "info";
  std::chrono::milliseconds drain_timeout{30000};
  /// Rate limits of this node's calls to the platform, in calls per second.
  double platform_reads_per_second = 5;
  double platform_writes_per_second = 5;
  /// Maximum number of concurrent calls from callers; further calls are refused as not run.
  uint32_t max_calls = 4096;
  /// Response bytes buffered for all callers above which new calls are refused; see
  /// docs/CAPACITY.md.
  uint64_t max_buffered_bytes = 64ULL << 20;
  std::string balancer = "p2c";
  std::string admission = "default";
  bool hedging = true;
  /// Which nodes watch the platform's head: `elected`, or `all` as a baseline for benchmarks.
  std::string watch = "elected";
  /// What this node sends to a peer that pulls a newer configuration: `delta`, or `full` as a
  /// baseline for benchmarks.
  std::string config_transfer = "delta";
};

enum class SettingsAction { kRun, kCheck, kHelp, kVersion };

struct ParsedSettings {
  Settings settings;
  SettingsAction action = SettingsAction::kRun;
  /// Text for `kHelp`.
  std::string help;
};

/// Returns the value of an environment variable, or an empty optional if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Parses and checks all settings. Adds a finding for each error, with the flag or variable, its
/// value and the allowed values. The first element of `args` is the program name.
///
/// Thread safety: safe from any thread if `environment` is.
ParsedSettings ParseSettings(const std::vector<std::string>& args, const Environment& environment,
                             Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_SETTINGS_H_
