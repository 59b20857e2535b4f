#include "camphorhoist/distribution.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/duty.h"

namespace camphorhoist {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kAnnouncePeers = 3;
constexpr size_t kAnnouncePerRemote = 1;
// Without a confirmation for this long a node reads the head itself, with a probability.
constexpr seconds kHeadSilence{10};
constexpr seconds kReadTimeout{5};
constexpr seconds kPullTimeout{5};
constexpr milliseconds kPullRetry{200};
constexpr int kPeerPullsBeforePlatform = 3;
constexpr seconds kFirstBackoff{1};
constexpr int kMaxBackoffDoublings = 4;
constexpr size_t kFloorPeers = 5;
constexpr seconds kFloorRound{2};
// After a start of 120 nodes at a time, a node knows a third of the others after 3 s and nearly all
// after 8 s. Until then it takes no duty, and its share of the reads grows with its knowledge.
constexpr seconds kViewSettles{10};
// Platform reads per second of all nodes of a data centre that start without a configuration. The
// platform takes about 2000 reads a second and a full read costs up to 65.
constexpr double kStartReadsPerSecond = 2.0;

size_t RandomIndex(std::mt19937_64& rng, size_t n) { return static_cast<size_t>(rng() % n); }

bool Chance(std::mt19937_64& rng, double probability) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(rng() >> 11) * kScale < probability;
}

std::vector<MemberId> Sample(std::mt19937_64& rng, std::vector<MemberId> pool, size_t count) {
  count = std::min(count, pool.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(pool[i], pool[i + RandomIndex(rng, pool.size() - i)]);
  }
  pool.resize(count);
  return pool;
}

double Seconds(MemberTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Distribution::Distribution(DistributionOptions options) : options_(std::move(options)) {}

void Distribution::OnMember(const MemberEntry& entry, MemberState state) {
  if (entry.address == options_.self) return;
  const auto it = peers_.find(entry.address);
  const bool known = it != peers_.end();
  if (!IsLive(state) || entry.draining) {
    if (known) peers_.erase(it);
    members_changed_ = members_changed_ || known;
    return;
  }
  peers_[entry.address] = {entry.data_centre, entry.version};
  members_changed_ = members_changed_ || !known;
}

void Distribution::OnDataCentre(const std::string& data_centre, bool reachable) {
  if (reachable) {
    unreachable_.erase(data_centre);
  } else {
    unreachable_.insert(data_centre);
  }
}

std::vector<MemberId> Distribution::LivePeers(bool own_data_centre) const {
  std::vector<MemberId> ids;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_.count(peer.data_centre) > 0) continue;
    if (own_data_centre && peer.data_centre != options_.data_centre) continue;
    ids.push_back(id);
  }
  return ids;
}

size_t Distribution::LiveCount() const { return LivePeers(false).size() + 1; }

size_t Distribution::EmptyPeers() const {
  return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(), [this](const auto& it) {
    return it.second.data_centre == options_.data_centre && it.second.version.none();
  }));
}

void Distribution::Learn(MemberTime now, const ConfigVersion& version) {
  floor_ = std::max(floor_, version);
  if (version <= target_ || version <= current_) return;
  target_ = version;
  tried_.clear();
  failed_pulls_ = 0;
  next_pull_ = now;
}

void Distribution::Confirm(MemberTime at) {
  if (!head_confirmed_ || at > *head_confirmed_) head_confirmed_ = at;
}

DistributionEffects Distribution::OnVersionHeard(MemberTime now, std::mt19937_64& rng,
                                                 const VersionHeard& heard) {
  DistributionEffects out;
  if (heard.head_age) Confirm(now - *heard.head_age);
  if (!heard.version.none()) floor_known_ = true;
  const auto peer = peers_.find(heard.from);
  if (peer != peers_.end()) peer->second.version = std::max(peer->second.version, heard.version);
  if (heard.version <= current_) return out;
  if (heard.version > target_) announcer_ = heard.from;
  Learn(now, heard.version);
  ConsiderPull(now, rng, &out);
  return out;
}

