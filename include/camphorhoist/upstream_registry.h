#ifndef CAMPHORHOIST_UPSTREAM_REGISTRY_H_
#define CAMPHORHOIST_UPSTREAM_REGISTRY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <tuple>

#include "camphorhoist/server_queue.h"
#include "camphorhoist/upstream_report.h"

namespace camphorhoist {

/// A start of an upstream that was told to get no more requests. Outlives the process of the
/// sidecar, so that a late report does not bring the upstream back.
struct UpstreamDeparture {
  std::string instance;
  /// Empty if the upstream did not tell it: a deregistration need not.
  std::optional<int64_t> started_ms;

  friend bool operator==(const UpstreamDeparture& a, const UpstreamDeparture& b) {
    return std::tie(a.instance, a.started_ms) == std::tie(b.instance, b.started_ms);
  }
};

/// Decides which start of the upstream on this VM takes calls, from reports that may be late,
/// repeated or of an earlier start.
///
/// Thread safety: none; use from one thread.
class UpstreamRegistry {
 public:
  /// Reports missed in a row before an upstream is taken to be gone.
  static constexpr int kMissedReports = 4;
  /// Departures remembered; more than one VM's upstream has in the time a report can be late.
  static constexpr size_t kMaxDepartures = 16;

  /// Reports with at most this number may be of another start under the same id, where the start
  /// that left did not tell its time.
  static constexpr int64_t kFreshSequence = 2;

  /// `interval`: time between two reports.
  explicit UpstreamRegistry(ProxyDuration interval) : interval_(interval) {}

  enum class Change : uint8_t {
    /// Late, repeated or of an earlier start: nothing was changed.
    kIgnored,
    kRefreshed,
    /// Another start, or one that was gone, takes calls.
    kActivated,
    /// The current start must get no more calls.
    kDeactivated,
  };
  Change Apply(ProxyTime now, const UpstreamReport& report);

  /// Restores a departure that was recorded by an earlier run of this process.
  void Restore(const UpstreamDeparture& departure);
  const std::deque<UpstreamDeparture>& departures() const { return departures_; }

  /// The upstream could not be reached; it takes no calls until its next report.
  void OnUnreachable() { reachable_ = false; }

  /// Whether calls for this service and start may be sent. An empty instance means any.
  bool Accepts(ProxyTime now, const std::string& service, const std::string& instance) const;
  bool ready(ProxyTime now) const;
  /// The last known start; empty before the first report.
  const std::optional<UpstreamReport>& current() const { return current_; }
  ProxyDuration warm_up_left(ProxyTime now) const;
  /// When `ready` turns false without another report.
  ProxyTime expiry() const { return last_report_ + kMissedReports * interval_; }

 private:
  bool Departed(const UpstreamReport& report) const;
  bool OlderThanCurrent(const UpstreamReport& report) const;
  void Depart(const UpstreamReport& report);

  ProxyDuration interval_;
  std::optional<UpstreamReport> current_;
  ProxyTime last_report_{};
  bool reachable_ = false;
  std::deque<UpstreamDeparture> departures_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_UPSTREAM_REGISTRY_H_
