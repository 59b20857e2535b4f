#include "libmember/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace camphorhoist {

namespace {

// Dead and left members stay in the member list for this long, so that status output shows them.
constexpr std::chrono::seconds kDeadRetention{60};
// Longer than any update stays in a gossip queue, so that a delayed one cannot revive a removed
// member.
constexpr std::chrono::seconds kTombstoneRetention{600};

uint64_t HashOf(const MemberId& id, uint64_t a, uint64_t b) {
  const uint64_t words[3] = {id.port(), a, b};
  return XXH64(words, sizeof(words), XXH64(id.ip().data(), id.ip().size(), 0));
}

bool HasServing(const MemberEntry& entry, const EndpointInfo& endpoint) {
  return std::any_of(entry.endpoints.begin(), entry.endpoints.end(),
                     [&endpoint](const EndpointInfo& it) {
                       return it.service == endpoint.service && it.upstream == endpoint.upstream &&
                              it.state == EndpointState::kServing;
                     });
}

bool SameEndpoints(const MemberRecord& a, const MemberRecord& b) {
  return IsLive(a.state) == IsLive(b.state) && a.entry.draining == b.entry.draining &&
         a.entry.incarnation == b.entry.incarnation && a.entry.endpoints == b.entry.endpoints;
}

}  // namespace

bool StopsServing(const MemberEntry& before, const MemberEntry& after) {
  if (before.draining) return false;
  return std::any_of(
      before.endpoints.begin(), before.endpoints.end(), [&after](const EndpointInfo& it) {
        return it.state == EndpointState::kServing && (after.draining || !HasServing(after, it));
      });
}

size_t MemberTable::BucketOf(const MemberId& id) { return HashOf(id, 0, 0) % kDigestBuckets; }

MemberTable::DataCentre& MemberTable::data_centre(MemberTime now, const std::string& name) {
  const auto [it, added] = data_centres_.try_emplace(name);
  if (added) it->second.last_heard = now;
  return it->second;
}

const MemberTable::DataCentre* MemberTable::FindDataCentre(const std::string& name) const {
  const auto it = data_centres_.find(name);
  return it == data_centres_.end() ? nullptr : &it->second;
}

const MemberRecord* MemberTable::Find(const MemberId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

// The hashes are sums, so that a member can be subtracted again. They exclude the version: it
// changes on all members at the same time and is repaired by version sets.
void MemberTable::AddToTotals(const MemberRecord& record) {
  const MemberEntry& entry = record.entry;
  if (record.state == MemberState::kSuspect) suspects_.insert(entry.address);
  if (!IsLive(record.state)) return;
  DataCentre& dc = data_centres_[entry.data_centre];
  dc.live.insert(entry.address);
  dc.roster += HashOf(entry.address, entry.incarnation, 0);
  dc.buckets[BucketOf(entry.address)] += HashOf(entry.address, entry.incarnation, entry.sequence);
  ++dc.versions[entry.version];
}

void MemberTable::RemoveFromTotals(const MemberRecord& record) {
  const MemberEntry& entry = record.entry;
  suspects_.erase(entry.address);
  if (!IsLive(record.state)) return;
  DataCentre& dc = data_centres_[entry.data_centre];
  dc.live.erase(entry.address);
  dc.roster -= HashOf(entry.address, entry.incarnation, 0);
  dc.buckets[BucketOf(entry.address)] -= HashOf(entry.address, entry.incarnation, entry.sequence);
  const auto it = dc.versions.find(entry.version);
  if (--it->second == 0) dc.versions.erase(it);
}

void MemberTable::Put(MemberTime now, const MemberEntry& entry, MemberState state) {
  const auto old = records_.find(entry.address);
  if (old != records_.end()) RemoveFromTotals(old->second);
  data_centre(now, entry.data_centre);
  MemberRecord& record = records_[entry.address];
  record = {entry, state, now, now};
  tombstones_.erase(entry.address);
  AddToTotals(record);
}

void MemberTable::SetState(MemberTime now, const MemberId& id, MemberState state) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.state == state) return;
  RemoveFromTotals(it->second);
  it->second.state = state;
  it->second.since = now;
  AddToTotals(it->second);
}

MergeResult MemberTable::Merge(MemberTime now, const MemberUpdate& update) {
  const auto it = records_.find(update.entry.address);
  if (it == records_.end()) return MergeUnknown(now, update);
  return MergeKnown(now, update, &it->second);
}

MergeResult MemberTable::MergeUnknown(MemberTime now, const MemberUpdate& update) {
  MergeResult result;
  const MemberId& id = update.entry.address;
  const auto tombstone = tombstones_.find(id);
  if (tombstone != tombstones_.end() && update.entry.incarnation <= tombstone->second.incarnation) {
    result.stale = true;
    return result;
  }
  if (update.has_entry && IsLive(update.state)) {
    Put(now, update.entry, update.state);
    result.is_new = true;
    result.endpoints_changed = true;
    result.version_changed = true;
    return result;
  }
  // A member that is not known has died or left: keep a tombstone, so that its delayed updates do
  // not add it.
  if (!IsLive(update.state)) tombstones_[id] = {update.entry.incarnation, now};
  return result;
}

