#ifndef CAMPHORHOIST_DEPARTURE_LOG_H_
#define CAMPHORHOIST_DEPARTURE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/upstream_registry.h"

namespace camphorhoist {

/// Departed incarnations of the upstreams of other VMs, as this sidecar has learned of them. A
/// sidecar forgets its own ones when its process ends and the store does not respond; the others
/// remember them for it, and stay bound by them whatever it reports.
///
/// Thread safety: none; use from one thread.
class DepartureLog {
 public:
  /// Number of VMs whose departures are kept. Beyond it, those of the VM whose last departure is
  /// the oldest are dropped.
  static constexpr size_t kMaxNodes = 4096;

  /// Records a departure of an upstream on the VM `node`, of which at most
  /// `UpstreamRegistry::kMaxDepartures` are kept.
  void Record(const std::string& node, const UpstreamDeparture& departure);
  /// Whether this incarnation is known to have departed. Without a start time the incarnations of
  /// an instance cannot be told apart, so that the answer is no.
  bool HasDeparted(const std::string& node, const UpstreamDeparture& incarnation) const;
  /// Departures of the upstreams on the VM `node`.
  std::vector<UpstreamDeparture> departures(const std::string& node) const;

 private:
  struct NodeDepartures {
    std::deque<UpstreamDeparture> departures;
    /// Order in which the VMs had their last departures.
    uint64_t last = 0;
  };
  void DropOldestNode();

  std::map<std::string, NodeDepartures> nodes_;
  uint64_t count_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DEPARTURE_LOG_H_
