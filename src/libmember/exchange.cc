// Message assembly, join, anti-entropy repair by digests, and the exchange between data centres.

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "camphorhoist/election.h"
#include "libmember/membership_impl.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kJoinRetryInterval{1};
// If no page was received for this long, there is no member to join and the node continues alone.
constexpr std::chrono::seconds kJoinTimeout{5};
constexpr size_t kMaxPageMessages = 8;
constexpr std::chrono::seconds kMinDigestInterval{1};
constexpr std::chrono::seconds kMaxDigestInterval{10};
constexpr size_t kMaxKeysMessages = 4;
constexpr size_t kMaxRepairMessages = 6;
constexpr std::chrono::seconds kReconnectInterval{5};
constexpr size_t kUrgentFanout = 4;
constexpr size_t kRemoteUrgentFanout = 2;
constexpr size_t kMaxUrgentMessages = 4;
// With a single push and 20% message loss, about one member in a thousand misses the update.
constexpr int kUrgentPushes = 3;
constexpr std::chrono::milliseconds kUrgentInterval{300};
constexpr size_t kExchangeMembers = 2;
constexpr size_t kMaxExchangeMessages = 8;
// Each change is sent in three successive exchanges; digests repair the losses.
constexpr int kExchangeTransmitLimit = 3;
constexpr int kRoundsPerBridgeDigest = 5;
// Number of members sent of each data centre that the sender of a digest does not know. The bridges
// of that data centre then export the others.
constexpr size_t kIntroducedMembers = 2;
constexpr size_t kMaxIntroductionMessages = 2;
// Each data centre has two bridges that send every second. The timeout covers the failure of both
// at once and their replacement, which takes about 9 s.
constexpr std::chrono::seconds kUnreachableTimeout{15};
// Added on each hop, so that an age that members forward to each other never decreases.
constexpr uint32_t kAgePerHopMs = 10;
constexpr size_t kMaxVersionSets = 2;
// One message in four carries the version set of the second highest version instead of the highest,
// so that the reported versions of lagging members converge as well.
constexpr uint64_t kSecondVersionPeriod = 4;

uint32_t AgeMs(MemberTime now, MemberTime at) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, 1 << 30));
}

bool Newer(const MemberKey& key, const MemberEntry& entry) {
  return std::tie(key.incarnation, key.sequence) > std::tie(entry.incarnation, entry.sequence);
}

}  // namespace

MemberMessage Membership::Impl::NewMessage(MemberTime now, MessageKind kind) const {
  MemberMessage message;
  message.kind = kind;
  message.mesh = options_.mesh;
  message.sender = self_.address;
  message.sender_incarnation = self_.incarnation;
  message.sender_data_centre = self_.data_centre;
  message.version = self_.version;
  message.hash = hash_;
  if (head_confirmed_) message.head_age = std::chrono::milliseconds(AgeMs(now, *head_confirmed_));
  if (kind != MessageKind::kPing && kind != MessageKind::kAck) return message;
  for (const auto& [name, dc] : table_.data_centres()) {
    if (name == self_.data_centre) continue;
    message.ages.push_back({DataCentreKey(name), AgeMs(now, dc.last_heard) + kAgePerHopMs});
  }
  return message;
}

SendMessage Membership::Impl::MakeAnnouncement(MemberTime now, const MemberId& to) {
  ++counters_.messages_out;
  return {to, NewMessage(now, MessageKind::kAnnounce)};
}

void Membership::Impl::Send(const MemberId& to, MemberMessage message, MemberEffects* out) {
  ++counters_.messages_out;
  out->push_back(SendMessage{to, std::move(message)});
}

int Membership::Impl::TransmitLimit() const {
  size_t n = table_.FindDataCentre(self_.data_centre)->live.size();
  int log2 = 1;
  while (n >>= 1) ++log2;
  return 3 * log2;
}

void Membership::Impl::Piggyback(const MemberId& to, MemberMessage* message) {
  size_t budget = kMaxMemberMessageBytes - EstimateHeaderBytes(*message);
  const MemberRecord* record = table_.Find(to);
  if (record != nullptr && record->state != MemberState::kAlive) {
    // Lets the receiver refute the claim.
    MemberUpdate claim = *table_.UpdateOf(to);
    if (EstimateUpdateBytes(claim) <= budget) {
      budget -= EstimateUpdateBytes(claim);
      message->updates.push_back(std::move(claim));
    }
  }
  AddVersionSets(message, &budget);
  const auto source = [this](const MemberId& id) { return table_.UpdateOf(id); };
  gossip_queue_.Take(budget, TransmitLimit(), source, &message->updates);
}