MergeResult MemberTable::MergeKnown(MemberTime now, const MemberUpdate& update,
                                    MemberRecord* record) {
  MergeResult result;
  const MemberEntry& claim = update.entry;
  const MemberRecord before = *record;
  const bool newer_run = claim.incarnation > before.entry.incarnation;
  const bool same_run = claim.incarnation == before.entry.incarnation;
  const bool newer_entry =
      update.has_entry && (newer_run || (same_run && claim.sequence > before.entry.sequence));
  const bool newer_state = newer_run ? update.has_entry || !IsLive(update.state)
                                     : same_run && update.state > before.state;
  const bool newer_version = same_run && update.has_entry && claim.version > before.entry.version;
  if (!newer_entry && !newer_state && !newer_version) {
    result.stale = !same_run || claim.sequence < before.entry.sequence;
    return result;
  }
  RemoveFromTotals(*record);
  if (newer_entry) record->entry = claim;
  if (same_run) record->entry.version = std::max(before.entry.version, claim.version);
  if (newer_run) record->entry.incarnation = claim.incarnation;
  if (newer_state) {
    record->state = update.state;
    if (newer_run || update.state != before.state) record->since = now;
  }
  record->last_changed = now;
  data_centre(now, record->entry.data_centre);
  AddToTotals(*record);
  result.is_new = newer_entry || newer_state;
  result.version_changed = record->entry.version != before.entry.version || newer_run;
  result.endpoints_changed = !SameEndpoints(before, *record);
  result.urgent = IsLive(before.state) &&
                  (update.state == MemberState::kLeft || StopsServing(before.entry, record->entry));
  return result;
}

bool MemberTable::RaiseVersion(MemberTime now, const MemberId& id, uint64_t incarnation,
                               const ConfigVersion& version) {
  const auto it = records_.find(id);
  if (it == records_.end()) return false;
  MemberRecord& record = it->second;
  if (record.entry.incarnation != incarnation || version <= record.entry.version) return false;
  // Updates only the version counts, because callers may be iterating over the live members.
  if (IsLive(record.state)) {
    auto& versions = data_centres_[record.entry.data_centre].versions;
    const auto old = versions.find(record.entry.version);
    if (--old->second == 0) versions.erase(old);
    ++versions[version];
  }
  record.entry.version = version;
  record.last_changed = now;
  return true;
}

void MemberTable::RestartSuspicions(MemberTime now) {
  for (const MemberId& id : suspects_) records_.at(id).since = now;
}

void MemberTable::Expire(MemberTime now) {
  for (auto it = records_.begin(); it != records_.end();) {
    const MemberRecord& record = it->second;
    if (IsLive(record.state) || now - record.since < kDeadRetention) {
      ++it;
      continue;
    }
    tombstones_[it->first] = {record.entry.incarnation, now};
    it = records_.erase(it);
  }
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    it = now - it->second.since < kTombstoneRetention ? std::next(it) : tombstones_.erase(it);
  }
}

std::optional<uint64_t> MemberTable::TombstoneIncarnation(const MemberId& id) const {
  const auto it = tombstones_.find(id);
  if (it == tombstones_.end()) return std::nullopt;
  return it->second.incarnation;
}

std::vector<MemberId> MemberTable::TombstoneIds() const {
  std::vector<MemberId> ids;
  for (const auto& [id, tombstone] : tombstones_) ids.push_back(id);
  return ids;
}

std::optional<MemberUpdate> MemberTable::UpdateOf(const MemberId& id) const {
  MemberUpdate update;
  if (const MemberRecord* record = Find(id)) {
    update.state = record->state;
    // A claim that a member is dead or has left needs no entry and stays small without it.
    update.has_entry = IsLive(record->state);
    if (update.has_entry) {
      update.entry = record->entry;
      return update;
    }
    update.entry.address = id;
    update.entry.incarnation = record->entry.incarnation;
    update.entry.sequence = record->entry.sequence;
    return update;
  }
  const auto tombstone = tombstones_.find(id);
  if (tombstone == tombstones_.end()) return std::nullopt;
  update.state = MemberState::kDead;
  update.entry.address = id;
  update.entry.incarnation = tombstone->second.incarnation;
  return update;
}

VersionSet MemberTable::MakeVersionSet(const std::string& data_centre,
                                       const ConfigVersion& version) const {
  VersionSet set;
  set.data_centre = data_centre;
  set.version = version;
  const DataCentre* dc = FindDataCentre(data_centre);
  if (dc == nullptr) return set;
  set.roster = dc->roster;
  set.bits.assign((dc->live.size() + 7) / 8, '\0');
  size_t index = 0;
  for (const MemberId& id : dc->live) {
    if (records_.at(id).entry.version >= version) {
      set.bits[index / 8] = static_cast<char>(set.bits[index / 8] | 1 << index % 8);
    }
    ++index;
  }
  return set;
}

std::vector<MemberId> MemberTable::ApplyVersionSet(MemberTime now, const VersionSet& set) {
  std::vector<MemberId> changed;
  const DataCentre* dc = FindDataCentre(set.data_centre);
  if (dc == nullptr || dc->roster != set.roster) return changed;
  if (set.bits.size() != (dc->live.size() + 7) / 8) return changed;
  size_t index = 0;
  for (const MemberId& id : dc->live) {
    const bool has_version = (set.bits[index / 8] >> index % 8 & 1) != 0;
    ++index;
    if (!has_version) continue;
    if (RaiseVersion(now, id, records_.at(id).entry.incarnation, set.version)) {
      changed.push_back(id);
    }
  }
  return changed;
}

}  // namespace camphorhoist
