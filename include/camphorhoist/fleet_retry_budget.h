#ifndef CAMPHORHOIST_FLEET_RETRY_BUDGET_H_
#define CAMPHORHOIST_FLEET_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Bound on repeated sends that all sidecars share.
struct RetryBudgetOptions {
  /// Repeats allowed per request of the service.
  double ratio = 0.2;
  ProxyDuration window = std::chrono::seconds(10);
  /// Repeats allowed in a window regardless of the number of requests, for the whole fleet.
  double fixed_retries = 0;
};

/// This sidecar's part of the retry budget of each service. The parts of all sidecars add up to
/// less than the whole, without messages between them: each counts its own requests and takes an
/// equal part of the fixed allowance.
///
/// Answers a correlated failure, in which all sidecars fail over at the same moment.
///
/// Thread safety: none; use from one thread.
class FleetRetryBudget {
 public:
  /// Share of the bound that is used. The rest covers nested calls that repeated runs make, which
  /// count as repeats at other services, and requests that clients withdrew before they were
  /// counted elsewhere.
  static constexpr double kUsedShare = 0.6;

  explicit FleetRetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  /// Counts a client request for `service`.
  void OnRequest(ProxyTime now, const std::string& service);
  /// Takes one repeat from the budget; returns false if none is left. `sidecars`: size of the
  /// fleet as known now, at least 1.
  bool TryTake(ProxyTime now, const std::string& service, size_t sidecars);

 private:
  struct Usage {
    std::deque<ProxyTime> requests;
    std::deque<ProxyTime> repeats;
  };
  void Forget(ProxyTime now, Usage* usage) const;

  RetryBudgetOptions options_;
  std::unordered_map<std::string, Usage> by_service_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_FLEET_RETRY_BUDGET_H_