void Membership::Impl::AddVersionSets(MemberMessage* message, size_t* budget) {
  size_t count = 0;
  for (auto it = pending_version_sets_.begin();
       it != pending_version_sets_.end() && count < kMaxVersionSets;) {
    const auto* dc = table_.FindDataCentre(it->first);
    if (dc == nullptr || dc->versions.empty() || it->second <= 0) {
      it = pending_version_sets_.erase(it);
      continue;
    }
    auto version = std::prev(dc->versions.end());
    const bool second = it->second % static_cast<int>(kSecondVersionPeriod) == 0;
    if (second && version != dc->versions.begin()) --version;
    VersionSet set = table_.MakeVersionSet(it->first, version->first);
    const size_t n = EstimateVersionSetBytes(set);
    if (n > *budget) return;
    *budget -= n;
    message->version_sets.push_back(std::move(set));
    --it->second;
    ++count;
    ++it;
  }
}

void Membership::Impl::SendUpdates(MemberTime now, const MemberId& to,
                                   const std::vector<MemberUpdate>& updates, size_t max_messages,
                                   MemberEffects* out) {
  size_t next = 0;
  for (size_t i = 0; i < max_messages && next < updates.size(); ++i) {
    MemberMessage message = NewMessage(now, MessageKind::kUpdates);
    size_t budget = kMaxMemberMessageBytes - EstimateHeaderBytes(message);
    while (next < updates.size()) {
      const size_t n = EstimateUpdateBytes(updates[next]);
      if (n > budget) break;
      budget -= n;
      message.updates.push_back(updates[next++]);
    }
    if (message.updates.empty()) return;
    Send(to, std::move(message), out);
  }
}

std::vector<MemberId> Membership::Impl::PickMembers(std::mt19937_64& rng,
                                                    const std::string& data_centre,
                                                    size_t count) const {
  const auto* dc = table_.FindDataCentre(data_centre);
  if (dc == nullptr) return {};
  std::vector<MemberId> pool(dc->live.begin(), dc->live.end());
  pool.erase(std::remove(pool.begin(), pool.end(), self_.address), pool.end());
  count = std::min(count, pool.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(pool[i], pool[i + RandomIndex(rng, pool.size() - i)]);
  }
  pool.resize(count);
  return pool;
}

void Membership::Impl::PushUrgent(MemberTime now, std::mt19937_64& rng, const MemberId& about,
                                  MemberEffects* out) {
  urgent_updates_[about] = kUrgentPushes;
  SendUrgent(now, rng, out);
}

void Membership::Impl::RunUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (!urgent_updates_.empty() && now >= next_urgent_push_) SendUrgent(now, rng, out);
}

// Sends all urgent updates together, so that the number of messages does not grow with theirs.
void Membership::Impl::SendUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  next_urgent_push_ = now + kUrgentInterval;
  std::vector<MemberUpdate> updates;
  std::vector<MemberUpdate> exports;
  const bool bridge = IsBridge();
  for (auto it = urgent_updates_.begin(); it != urgent_updates_.end();) {
    const auto update = table_.UpdateOf(it->first);
    const MemberRecord* record = table_.Find(it->first);
    if (update && record != nullptr) {
      updates.push_back(*update);
      const bool own_data_centre = record->entry.data_centre == self_.data_centre;
      if (it->first == self_.address || (bridge && own_data_centre)) exports.push_back(*update);
    }
    it = --it->second <= 0 ? urgent_updates_.erase(it) : std::next(it);
  }
  for (const MemberId& to : PickMembers(rng, self_.data_centre, kUrgentFanout)) {
    SendUpdates(now, to, updates, kMaxUrgentMessages, out);
  }
  if (exports.empty()) return;
  for (const auto& [name, dc] : table_.data_centres()) {
    if (name == self_.data_centre) continue;
    for (const MemberId& to : PickMembers(rng, name, kRemoteUrgentFanout)) {
      SendUpdates(now, to, exports, kMaxUrgentMessages, out);
    }
  }
}

bool Membership::Impl::IsBridge() const {
  const auto* dc = table_.FindDataCentre(self_.data_centre);
  const std::vector<MemberId> live(dc->live.begin(), dc->live.end());
  const auto bridges = ElectBridges(live, self_.data_centre, kBridgesPerDataCentre);
  return std::find(bridges.begin(), bridges.end(), self_.address) != bridges.end();
}

