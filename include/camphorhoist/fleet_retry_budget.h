#ifndef CAMPHORHOIST_FLEET_RETRY_BUDGET_H_
#define CAMPHORHOIST_FLEET_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Limit on retries that applies to all sidecars together.
struct RetryBudgetOptions {
  /// Retries allowed per request to the service.
  double ratio = 0.2;
  ProxyDuration window = std::chrono::seconds(10);
  /// Further retries allowed to the whole fleet in a window, regardless of the number of requests.
  double fixed_retries = 0;
};

/// This sidecar's share of the retry budget of each service. The shares of all sidecars add up to
/// less than the budget without coordination: each sidecar counts only its own requests and takes
/// an equal part of the fixed retries.
///
/// Bounds the retries after a correlated failure, when all sidecars fail over at once.
///
/// Thread safety: none; use from one thread.
class FleetRetryBudget {
 public:
  /// Share of the budget that is used. The rest covers nested calls made by retried calls, which
  /// count as retries at other services, and requests that callers cancelled before they were
  /// counted elsewhere.
  static constexpr double kUsableShare = 0.6;

  explicit FleetRetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  /// Counts a caller's request to `service`.
  void OnRequest(ProxyTime now, const std::string& service);
  /// Takes one retry from the budget; returns false if none is left. `sidecars`: current size of
  /// the fleet, at least 1.
  bool TryTake(ProxyTime now, const std::string& service, size_t sidecars);

 private:
  struct Usage {
    std::deque<ProxyTime> requests;
    std::deque<ProxyTime> retries;
  };
  void RemoveExpired(ProxyTime now, Usage* usage) const;

  RetryBudgetOptions options_;
  std::unordered_map<std::string, Usage> by_service_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_FLEET_RETRY_BUDGET_H_
