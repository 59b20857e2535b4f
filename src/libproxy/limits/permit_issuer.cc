#include "camphorhoist/permit_issuer.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>

namespace camphorhoist {

namespace {

constexpr char kNobody[] = "";
// Requests that were not granted are repeated after this time, so older ones are counted again.
constexpr double kUnfilledDecaySeconds = 0.25;

uint64_t HashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

// Finaliser of a 64-bit hash. Combining two hashes is much cheaper than hashing the names of each
// organisation and each sidecar together.
uint64_t Rank(uint64_t organisation, uint64_t node) {
  uint64_t x = organisation ^ (node * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double Seconds(ProxyTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}
ProxyDuration FromSeconds(double seconds) {
  return ProxyDuration(static_cast<int64_t>(std::ceil(seconds * 1e6)));
}
double BurstOf(const OrganisationLimit& limit) {
  return std::max(1.0, limit.burst > 0 ? limit.burst : limit.requests_per_second);
}

}  // namespace

void PermitIssuer::SetLimits(ProxyTime now, OrganisationLimits limits) {
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const auto limit = limits_.find(it->first);
    if (limit != limits_.end()) Accrue(now, limit->second, &it->second);
    it = limits.count(it->first) == 0 ? buckets_.erase(it) : std::next(it);
  }
  limits_ = std::move(limits);
  for (auto& [name, bucket] : buckets_) Accrue(now, limits_.at(name), &bucket);
  UpdateOwnership(now);
}

void PermitIssuer::SetView(ProxyTime now, std::vector<KnownSidecar> sidecars, bool all_listed) {
  if (!started_at_) started_at_ = now;
  const bool newly_listed = all_listed && !all_listed_;
  all_listed_ = all_listed;
  const auto terminated = std::partition(sidecars.begin(), sidecars.end(),
                                         [](const auto& it) { return !it.terminated; });
  for (auto it = terminated; it != sidecars.end() && !informed_; ++it) vouched_.insert(it->node);
  sidecars.erase(terminated, sidecars.end());
  for (const KnownSidecar& it : sidecars) {
    if (it.lost && !informed_) vouched_.insert(it.node);
  }
  std::sort(sidecars.begin(), sidecars.end(),
            [](const auto& a, const auto& b) { return a.node < b.node; });
  if (sidecars == sidecars_) {
    if (newly_listed) EndCaution(now);
    return;
  }
  for (auto& [name, bucket] : buckets_) Accrue(now, limits_.at(name), &bucket);
  RecordChanges(now, sidecars);
  sidecars_ = std::move(sidecars);
  hashes_.clear();
  for (const KnownSidecar& it : sidecars_) hashes_.push_back(HashOf(it.node));
  CountAbsent(now);
  UpdateOwnership(now);
}

void PermitIssuer::OnHello(ProxyTime now, const std::string& node, uint64_t incarnation,
                           const std::vector<std::string>& issued, bool reply) {
  const KnownSidecar* known = Find(node);
  if (known != nullptr && known->incarnation != 0 && known->incarnation != incarnation) {
    RecordEnd(now, node, known->incarnation);
    lost_at_.erase(node);
  }
  if (reply) {
    if (!informed_) vouched_.insert(node);
    for (auto& it : issuers_) it.second.erase(node);
    const bool settled = started_at_ && *started_at_ + kSettleTime <= now;
    for (size_t i = 0; i < issued.size() && !settled; ++i) issuers_[issued[i]].insert(node);
  } else {
    hellos_[node] = now;
  }
  EndCaution(now);
}

std::vector<std::string> PermitIssuer::Issued(ProxyTime now) const {
  std::vector<std::string> names;
  for (const auto& [name, bucket] : buckets_) {
    if (Issues(now, bucket)) names.push_back(name);
  }
  return names;
}

void PermitIssuer::RecordChanges(ProxyTime now, const std::vector<KnownSidecar>& sidecars) {
  const auto forget_regained = [this](const std::string& node) {
    regained_.erase(std::remove_if(regained_.begin(), regained_.end(),
                                   [&node](const auto& it) { return it.second == node; }),
                    regained_.end());
  };
  auto it = sidecars.begin();
  for (const KnownSidecar& old : sidecars_) {
    while (it != sidecars.end() && it->node < old.node) ++it;
    if (it == sidecars.end() || it->node != old.node) {
      RecordEnd(now, old.node, old.incarnation);
      lost_at_.erase(old.node);
      hellos_.erase(old.node);
      for (auto& issuers : issuers_) issuers.second.erase(old.node);
      forget_regained(old.node);
      continue;
    }
    const bool replaced = old.incarnation != 0 && it->incarnation != old.incarnation;
    if (replaced) RecordEnd(now, old.node, old.incarnation);
    const bool restarted = replaced || (old.incarnation == 0 && HasEnded({old.node}));
    if (restarted || it->reachable) lost_at_.erase(old.node);
    if (restarted || !it->reachable) forget_regained(old.node);
    if (old.reachable && !it->reachable) lost_at_[old.node] = now;
    // The view of a process that has just started is incomplete, which is no partition.
    if (!old.reachable && it->reachable && !restarted && now > *started_at_ + kStartDelay) {
      regained_.emplace_back(now, old.node);
    }
  }
}

void PermitIssuer::RecordEnd(ProxyTime now, const std::string& node, uint64_t incarnation) {
  if (incarnation != 0 && HasEnded({node, false, incarnation})) return;
  const auto lost = lost_at_.find(node);
  const bool was_silent = lost != lost_at_.end() && lost->second + kBriefSilence < now;
  ended_.push_back({now, node, HashOf(node), incarnation, was_silent});
}

bool PermitIssuer::HasEnded(const KnownSidecar& process) const {
  return std::any_of(ended_.begin(), ended_.end(), [&process](const Ended& it) {
    return it.node == process.node && it.incarnation == process.incarnation;
  });
}

const KnownSidecar* PermitIssuer::Find(const std::string& node) const {
  const auto it = std::lower_bound(sidecars_.begin(), sidecars_.end(), node,
                                   [](const auto& a, const auto& b) { return a.node < b; });
  return it == sidecars_.end() || it->node != node ? nullptr : &*it;
}

bool PermitIssuer::IsPresent(ProxyTime now, const KnownSidecar& sidecar) const {
  if (sidecar.reachable) return true;
  const auto hello = hellos_.find(sidecar.node);
  return hello != hellos_.end() && now < hello->second + kSettleTime &&
         lost_at_.count(sidecar.node) == 0;
}

void PermitIssuer::CountAbsent(ProxyTime now) {
  absent_ = static_cast<size_t>(
      std::count_if(sidecars_.begin(), sidecars_.end(),
                    [this, now](const KnownSidecar& it) { return !IsPresent(now, it); }));
}

const KnownSidecar* PermitIssuer::Highest(const std::string& organisation,
                                          const std::string& excluded) const {
  const uint64_t hash = HashOf(organisation);
  const KnownSidecar* best = nullptr;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    const KnownSidecar& it = sidecars_[i];
    if (!it.reachable || it.node == excluded) continue;
    const uint64_t rank = Rank(hash, hashes_[i]);
    if (best != nullptr && std::tie(rank, it.node) < std::tie(best_rank, best->node)) continue;
    best = &it;
    best_rank = rank;
  }
  return best;
}

bool PermitIssuer::HasUnreachableSuperior(const std::string& organisation) const {
  const uint64_t hash = HashOf(organisation);
  const uint64_t own = Rank(hash, HashOf(self_));
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    if (!sidecars_[i].reachable && Rank(hash, hashes_[i]) > own) return true;
  }
  return false;
}

