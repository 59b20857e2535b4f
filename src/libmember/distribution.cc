#include "camphorhoist/distribution.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/election.h"

namespace camphorhoist {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kLocalAnnouncePeers = 3;
constexpr size_t kRemoteAnnouncePeers = 1;
// If no node has confirmed the head for this long, each node reads it with a probability that
// limits the reads of all live nodes to about one per second.
constexpr seconds kHeadConfirmationTimeout{10};
constexpr seconds kHeadReadTimeout{5};
constexpr seconds kPullTimeout{5};
constexpr milliseconds kPullRetryDelay{200};
constexpr int kMaxPeerPulls = 3;
constexpr seconds kInitialBackoff{1};
constexpr int kMaxBackoffDoublings = 4;
constexpr size_t kFloorRoundPeers = 5;
// With a join of at most 1 s and a pull, a node whose peers reply serves about 3 s after its start.
constexpr seconds kFloorRoundTimeout{2};
// The first member that a node discovers may hold an outdated version. A round with fewer than
// kFloorRoundPeers replies stays open at least this long, for members that are discovered later.
constexpr seconds kMinFloorRound{1};
// A longer gap between ticks means that the process was paused. Replies may then be waiting unread,
// so the round is restarted instead of timed out.
constexpr seconds kPauseThreshold{1};
// When 120 nodes start at the same time, a node knows a third of the others after 3 s and nearly
// all after 8 s. Until the view settles the node starts no watch, because elections differ between
// partial views, and its head read rate rises linearly, because it underestimates how many nodes
// share the budget.
constexpr seconds kViewSettleTime{10};
// Head reads per second, summed over all nodes of a data centre that start without a configuration.
// The platform serves about 2000 reads per second, and fetching a full configuration takes up
// to 65.
constexpr double kStartupReadsPerSecond = 2.0;

size_t RandomIndex(std::mt19937_64& rng, size_t n) { return static_cast<size_t>(rng() % n); }

bool Bernoulli(std::mt19937_64& rng, double probability) {
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
    unreachable_data_centres_.erase(data_centre);
  } else {
    unreachable_data_centres_.insert(data_centre);
  }
}

std::vector<MemberId> Distribution::LivePeers(bool own_data_centre) const {
  std::vector<MemberId> ids;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_data_centres_.count(peer.data_centre) > 0) continue;
    if (own_data_centre && peer.data_centre != options_.data_centre) continue;
    ids.push_back(id);
  }
  return ids;
}

size_t Distribution::LiveCount() const { return LivePeers(false).size() + 1; }

size_t Distribution::PeersWithoutConfig() const {
  return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(), [this](const auto& it) {
    return it.second.data_centre == options_.data_centre && it.second.version.none();
  }));
}

void Distribution::LearnVersion(MemberTime now, const ConfigVersion& version) {
  floor_ = std::max(floor_, version);
  if (version <= target_ || version <= current_) return;
  target_ = version;
  failed_sources_.clear();
  failed_pulls_ = 0;
  next_pull_ = now;
}

void Distribution::ConfirmHead(MemberTime at) {
  if (!head_confirmed_ || at > *head_confirmed_) head_confirmed_ = at;
}

DistributionEffects Distribution::OnVersionObserved(MemberTime now, std::mt19937_64& rng,
                                                    const VersionObserved& observed) {
  DistributionEffects out;
  if (observed.head_age) ConfirmHead(now - *observed.head_age);
  if (!observed.version.none()) floor_known_ = true;
  const auto peer = peers_.find(observed.from);
  if (peer != peers_.end()) peer->second.version = std::max(peer->second.version, observed.version);
  if (observed.version <= current_) return out;
  if (observed.version > target_) preferred_source_ = observed.from;
  LearnVersion(now, observed.version);
  MaybePull(now, rng, &out);
  return out;
}

DistributionEffects Distribution::OnPullDone(MemberTime now, std::mt19937_64& rng,
                                             PullResult result, const ConfigVersion& version,
                                             const std::string& hash) {
  DistributionEffects out;
  if (!pull_open_) {
    // The result of a pull that timed out; a version that was applied still counts.
    if (result == PullResult::kApplied) ApplyVersion(rng, version, hash, &out);
    UpdateMayServe();
    return out;
  }
  pull_open_ = false;
  switch (result) {
    case PullResult::kApplied:
      if (!pull_from_) platform_failures_ = 0;
      ApplyVersion(rng, version, hash, &out);
      failed_sources_.clear();
      failed_pulls_ = 0;
      break;
    case PullResult::kRejected:
      rejected_ = std::max(rejected_, version);
      break;
    case PullResult::kFailed:
      OnPullFailure(now, rng);
      break;
  }
  UpdateMayServe();
  MaybePull(now, rng, &out);
  return out;
}

