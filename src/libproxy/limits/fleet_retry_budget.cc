#include "camphorhoist/fleet_retry_budget.h"

#include <algorithm>

namespace camphorhoist {

void FleetRetryBudget::RemoveExpired(ProxyTime now, Usage* usage) const {
  const ProxyTime start = now - options_.window;
  while (!usage->requests.empty() && usage->requests.front() < start) usage->requests.pop_front();
  while (!usage->retries.empty() && usage->retries.front() < start) usage->retries.pop_front();
}

void FleetRetryBudget::OnRequest(ProxyTime now, const std::string& service) {
  Usage& usage = by_service_[service];
  RemoveExpired(now, &usage);
  usage.requests.push_back(now);
}

bool FleetRetryBudget::TryTake(ProxyTime now, const std::string& service, size_t sidecars) {
  Usage& usage = by_service_[service];
  RemoveExpired(now, &usage);
  const double fixed_share =
      options_.fixed_retries / static_cast<double>(std::max<size_t>(sidecars, 1));
  const double proportional = options_.ratio * static_cast<double>(usage.requests.size());
  const double allowed = kUsableShare * (fixed_share + proportional);
  if (static_cast<double>(usage.retries.size() + 1) > allowed) return false;
  usage.retries.push_back(now);
  return true;
}

}  // namespace camphorhoist