bool PermitIssuer::SuperiorsDefer(const std::string& organisation, ProxyTime since) const {
  const uint64_t hash = HashOf(organisation);
  const uint64_t own = Rank(hash, HashOf(self_));
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    if (Rank(hash, hashes_[i]) <= own) continue;
    if (sidecars_[i].lost && !sidecars_[i].reachable) continue;
    const auto hello = hellos_.find(sidecars_[i].node);
    if (hello == hellos_.end() || hello->second < since) return false;
    if (lost_at_.count(sidecars_[i].node) != 0) return false;
  }
  return true;
}

// An owner and a deputy have the same view of this after `kSettleTime`.
ProxyTime PermitIssuer::CautiousUntil(ProxyTime from, const std::string& organisation,
                                      const std::string& owner) const {
  const auto it = deputyships_.find(organisation);
  if (it == deputyships_.end() || it->second.owner != owner ||
      from < it->second.since + kSettleTime) {
    return from + kSettleTime;
  }
  const ProxyTime lost_at = it->second.lost_at.value_or(from);
  return lost_at + kMonitoredSettleTime > from ? lost_at + kMonitoredSettleTime
                                               : from + kMonitoredSettleTime;
}

bool PermitIssuer::IsReachable(const std::string& node) const {
  const KnownSidecar* sidecar = Find(node);
  return sidecar != nullptr && sidecar->reachable;
}

