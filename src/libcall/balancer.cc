#include "camphorhoist/balancer.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// Smoothing factor for latency samples above the estimate. The estimate rises much faster than it
/// falls, so that an upstream that slows down is avoided after a few samples.
constexpr double kLatencyRiseFactor = 0.5;
/// Latency assumed while no upstream of the service has been observed.
constexpr double kDefaultLatencyMicros = 1000;
/// Minimum traffic share after the end of an ejection.
constexpr double kMinReadmissionShare = 0.05;

double Seconds(CallDuration duration) { return std::chrono::duration<double>(duration).count(); }

double Micros(CallDuration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

bool Contains(const std::vector<CallEndpoint>& list, const CallEndpoint& endpoint) {
  return std::find(list.begin(), list.end(), endpoint) != list.end();
}

double Uniform(std::mt19937_64& rng) { return std::uniform_real_distribution<double>(0, 1)(rng); }

size_t Index(size_t size, std::mt19937_64& rng) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(rng);
}

}  // namespace

const Balancer::Strategy Balancer::kStrategies[] = {
    {"p2c", &Balancer::ChooseP2c},
    {"round_robin", &Balancer::ChooseRoundRobin},
};

Balancer::Balancer() : strategy_(&kStrategies[0]) {}

std::optional<Balancer> Balancer::Create(const std::string& strategy) {
  for (const Strategy& it : kStrategies) {
    if (strategy == it.name) return Balancer(it);
  }
  return std::nullopt;
}

std::vector<std::string> Balancer::StrategyNames() {
  std::vector<std::string> names;
  for (const Strategy& it : kStrategies) names.emplace_back(it.name);
  return names;
}

void Balancer::SetCandidates(const std::vector<BalancerCandidate>& candidates) {
  std::map<std::string, Service> services;
  for (const BalancerCandidate& it : candidates) {
    const Upstream* known = FindUpstream(it.endpoint);
    Upstream upstream = known != nullptr ? *known : Upstream{};
    upstream.candidate = it;
    services[it.endpoint.service].upstreams.push_back(upstream);
  }
  services_ = std::move(services);
}

std::optional<CallEndpoint> Balancer::Pick(const std::string& service, CallTime now,
                                           std::mt19937_64& rng,
                                           const std::vector<CallEndpoint>& excluded) {
  const auto it = services_.find(service);
  if (it == services_.end()) return std::nullopt;
  const Upstream* chosen = (this->*strategy_->choose)(it->second, now, rng, excluded);
  if (chosen == nullptr) return std::nullopt;
  return chosen->candidate.endpoint;
}

std::optional<CallEndpoint> Balancer::Find(const std::string& service,
                                           const NetAddress& upstream) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return std::nullopt;
  for (const Upstream& entry : it->second.upstreams) {
    if (entry.candidate.endpoint.upstream == upstream) return entry.candidate.endpoint;
  }
  return std::nullopt;
}

const Balancer::Upstream* Balancer::ChooseRoundRobin(Service& service, CallTime, std::mt19937_64&,
                                                     const std::vector<CallEndpoint>& excluded) {
  UpstreamList eligible;
  LocalityTier nearest = LocalityTier::kOtherRegion;
  for (const Upstream& it : service.upstreams) {
    if (!Contains(excluded, it.candidate.endpoint)) nearest = std::min(nearest, it.candidate.tier);
  }
  for (const Upstream& it : service.upstreams) {
    const bool usable = !Contains(excluded, it.candidate.endpoint);
    if (usable && it.candidate.tier == nearest) eligible.push_back(&it);
  }
  if (eligible.empty()) return nullptr;
  return eligible[service.next++ % eligible.size()];
}

const Balancer::Upstream* Balancer::ChooseP2c(Service& service, CallTime now, std::mt19937_64& rng,
                                              const std::vector<CallEndpoint>& excluded) {
  UpstreamList nearest;
  for (size_t tier = 0; tier < kLocalityTiers; ++tier) {
    const auto eligible =
        EligibleUpstreams(service, static_cast<LocalityTier>(tier), now, rng, excluded);
    if (eligible.empty()) continue;
    if (nearest.empty()) nearest = eligible;
    if (Uniform(rng) >= SpillShare(eligible, now)) return ChooseOfTwo(service, eligible, now, rng);
  }
  // Every tier is over capacity, so use the nearest one.
  return nearest.empty() ? nullptr : ChooseOfTwo(service, nearest, now, rng);
}

Balancer::UpstreamList Balancer::EligibleUpstreams(const Service& service, LocalityTier tier,
                                                   CallTime now, std::mt19937_64& rng,
                                                   const std::vector<CallEndpoint>& excluded) {
  UpstreamList all;
  UpstreamList healthy;
  size_t total = 0;
  size_t ejected = 0;
  for (const Upstream& it : service.upstreams) {
    if (it.candidate.tier != tier) continue;
    ++total;
    const bool is_ejected = now < it.ejected_until;
    if (is_ejected) ++ejected;
    if (Contains(excluded, it.candidate.endpoint)) continue;
    all.push_back(&it);
    if (is_ejected) continue;
    const double ramp = Seconds(now - it.ejected_until) / Seconds(kReadmissionRamp);
    const bool returning = it.ejections > 0 && ramp < 1;
    if (returning && Uniform(rng) > std::max(ramp, kMinReadmissionShare)) continue;
    healthy.push_back(&it);
  }
  const bool ignore_ejection =
      static_cast<double>(ejected) > kPanicThreshold * static_cast<double>(total);
  return ignore_ejection ? all : healthy;
}

