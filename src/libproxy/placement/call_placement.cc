#include "camphorhoist/call_placement.h"

#include <algorithm>

namespace camphorhoist {

std::vector<size_t> CallPlacement::Eligible(const ServerCandidates& candidates,
                                            bool include_busy) const {
  std::vector<size_t> eligible;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const std::string& node = candidates[i]->node;
    if (failed_.count(node) != 0 || hopeless_.count(node) != 0) continue;
    if (!include_busy && busy_.count(node) != 0) continue;
    eligible.push_back(i);
  }
  return eligible;
}

bool CallPlacement::HasAlternative(const ServerCandidates& candidates) const {
  return !Eligible(candidates, true).empty();
}

std::optional<CallPlacement::Offer> CallPlacement::NextOffer(ProxyTime now,
                                                             const std::string& data_centre,
                                                             const CallEstimate& call,
                                                             const ServerCandidates& candidates,
                                                             std::mt19937_64* rng) {
  std::vector<size_t> eligible = Eligible(candidates, false);
  const bool last_round = offers_ >= kMaxOffers || eligible.empty();
  if (last_round) {
    if (unlimited_offer_made_) return std::nullopt;
    eligible = Eligible(candidates, true);
    if (eligible.empty()) return std::nullopt;
  }
  ServerCandidates servers;
  servers.reserve(eligible.size());
  for (const size_t i : eligible) servers.push_back(candidates[i]);
  const std::vector<ServerPicker::Choice> choices =
      ServerPicker::Rank(now, data_centre, call, servers, rng);
  ++offers_;
  Offer offer;
  offer.index = eligible[choices[0].index];
  const bool is_only_one = choices.size() < 2;
  if (last_round || (is_only_one && busy_.empty())) {
    unlimited_offer_made_ = true;
    offer.max_wait = kUnlimitedWait;
  } else if (is_only_one) {
    offer.max_wait = std::max(kShortWait, *shortest_wait_);
  } else {
    offer.max_wait = std::max(kShortWait, ServerPicker::TransferCost(call.request_bytes));
  }
  return offer;
}

void CallPlacement::OnBusy(const std::string& node, ProxyDuration wait) {
  busy_.insert(node);
  shortest_wait_ = std::min(shortest_wait_.value_or(wait), wait);
}

void CallPlacement::OnHopeless(const std::string& node, ProxyDuration wait) {
  hopeless_.insert(node);
  shortest_wait_ = std::min(shortest_wait_.value_or(wait), wait);
}

void CallPlacement::OnFailed(const std::string& node) {
  failed_.insert(node);
  unlimited_offer_made_ = false;
}

ProxyDuration CallPlacement::RetryAfter(ProxyDuration left) const {
  // After half of the wait, the queue is expected to be half as long.
  ProxyDuration delay = failed_.empty() ? kNoServerRetryAfter : kMinRetryAfter;
  if (shortest_wait_) delay = std::max(kMinRetryAfter, *shortest_wait_ / 2);
  return std::min(delay, std::max(kMinRetryAfter, left / 3));
}

}  // namespace camphorhoist