void PermitIssuer::UpdateMonitored(ProxyTime now) {
  const std::map<std::string, Deputyship> previous = std::exchange(deputyships_, {});
  monitored_.clear();
  for (const auto& [name, owner] : owners_) {
    const uint64_t hash = HashOf(name);
    std::map<std::string_view, std::pair<uint64_t, const KnownSidecar*>> deputies;
    for (size_t i = 0; i < sidecars_.size(); ++i) {
      const KnownSidecar& it = sidecars_[i];
      if (!it.reachable || it.node == owner.node) continue;
      auto& best = deputies[it.data_centre];
      best = std::max(best, std::make_pair(Rank(hash, hashes_[i]), &it));
    }
    for (const auto& [data_centre, deputy] : deputies) {
      const std::string& node = deputy.second->node;
      if (owner.node == self_) monitored_.insert(node);
      if (node != self_) continue;
      monitored_.insert(owner.node);
      const auto before = previous.find(name);
      Deputyship& deputyship = deputyships_[name];
      if (before != previous.end()) deputyship = before->second;
      if (before != previous.end() && before->second.owner == owner.node) continue;
      deputyship.owner = owner.node;
      if (before == previous.end() || IsReachable(before->second.owner)) {
        deputyship.since = now;
        deputyship.lost_at.reset();
      } else if (!deputyship.lost_at || *deputyship.lost_at + kMonitoredSettleTime <= now) {
        // The next owner is another deputy of the lost one, has monitored it, too, and therefore
        // monitors this sidecar by now. It is cautious itself, and may be on the other side of a
        // partition, together with the lost one.
        deputyship.lost_at = now;
      }
    }
  }
}

PermitIssuer::Bucket PermitIssuer::NewBucket(ProxyTime now, const std::string& organisation,
                                             const KnownSidecar& predecessor) const {
  // What other owners have issued is unknown, so the bucket is empty.
  Bucket bucket;
  bucket.updated_at = std::max(now, *started_at_ + kStartDelay);
  bucket.started_at = bucket.updated_at;
  bucket.cautious_until = CautiousUntil(bucket.updated_at, organisation, predecessor.node);
  bucket.next_takeover_at = bucket.updated_at;
  bucket.predecessor = predecessor;
  bucket.share = share(now);
  return bucket;
}

void PermitIssuer::UpdateOwnership(ProxyTime now) {
  if (!started_at_) return;
  const std::map<std::string, KnownSidecar> previous = std::exchange(owners_, {});
  for (const auto& [name, limit] : limits_) {
    const KnownSidecar* owner = Highest(name, kNobody);
    if (owner == nullptr) continue;
    owners_[name] = *owner;
    const auto it = buckets_.find(name);
    if (owner->node != self_) {
      if (it != buckets_.end() && !it->second.retired_at) it->second.retired_at = now;
      continue;
    }
    if (it != buckets_.end() && !it->second.retired_at) continue;
    if (it != buckets_.end() && Issues(now, it->second)) {
      // The successor has ended, or is unreachable, before it took over.
      it->second.retired_at.reset();
      continue;
    }
    const auto before = previous.find(name);
    Bucket bucket =
        NewBucket(now, name, before == previous.end() ? KnownSidecar{} : before->second);
    if (it != buckets_.end()) {
      bucket.grants = std::move(it->second.grants);
      bucket.outstanding = it->second.outstanding;
    }
    buckets_[name] = std::move(bucket);
  }
  UpdateMonitored(now);
  EndCaution(now);
}