void Membership::Impl::RunJoin(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (joined_ || now < next_join_) return;
  if (!page_received_ && now - start_time_ > kJoinTimeout) {
    joined_ = true;
    return;
  }
  next_join_ = now + kJoinRetryInterval;
  if (page_received_) {
    // Requests the next page from any known member, so that the seeds are not overloaded when many
    // nodes join at the same time.
    auto peers = PickMembers(rng, self_.data_centre, 1);
    if (peers.empty()) peers.push_back(options_.seeds[RandomIndex(rng, options_.seeds.size())]);
    MemberMessage message = NewMessage(now, MessageKind::kPageRequest);
    message.target = join_cursor_;
    return Send(peers.front(), std::move(message), out);
  }
  MemberMessage message = NewMessage(now, MessageKind::kJoin);
  message.updates.push_back(*table_.UpdateOf(self_.address));
  Send(options_.seeds[RandomIndex(rng, options_.seeds.size())], std::move(message), out);
}

void Membership::Impl::SendPage(MemberTime now, const MemberId& to, const MemberId& after,
                                MemberEffects* out) {
  auto it = table_.records().upper_bound(after);
  const auto end = table_.records().end();
  for (size_t i = 0; i < kMaxPageMessages; ++i) {
    MemberMessage message = NewMessage(now, MessageKind::kPage);
    size_t budget = kMaxMemberMessageBytes - EstimateHeaderBytes(message);
    for (; it != end; ++it) {
      const MemberUpdate update = *table_.UpdateOf(it->first);
      const size_t n = EstimateUpdateBytes(update);
      if (n > budget) break;
      budget -= n;
      message.target = it->first;
      message.updates.push_back(update);
    }
    const bool last = it == end;
    message.page_end = last || i + 1 == kMaxPageMessages;
    if (last) message.target = MemberId();
    Send(to, std::move(message), out);
    if (last) return;
  }
}

void Membership::Impl::OnPage(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                              MemberEffects* out) {
  if (joined_ || !message.page_end) return;
  page_received_ = true;
  if (message.target.empty()) {
    joined_ = true;
    return;
  }
  if (!(join_cursor_ < message.target)) return;
  join_cursor_ = message.target;
  next_join_ = now;
  RunJoin(now, rng, out);
}

void Membership::Impl::RunDigest(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (!joined_ || now < next_digest_) return;
  next_digest_ = now + digest_interval_;
  digest_interval_ = std::min<MemberTime::duration>(2 * digest_interval_, kMaxDigestInterval);
  const auto peers = PickMembers(rng, self_.data_centre, 1);
  if (peers.empty()) return;
  // Half of the digests cover this member's data centre, the rest a random one.
  std::string name = self_.data_centre;
  if (rng() % 2 == 0) {
    auto it = table_.data_centres().begin();
    std::advance(it, RandomIndex(rng, table_.data_centres().size()));
    name = it->first;
  }
  SendDigest(now, peers.front(), name, out);
}

void Membership::Impl::SendDigest(MemberTime now, const MemberId& to,
                                  const std::string& data_centre, MemberEffects* out) {
  const auto* dc = table_.FindDataCentre(data_centre);
  if (dc == nullptr) return;
  MemberMessage message = NewMessage(now, MessageKind::kDigest);
  message.data_centre = data_centre;
  message.buckets.assign(dc->buckets.begin(), dc->buckets.end());
  const MemberRecord* receiver = table_.Find(to);
  const bool remote = receiver != nullptr && receiver->entry.data_centre != self_.data_centre;
  if (remote) AddKnownDataCentres(now, &message);
  if (!dc->versions.empty()) {
    auto version = std::prev(dc->versions.end());
    message.version_sets.push_back(table_.MakeVersionSet(data_centre, version->first));
    if (version != dc->versions.begin()) {
      --version;
      message.version_sets.push_back(table_.MakeVersionSet(data_centre, version->first));
    }
  }
  Send(to, std::move(message), out);
}

void Membership::Impl::AddKnownDataCentres(MemberTime now, MemberMessage* message) const {
  for (const auto& [name, dc] : table_.data_centres()) {
    if (name == self_.data_centre || dc.live.empty()) continue;
    message->ages.push_back({DataCentreKey(name), AgeMs(now, dc.last_heard) + kAgePerHopMs});
  }
}

