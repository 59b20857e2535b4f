#include "camphorhoist/membership.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/error.h"
#include "libmember/membership_impl.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kPeriodicInterval{1};
// A member that has left takes no part in repair, so the leave message is repeated instead.
constexpr int kLeavePushes = 8;
constexpr int kUrgentRelays = 3;
constexpr std::chrono::milliseconds kLeavePushInterval{250};

std::string Printable(const std::string& text) {
  std::string clean = text.substr(0, kMaxRefusalBytes);
  for (char& c : clean) {
    if (c < ' ' || c >= 127) c = '?';
  }
  return clean;
}

}  // namespace

Membership::Impl::Impl(MembershipOptions options) : options_(std::move(options)) {
  self_.address = options_.self;
  self_.data_centre = options_.data_centre;
  self_.region = options_.region;
  self_.incarnation = std::max<uint64_t>(options_.incarnation, 1);
  self_.sequence = 1;
  self_.lowest_schema = options_.lowest_schema;
  self_.highest_schema = options_.highest_schema;
  auto& seeds = options_.seeds;
  seeds.erase(std::remove(seeds.begin(), seeds.end(), options_.self), seeds.end());
  table_.Put(MemberTime(), self_, MemberState::kAlive);
}

void Membership::Impl::Start(MemberTime now, std::mt19937_64& rng) {
  started_ = true;
  start_time_ = now;
  last_tick_ = now;
  last_heard_own_data_centre_ = now;
  // A random offset keeps members that start together from probing at the same instant.
  const std::chrono::milliseconds offset(RandomIndex(rng, 1000));
  next_probe_ = now + offset;
  next_periodic_ = now + offset;
  next_join_ = now;
  digest_interval_ = kPeriodicInterval;
  next_digest_ = now + kPeriodicInterval + offset;
  next_reconnect_ = now + 5 * kPeriodicInterval + offset;
  joined_ = options_.seeds.empty();
  table_.Put(now, self_, MemberState::kAlive);
  gossip_queue_.Add(self_.address);
}

MemberEffects Membership::Impl::Tick(MemberTime now, std::mt19937_64& rng) {
  MemberEffects out;
  if (!started_) Start(now, rng);
  DetectPause(now, rng, &out);
  last_tick_ = now;
  if (left_) {
    if (leave_pushes_ < kLeavePushes && now >= next_leave_push_) {
      ++leave_pushes_;
      next_leave_push_ = now + kLeavePushInterval;
      PushUrgent(now, rng, self_.address, &out);
    }
    return out;
  }
  CheckIsolation(now);
  RunUrgent(now, rng, &out);
  RunJoin(now, rng, &out);
  RunProbes(now, rng, &out);
  RunSuspicions(now, &out);
  RunDigest(now, rng, &out);
  RunReconnect(now, rng, &out);
  if (now < next_periodic_) return out;
  next_periodic_ = std::max(next_periodic_ + kPeriodicInterval, now);
  RunBridge(now, rng, &out);
  RunReachability(now, &out);
  table_.Expire(now);
  return out;
}

MemberEffects Membership::Impl::OnMessage(MemberTime now, std::mt19937_64& rng,
                                          const MemberId& from, const MemberMessage& message) {
  MemberEffects out;
  ++counters_.messages_in;
  if (message.mesh != options_.mesh) {
    ++counters_.wrong_mesh;
    return out;
  }
  if (message.sender != from || from == self_.address) {
    ++counters_.invalid_sender;
    return out;
  }
  if (!started_) Start(now, rng);
  DetectPause(now, rng, &out);
  if (left_) {
    if (message.kind == MessageKind::kPing) OnPing(now, message, &out);
    return out;
  }
  const bool gossip = message.kind != MessageKind::kPage;
  for (const MemberUpdate& it : message.updates) MergeUpdate(now, rng, it, gossip, &out);
  ReadHeader(now, message, &out);
  ReadVersionSets(now, message, &out);
  Dispatch(now, rng, message, &out);
  return out;
}

void Membership::Impl::ReadHeader(MemberTime now, const MemberMessage& message,
                                  MemberEffects* out) {
  if (message.sender_data_centre == self_.data_centre) {
    last_heard_own_data_centre_ = now;
    for (const auto& [name, dc] : table_.data_centres()) {
      const uint32_t key = DataCentreKey(name);
      for (const DataCentreAge& it : message.ages) {
        if (it.data_centre != key) continue;
        OnDataCentreHeard(now, now - std::chrono::milliseconds(it.age_ms), name, out);
      }
    }
  } else {
    OnDataCentreHeard(now, now, message.sender_data_centre, out);
  }
  if (table_.RaiseVersion(now, message.sender, message.sender_incarnation, message.version)) {
    pending_version_sets_[message.sender_data_centre] = TransmitLimit();
    ReportMember(message.sender, out);
  }
  out->push_back(VersionObserved{message.version, message.hash, message.sender, message.head_age});
  // Sends the claim to a sender that is considered suspect, dead or left, so that it can refute it.
  const MemberRecord* record = table_.Find(message.sender);
  const bool needs_refutation =
      record != nullptr
          ? record->state != MemberState::kAlive &&
                record->entry.incarnation >= message.sender_incarnation
          : table_.TombstoneIncarnation(message.sender).value_or(0) >= message.sender_incarnation;
  const std::optional<MemberUpdate> claim = table_.UpdateOf(message.sender);
  if (needs_refutation && claim) SendUpdates(now, message.sender, {*claim}, 1, out);
}

