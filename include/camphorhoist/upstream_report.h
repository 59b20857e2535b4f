#ifndef CAMPHORHOIST_UPSTREAM_REPORT_H_
#define CAMPHORHOIST_UPSTREAM_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

enum class UpstreamState : uint8_t { kReady, kDraining, kLeft };

/// What an upstream says of itself.
struct UpstreamReport {
  /// Id of this start of the upstream. The same id may come back after a restart.
  std::string instance;
  std::string service;
  /// Where it serves, as ip:port.
  std::string address;
  uint32_t slots = 0;
  UpstreamState state = UpstreamState::kReady;
  /// Time left of the slow phase after a start.
  std::chrono::microseconds warm_up{};
  /// Increases with each report of one start, so that a late report can be told.
  int64_t sequence = 0;
  /// Time of the start in ms since 1970, by the upstream's clock; empty if it was not told.
  std::optional<int64_t> started_ms;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_UPSTREAM_REPORT_H_
