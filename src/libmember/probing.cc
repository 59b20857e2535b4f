// Failure detection within this member's data centre, based on SWIM: direct and indirect probes,
// suspicions, and the checks that keep a member that was paused or is isolated from reporting
// healthy members as failed.

#include <algorithm>
#include <utility>

#include "libmember/membership_impl.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kProbeInterval{1};
// Far above a round trip within a data centre (about 1 ms), so that an overloaded node still
// replies in time.
constexpr std::chrono::milliseconds kDirectProbeTimeout{400};
constexpr size_t kIndirectProbes = 3;
constexpr std::chrono::seconds kSuspicionTimeout{5};
constexpr std::chrono::seconds kPauseThreshold{2};
constexpr std::chrono::seconds kRelayTimeout{2};
// Number of acknowledged probes that end a self-check. They need not be consecutive: in the smaller
// part of a partition most probes fail, and the unreachable members must still be declared dead.
constexpr size_t kSelfCheckAcks = 3;
// If no member of the data centre was heard for this long, this member's own network is a likelier
// cause than failures of the others.
constexpr std::chrono::seconds kIsolationThreshold{3};
// After this long without any message the other members are reported as failed after all, because
// they may have failed together.
constexpr std::chrono::seconds kMaxIsolation{15};

}  // namespace

void Membership::Impl::DetectPause(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  if (now - last_tick_ <= kPauseThreshold) return;
  ++counters_.pauses_seen;
  last_tick_ = now;
  last_heard_own_data_centre_ = now;
  next_probe_ = now;
  StartSelfCheck(now);
  // This member heard nothing during the pause, which does not make other data centres unreachable.
  for (const auto& [name, dc] : table_.data_centres()) {
    if (dc.reachable) table_.data_centre(now, name).last_heard = now;
  }
  if (left_) return;
  ++counters_.refutations;
  RaiseIncarnation(now, self_.incarnation);
  PushUrgent(now, rng, self_.address, out);
}

void Membership::Impl::StartSelfCheck(MemberTime now) {
  self_check_ = true;
  self_check_acks_ = 0;
  probes_.clear();
  relayed_probes_.clear();
  table_.RestartSuspicions(now);
}

void Membership::Impl::CheckIsolation(MemberTime now) {
  const auto* dc = table_.FindDataCentre(self_.data_centre);
  const bool isolated =
      dc->live.size() > 1 && now - last_heard_own_data_centre_ > kIsolationThreshold;
  if (isolated && !isolated_) table_.RestartSuspicions(now);
  if (!isolated && isolated_) StartSelfCheck(now);
  isolated_ = isolated;
}

bool Membership::Impl::MayReportFailures(MemberTime now) const {
  if (self_check_) return false;
  return !isolated_ || now - last_heard_own_data_centre_ > kMaxIsolation;
}

void Membership::Impl::RunProbes(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    it = now - it->second.sent > kRelayTimeout ? relayed_probes_.erase(it) : std::next(it);
  }
  SendIndirectProbes(now, rng, out);
  if (now < next_probe_) return;
  next_probe_ = std::max(next_probe_ + kProbeInterval, now);
  ExpireProbes(now, out);
  StartProbe(now, rng, out);
}

void Membership::Impl::StartProbe(MemberTime now, std::mt19937_64& rng, MemberEffects* out) {
  const auto& live = table_.FindDataCentre(self_.data_centre)->live;
  if (live.size() <= 1) {
    self_check_ = false;
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

void Membership::Impl::SendIndirectProbes(MemberTime now, std::mt19937_64& rng,
                                          MemberEffects* out) {
  for (auto& [number, probe] : probes_) {
    if (probe.indirect || now - probe.sent < kDirectProbeTimeout) continue;
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

void Membership::Impl::ExpireProbes(MemberTime now, MemberEffects* out) {
  const auto unanswered = std::move(probes_);
  probes_.clear();
  for (const auto& [number, probe] : unanswered) {
    const MemberRecord* record = table_.Find(probe.target);
    if (!MayReportFailures(now) || record == nullptr || record->state != MemberState::kAlive) {
      continue;
    }
    ++counters_.suspicions_raised;
    table_.SetState(now, probe.target, MemberState::kSuspect);
    gossip_queue_.Add(probe.target);
    ReportMember(probe.target, out);
  }
}

void Membership::Impl::RunSuspicions(MemberTime now, MemberEffects* out) {
  if (!MayReportFailures(now)) return;
  const std::set<MemberId> suspects = table_.suspects();
  for (const MemberId& id : suspects) {
    const MemberRecord* record = table_.Find(id);
    // Members of other data centres are declared dead by their own data centre.
    if (record->entry.data_centre != self_.data_centre) continue;
    if (now - record->since < kSuspicionTimeout) continue;
    ++counters_.deaths_declared;
    table_.SetState(now, id, MemberState::kDead);
    gossip_queue_.Add(id);
    export_queue_.Add(id);
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
  const auto relay = relayed_probes_.find(message.probe);
  if (relay != relayed_probes_.end()) {
    MemberMessage forward = NewMessage(now, MessageKind::kAck);
    forward.probe = relay->second.probe;
    forward.target = message.sender;
    Send(relay->second.requester, std::move(forward), out);
    relayed_probes_.erase(relay);
    return;
  }
  const auto probe = probes_.find(message.probe);
  if (probe == probes_.end()) return;
  const MemberId& acked = message.target.empty() ? message.sender : message.target;
  if (acked != probe->second.target) return;
  probes_.erase(probe);
  if (!self_check_) return;
  ++self_check_acks_;
  const size_t others = table_.FindDataCentre(self_.data_centre)->live.size() - 1;
  if (self_check_acks_ < std::min(kSelfCheckAcks, others)) return;
  self_check_ = false;
  table_.RestartSuspicions(now);
}

void Membership::Impl::OnPingRequest(MemberTime now, const MemberMessage& message,
                                     MemberEffects* out) {
  if (message.target.empty() || message.target == self_.address) return;
  MemberMessage ping = NewMessage(now, MessageKind::kPing);
  ping.probe = ++last_probe_;
  relayed_probes_[ping.probe] = {message.sender, message.probe, now};
  Send(message.target, std::move(ping), out);
}

}  // namespace camphorhoist
