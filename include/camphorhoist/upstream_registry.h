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

/// An incarnation of an upstream, i.e. one run of its process, that must get no more requests.
/// Persisted across restarts of the sidecar, so that a delayed report does not reactivate it.
struct UpstreamDeparture {
  std::string instance;
  /// Start time of the incarnation; empty if unknown, since a deregistration need not contain it.
  std::optional<int64_t> started_ms;

  friend bool operator==(const UpstreamDeparture& a, const UpstreamDeparture& b) {
    return std::tie(a.instance, a.started_ms) == std::tie(b.instance, b.started_ms);
  }
};

/// Adds `departure` to `departures` unless it is among them. Beyond
/// `UpstreamRegistry::kMaxDepartures`, the other one with the earliest start is dropped: a delayed
/// report is rather from a recent incarnation. Returns whether it was added.
bool AddDeparture(const UpstreamDeparture& departure, std::deque<UpstreamDeparture>* departures);

/// Decides which incarnation of the upstream on this VM accepts calls. Reports may be delayed,
/// duplicated or from an earlier incarnation.
///
/// Thread safety: none; use from one thread.
class UpstreamRegistry {
 public:
  /// Number of consecutive missed reports after which the upstream is considered gone.
  static constexpr int kMaxMissedReports = 4;
  /// Number of departures kept. The upstream of one VM has fewer of them within the longest delay
  /// of a report.
  static constexpr size_t kMaxDepartures = 16;

  /// If the start time of a departure or of a report is unknown, a report with the same instance id
  /// belongs to a new incarnation if its sequence number is at most this.
  static constexpr int64_t kMaxRestartSequence = 2;

  /// `interval`: expected time between two reports.
  explicit UpstreamRegistry(ProxyDuration interval) : interval_(interval) {}

  enum class Change : uint8_t {
    /// Nothing changes for calls to the current incarnation, e.g. because the report is delayed,
    /// duplicated or from an earlier incarnation.
    kIgnored,
    kRefreshed,
    /// The upstream accepts calls now: a new incarnation, or one that was expired or unreachable.
    kActivated,
    /// The current incarnation must get no more calls.
    kDeactivated,
  };
  Change Apply(ProxyTime now, const UpstreamReport& report);

  /// Adds a departure that was recorded by an earlier run of the sidecar. The current incarnation
  /// accepts no more calls if it is the one that departed.
  void Restore(const UpstreamDeparture& departure);
  const std::deque<UpstreamDeparture>& departures() const { return departures_; }

  /// Records that the upstream could not be reached. It accepts no calls until its next report.
  void OnUnreachable() { reachable_ = false; }

  /// Returns whether calls for `service` may be sent to `instance`; an empty instance matches any.
  bool Accepts(ProxyTime now, const std::string& service, const std::string& instance) const;
  bool ready(ProxyTime now) const;
  /// Last report of the current incarnation; empty before the first report.
  const std::optional<UpstreamReport>& current() const { return current_; }
  ProxyDuration warm_up_left(ProxyTime now) const;
  /// Time at which `ready` becomes false unless another report arrives.
  ProxyTime expiry() const { return last_report_ + kMaxMissedReports * interval_; }

 private:
  bool HasDeparted(const UpstreamReport& report) const;
  bool IsFromEarlierIncarnation(const UpstreamReport& report) const;
  void RecordDeparture(const UpstreamReport& report);

  ProxyDuration interval_;
  std::optional<UpstreamReport> current_;
  ProxyTime last_report_{};
  bool reachable_ = false;
  std::deque<UpstreamDeparture> departures_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_UPSTREAM_REGISTRY_H_