bool PermitIssuer::IsSoleIssuer(ProxyTime now, const std::string& organisation,
                                const Bucket& bucket) const {
  if (!informed_) return false;
  if (HasNamedIssuer(organisation)) return false;
  // A process that has not started to issue cannot do so any more.
  if (bucket.retired_at && !Issues(now, bucket)) return false;
  const KnownSidecar& predecessor = bucket.predecessor;
  const bool starting = now < *started_at_ + kSettleTime;
  if (predecessor.node.empty() ? !starting : !HasEnded(predecessor)) return false;
  return SuperiorsDefer(organisation, bucket.started_at);
}

// A sidecar that had terminated when this process had started already knows that this one is alive
// if it is back.
void PermitIssuer::UpdateInformed(ProxyTime now) {
  if (informed_ || !started_at_) return;
  informed_ =
      now >= *started_at_ + kSettleTime ||
      (all_listed_ && std::all_of(sidecars_.begin(), sidecars_.end(), [this](const auto& it) {
         return it.node == self_ || vouched_.count(it.node) != 0;
       }));
  if (informed_) vouched_.clear();
}

void PermitIssuer::EndCaution(ProxyTime now) {
  UpdateInformed(now);
  if (!informed_) return;
  for (auto& [name, bucket] : buckets_) {
    if (now >= bucket.cautious_until || bucket.released) continue;
    if (!IsSoleIssuer(now, name, bucket)) continue;
    const OrganisationLimit& limit = limits_.at(name);
    Accrue(now, limit, &bucket);
    bucket.started_at = std::min(bucket.started_at, now);
    bucket.updated_at = now;
    bucket.share = share(now);
    bucket.cautious_until = now;
    bucket.tokens += Credit(now, name);
  }
}

// Each successor in a chain of owners that have ended one after the other sees the ends of all
// previous ones, so that their credits add up to less than the whole. A process that has started
// later than the first of them may not, and gets none.
double PermitIssuer::Credit(ProxyTime now, const std::string& organisation) const {
  if (now < *started_at_ + kCreditWindow || !regained_.empty()) return 0;
  const uint64_t hash = HashOf(organisation);
  const uint64_t own = Rank(hash, HashOf(self_));
  int count = 0;
  for (const Ended& it : ended_) {
    if (it.at + kCreditWindow <= now || Rank(hash, it.hash) <= own) continue;
    if (it.was_silent) return 0;
    ++count;
  }
  if (count == 0) return 0;
  const double whole =
      kCreditSeconds * limits_.at(organisation).requests_per_second + kCreditPermits;
  return share(now) * std::ldexp(whole, -count);
}

std::string PermitIssuer::NextAfter(const std::string& organisation,
                                    const std::string& node) const {
  const uint64_t hash = HashOf(organisation);
  const uint64_t limit = Rank(hash, HashOf(node));
  const KnownSidecar* best = nullptr;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    const uint64_t rank = Rank(hash, hashes_[i]);
    if (!sidecars_[i].reachable || rank >= limit || (best != nullptr && rank < best_rank)) continue;
    best = &sidecars_[i];
    best_rank = rank;
  }
  return best == nullptr ? "" : best->node;
}

bool PermitIssuer::HasNamedIssuer(const std::string& organisation) const {
  const auto it = issuers_.find(organisation);
  return it != issuers_.end() && !it->second.empty();
}

const std::string& PermitIssuer::OwnerOf(const std::string& organisation) const {
  static const std::string kUnknown;
  const auto it = owners_.find(organisation);
  return it == owners_.end() ? kUnknown : it->second.node;
}

double PermitIssuer::PresentShare() const {
  if (sidecars_.empty()) return 0;
  return 1 - static_cast<double>(absent_) / static_cast<double>(sidecars_.size());
}

// A lower share applies at once, a higher one after the time by which the other side of a network
// partition has noticed that it ended: until then the other owner still issues its own share. The
// share of a process that has ended is available at once, also if it was unreachable before.
double PermitIssuer::share(ProxyTime now) const {
  if (sidecars_.empty()) return 0;
  const auto regained = std::count_if(regained_.begin(), regained_.end(), [now](const auto& it) {
    return now < it.first + kSettleTime;
  });
  return PresentShare() - static_cast<double>(regained) / static_cast<double>(sidecars_.size());
}

