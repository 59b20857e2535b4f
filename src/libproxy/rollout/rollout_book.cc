#include "camphorhoist/rollout_book.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace camphorhoist {

namespace {

RolloutPhase PhaseOf(RolloutState state) {
  if (state == RolloutState::kCompleted) return RolloutPhase::kShifting;
  return state == RolloutState::kRolledBack ? RolloutPhase::kStopped : RolloutPhase::kCanary;
}

}  // namespace

const char* ToString(RolloutState state) {
  switch (state) {
    case RolloutState::kNew:
      return "new";
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "new";
}

bool RolloutBook::Merge(ProxyTime now, const RolloutRecord& news) {
  Entry incoming{news, now - news.elapsed};
  RolloutRecord& record = incoming.record;
  record.elapsed = ProxyDuration(0);
  record.phase = std::max(record.phase, PhaseOf(record.state));
  const auto [it, inserted] = entries_.emplace(news.order.service, incoming);
  if (inserted) return true;
  Entry& held = it->second;
  const bool newer =
      std::tie(record.era, record.revision) > std::tie(held.record.era, held.record.revision);
  const bool same_era = record.era == held.record.era;
  // Within an era the status only goes back if the operator has given the order again.
  const bool same_order = record.order == held.record.order && !record.deleted &&
                          !held.record.deleted &&
                          !(newer && same_era && record.state < held.record.state);
  if (!same_order) {
    if (newer) held = incoming;
    return newer;
  }
  if (!newer && same_era && record.revision < held.record.first_revision) return false;
  const RolloutRecord before = held.record;
  held.ordered_at = std::min(held.ordered_at, incoming.ordered_at);
  const RolloutPhase phase = std::max(before.phase, record.phase);
  const int64_t first =
      same_era ? std::min(before.first_revision, record.first_revision) : record.first_revision;
  if (newer) held.record = record;
  held.record.phase = phase;
  if (newer || same_era) held.record.first_revision = first;
  return !(held.record == before);
}

std::vector<std::string> RolloutBook::MergeList(ProxyTime now, int64_t era, int64_t revision,
                                                const std::vector<RolloutRecord>& list) {
  std::vector<std::string> changed;
  for (const RolloutRecord& it : list) {
    if (Merge(now, it)) changed.push_back(it.order.service);
  }
  std::set<std::string> listed;
  for (const RolloutRecord& it : list) listed.insert(it.order.service);
  for (auto& [service, entry] : entries_) {
    RolloutRecord& record = entry.record;
    const bool older = std::tie(record.era, record.revision) < std::tie(era, revision);
    if (listed.count(service) != 0 || record.deleted || !older) continue;
    record.deleted = true;
    record.era = era;
    record.revision = revision;
    changed.push_back(service);
  }
  return changed;
}

void RolloutBook::SetPhase(const std::string& service, RolloutPhase phase) {
  RolloutRecord& record = entries_.at(service).record;
  record.phase = std::max(record.phase, phase);
}

const RolloutRecord* RolloutBook::Find(const std::string& service) const {
  const auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second.record;
}

std::vector<RolloutRecord> RolloutBook::Records(ProxyTime now) const {
  std::vector<RolloutRecord> records;
  for (const auto& it : entries_) {
    records.push_back(it.second.record);
    records.back().elapsed = std::chrono::duration_cast<ProxyDuration>(now - it.second.ordered_at);
  }
  return records;
}

RolloutTraffic RolloutBook::TrafficOf(const std::string& service) const {
  const RolloutRecord* record = Find(service);
  if (record == nullptr || record->deleted) return RolloutTraffic::kAll;
  if (record->state == RolloutState::kCompleted) return RolloutTraffic::kTargetPreferred;
  if (record->state == RolloutState::kRolledBack) return RolloutTraffic::kOthersOnly;
  switch (record->phase) {
    case RolloutPhase::kCanary:
      return RolloutTraffic::kSplit;
    case RolloutPhase::kShifting:
      return RolloutTraffic::kTargetOnly;
    case RolloutPhase::kStopped:
      return RolloutTraffic::kOthersOnly;
  }
  return RolloutTraffic::kAll;
}

std::vector<std::string> RankedNodes(const std::string& key, const std::vector<std::string>& nodes,
                                     size_t count) {
  std::vector<std::pair<uint64_t, std::string>> ranks;
  ranks.reserve(nodes.size());
  for (const std::string& it : nodes) {
    std::string text = key;
    text.append(1, '\0').append(it);
    ranks.emplace_back(XXH64(text.data(), text.size(), 0), it);
  }
  count = std::min(count, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(),
                    std::greater<>());
  std::vector<std::string> highest;
  for (size_t i = 0; i < count; ++i) highest.push_back(ranks[i].second);
  return highest;
}

void RolloutGate::Set(const RolloutDecision& decision, ProxyTime valid_until) {
  decision_ = decision;
  valid_until_ = valid_until;
}

double RolloutGate::share(ProxyTime now) const {
  return now < valid_until_ ? decision_.share : RolloutPolicy::kSmallestShare;
}

uint32_t RolloutGate::servers(ProxyTime now) const {
  return now < valid_until_ ? decision_.servers : RolloutPolicy::kMinServers;
}

bool RolloutGate::Next(ProxyTime now) {
  due_ += share(now);
  if (due_ < 1) return false;
  due_ -= 1;
  return true;
}

bool RolloutShift::MayComplete(ProxyTime now, const std::vector<std::string>& reachable,
                               const std::vector<std::string>& others) {
  const bool all_told = std::all_of(reachable.begin(), reachable.end(),
                                    [this](const auto& it) { return told_.count(it) != 0; });
  if (!all_told) return false;
  all_told_at_ = std::min(all_told_at_, now);
  if (now >= all_told_at_ + kMaxDrainTime) return true;
  return std::all_of(others.begin(), others.end(), [this](const auto& node) {
    const auto it = active_.find(node);
    return it != active_.end() && it->second.second == 0 &&
           it->second.first >= all_told_at_ + kArrivalTime;
  });
}

}  // namespace camphorhoist