DistributionEffects Distribution::OnPullDone(MemberTime now, std::mt19937_64& rng,
                                             PullResult result, const ConfigVersion& version,
                                             const std::string& hash) {
  DistributionEffects out;
  if (!pull_open_) {
    // The answer to a pull that was given up; an applied version counts nevertheless.
    if (result == PullResult::kApplied) ApplyVersion(rng, version, hash, &out);
    return out;
  }
  pull_open_ = false;
  switch (result) {
    case PullResult::kApplied:
      if (!pull_from_) platform_failures_ = 0;
      ApplyVersion(rng, version, hash, &out);
      tried_.clear();
      failed_pulls_ = 0;
      break;
    case PullResult::kRejected:
      rejected_ = std::max(rejected_, version);
      break;
    case PullResult::kFailed:
      PullFailed(now, rng);
      break;
  }
  ConsiderPull(now, rng, &out);
  return out;
}

void Distribution::PullFailed(MemberTime now, std::mt19937_64& rng) {
  pull_open_ = false;
  if (!pull_from_) {
    FailedPlatform(now, rng);
    // After the platform the peers get another chance.
    failed_pulls_ = 0;
    tried_.clear();
    next_pull_ = next_platform_;
    return;
  }
  tried_.insert(*pull_from_);
  ++failed_pulls_;
  next_pull_ = now + kPullRetry;
}

void Distribution::FailedPlatform(MemberTime now, std::mt19937_64& rng) {
  const int doublings = std::min(platform_failures_++, kMaxBackoffDoublings);
  const auto backoff = std::chrono::duration_cast<milliseconds>(kFirstBackoff) * (1 << doublings);
  const milliseconds jitter(RandomIndex(rng, static_cast<size_t>(backoff.count())));
  next_platform_ = now + backoff / 2 + jitter;
}

DistributionEffects Distribution::OnApplied(MemberTime now, std::mt19937_64& rng,
                                            const ConfigVersion& version, const std::string& hash) {
  DistributionEffects out;
  ApplyVersion(rng, version, hash, &out);
  ConsiderPull(now, rng, &out);
  return out;
}

void Distribution::ApplyVersion(std::mt19937_64& rng, const ConfigVersion& version,
                                const std::string& hash, DistributionEffects* out) {
  if (version <= current_) return;
  current_ = version;
  hash_ = hash;
  floor_ = std::max(floor_, version);
  floor_known_ = true;
  AnnounceTo(rng, out);
}

void Distribution::AnnounceTo(std::mt19937_64& rng, DistributionEffects* out) {
  std::map<std::string, std::vector<MemberId>> by_data_centre;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_.count(peer.data_centre) == 0) by_data_centre[peer.data_centre].push_back(id);
  }
  for (const auto& [name, ids] : by_data_centre) {
    const bool own = name == options_.data_centre;
    for (const MemberId& it : Sample(rng, ids, own ? kAnnouncePeers : kAnnouncePerRemote)) {
      out->push_back(Announce{it, current_, hash_});
    }
  }
}

std::optional<MemberId> Distribution::PickHolder(std::mt19937_64& rng) const {
  std::vector<MemberId> near;
  std::vector<MemberId> far;
  for (const auto& [id, peer] : peers_) {
    if (peer.version < target_ || tried_.count(id) > 0) continue;
    if (unreachable_.count(peer.data_centre) > 0) continue;
    (peer.data_centre == options_.data_centre ? near : far).push_back(id);
  }
  if (announcer_ && tried_.count(*announcer_) == 0) return announcer_;
  const auto& pool = near.empty() ? far : near;
  if (pool.empty()) return std::nullopt;
  return pool[RandomIndex(rng, pool.size())];
}

void Distribution::ConsiderPull(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (pull_open_ || target_ <= current_ || target_ <= rejected_ || now < next_pull_) return;
  if (failed_pulls_ < kPeerPullsBeforePlatform) {
    const auto holder = PickHolder(rng);
    if (holder) return OpenPull(now, holder, out);
  }
  if (now >= next_platform_) return OpenPull(now, std::nullopt, out);
  // The platform is not to be asked yet; start over with the peers.
  tried_.clear();
  failed_pulls_ = 0;
  next_pull_ = now + kFirstBackoff;
}

void Distribution::OpenPull(MemberTime now, std::optional<MemberId> from,
                            DistributionEffects* out) {
  pull_open_ = true;
  pull_deadline_ = now + kPullTimeout;
  pull_from_ = from;
  out->push_back(Pull{std::move(from), target_});
}

DistributionEffects Distribution::OnHeadRead(MemberTime now, std::mt19937_64& rng,
                                             std::optional<ConfigVersion> version) {
  DistributionEffects out;
  reading_ = false;
  if (!version) {
    FailedPlatform(now, rng);
    return out;
  }
  platform_failures_ = 0;
  floor_known_ = true;
  Confirm(now);
  Learn(now, *version);
  ConsiderPull(now, rng, &out);
  return out;
}