void Membership::Impl::ReadVersionSets(MemberTime now, const MemberMessage& message,
                                       MemberEffects* out) {
  for (const VersionSet& set : message.version_sets) {
    const auto changed = table_.ApplyVersionSet(now, set);
    if (changed.empty()) continue;
    pending_version_sets_[set.data_centre] = TransmitLimit();
    for (const MemberId& id : changed) ReportMember(id, out);
  }
}

void Membership::Impl::Dispatch(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                                MemberEffects* out) {
  switch (message.kind) {
    case MessageKind::kPing:
      return OnPing(now, message, out);
    case MessageKind::kAck:
      return OnAck(now, message, out);
    case MessageKind::kPingRequest:
      return OnPingRequest(now, message, out);
    case MessageKind::kJoin:
      return SendPage(now, message.sender, MemberId(), out);
    case MessageKind::kPageRequest:
      return SendPage(now, message.sender, message.target, out);
    case MessageKind::kPage:
      return OnPage(now, rng, message, out);
    case MessageKind::kDigest:
      return OnDigest(now, rng, message, out);
    case MessageKind::kKeys:
      return OnKeys(now, message, out);
    case MessageKind::kEntryRequest:
      return OnEntryRequest(now, message, out);
    case MessageKind::kUpdates:
    case MessageKind::kAnnounce:
      return;
  }
}

void Membership::Impl::MergeUpdate(MemberTime now, std::mt19937_64& rng, const MemberUpdate& update,
                                   bool gossip, MemberEffects* out) {
  const MemberId& id = update.entry.address;
  if (id == self_.address) return MergeUpdateAboutSelf(now, rng, update, out);
  const MergeResult result = table_.Merge(now, update);
  if (result.stale) ++counters_.stale_updates;
  if (result.is_new || result.version_changed) ReportMember(id, out);
  if (result.endpoints_changed) ReportEndpoints(id, out);
  if (result.version_changed && gossip) {
    pending_version_sets_[table_.Find(id)->entry.data_centre] = TransmitLimit();
  }
  const MemberRecord* record = table_.Find(id);
  const bool known = !result.is_new && !result.stale && record != nullptr;
  if (known && record->state == update.state) gossip_queue_.CountDuplicate(id, TransmitLimit());
  if (!result.is_new || !gossip) return;
  gossip_queue_.Add(id, result.urgent);
  if (table_.Find(id)->entry.data_centre == self_.data_centre) export_queue_.Add(id, result.urgent);
  if (!result.urgent) return;
  // Sent on the next tick, together with the urgent updates that arrive until then.
  urgent_updates_[id] = kUrgentRelays;
  next_urgent_push_ = now;
}

void Membership::Impl::MergeUpdateAboutSelf(MemberTime now, std::mt19937_64& rng,
                                            const MemberUpdate& update, MemberEffects* out) {
  const MemberEntry& claim = update.entry;
  const bool claimed_not_alive =
      update.state != MemberState::kAlive && claim.incarnation >= self_.incarnation;
  const bool from_other_run =
      claim.incarnation > self_.incarnation ||
      (claim.incarnation == self_.incarnation && claim.sequence > self_.sequence);
  if (!claimed_not_alive && !from_other_run) return;
  ++counters_.refutations;
  RaiseIncarnation(now, claim.incarnation);
  PushUrgent(now, rng, self_.address, out);
}

void Membership::Impl::RaiseIncarnation(MemberTime now, uint64_t above) {
  self_.incarnation = std::max(above, self_.incarnation) + 1;
  PublishSelf(now, true);
}

void Membership::Impl::PublishSelf(MemberTime now, bool urgent) {
  table_.Put(now, self_, left_ ? MemberState::kLeft : MemberState::kAlive);
  gossip_queue_.Add(self_.address, urgent);
  export_queue_.Add(self_.address, urgent);
}