// Sends members of the data centres that the sender of a digest from another data centre does not
// know. Bridges export only their own data centre, so two data centres that joined through
// different seeds would otherwise never discover each other.
void Membership::Impl::IntroduceDataCentres(MemberTime now, std::mt19937_64& rng,
                                            const MemberMessage& digest, MemberEffects* out) {
  if (digest.sender_data_centre == self_.data_centre) return;
  std::set<uint32_t> known = {DataCentreKey(digest.sender_data_centre)};
  for (const DataCentreAge& it : digest.ages) known.insert(it.data_centre);
  std::vector<MemberUpdate> updates;
  for (const auto& [name, dc] : table_.data_centres()) {
    if (!dc.reachable || known.count(DataCentreKey(name)) > 0) continue;
    for (const MemberId& id : PickMembers(rng, name, kIntroducedMembers)) {
      updates.push_back(*table_.UpdateOf(id));
    }
  }
  SendUpdates(now, digest.sender, updates, kMaxIntroductionMessages, out);
}

void Membership::Impl::OnDigest(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                                MemberEffects* out) {
  IntroduceDataCentres(now, rng, message, out);
  static const MemberTable::DataCentre kEmpty;
  const auto* dc = table_.FindDataCentre(message.data_centre);
  if (dc == nullptr) dc = &kEmpty;
  if (message.buckets.size() != kDigestBuckets) return;
  std::array<std::vector<MemberKey>, kDigestBuckets> keys;
  for (const MemberId& id : dc->live) {
    const MemberEntry& entry = table_.Find(id)->entry;
    keys[MemberTable::BucketOf(id)].push_back({id, entry.incarnation, entry.sequence});
  }
  MemberMessage reply = NewMessage(now, MessageKind::kKeys);
  reply.data_centre = message.data_centre;
  size_t messages = 0;
  const size_t max_keys =
      (kMaxMemberMessageBytes - EstimateHeaderBytes(reply)) / EstimateKeyBytes();
  const auto flush = [&] {
    if (reply.bucket_mask == 0 && reply.keys.empty()) return;
    Send(message.sender, reply, out);
    ++messages;
    reply.bucket_mask = 0;
    reply.keys.clear();
  };
  for (size_t i = 0; i < kDigestBuckets && messages < kMaxKeysMessages; ++i) {
    if (dc->buckets[i] == message.buckets[i]) continue;
    if (reply.keys.size() + keys[i].size() > max_keys) flush();
    // A bucket that exceeds one message is sent in part. Its bit in the mask stays clear, because
    // the bit states that all keys of the bucket are listed.
    const bool complete = keys[i].size() <= max_keys;
    if (!complete) keys[i].resize(max_keys);
    if (complete) reply.bucket_mask |= 1U << i;
    reply.keys.insert(reply.keys.end(), keys[i].begin(), keys[i].end());
  }
  if (messages < kMaxKeysMessages) flush();
  if (messages > 0) digest_interval_ = kMinDigestInterval;
}

void Membership::Impl::OnKeys(MemberTime now, const MemberMessage& message, MemberEffects* out) {
  digest_interval_ = kMinDigestInterval;
  std::vector<MemberUpdate> updates;
  std::set<MemberId> listed;
  MemberMessage request = NewMessage(now, MessageKind::kEntryRequest);
  size_t budget = kMaxMemberMessageBytes - EstimateHeaderBytes(request);
  for (const MemberKey& key : message.keys) {
    listed.insert(key.address);
    const MemberRecord* record = table_.Find(key.address);
    const uint64_t tombstone = table_.TombstoneIncarnation(key.address).value_or(0);
    const bool already_dead =
        record != nullptr && !IsLive(record->state) && key.incarnation <= record->entry.incarnation;
    const bool missing = record == nullptr ? key.incarnation > tombstone
                                           : !already_dead && Newer(key, record->entry);
    if (missing) {
      if (budget < EstimateKeyBytes()) continue;
      budget -= EstimateKeyBytes();
      request.keys.push_back(key);
      continue;
    }
    const bool same = record != nullptr && IsLive(record->state) &&
                      key.incarnation == record->entry.incarnation &&
                      key.sequence == record->entry.sequence;
    if (same) continue;
    // Nothing is known of a member that a key lists with incarnation 0.
    if (auto update = table_.UpdateOf(key.address)) updates.push_back(std::move(*update));
  }
  if (const auto* dc = table_.FindDataCentre(message.data_centre)) {
    for (const MemberId& id : dc->live) {
      const bool covered = (message.bucket_mask >> MemberTable::BucketOf(id) & 1U) != 0;
      if (covered && listed.count(id) == 0) updates.push_back(*table_.UpdateOf(id));
    }
  }
  SendUpdates(now, message.sender, updates, kMaxRepairMessages, out);
  if (!request.keys.empty()) Send(message.sender, std::move(request), out);
}