void Distribution::OnPullFailure(MemberTime now, std::mt19937_64& rng) {
  pull_open_ = false;
  if (!pull_from_) {
    OnPlatformFailure(now, rng);
    // The platform failed too: retry the peers once the platform backoff is over.
    failed_pulls_ = 0;
    failed_sources_.clear();
    next_pull_ = next_platform_call_;
    return;
  }
  failed_sources_.insert(*pull_from_);
  ++failed_pulls_;
  next_pull_ = now + kPullRetryDelay;
}

void Distribution::OnPlatformFailure(MemberTime now, std::mt19937_64& rng) {
  const int doublings = std::min(platform_failures_++, kMaxBackoffDoublings);
  const auto backoff = std::chrono::duration_cast<milliseconds>(kInitialBackoff) * (1 << doublings);
  const milliseconds jitter(RandomIndex(rng, static_cast<size_t>(backoff.count())));
  next_platform_call_ = now + backoff / 2 + jitter;
}

DistributionEffects Distribution::OnApplied(MemberTime now, std::mt19937_64& rng,
                                            const ConfigVersion& version, const std::string& hash) {
  DistributionEffects out;
  OnPlatformResponse(now, version);
  ApplyVersion(rng, version, hash, &out);
  UpdateMayServe();
  MaybePull(now, rng, &out);
  return out;
}

void Distribution::ApplyVersion(std::mt19937_64& rng, const ConfigVersion& version,
                                const std::string& hash, DistributionEffects* out) {
  if (version <= current_) return;
  current_ = version;
  hash_ = hash;
  floor_ = std::max(floor_, version);
  floor_known_ = true;
  AnnounceCurrent(rng, out);
}

void Distribution::AnnounceCurrent(std::mt19937_64& rng, DistributionEffects* out) {
  std::map<std::string, std::vector<MemberId>> by_data_centre;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_data_centres_.count(peer.data_centre) == 0) {
      by_data_centre[peer.data_centre].push_back(id);
    }
  }
  for (const auto& [name, ids] : by_data_centre) {
    const bool own = name == options_.data_centre;
    for (const MemberId& it : Sample(rng, ids, own ? kLocalAnnouncePeers : kRemoteAnnouncePeers)) {
      out->push_back(Announce{it, current_, hash_});
    }
  }
}

std::optional<MemberId> Distribution::PickPullSource(std::mt19937_64& rng) const {
  std::vector<MemberId> local;
  std::vector<MemberId> remote;
  for (const auto& [id, peer] : peers_) {
    if (peer.version < target_ || failed_sources_.count(id) > 0) continue;
    if (unreachable_data_centres_.count(peer.data_centre) > 0) continue;
    (peer.data_centre == options_.data_centre ? local : remote).push_back(id);
  }
  if (preferred_source_ && failed_sources_.count(*preferred_source_) == 0) return preferred_source_;
  const auto& pool = local.empty() ? remote : local;
  if (pool.empty()) return std::nullopt;
  return pool[RandomIndex(rng, pool.size())];
}

void Distribution::MaybePull(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  // A version fetched before the floor is settled may be older than the one this node had before
  // its restart.
  if (!floor_settled_) return;
  if (pull_open_ || target_ <= current_ || target_ <= rejected_ || now < next_pull_) return;
  if (failed_pulls_ < kMaxPeerPulls) {
    const auto source = PickPullSource(rng);
    if (source) return OpenPull(now, source, out);
  }
  if (now >= next_platform_call_) return OpenPull(now, std::nullopt, out);
  // The platform is in backoff; retry the peers.
  failed_sources_.clear();
  failed_pulls_ = 0;
  next_pull_ = now + kInitialBackoff;
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
  head_read_open_ = false;
  if (!version) {
    OnPlatformFailure(now, rng);
    return out;
  }
  OnPlatformResponse(now, *version);
  UpdateMayServe();
  MaybePull(now, rng, &out);
  return out;
}

