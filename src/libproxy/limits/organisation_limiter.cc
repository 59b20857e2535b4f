#include "camphorhoist/organisation_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorhoist {

namespace {

constexpr double kDemandSeconds = 2;

double Seconds(ProxyTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}
ProxyDuration Micros(ProxyTime::duration duration) {
  return std::chrono::duration_cast<ProxyDuration>(duration);
}

}  // namespace

void OrganisationLimiter::RecordDemand(ProxyTime now, State* state) {
  state->demand *= std::exp(-Seconds(now - state->demand_at) / kDemandSeconds);
  state->demand += 1 / kDemandSeconds;
  state->demand_at = now;
}

void OrganisationLimiter::RemoveExpired(ProxyTime now, State* state) {
  while (!state->permits.empty() && state->permits.front().expires_at <= now) {
    state->permits_left -= state->permits.front().count;
    state->permits.pop_front();
  }
}

void OrganisationLimiter::TakePermit(State* state) {
  --state->permits_left;
  if (--state->permits.front().count == 0) state->permits.pop_front();
}

void OrganisationLimiter::UpdateCounts(ProxyTime now, State* state) {
  const double factor = std::exp(-Seconds(now - state->counted_at) / kDemandSeconds);
  state->granted *= factor;
  state->rejected *= factor;
  state->counted_at = now;
}

ProxyDuration OrganisationLimiter::RetryAfter(ProxyTime now, State* state) {
  const ProxyTime at = std::max(state->retry_at, state->next_request_at);
  if (at <= now && now >= state->replied_at + kMaxResponseWait) return kNoReplyRetryAfter;
  const auto wait = at <= now ? ProxyDuration(kMinRequestInterval)
                              : std::max<ProxyDuration>(Micros(at - now), kMinRetryAfter);
  if (state->owner_unknown) return wait;
  UpdateCounts(now, state);
  ++state->rejected;
  if (state->granted < 1) return wait;
  const double backlog = kDemandSeconds * state->rejected / state->granted;
  const ProxyTime::duration most =
      now < state->cautious_until ? state->cautious_until - now : kMaxRetryAfter;
  return std::max(wait, Micros(std::chrono::duration_cast<ProxyTime::duration>(
                            std::chrono::duration<double>(std::min(backlog, Seconds(most))))));
}

OrganisationLimiter::Result OrganisationLimiter::Acquire(ProxyTime now,
                                                         const std::string& organisation,
                                                         Ticket ticket, ProxyTime deadline) {
  State& state = states_[organisation];
  RecordDemand(now, &state);
  RemoveExpired(now, &state);
  RejectExpired(now, &state);
  // Permits are left only if no request waits.
  if (state.permits_left > 0) {
    TakePermit(&state);
    MayRequest(now, organisation, &state);
    return {};
  }
  // While the owner has too few permits, no more requests wait than it granted last.
  const bool scarce = now < state.next_request_at && !state.owner_unknown;
  const ProxyTime until =
      std::min<ProxyTime>(now + (scarce ? kMaxWait : kMaxResponseWait), deadline);
  const bool hopeless = scarce && (state.next_request_at >= until ||
                                   state.waiting.size() >= std::max(1U, state.last_granted));
  if (hopeless || until <= now || state.waiting.size() >= kMaxWaiting) {
    return {Outcome::kRejected, RetryAfter(now, &state)};
  }
  state.waiting.push_back({ticket, now, until});
  MayRequest(now, organisation, &state);
  return {Outcome::kWaiting, {}};
}

void OrganisationLimiter::MayRequest(ProxyTime now, const std::string& organisation, State* state) {
  if (state->request_pending || now < state->next_request_at) return;
  const double demand = state->demand * std::exp(-Seconds(now - state->demand_at) / kDemandSeconds);
  const auto low = static_cast<uint32_t>(demand * Seconds(kLowWaterTime));
  if (state->waiting.empty() && state->permits_left > low) return;
  // Rounded down: a sender with little demand requests no permits that would expire.
  const auto prefetch = static_cast<uint32_t>(demand * Seconds(kPrefetchTime));
  const auto target = static_cast<uint32_t>(state->waiting.size()) + prefetch;
  if (target <= state->permits_left) return;
  state->request_pending = true;
  state->requested_at = now;
  state->wanted = target - state->permits_left;
  requests_.push_back({organisation, state->wanted, false});
}

