#include "camphorhoist/server_picker.h"

#include <algorithm>

namespace camphorhoist {

namespace {

ProxyDuration FromMicros(double us) { return ProxyDuration(static_cast<int64_t>(us)); }

}  // namespace

void ServerPicker::UpdateLoad(ProxyTime now, const ServerLoad& load, ServerCandidate* candidate) {
  const double occupancy = load.running + load.queued;
  candidate->usual_occupancy += kOccupancyGain * (occupancy - candidate->usual_occupancy);
  candidate->load = load;
  candidate->load_time = now;
  candidate->offers_since_report = 0;
}

ProxyDuration ServerPicker::ExpectedCompletion(ProxyTime now, const ServerCandidate& candidate) {
  const ServerLoad& load = candidate.load;
  const double service = static_cast<double>(load.service_time.count());
  const double age = static_cast<double>(
      std::chrono::duration_cast<ProxyDuration>(now - candidate.load_time).count());
  // What was reported is worked off at the rate of the server.
  const double limit = std::max<uint32_t>(load.limit, 1);
  const double rate = limit / std::max(service, 1.0);
  const double fresh = std::max(0.0, 1.0 - age / static_cast<double>(kReportLifetime.count()));
  const double reported =
      fresh * (load.running + load.queued) + (1 - fresh) * candidate.usual_occupancy;
  const double occupied = reported + candidate.offers_since_report;
  const double ahead = std::max(0.0, occupied + 1 - limit);
  double cost = service + ahead / rate;
  cost += kFullSlowdown * service * std::min(1.0, occupied / limit);
  if (FromMicros(age) < candidate.warm_up) cost += (kColdFactor - 1) * service;
  cost += kFailureCost * candidate.failure_share * service;
  return FromMicros(cost);
}

std::vector<ServerPicker::Choice> ServerPicker::Rank(ProxyTime now, const std::string& zone,
                                                     size_t response_bytes,
                                                     const ServerCandidates& candidates,
                                                     std::mt19937_64* rng) {
  const ProxyDuration other_zone =
      kOtherZoneCost + FromMicros(kOtherZoneMicrosPerByte * static_cast<double>(response_bytes));
  std::vector<Choice> choices;
  choices.reserve(candidates.size());
  std::uniform_real_distribution<double> jitter(0, kJitterShare);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerCandidate& it = *candidates[i];
    ProxyDuration cost = ExpectedCompletion(now, it);
    cost += FromMicros(jitter(*rng) * static_cast<double>(it.load.service_time.count()));
    if (it.zone != zone) cost += other_zone;
    if (response_bytes >= kLargeResponse) cost += it.load.delivery_wait;
    choices.push_back({i, cost});
  }
  const size_t best = std::min<size_t>(2, choices.size());
  std::partial_sort(choices.begin(), choices.begin() + static_cast<ptrdiff_t>(best), choices.end(),
                    [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
  choices.resize(best);
  return choices;
}

}  // namespace camphorhoist