MemberEffects Membership::Impl::UpdateSelf(MemberTime now, std::mt19937_64& rng,
                                           const SelfState& state, std::error_code* ec) {
  MemberEffects out;
  if (ec != nullptr) *ec = std::error_code();
  MemberEntry updated = self_;
  updated.version = std::max(self_.version, state.version);
  updated.refusal = Printable(state.refusal);
  updated.endpoints = state.endpoints;
  updated.draining = state.draining;
  if (updated.endpoints.size() > kMaxEndpointsPerMember ||
      EstimateUpdateBytes({MemberState::kAlive, true, updated}) > kMaxEntryBytes) {
    if (ec != nullptr) *ec = Errc::kInvalidInput;
    return out;
  }
  if (state.version >= self_.version) hash_ = state.hash;
  if (updated == self_) return out;
  const MemberEntry before = self_;
  const bool version_changed = updated.version != before.version;
  self_ = updated;
  if (version_changed) pending_version_sets_[self_.data_centre] = TransmitLimit();
  self_.version = before.version;
  const bool entry_changed = self_ != before;
  self_.version = updated.version;
  if (!entry_changed) {
    table_.RaiseVersion(now, self_.address, self_.incarnation, self_.version);
    ReportMember(self_.address, &out);
    return out;
  }
  ++self_.sequence;
  const bool urgent = StopsServing(before, self_);
  PublishSelf(now, urgent);
  ReportMember(self_.address, &out);
  ReportEndpoints(self_.address, &out);
  if (urgent) PushUrgent(now, rng, self_.address, &out);
  return out;
}

MemberEffects Membership::Impl::Leave(MemberTime now, std::mt19937_64& rng) {
  MemberEffects out;
  if (left_) return out;
  left_ = true;
  self_.draining = true;
  ++self_.sequence;
  PublishSelf(now, true);
  next_leave_push_ = now + kLeavePushInterval;
  PushUrgent(now, rng, self_.address, &out);
  ReportMember(self_.address, &out);
  ReportEndpoints(self_.address, &out);
  return out;
}

void Membership::Impl::ReportMember(const MemberId& id, MemberEffects* out) const {
  const MemberRecord* record = table_.Find(id);
  if (record != nullptr) out->push_back(MemberChanged{record->entry, record->state});
}

void Membership::Impl::ReportEndpoints(const MemberId& id, MemberEffects* out) const {
  const MemberRecord* record = table_.Find(id);
  if (record != nullptr) out->push_back(EndpointChanged{record->entry, record->state});
}

Membership::Membership(MembershipOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

MemberEffects Membership::Tick(MemberTime now, std::mt19937_64& rng) {
  return impl_->Tick(now, rng);
}

MemberEffects Membership::OnMessage(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                                    const MemberMessage& message) {
  return impl_->OnMessage(now, rng, from, message);
}

MemberEffects Membership::UpdateSelf(MemberTime now, std::mt19937_64& rng, const SelfState& state,
                                     std::error_code* ec) {
  return impl_->UpdateSelf(now, rng, state, ec);
}

void Membership::SetHeadConfirmed(MemberTime at) { impl_->set_head_confirmed(at); }

MemberEffects Membership::Leave(MemberTime now, std::mt19937_64& rng) {
  return impl_->Leave(now, rng);
}

SendMessage Membership::MakeAnnouncement(MemberTime now, const MemberId& to) {
  return impl_->MakeAnnouncement(now, to);
}

std::vector<MemberView> Membership::Members() const {
  std::vector<MemberView> views;
  for (const auto& [id, record] : impl_->table().records()) views.push_back(*Find(id));
  return views;
}

std::optional<MemberView> Membership::Find(const MemberId& id) const {
  const MemberRecord* record = impl_->table().Find(id);
  if (record == nullptr) return std::nullopt;
  return MemberView{record->entry, record->state, Reachable(record->entry.data_centre),
                    record->last_changed};
}

std::vector<MemberId> Membership::LiveMembers(const std::string& data_centre) const {
  const auto* dc = impl_->table().FindDataCentre(data_centre);
  if (dc == nullptr) return {};
  return {dc->live.begin(), dc->live.end()};
}

size_t Membership::LiveCount() const {
  size_t n = 0;
  for (const auto& [name, dc] : impl_->table().data_centres()) {
    if (dc.reachable) n += dc.live.size();
  }
  return n;
}

bool Membership::Reachable(const std::string& data_centre) const {
  const auto* dc = impl_->table().FindDataCentre(data_centre);
  return dc != nullptr && dc->reachable;
}

const MemberEntry& Membership::self() const { return impl_->self(); }
bool Membership::joined() const { return impl_->joined(); }

std::pair<uint32_t, uint32_t> Membership::SchemaRange() const {
  const MemberEntry& own = impl_->self();
  std::pair<uint32_t, uint32_t> range(own.highest_schema, own.lowest_schema);
  for (const auto& [id, record] : impl_->table().records()) {
    if (!IsLive(record.state)) continue;
    range.first = std::min(range.first, record.entry.highest_schema);
    range.second = std::max(range.second, record.entry.lowest_schema);
  }
  return range;
}

const MembershipCounters& Membership::counters() const { return impl_->counters(); }

}  // namespace camphorhoist