double PermitIssuer::ShareOf(ProxyTime now, const Bucket& bucket) const {
  const double settled = share(now);
  if (now >= bucket.inherited_until) return settled;
  return std::min(PresentShare(), std::max(settled, bucket.inherited_share));
}

void PermitIssuer::Accrue(ProxyTime now, const OrganisationLimit& limit, Bucket* bucket) const {
  if (!Issues(now, *bucket)) return;
  while (!bucket->grants.empty() && bucket->grants.front().first + kOutstandingTime <= now) {
    bucket->outstanding -= bucket->grants.front().second;
    bucket->grants.pop_front();
  }
  const double share = ShareOf(now, *bucket);
  // A share that has just risen does not apply to the time before.
  const double rate = std::min(share, bucket->share) * limit.requests_per_second;
  const double cautious_rate =
      std::min(rate, kCautiousShare * limit.requests_per_second + kCautiousPerSecond);
  const ProxyTime settled_at = std::clamp(bucket->cautious_until, bucket->updated_at, now);
  const double accrued =
      cautious_rate * Seconds(settled_at - bucket->updated_at) + rate * Seconds(now - settled_at);
  const double burst = share * (BurstOf(limit) + kExtraBurst);
  const double outstanding =
      share * (kOutstandingSeconds * limit.requests_per_second + kOutstandingPermits);
  const double capacity = std::min(burst, burst + outstanding - bucket->outstanding);
  bucket->tokens = std::max(0.0, std::min(bucket->tokens + accrued, capacity));
  bucket->updated_at = now;
  bucket->share = share;
}

bool PermitIssuer::Issues(ProxyTime now, const Bucket& bucket) {
  if (bucket.released || now < bucket.updated_at) return false;
  if (bucket.retired_at && *bucket.retired_at < bucket.started_at) return false;
  return !bucket.retired_at || now < *bucket.retired_at + kHandoverTime;
}

// Only the sidecar that issues permits, or owns the organisation in a view without `from`, can tell
// that no other one issues permits.
PermitGrant PermitIssuer::Release(ProxyTime now, const std::string& from,
                                  const std::string& organisation) {
  PermitGrant grant;
  grant.organisation = organisation;
  grant.takeover = true;
  const auto it = buckets_.find(organisation);
  const bool issues = it != buckets_.end() && Issues(now, it->second);
  grant.not_owner = !issues;
  const KnownSidecar* owner = Highest(organisation, from);
  if (!issues && (owner == nullptr || owner->node != self_)) return grant;
  const uint64_t hash = HashOf(organisation);
  if (Rank(hash, HashOf(from)) < Rank(hash, HashOf(self_))) return grant;
  if (!issues && (!started_at_ || now < *started_at_ + kStartDelay)) return grant;
  grant.share = share(now);
  if (it != buckets_.end()) {
    Bucket& bucket = it->second;
    if (now < bucket.cautious_until) return grant;
    Accrue(now, limits_.at(organisation), &bucket);
    grant.granted = static_cast<uint32_t>(bucket.tokens);
    grant.share = ShareOf(now, bucket);
    bucket.tokens = 0;
    bucket.released = true;
    if (!bucket.retired_at) bucket.retired_at = now;
  }
  grant.released = true;
  return grant;
}

