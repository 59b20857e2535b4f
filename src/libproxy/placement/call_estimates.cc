#include "camphorhoist/call_estimates.h"

#include <algorithm>

namespace camphorhoist {

void CallEstimates::Mean::Add(double sample) {
  samples += 1;
  value += std::max(kEwmaWeight, 1 / samples) * (sample - value);
}

CallEstimate CallEstimates::Get(uint64_t profile) const {
  const auto it = by_profile_.find(profile);
  if (it == by_profile_.end()) return {};
  CallEstimate estimate;
  estimate.response_bytes = static_cast<size_t>(it->second.response_bytes.value);
  estimate.service_time = ProxyDuration(static_cast<int64_t>(it->second.service_us.value));
  return estimate;
}

void CallEstimates::Record(uint64_t profile, size_t response_bytes, ProxyDuration service_time) {
  if (by_profile_.size() >= kMaxProfiles && by_profile_.count(profile) == 0) by_profile_.clear();
  Profile& estimates = by_profile_[profile];
  estimates.response_bytes.Add(static_cast<double>(response_bytes));
  if (service_time.count() > 0) {
    estimates.service_us.Add(static_cast<double>(service_time.count()));
  }
}

}  // namespace camphorhoist