double Balancer::SpillShare(const UpstreamList& eligible, CallTime now) {
  double load = 1;
  double capacity = 0;
  for (const Upstream* it : eligible) {
    load += std::max<double>(it->in_flight, ReportedLoad(*it, now));
    capacity += it->candidate.slots;
  }
  return load <= capacity ? 0 : 1 - capacity / load;
}

const Balancer::Upstream* Balancer::ChooseOfTwo(const Service& service,
                                                const UpstreamList& eligible, CallTime now,
                                                std::mt19937_64& rng) {
  if (eligible.size() == 1) return eligible.front();
  double sum = 0;
  int known = 0;
  for (const Upstream& it : service.upstreams) {
    if (it.latency_micros == 0) continue;
    sum += DecayedLatency(it, now);
    ++known;
  }
  // An upstream without samples is given the average latency, so that it is neither avoided nor
  // overloaded.
  const double default_micros = known > 0 ? sum / known : kDefaultLatencyMicros;
  const size_t first = Index(eligible.size(), rng);
  size_t second = Index(eligible.size() - 1, rng);
  if (second >= first) ++second;
  const double first_cost = Cost(*eligible[first], default_micros, now);
  const double second_cost = Cost(*eligible[second], default_micros, now);
  return eligible[second_cost < first_cost ? second : first];
}

double Balancer::ReportedLoad(const Upstream& upstream, CallTime now) {
  if (upstream.reported_load == 0) return 0;
  return upstream.reported_load *
         std::exp(-Seconds(now - upstream.reported_at) / Seconds(kReportDecayTime));
}

double Balancer::DecayedLatency(const Upstream& upstream, CallTime now) {
  // Decays while there are no samples, so that an upstream avoided for its latency is tried again.
  const double idle = Seconds(now - upstream.latency_at) / Seconds(kLatencyDecayTime);
  return upstream.latency_micros * std::exp(-std::max(idle, 0.0));
}

double Balancer::Cost(const Upstream& upstream, double default_micros, CallTime now) {
  const double latency =
      upstream.latency_micros > 0 ? DecayedLatency(upstream, now) : default_micros;
  const double load = 1 + upstream.in_flight + kReportWeight * ReportedLoad(upstream, now);
  const double share =
      static_cast<double>(upstream.candidate.weight) * std::max(upstream.candidate.slots, 1u);
  return latency * load / share;
}

void Balancer::OnSent(const CallEndpoint& endpoint, CallTime) {
  Upstream* upstream = FindUpstream(endpoint);
  if (upstream != nullptr) ++upstream->in_flight;
}

void Balancer::OnResult(const CallEndpoint& endpoint, CallTime now, const AttemptResult& result) {
  Upstream* upstream = FindUpstream(endpoint);
  if (upstream == nullptr) return;
  if (upstream->in_flight > 0) --upstream->in_flight;
  if (result.load) {
    upstream->reported_load = result.load->running + result.load->queue_length;
    upstream->reported_at = now;
  }
  switch (result.end) {
    case AttemptEnd::kAnswered:
      upstream->consecutive_failures = 0;
      AddLatency(upstream, now, result);
      break;
    case AttemptEnd::kAbandoned:
      if (Micros(result.latency) > DecayedLatency(*upstream, now)) {
        AddLatency(upstream, now, result);
      }
      break;
    case AttemptEnd::kOverloaded: {
      // The refusal is more recent than any load report: assume that slots and queue are full.
      const double full = 2.0 * upstream->candidate.slots;
      upstream->reported_load = std::max(upstream->reported_load, full);
      upstream->reported_at = now;
      break;
    }
    case AttemptEnd::kFailed:
      // Attempts sent before the end of the last ejection belong to the incident that caused it.
      if (now - result.latency < upstream->ejected_until) break;
      if (++upstream->consecutive_failures >= kEjectFailures) Eject(upstream, now);
      break;
    case AttemptEnd::kNotRun:
      break;
  }
}

void Balancer::AddLatency(Upstream* upstream, CallTime now, const AttemptResult& result) {
  // The latency of long calls depends on the request rather than on the state of the upstream.
  if (result.work_class == WorkClass::kLong) return;
  const double sample = Micros(result.latency);
  if (upstream->latency_micros == 0) {
    upstream->latency_micros = sample;
  } else if (sample > upstream->latency_micros) {
    upstream->latency_micros += kLatencyRiseFactor * (sample - upstream->latency_micros);
  } else {
    const double old_weight =
        std::exp(-Seconds(now - upstream->latency_at) / Seconds(kLatencyDecayTime));
    upstream->latency_micros = sample + old_weight * (upstream->latency_micros - sample);
  }
  upstream->latency_at = now;
}

void Balancer::Eject(Upstream* upstream, CallTime now) {
  upstream->consecutive_failures = 0;
  // The number of ejections is reset after a long time without one.
  if (now - upstream->ejected_until > kMaxEjectionTime + kReadmissionRamp) upstream->ejections = 0;
  const int doublings = std::min(upstream->ejections, 10);
  const auto time = std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
  upstream->ejected_until = now + time;
  ++upstream->ejections;
}

Balancer::Upstream* Balancer::FindUpstream(const CallEndpoint& endpoint) {
  const auto it = services_.find(endpoint.service);
  if (it == services_.end()) return nullptr;
  for (Upstream& entry : it->second.upstreams) {
    if (entry.candidate.endpoint == endpoint) return &entry;
  }
  return nullptr;
}

std::vector<Balancer::View> Balancer::Views(CallTime now) const {
  std::vector<View> views;
  for (const auto& service : services_) {
    for (const Upstream& it : service.second.upstreams) {
      views.push_back(
          {it.candidate.endpoint, it.in_flight, DecayedLatency(it, now), now < it.ejected_until});
    }
  }
  return views;
}

}  // namespace camphorhoist
