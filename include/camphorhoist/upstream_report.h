#ifndef CAMPHORHOIST_UPSTREAM_REPORT_H_
#define CAMPHORHOIST_UPSTREAM_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

enum class UpstreamState : uint8_t { kReady, kDraining, kLeft };

/// State of an upstream as reported by the upstream itself.
struct UpstreamReport {
  /// Instance id. May be reused after a restart; together with `started_ms` it identifies one
  /// incarnation of the upstream, i.e. one run of its process.
  std::string instance;
  std::string service;
  /// Address at which the upstream serves requests, as ip:port.
  std::string address;
  /// Number of requests that the upstream runs concurrently.
  uint32_t slots = 0;
  UpstreamState state = UpstreamState::kReady;
  /// Time left of the warm-up after a start, in which the upstream is slow.
  std::chrono::microseconds warm_up{};
  /// Increases with each report of one incarnation, so that delayed reports can be detected.
  int64_t sequence = 0;
  /// Start time in ms since the Unix epoch by the upstream's clock; empty if it was not reported.
  std::optional<int64_t> started_ms;
  /// Version of the upstream's software; empty if it was not reported.
  std::string version;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_UPSTREAM_REPORT_H_