PermitGrant PermitIssuer::OnRequest(ProxyTime now, const std::string& from,
                                    const PermitRequest& request) {
  if (request.takeover) return Release(now, from, request.organisation);
  PermitGrant grant;
  grant.organisation = request.organisation;
  grant.valid_for = kValidTime;
  const auto limit = limits_.find(request.organisation);
  const auto it = buckets_.find(request.organisation);
  if (limit == limits_.end() || it == buckets_.end() || !Issues(now, it->second)) {
    grant.not_owner = true;
    grant.retry_after = kNotOwnerDelay;
    return grant;
  }
  Bucket& bucket = it->second;
  Accrue(now, limit->second, &bucket);
  const uint32_t wanted = std::min(request.wanted, kMaxWanted);
  grant.granted = std::min(wanted, static_cast<uint32_t>(bucket.tokens));
  bucket.tokens -= grant.granted;
  if (grant.granted > 0) {
    bucket.grants.emplace_back(now, grant.granted);
    bucket.outstanding += grant.granted;
  }
  bucket.unfilled *= std::exp(-Seconds(now - bucket.unfilled_at) / kUnfilledDecaySeconds);
  bucket.unfilled_at = now;
  if (grant.granted == wanted) return grant;
  if (now < bucket.cautious_until) {
    grant.cautious_for = std::chrono::duration_cast<ProxyDuration>(bucket.cautious_until - now);
  }
  bucket.unfilled += wanted - grant.granted;
  const double rate =
      std::max(limit->second.requests_per_second * ShareOf(now, bucket), kCautiousPerSecond);
  const double missing = std::max(1.0, bucket.unfilled) - bucket.tokens;
  grant.retry_after =
      std::min<ProxyDuration>(FromSeconds(std::max(0.0, missing) / rate), kMaxRetryAfter);
  return grant;
}

void PermitIssuer::OnTakeoverGrant(ProxyTime now, const std::string& from,
                                   const PermitGrant& grant) {
  const auto issuers = issuers_.find(grant.organisation);
  if (issuers != issuers_.end() && (grant.released || grant.not_owner)) {
    issuers->second.erase(from);
  }
  const auto limit = limits_.find(grant.organisation);
  const auto it = buckets_.find(grant.organisation);
  if (limit == limits_.end() || it == buckets_.end() || it->second.retired_at) return;
  Bucket& bucket = it->second;
  if (!grant.released || now >= bucket.cautious_until) return;
  Accrue(now, limit->second, &bucket);
  bucket.started_at = std::min(bucket.started_at, now);
  bucket.updated_at = now;
  bucket.share = std::min(bucket.share, share(now));
  bucket.cautious_until = now;
  bucket.inherited_share = std::clamp(grant.share, 0.0, 1.0);
  bucket.inherited_until = now + kSettleTime;
  bucket.tokens += grant.granted;
  Accrue(now, limit->second, &bucket);
}

std::vector<PermitIssuer::Takeover> PermitIssuer::Tick(ProxyTime now) {
  CountAbsent(now);
  while (!regained_.empty() && regained_.front().first + kSettleTime <= now) regained_.pop_front();
  while (!ended_.empty() && ended_.front().at + kCreditWindow <= now) ended_.pop_front();
  if (started_at_ && *started_at_ + kSettleTime <= now) issuers_.clear();
  EndCaution(now);
  std::vector<Takeover> takeovers;
  bool erased = false;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    auto& [name, bucket] = *it;
    if (bucket.retired_at && *bucket.retired_at + kSettleTime <= now) {
      it = buckets_.erase(it);
      erased = true;
      continue;
    }
    // While the sidecar that issues permits does not release them, this one would issue few and
    // keep the senders from asking the other one.
    if (now < bucket.updated_at && HasNamedIssuer(name)) {
      bucket.updated_at = std::max(bucket.updated_at, now + 2 * kTakeoverInterval);
      bucket.started_at = bucket.updated_at;
    }
    Accrue(now, limits_.at(name), &bucket);
    ++it;
    const bool due = now >= bucket.next_takeover_at && now < bucket.cautious_until;
    if (bucket.retired_at || !due) continue;
    bucket.next_takeover_at = now + kTakeoverInterval;
    if (HasUnreachableSuperior(name)) continue;
    if (HasNamedIssuer(name)) {
      for (const std::string& node : issuers_[name]) takeovers.push_back({node, {name, 0, true}});
      continue;
    }
    const KnownSidecar* previous = Highest(name, self_);
    if (previous == nullptr) continue;
    takeovers.push_back({previous->node, {name, 0, true}});
  }
  // The successor may have ended before it was seen here.
  if (erased) UpdateOwnership(now);
  return takeovers;
}

size_t PermitIssuer::owned() const {
  return static_cast<size_t>(std::count_if(buckets_.begin(), buckets_.end(),
                                           [](const auto& it) { return !it.second.retired_at; }));
}

}  // namespace camphorhoist
