// Failure detection in the own data centre: probes, suspicions, and the rules that keep a member
// with a fault of its own from accusing others.

#include <algorithm>
#include <utility>

#include "libmember/membership_impl.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kProbeInterval{1};
// Much longer than a round trip in a data centre (about 1 ms), so that a loaded node still answers.
constexpr std::chrono::milliseconds kDirectTimeout{400};
constexpr size_t kIndirectProbes = 3;
constexpr std::chrono::seconds kSuspicionTime{5};
constexpr std::chrono::seconds kPauseGap{2};
constexpr std::chrono::seconds kRelayLifetime{2};
// Answered probes that end a probation. Failures in between do not count against it: in the smaller
// part of a partition most probes fail, and the lost members must still be found dead.
constexpr size_t kProbationAcks = 3;
// Silence of the whole data centre that points at the own network rather than at the others.
constexpr std::chrono::seconds kIsolationSilence{3};
// After this time the others are accused nevertheless, because they may all have died.
constexpr std::chrono::seconds kIsolationLimit{15};

}  // namespace

void Membership::Impl::NoticePause(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (now - last_tick_ <= kPauseGap) return;
  ++counters_.pauses_seen;
  last_tick_ = now;
  heard_own_data_centre_ = now;
  next_probe_ = now;
  StartProbation(now);
  // Silence during the pause says nothing about the other data centres.
  for (const auto& [name, dc] : table_.data_centres()) {
    if (dc.reachable) table_.data_centre(now, name).last_heard = now;
  }
  if (left_) return;
  ++counters_.refutations;
  RaiseIncarnation(now, self_.incarnation);
  PushUrgent(now, rng, self_.address, out);
}

void Membership::Impl::StartProbation(MemberTime now) {
  probation_ = true;
  probation_acks_ = 0;
  probes_.clear();
  relays_.clear();
  table_.RestartSuspicions(now);
}

void Membership::Impl::CheckIsolation(MemberTime now) {
  const auto* dc = table_.FindDataCentre(self_.data_centre);
  const bool silent = dc->live.size() > 1 && now - heard_own_data_centre_ > kIsolationSilence;
  if (silent && !isolated_) table_.RestartSuspicions(now);
  if (!silent && isolated_) StartProbation(now);
  isolated_ = silent;
}

bool Membership::Impl::MayAccuse(MemberTime now) const {
  if (probation_) return false;
  return !isolated_ || now - heard_own_data_centre_ > kIsolationLimit;
}

void Membership::Impl::RunProbes(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  for (auto it = relays_.begin(); it != relays_.end();) {
    it = now - it->second.sent > kRelayLifetime ? relays_.erase(it) : std::next(it);
  }
  AskIndirect(now, rng, out);
  if (now < next_probe_) return;
  next_probe_ = std::max(next_probe_ + kProbeInterval, now);
  FinishProbe(now, out);
  StartProbe(now, rng, out);
}

void Membership::Impl::StartProbe(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  const auto& live = table_.FindDataCentre(self_.data_centre)->live;
  if (live.size() <= 1) {
    probation_ = false;
    return;
  }
  MemberId target;
  while (target.empty()) {
    if (probe_order_.empty()) {
      probe_order_.assign(live.begin(), live.end());
      for (size_t i = probe_order_.size(); i > 1; --i) {
        std::swap(probe_order_[i - 1], probe_order_[RandomIndex(rng, i)]);
      }
    }
    const MemberId next = probe_order_.back();
    probe_order_.pop_back();
    if (next != self_.address && live.count(next) > 0) target = next;
  }
  MemberMessage message = NewMessage(now, MessageKind::kPing);
  message.probe = ++last_probe_;
  probes_[message.probe] = {target, now, false};
  Piggyback(target, &message);
  Send(target, std::move(message), out);
}

void Membership::Impl::AskIndirect(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  for (auto& [number, probe] : probes_) {
    if (probe.indirect || now - probe.sent < kDirectTimeout) continue;
    probe.indirect = true;
    for (const MemberId& it : PickMembers(rng, self_.data_centre, kIndirectProbes + 1)) {
      if (it == probe.target) continue;
      MemberMessage message = NewMessage(now, MessageKind::kPingRequest);
      message.probe = number;
      message.target = probe.target;
      Piggyback(it, &message);
      Send(it, std::move(message), out);
    }
  }
}

void Membership::Impl::FinishProbe(MemberTime now, MemberEffects* out) {
  const auto failed = std::move(probes_);
  probes_.clear();
  for (const auto& [number, probe] : failed) {
    const MemberRecord* record = table_.Find(probe.target);
    if (!MayAccuse(now) || record == nullptr || record->state != MemberState::kAlive) continue;
    ++counters_.suspicions_raised;
    table_.SetState(now, probe.target, MemberState::kSuspect);
    gossip_.Add(probe.target);
    ReportMember(probe.target, out);
  }
}

void Membership::Impl::RunSuspicions(MemberTime now, MemberEffects* out) {
  if (!MayAccuse(now)) return;
  const std::set<MemberId> suspects = table_.suspects();
  for (const MemberId& id : suspects) {
    const MemberRecord* record = table_.Find(id);
    // Members of other data centres are judged there.
    if (record->entry.data_centre != self_.data_centre) continue;
    if (now - record->since < kSuspicionTime) continue;
    ++counters_.deaths_declared;
    table_.SetState(now, id, MemberState::kDead);
    gossip_.Add(id);
    exports_.Add(id);
    ReportMember(id, out);
    ReportEndpoints(id, out);
  }
}

void Membership::Impl::OnPing(MemberTime now, const MemberMessage& message, MemberEffects* out) {
  MemberMessage reply = NewMessage(now, MessageKind::kAck);
  reply.probe = message.probe;
  Piggyback(message.sender, &reply);
  Send(message.sender, std::move(reply), out);
}

void Membership::Impl::OnAck(MemberTime now, const MemberMessage& message, MemberEffects* out) {
  const auto relay = relays_.find(message.probe);
  if (relay != relays_.end()) {
    MemberMessage forward = NewMessage(now, MessageKind::kAck);
    forward.probe = relay->second.probe;
    forward.target = message.sender;
    Send(relay->second.requester, std::move(forward), out);
    relays_.erase(relay);
    return;
  }
  const auto probe = probes_.find(message.probe);
  if (probe == probes_.end()) return;
  const MemberId& proved = message.target.empty() ? message.sender : message.target;
  if (proved != probe->second.target) return;
  probes_.erase(probe);
  if (!probation_) return;
  ++probation_acks_;
  const size_t others = table_.FindDataCentre(self_.data_centre)->live.size() - 1;
  if (probation_acks_ < std::min(kProbationAcks, others)) return;
  probation_ = false;
  table_.RestartSuspicions(now);
}

void Membership::Impl::OnPingRequest(MemberTime now, const MemberMessage& message,
                                     MemberEffects* out) {
  if (message.target.empty() || message.target == self_.address) return;
  MemberMessage ping = NewMessage(now, MessageKind::kPing);
  ping.probe = ++last_probe_;
  relays_[ping.probe] = {message.sender, message.probe, now};
  Send(message.target, std::move(ping), out);
}

}  // namespace camphorhoist