DistributionEffects Distribution::OnWatchResult(MemberTime now, std::mt19937_64& rng,
                                                std::optional<ConfigVersion> version) {
  DistributionEffects out;
  if (!watching_) return out;
  watching_ = false;
  if (!started_) started_ = now;
  if (version) {
    platform_failures_ = 0;
    floor_known_ = true;
    Confirm(now);
    Learn(now, *version);
    next_watch_ = now;
  } else {
    FailedPlatform(now, rng);
    next_watch_ = next_platform_;
  }
  ConsiderPull(now, rng, &out);
  UpdateWatch(now, &out);
  return out;
}

DistributionEffects Distribution::OnFloor(MemberTime now, std::mt19937_64& rng,
                                          const MemberId& from,
                                          std::optional<ConfigVersion> highest,
                                          std::optional<ConfigVersion> reported) {
  DistributionEffects out;
  if (!highest && !reported) return out;
  const ConfigVersion floor =
      std::max(highest.value_or(ConfigVersion()), reported.value_or(ConfigVersion()));
  // A peer that knows no version proves nothing: it may have been restarted as well.
  if (floor.none()) return out;
  floor_known_ = true;
  // The peer may hold what it has seen; if not, the pull moves on to known holders.
  if (floor > target_) announcer_ = from;
  Learn(now, floor);
  ConsiderPull(now, rng, &out);
  return out;
}

void Distribution::UpdateWatch(MemberTime now, DistributionEffects* out) {
  if (options_.watch_always) {
    elected_ = true;
  } else if (members_changed_) {
    members_changed_ = false;
    std::vector<MemberId> candidates = LivePeers(true);
    candidates.push_back(options_.self);
    const auto watchers = ElectWatchers(candidates, options_.data_centre, kWatchersPerDataCentre);
    elected_ = std::find(watchers.begin(), watchers.end(), options_.self) != watchers.end();
  }
  if (!elected_ && watching_) {
    watching_ = false;
    out->push_back(StopWatch{});
  }
  if (now - *started_ < kViewSettles) return;
  if (!elected_ || watching_ || now < next_watch_) return;
  watching_ = true;
  out->push_back(WatchHead{std::max(current_, target_)});
}

void Distribution::ConsiderHeadRead(MemberTime now, std::mt19937_64& rng,
                                    DistributionEffects* out) {
  if (reading_ && now >= read_deadline_) {
    reading_ = false;
    FailedPlatform(now, rng);
  }
  if (reading_ || now < next_platform_) return;
  const double elapsed = Seconds(now - *last_tick_);
  const MemberTime heard = std::max(head_confirmed_.value_or(*started_), *started_);
  if (now - heard <= kHeadSilence) return;
  if (!Chance(rng, elapsed / static_cast<double>(LiveCount()))) return;
  reading_ = true;
  read_deadline_ = now + kReadTimeout;
  out->push_back(ReadHead{});
}

// Without any configuration: the peers are asked for the floor every round, and the platform at a
// rate that is shared by all nodes of the data centre in the same position.
void Distribution::StartUp(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (!current_.none() || target_ > current_) return;
  if (now >= next_floor_) {
    const auto peers = Sample(rng, LivePeers(false), kFloorPeers);
    for (const MemberId& it : peers) out->push_back(AskFloor{it});
    next_floor_ = now + kFloorRound + milliseconds(RandomIndex(rng, 1000));
  }
  // The first round is left to the peers.
  if (now - *started_ < kFloorRound || reading_ || now < next_platform_) return;
  const double settled = std::min(1.0, Seconds(now - *started_) / Seconds(kViewSettles));
  const double rate = settled * kStartReadsPerSecond / static_cast<double>(EmptyPeers() + 1);
  if (!Chance(rng, rate * Seconds(now - *last_tick_))) return;
  reading_ = true;
  read_deadline_ = now + kReadTimeout;
  out->push_back(ReadHead{});
}

DistributionEffects Distribution::Tick(MemberTime now, std::mt19937_64& rng) {
  DistributionEffects out;
  if (!started_) started_ = now;
  if (!last_tick_) last_tick_ = now;
  if (pull_open_ && now >= pull_deadline_) PullFailed(now, rng);
  ConsiderPull(now, rng, &out);
  UpdateWatch(now, &out);
  ConsiderHeadRead(now, rng, &out);
  StartUp(now, rng, &out);
  last_tick_ = now;
  return out;
}

}  // namespace camphorhoist
