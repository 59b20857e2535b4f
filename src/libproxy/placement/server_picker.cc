#include "camphorhoist/server_picker.h"

#include <algorithm>

namespace camphorhoist {

namespace {

ProxyDuration FromMicros(double us) { return ProxyDuration(static_cast<int64_t>(us)); }

}  // namespace

void ServerPicker::UpdateLoad(ProxyTime now, const ServerLoad& load, ServerCandidate* candidate) {
  const double occupancy = load.running + load.queued;
  candidate->mean_occupancy += kOccupancyEwmaWeight * (occupancy - candidate->mean_occupancy);
  candidate->load = load;
  candidate->load_time = now;
  candidate->offers_since_report = 0;
}

ProxyDuration ServerPicker::ExpectedServiceTime(const CallEstimate& call,
                                                const ServerCandidate& candidate) {
  if (call.service_time.count() == 0) return candidate.load.service_time;
  return FromMicros(candidate.load.relative_service_time *
                    static_cast<double>(call.service_time.count()));
}

ProxyDuration ServerPicker::ExpectedCompletion(ProxyTime now, ProxyDuration service_time,
                                               const ServerCandidate& candidate) {
  const ServerLoad& load = candidate.load;
  const double service_us = static_cast<double>(service_time.count());
  const double age_us = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(now - candidate.load_time).count());
  const double limit = std::max<uint32_t>(load.limit, 1);
  const double calls_per_us = limit / std::max(static_cast<double>(load.service_time.count()), 1.0);
  const double report_weight =
      std::max(0.0, 1.0 - age_us / static_cast<double>(kReportDecayTime.count()));
  const double reported =
      report_weight * (load.running + load.queued) + (1 - report_weight) * candidate.mean_occupancy;
  const double occupied = reported + candidate.offers_since_report;
  const double calls_ahead = std::max(0.0, occupied + 1 - limit);
  double cost_us = service_us + calls_ahead / calls_per_us;
  if (load.request_interval.count() > 0) {
    const double permit_us = static_cast<double>(load.permit_wait.count()) - age_us +
                             static_cast<double>(candidate.offers_since_report) *
                                 static_cast<double>(load.request_interval.count());
    cost_us = std::max(cost_us, service_us + std::max(0.0, permit_us));
  }
  cost_us += kFullLoadSlowdownShare * service_us * std::min(1.0, occupied / limit);
  if (FromMicros(age_us) < candidate.warm_up) cost_us += (kWarmUpSlowdown - 1) * service_us;
  cost_us += candidate.failure_share * std::max(kFailureCostFactor * service_us,
                                                static_cast<double>(kMinFailureCost.count()));
  return FromMicros(cost_us);
}

ProxyDuration ServerPicker::TransferCost(size_t bytes) {
  return FromMicros(kCrossDataCentreMicrosPerByte * static_cast<double>(bytes));
}

std::vector<ServerPicker::Choice> ServerPicker::Rank(ProxyTime now, const std::string& data_centre,
                                                     const CallEstimate& call,
                                                     const ServerCandidates& candidates,
                                                     std::mt19937_64* rng) {
  const ProxyDuration cross_data_centre_cost =
      kCrossDataCentreCost + TransferCost(call.request_bytes + call.response_bytes) +
      FromMicros(kCrossDataCentreServiceShare * static_cast<double>(call.service_time.count()));
  std::vector<Choice> choices;
  choices.reserve(candidates.size());
  std::uniform_real_distribution<double> jitter(0, kJitterShare);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerCandidate& it = *candidates[i];
    const ProxyDuration service_time = ExpectedServiceTime(call, it);
    ProxyDuration cost = ExpectedCompletion(now, service_time, it);
    cost += FromMicros(jitter(*rng) * static_cast<double>(service_time.count()));
    if (it.data_centre != data_centre) cost += cross_data_centre_cost;
    if (call.response_bytes >= kLargeResponseBytes) cost += it.load.delivery_wait;
    choices.push_back({i, cost, service_time});
  }
  const size_t count = std::min<size_t>(2, choices.size());
  std::partial_sort(choices.begin(), choices.begin() + static_cast<ptrdiff_t>(count), choices.end(),
                    [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
  choices.resize(count);
  return choices;
}

}  // namespace camphorhoist
