#include "camphorhoist/distribution.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/election.h"

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
// With a join of at most 1 s and a pull, a node with answering peers serves after about 3 s.
constexpr seconds kFloorRound{2};
// The first member that a node learns of may be the one that lags. A round with fewer than
// kFloorPeers answers stays open this long for members that become known after it.
constexpr seconds kFloorGather{1};
// A longer gap between ticks means that the process was paused. Answers may then wait unread, so
// that the time for them is not over.
constexpr seconds kPauseGap{1};
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

DistributionEffects Distribution::OnVersionObserved(MemberTime now, std::mt19937_64& rng,
                                                    const VersionObserved& heard) {
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
    UpdateServing();
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
  UpdateServing();
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
  OnPlatformAnswer(now, version);
  ApplyVersion(rng, version, hash, &out);
  UpdateServing();
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
  // A version that is fetched before the floor is settled may be below what this node had.
  if (!floor_settled_) return;
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
  OnPlatformAnswer(now, *version);
  UpdateServing();
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
    OnPlatformAnswer(now, *version);
    UpdateServing();
    next_watch_ = now;
  } else {
    FailedPlatform(now, rng);
    next_watch_ = next_platform_;
  }
  ConsiderPull(now, rng, &out);
  UpdateWatch(now, &out);
  return out;
}

DistributionEffects Distribution::OnFloorReply(MemberTime now, std::mt19937_64& rng,
                                               const MemberId& from,
                                               std::optional<ConfigVersion> highest,
                                               std::optional<ConfigVersion> reported) {
  DistributionEffects out;
  const bool answered = highest || reported;
  const ConfigVersion floor =
      std::max(highest.value_or(ConfigVersion()), reported.value_or(ConfigVersion()));
  if (floor_round_ && floor_round_->asked.count(from) > 0) {
    (answered ? floor_round_->answered : floor_round_->failed).insert(from);
    // What was reported for this node only raises the floor; it says nothing of the others.
    if (highest && !highest->none()) floor_round_->informed.insert(from);
  }
  // A peer that knows no version proves nothing: it may have been restarted as well.
  if (!floor.none()) {
    floor_known_ = true;
    // The peer may hold what it has seen; if not, the pull moves on to known holders.
    if (floor > target_) announcer_ = from;
    Learn(now, floor);
  }
  UpdateServing();
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

// Without a settled floor or any configuration: the peers are asked for the floor every round, and
// the platform at a rate that is shared by all nodes of the data centre in the same position.
void Distribution::StartUp(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (floor_settled_ && (!current_.none() || target_ > current_)) return;
  AskFloors(now, rng, out);
  // The first round is left to the peers.
  if (now - *started_ < kFloorRound || reading_ || now < next_platform_) return;
  const double settled = std::min(1.0, Seconds(now - *started_) / Seconds(kViewSettles));
  const double rate = settled * kStartReadsPerSecond / static_cast<double>(EmptyPeers() + 1);
  if (!Chance(rng, rate * Seconds(now - *last_tick_))) return;
  reading_ = true;
  read_deadline_ = now + kReadTimeout;
  out->push_back(ReadHead{});
}

void Distribution::AskFloors(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (!floor_round_) {
    if (now < next_floor_) return;
    floor_round_.emplace();
    floor_round_->opened = now;
  }
  FloorRound& round = *floor_round_;
  const size_t pending = round.asked.size() - round.failed.size();
  if (pending >= kFloorPeers) return;
  // Members with a version in force have settled their own floor; the others hardly help.
  std::vector<MemberId> informed;
  std::vector<MemberId> others;
  for (const MemberId& it : LivePeers(false)) {
    if (round.asked.count(it) > 0) continue;
    (peers_.at(it).version.none() ? others : informed).push_back(it);
  }
  // The round counts from its first question.
  if (round.asked.empty() && informed.size() + others.size() > 0) round.opened = now;
  const size_t wanted = kFloorPeers - pending;
  std::vector<MemberId> chosen = Sample(rng, std::move(informed), wanted);
  const auto rest = Sample(rng, std::move(others), wanted - chosen.size());
  chosen.insert(chosen.end(), rest.begin(), rest.end());
  for (const MemberId& it : chosen) {
    round.asked.insert(it);
    out->push_back(RequestFloor{it});
  }
}

bool Distribution::RoundComplete(MemberTime now) const {
  const FloorRound& round = *floor_round_;
  if (round.answered.size() >= kFloorPeers) return true;
  if (round.asked.empty() || round.answered.size() < round.asked.size()) return false;
  return now - round.opened >= kFloorGather;
}

void Distribution::CheckRound(MemberTime now, std::mt19937_64& rng) {
  if (!floor_round_) return;
  if (now - *last_tick_ > kPauseGap) {
    floor_round_.reset();
    next_floor_ = now;
    return;
  }
  const bool complete = RoundComplete(now);
  if (!complete && now - floor_round_->opened < kFloorRound) return;
  const bool version_known = !floor_round_->informed.empty();
  // A round without any live member is whole as well: there is nobody to ask.
  nobody_knows_ = !version_known && (complete || floor_round_->asked.empty());
  floor_round_.reset();
  next_floor_ = now + milliseconds(RandomIndex(rng, 1000));
  if (version_known) {
    SettleFloor(now);
  } else {
    SettleFirstStart(now);
  }
}

void Distribution::OnPlatformAnswer(MemberTime now, const ConfigVersion& version) {
  platform_failures_ = 0;
  floor_known_ = true;
  Confirm(now);
  Learn(now, version);
  platform_is_empty_ = version.none();
  if (platform_is_empty_) {
    SettleFirstStart(now);
  } else {
    floor_settled_ = true;
  }
}

// The versions that live members report count like answers: they cover a member that was not asked
// or did not answer in time.
void Distribution::SettleFloor(MemberTime now) {
  if (floor_settled_) return;
  ConfigVersion reported;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_.count(peer.data_centre) == 0) reported = std::max(reported, peer.version);
  }
  if (reported > target_) announcer_.reset();
  Learn(now, reported);
  floor_settled_ = true;
}

// An empty platform alone proves nothing: its head may be lost while members have versions.
void Distribution::SettleFirstStart(MemberTime now) {
  if (platform_is_empty_ && nobody_knows_ && floor_.none()) SettleFloor(now);
}

void Distribution::UpdateServing() {
  if (may_serve_) return;
  may_serve_ = floor_settled_ && !current_.none() && current_ >= floor_;
}

DistributionEffects Distribution::Tick(MemberTime now, std::mt19937_64& rng) {
  DistributionEffects out;
  if (!started_) started_ = now;
  if (!last_tick_) last_tick_ = now;
  if (pull_open_ && now >= pull_deadline_) PullFailed(now, rng);
  CheckRound(now, rng);
  ConsiderPull(now, rng, &out);
  UpdateWatch(now, &out);
  ConsiderHeadRead(now, rng, &out);
  StartUp(now, rng, &out);
  UpdateServing();
  last_tick_ = now;
  return out;
}

}  // namespace camphorhoist