void OrganisationLimiter::RejectExpired(ProxyTime now, State* state) {
  if (state->waiting.empty()) return;
  std::deque<Waiting> kept;
  for (const Waiting& it : state->waiting) {
    if (it.until > now) {
      kept.push_back(it);
    } else {
      decisions_.push_back({it.ticket, {Outcome::kRejected, RetryAfter(now, state)}});
    }
  }
  state->waiting = std::move(kept);
}

void OrganisationLimiter::Cancel(const std::string& organisation, Ticket ticket) {
  const auto it = states_.find(organisation);
  if (it == states_.end()) return;
  std::deque<Waiting>& waiting = it->second.waiting;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [ticket](const Waiting& w) { return w.ticket == ticket; }),
                waiting.end());
}

void OrganisationLimiter::OnGrant(ProxyTime now, const PermitGrant& grant) {
  const auto it = states_.find(grant.organisation);
  if (it == states_.end()) return;
  State& state = it->second;
  RemoveExpired(now, &state);
  if (grant.granted > 0) {
    UpdateCounts(now, &state);
    state.granted += grant.granted;
    state.permits.push_back({grant.granted, now + grant.valid_for});
    state.permits_left += grant.granted;
  }
  RejectExpired(now, &state);
  while (state.permits_left > 0 && !state.waiting.empty()) {
    TakePermit(&state);
    decisions_.push_back({state.waiting.front().ticket, {}});
    state.waiting.pop_front();
  }
  const bool complete = state.request_pending && grant.granted >= state.wanted;
  state.request_pending = false;
  state.replied_at = now;
  state.last_granted = grant.granted;
  state.owner_unknown = grant.not_owner;
  if (complete) {
    state.next_request_at = now;
    state.retry_at = now;
  } else {
    state.retry_at = now + grant.retry_after;
    state.cautious_until = now + grant.cautious_for;
    state.next_request_at = now + std::clamp<ProxyDuration>(grant.retry_after, kMinRequestInterval,
                                                            kMaxRequestInterval);
    if (grant.not_owner) return;
    for (Waiting& it : state.waiting) {
      it.until = std::min<ProxyTime>(it.until, it.since + kMaxWait);
    }
    while (!state.waiting.empty() && state.waiting.back().until <= state.next_request_at) {
      decisions_.push_back(
          {state.waiting.back().ticket, {Outcome::kRejected, RetryAfter(now, &state)}});
      state.waiting.pop_back();
    }
  }
  MayRequest(now, grant.organisation, &state);
}

void OrganisationLimiter::OnRequestLost(ProxyTime now, const std::string& organisation) {
  const auto it = states_.find(organisation);
  if (it == states_.end()) return;
  it->second.request_pending = false;
  MayRequest(now, organisation, &it->second);
}

void OrganisationLimiter::OnTimer(ProxyTime now) {
  for (auto& [name, state] : states_) {
    RejectExpired(now, &state);
    if (state.request_pending && state.requested_at + kReplyTimeout <= now) {
      state.request_pending = false;
    }
    if (!state.waiting.empty()) MayRequest(now, name, &state);
  }
}

std::optional<ProxyTime> OrganisationLimiter::NextEvent() const {
  std::optional<ProxyTime> next;
  const auto consider = [&next](ProxyTime time) { next = next ? std::min(*next, time) : time; };
  for (const auto& it : states_) {
    const State& state = it.second;
    if (state.waiting.empty()) continue;
    for (const Waiting& waiting : state.waiting) consider(waiting.until);
    consider(state.request_pending ? state.requested_at + kReplyTimeout : state.next_request_at);
  }
  return next;
}

void OrganisationLimiter::SetLimits(const OrganisationLimits& limits) {
  for (auto it = states_.begin(); it != states_.end();) {
    if (limits.count(it->first) != 0) {
      ++it;
      continue;
    }
    for (const Waiting& waiting : it->second.waiting) decisions_.push_back({waiting.ticket, {}});
    it = states_.erase(it);
  }
}

std::vector<PermitRequest> OrganisationLimiter::TakeRequests() {
  return std::exchange(requests_, {});
}
std::vector<OrganisationLimiter::Decision> OrganisationLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

size_t OrganisationLimiter::waiting() const {
  size_t count = 0;
  for (const auto& it : states_) count += it.second.waiting.size();
  return count;
}

}  // namespace camphorhoist