DistributionEffects Distribution::OnWatchResult(MemberTime now, std::mt19937_64& rng,
                                                std::optional<ConfigVersion> version) {
  DistributionEffects out;
  if (!watching_) return out;
  watching_ = false;
  if (!start_time_) start_time_ = now;
  if (version) {
    OnPlatformResponse(now, *version);
    UpdateMayServe();
    next_watch_ = now;
  } else {
    OnPlatformFailure(now, rng);
    next_watch_ = next_platform_call_;
  }
  MaybePull(now, rng, &out);
  UpdateWatch(now, &out);
  return out;
}

DistributionEffects Distribution::OnFloorReply(MemberTime now, std::mt19937_64& rng,
                                               const MemberId& from,
                                               std::optional<ConfigVersion> highest,
                                               std::optional<ConfigVersion> reported) {
  DistributionEffects out;
  const bool replied = highest || reported;
  const ConfigVersion floor =
      std::max(highest.value_or(ConfigVersion()), reported.value_or(ConfigVersion()));
  if (floor_round_ && floor_round_->requested.count(from) > 0) {
    (replied ? floor_round_->replied : floor_round_->failed).insert(from);
    // `reported` is the version of this node; it does not show that the peer knows those of others.
    if (highest && !highest->none()) floor_round_->with_version.insert(from);
  }
  // A reply without a version is no evidence: the peer may have restarted as well.
  if (!floor.none()) {
    floor_known_ = true;
    // The peer may hold the version that it knows of; if not, the pull falls back to known holders.
    if (floor > target_) preferred_source_ = from;
    LearnVersion(now, floor);
  }
  UpdateMayServe();
  MaybePull(now, rng, &out);
  return out;
}

void Distribution::UpdateWatch(MemberTime now, DistributionEffects* out) {
  if (options_.watch_always) {
    is_watcher_ = true;
  } else if (members_changed_) {
    members_changed_ = false;
    std::vector<MemberId> candidates = LivePeers(true);
    candidates.push_back(options_.self);
    const auto watchers = ElectWatchers(candidates, options_.data_centre, kWatchersPerDataCentre);
    is_watcher_ = std::find(watchers.begin(), watchers.end(), options_.self) != watchers.end();
  }
  if (!is_watcher_ && watching_) {
    watching_ = false;
    out->push_back(StopWatch{});
  }
  if (now - *start_time_ < kViewSettleTime) return;
  if (!is_watcher_ || watching_ || now < next_watch_) return;
  watching_ = true;
  out->push_back(WatchHead{std::max(current_, target_)});
}

void Distribution::MaybeReadHead(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (head_read_open_ && now >= head_read_deadline_) {
    head_read_open_ = false;
    OnPlatformFailure(now, rng);
  }
  if (head_read_open_ || now < next_platform_call_) return;
  const double elapsed = Seconds(now - *last_tick_);
  const MemberTime last_confirmed = std::max(head_confirmed_.value_or(*start_time_), *start_time_);
  if (now - last_confirmed <= kHeadConfirmationTimeout) return;
  if (!Bernoulli(rng, elapsed / static_cast<double>(LiveCount()))) return;
  head_read_open_ = true;
  head_read_deadline_ = now + kHeadReadTimeout;
  out->push_back(ReadHead{});
}

// Until the floor is settled and a configuration is in force or known: requests the floor from
// peers in rounds, and reads the platform's head at a rate that all starting nodes of the data
// centre share.
void Distribution::RunStartup(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (floor_settled_ && (!current_.none() || target_ > current_)) return;
  RequestFloors(now, rng, out);
  // The platform is read only after the first round of floor requests.
  if (now - *start_time_ < kFloorRoundTimeout || head_read_open_ || now < next_platform_call_) {
    return;
  }
  const double settled = std::min(1.0, Seconds(now - *start_time_) / Seconds(kViewSettleTime));
  const double rate =
      settled * kStartupReadsPerSecond / static_cast<double>(PeersWithoutConfig() + 1);
  if (!Bernoulli(rng, rate * Seconds(now - *last_tick_))) return;
  head_read_open_ = true;
  head_read_deadline_ = now + kHeadReadTimeout;
  out->push_back(ReadHead{});
}

