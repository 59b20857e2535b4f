#include "camphorhoist/balancer.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// Share of the difference by which a sample above the estimate raises it. Rising is much faster
/// than falling, so that a slowed upstream is avoided after a few samples.
constexpr double kRiseShare = 0.5;
/// Latency assumed when nothing was observed of any upstream of the service.
constexpr double kUnknownLatencyMicros = 1000;
/// Smallest share of traffic after an ejection.
constexpr double kReturnFloor = 0.05;

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
  Eligible eligible;
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
  Eligible nearest;
  for (size_t tier = 0; tier < kLocalityTiers; ++tier) {
    const auto eligible = EligibleOf(service, static_cast<LocalityTier>(tier), now, rng, excluded);
    if (eligible.empty()) continue;
    if (nearest.empty()) nearest = eligible;
    if (Uniform(rng) >= SpillShare(eligible, now)) return TwoChoices(service, eligible, now, rng);
  }
  // Every tier is full: the nearest is as good as any.
  return nearest.empty() ? nullptr : TwoChoices(service, nearest, now, rng);
}

Balancer::Eligible Balancer::EligibleOf(const Service& service, LocalityTier tier, CallTime now,
                                        std::mt19937_64& rng,
                                        const std::vector<CallEndpoint>& excluded) {
  Eligible all;
  Eligible healthy;
  size_t members = 0;
  size_t ejected = 0;
  for (const Upstream& it : service.upstreams) {
    if (it.candidate.tier != tier) continue;
    ++members;
    const bool out = now < it.ejected_until;
    if (out) ++ejected;
    if (Contains(excluded, it.candidate.endpoint)) continue;
    all.push_back(&it);
    if (out) continue;
    const double back = Seconds(now - it.ejected_until) / Seconds(kReturnRamp);
    const bool returning = it.ejections > 0 && back < 1;
    if (returning && Uniform(rng) > std::max(back, kReturnFloor)) continue;
    healthy.push_back(&it);
  }
  const bool panic = static_cast<double>(ejected) > kPanicShare * static_cast<double>(members);
  return panic ? all : healthy;
}

double Balancer::SpillShare(const Eligible& eligible, CallTime now) {
  double load = 1;
  double capacity = 0;
  for (const Upstream* it : eligible) {
    load += std::max<double>(it->in_flight, Reported(*it, now));
    capacity += it->candidate.slots;
  }
  return load <= capacity ? 0 : 1 - capacity / load;
}

const Balancer::Upstream* Balancer::TwoChoices(const Service& service, const Eligible& eligible,
                                               CallTime now, std::mt19937_64& rng) {
  if (eligible.size() == 1) return eligible.front();
  double sum = 0;
  int known = 0;
  for (const Upstream& it : service.upstreams) {
    if (it.latency_micros == 0) continue;
    sum += Latency(it, now);
    ++known;
  }
  // An upstream not yet observed counts as an average one: neither avoided nor flooded.
  const double default_micros = known > 0 ? sum / known : kUnknownLatencyMicros;
  const size_t first = Index(eligible.size(), rng);
  size_t second = Index(eligible.size() - 1, rng);
  if (second >= first) ++second;
  const double first_cost = Cost(*eligible[first], default_micros, now);
  const double second_cost = Cost(*eligible[second], default_micros, now);
  return eligible[second_cost < first_cost ? second : first];
}

double Balancer::Reported(const Upstream& upstream, CallTime now) {
  if (upstream.reported == 0) return 0;
  return upstream.reported * std::exp(-Seconds(now - upstream.reported_at) / Seconds(kReportDecay));
}

double Balancer::Latency(const Upstream& upstream, CallTime now) {
  // Fades while nothing is sent, so that an upstream avoided for its latency is tried again.
  const double quiet = Seconds(now - upstream.latency_at) / Seconds(kLatencyDecay);
  return upstream.latency_micros * std::exp(-std::max(quiet, 0.0));
}

double Balancer::Cost(const Upstream& upstream, double default_micros, CallTime now) {
  const double latency = upstream.latency_micros > 0 ? Latency(upstream, now) : default_micros;
  const double load = 1 + upstream.in_flight + kReportTrust * Reported(upstream, now);
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
    upstream->reported = result.load->running + result.load->queue_length;
    upstream->reported_at = now;
  }
  switch (result.end) {
    case AttemptEnd::kAnswered:
      upstream->failures = 0;
      AddLatency(upstream, now, result);
      break;
    case AttemptEnd::kAbandoned:
      if (Micros(result.latency) > Latency(*upstream, now)) AddLatency(upstream, now, result);
      break;
    case AttemptEnd::kOverloaded: {
      // The refusal itself is the freshest sign of a full upstream.
      const double full = 2.0 * upstream->candidate.slots;
      upstream->reported = std::max(upstream->reported, full);
      upstream->reported_at = now;
      break;
    }
    case AttemptEnd::kFailed:
      // Attempts sent before the last ejection ended belong to the incident that caused it.
      if (now - result.latency < upstream->ejected_until) break;
      if (++upstream->failures >= kEjectFailures) Eject(upstream, now);
      break;
    case AttemptEnd::kNotRun:
      break;
  }
}

void Balancer::AddLatency(Upstream* upstream, CallTime now, const AttemptResult& result) {
  // Long work would hide the state of the upstream: its latency depends on the request.
  if (result.work_class == WorkClass::kLong) return;
  const double sample = Micros(result.latency);
  if (upstream->latency_micros == 0) {
    upstream->latency_micros = sample;
  } else if (sample > upstream->latency_micros) {
    upstream->latency_micros += kRiseShare * (sample - upstream->latency_micros);
  } else {
    const double keep = std::exp(-Seconds(now - upstream->latency_at) / Seconds(kLatencyDecay));
    upstream->latency_micros = sample + keep * (upstream->latency_micros - sample);
  }
  upstream->latency_at = now;
}

void Balancer::Eject(Upstream* upstream, CallTime now) {
  upstream->failures = 0;
  // A long time without a new ejection clears the record.
  if (now - upstream->ejected_until > kEjectMax + kReturnRamp) upstream->ejections = 0;
  const int doublings = std::min(upstream->ejections, 10);
  const auto time = std::min(kEjectBase * (1 << doublings), kEjectMax);
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
          {it.candidate.endpoint, it.in_flight, Latency(it, now), now < it.ejected_until});
    }
  }
  return views;
}

}  // namespace camphorhoist