void Membership::Impl::OnEntryRequest(MemberTime now, const MemberMessage& message,
                                      MemberEffects* out) {
  std::vector<MemberUpdate> updates;
  for (const MemberKey& key : message.keys) {
    if (auto update = table_.UpdateOf(key.address)) updates.push_back(std::move(*update));
  }
  SendUpdates(now, message.sender, updates, kMaxRepairMessages, out);
}

// Pings a member that is considered dead, or a seed that is not live, so that the two sides of a
// healed partition merge again.
void Membership::Impl::RunReconnect(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (now < next_reconnect_) return;
  next_reconnect_ = now + kReconnectInterval;
  std::vector<MemberId> candidates = table_.TombstoneIds();
  for (const MemberId& it : options_.seeds) {
    const MemberRecord* record = table_.Find(it);
    if (record == nullptr || !IsLive(record->state)) candidates.push_back(it);
  }
  for (const auto& [id, record] : table_.records()) {
    if (record.state == MemberState::kDead) candidates.push_back(id);
  }
  if (candidates.empty()) return;
  const MemberId& to = candidates[RandomIndex(rng, candidates.size())];
  MemberMessage message = NewMessage(now, MessageKind::kPing);
  message.updates.push_back(*table_.UpdateOf(self_.address));
  Send(to, std::move(message), out);
}

void Membership::Impl::RunBridge(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (!IsBridge()) {
    export_queue_.Clear();
    return;
  }
  ++bridge_round_;
  std::vector<MemberUpdate> updates;
  const size_t max_bytes = kMaxMemberMessageBytes - EstimateHeaderBytes(NewMessage(now, {}));
  const auto source = [this](const MemberId& id) { return table_.UpdateOf(id); };
  export_queue_.Take(kMaxExchangeMessages * max_bytes, kExchangeTransmitLimit, source, &updates);
  std::vector<std::string> others;
  for (const auto& [name, dc] : table_.data_centres()) {
    if (name != self_.data_centre && !dc.live.empty()) others.push_back(name);
  }
  const bool version_changed = pending_version_sets_.count(self_.data_centre) > 0;
  for (const std::string& name : others) {
    for (const MemberId& to : PickMembers(rng, name, kExchangeMembers)) {
      if (!updates.empty()) SendUpdates(now, to, updates, kMaxExchangeMessages, out);
      if (!updates.empty() && !version_changed) continue;
      MemberMessage message = NewMessage(now, MessageKind::kUpdates);
      const auto* dc = table_.FindDataCentre(self_.data_centre);
      if (version_changed && !dc->versions.empty()) {
        const ConfigVersion version = dc->versions.rbegin()->first;
        message.version_sets.push_back(table_.MakeVersionSet(self_.data_centre, version));
      }
      Send(to, std::move(message), out);
    }
    if (bridge_round_ % kRoundsPerBridgeDigest != 0) continue;
    for (const MemberId& to : PickMembers(rng, name, 1)) {
      SendDigest(now, to, self_.data_centre, out);
    }
  }
}

void Membership::Impl::OnDataCentreHeard(MemberTime now, MemberTime at, const std::string& name,
                                         MemberEffects* out) {
  if (table_.FindDataCentre(name) == nullptr) return;
  auto& dc = table_.data_centre(now, name);
  if (at <= dc.last_heard) return;
  dc.last_heard = at;
  if (dc.reachable || now - at > kUnreachableTimeout) return;
  dc.reachable = true;
  out->push_back(DataCentreChanged{name, true});
}

void Membership::Impl::RunReachability(MemberTime now, MemberEffects* out) {
  std::vector<std::string> unreachable;
  for (const auto& [name, dc] : table_.data_centres()) {
    if (name == self_.data_centre || !dc.reachable) continue;
    if (now - dc.last_heard > kUnreachableTimeout) unreachable.push_back(name);
  }
  for (const std::string& name : unreachable) {
    table_.data_centre(now, name).reachable = false;
    out->push_back(DataCentreChanged{name, false});
  }
}

}  // namespace camphorhoist