void Distribution::RequestFloors(MemberTime now, std::mt19937_64& rng, DistributionEffects* out) {
  if (!floor_round_) {
    if (now < next_floor_round_) return;
    floor_round_.emplace();
    floor_round_->start = now;
  }
  FloorRound& round = *floor_round_;
  const size_t pending = round.requested.size() - round.failed.size();
  if (pending >= kFloorRoundPeers) return;
  // Prefer members with a version in force: their floor is settled, so their replies carry a
  // version.
  std::vector<MemberId> with_version;
  std::vector<MemberId> without_version;
  for (const MemberId& it : LivePeers(false)) {
    if (round.requested.count(it) > 0) continue;
    (peers_.at(it).version.none() ? without_version : with_version).push_back(it);
  }
  // The timeout runs from the first request of the round.
  if (round.requested.empty() && with_version.size() + without_version.size() > 0) {
    round.start = now;
  }
  const size_t wanted = kFloorRoundPeers - pending;
  std::vector<MemberId> chosen = Sample(rng, std::move(with_version), wanted);
  const auto rest = Sample(rng, std::move(without_version), wanted - chosen.size());
  chosen.insert(chosen.end(), rest.begin(), rest.end());
  for (const MemberId& it : chosen) {
    round.requested.insert(it);
    out->push_back(RequestFloor{it});
  }
}

bool Distribution::FloorRoundComplete(MemberTime now) const {
  const FloorRound& round = *floor_round_;
  if (round.replied.size() >= kFloorRoundPeers) return true;
  if (round.requested.empty() || round.replied.size() < round.requested.size()) return false;
  return now - round.start >= kMinFloorRound;
}

void Distribution::CheckFloorRound(MemberTime now, std::mt19937_64& rng) {
  if (!floor_round_) return;
  if (now - *last_tick_ > kPauseThreshold) {
    floor_round_.reset();
    next_floor_round_ = now;
    return;
  }
  const bool complete = FloorRoundComplete(now);
  if (!complete && now - floor_round_->start < kFloorRoundTimeout) return;
  const bool version_known = !floor_round_->with_version.empty();
  // A round without any live member counts as complete: there is no member to ask.
  no_member_has_version_ = !version_known && (complete || floor_round_->requested.empty());
  floor_round_.reset();
  next_floor_round_ = now + milliseconds(RandomIndex(rng, 1000));
  if (version_known) {
    SettleFloor(now);
  } else {
    SettleFloorOnFirstStart(now);
  }
}

void Distribution::OnPlatformResponse(MemberTime now, const ConfigVersion& version) {
  platform_failures_ = 0;
  floor_known_ = true;
  ConfirmHead(now);
  LearnVersion(now, version);
  platform_is_empty_ = version.none();
  if (platform_is_empty_) {
    SettleFloorOnFirstStart(now);
  } else {
    floor_settled_ = true;
  }
}

// Includes the versions that live members report through the membership: they cover members that
// were not asked or did not reply in time.
void Distribution::SettleFloor(MemberTime now) {
  if (floor_settled_) return;
  ConfigVersion reported;
  for (const auto& [id, peer] : peers_) {
    if (unreachable_data_centres_.count(peer.data_centre) == 0) {
      reported = std::max(reported, peer.version);
    }
  }
  if (reported > target_) preferred_source_.reset();
  LearnVersion(now, reported);
  floor_settled_ = true;
}

// An empty platform alone does not show a first start: its head may be lost while members still
// hold versions.
void Distribution::SettleFloorOnFirstStart(MemberTime now) {
  if (platform_is_empty_ && no_member_has_version_ && floor_.none()) SettleFloor(now);
}

void Distribution::UpdateMayServe() {
  if (may_serve_) return;
  may_serve_ = floor_settled_ && !current_.none() && current_ >= floor_;
}

DistributionEffects Distribution::Tick(MemberTime now, std::mt19937_64& rng) {
  DistributionEffects out;
  if (!start_time_) start_time_ = now;
  if (!last_tick_) last_tick_ = now;
  if (pull_open_ && now >= pull_deadline_) OnPullFailure(now, rng);
  CheckFloorRound(now, rng);
  MaybePull(now, rng, &out);
  UpdateWatch(now, &out);
  MaybeReadHead(now, rng, &out);
  RunStartup(now, rng, &out);
  UpdateMayServe();
  last_tick_ = now;
  return out;
}

}  // namespace camphorhoist
