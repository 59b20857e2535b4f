#ifndef CAMPHORHOIST_LIBMEMBER_MEMBER_TABLE_H_
#define CAMPHORHOIST_LIBMEMBER_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/member.h"
#include "camphorhoist/member_message.h"
#include "camphorhoist/membership.h"

namespace camphorhoist {

/// Number of buckets of a digest. With 471 members a bucket has about 15 keys, so that the keys of
/// two buckets fit in one message.
constexpr size_t kDigestBuckets = 32;

/// A known member and its state in the view of this node.
struct MemberRecord {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
  /// When the member entered the state.
  MemberTime since;
  /// When the entry or the version last changed.
  MemberTime last_changed;
};

/// What a merge changed.
struct MergeResult {
  /// The update contains new information, so it is forwarded to other members.
  bool is_new = false;
  bool endpoints_changed = false;
  /// An endpoint of a live member stopped serving, or the member left.
  bool urgent = false;
  bool version_changed = false;
  /// The update is older than the known record or tombstone.
  bool stale = false;
};

/// All known members and the rules that merge claims about them. Keeps totals per data centre,
/// updated on each change: the sorted live members, the roster hash, the bucket hashes of the
/// digest and the number of live members at each version.
///
/// Thread safety: none.
class MemberTable {
 public:
  struct DataCentre {
    std::set<MemberId> live;
    /// Hash over the live members and their incarnations.
    uint64_t roster = 0;
    /// Hashes over the keys of the live members of each digest bucket.
    std::array<uint64_t, kDigestBuckets> buckets{};
    /// Number of live members at each version.
    std::map<ConfigVersion, size_t> versions;
    /// Latest known time at which any member of this node's data centre received a message from it.
    MemberTime last_heard;
    bool reachable = true;
  };

  /// Merges a claim. The higher incarnation wins. Within one incarnation the later state in the
  /// order alive, suspect, dead, left wins, and the entry with the higher sequence is kept.
  MergeResult Merge(MemberTime now, const MemberUpdate& update);
  /// Raises the version of a member if its incarnation is `incarnation`. Returns true if it
  /// changed.
  bool RaiseVersion(MemberTime now, const MemberId& id, uint64_t incarnation,
                    const ConfigVersion& version);
  /// Replaces a record without applying the merge rules. Used for this node's own entry.
  void Put(MemberTime now, const MemberEntry& entry, MemberState state);
  void SetState(MemberTime now, const MemberId& id, MemberState state);

  const MemberRecord* Find(const MemberId& id) const;
  const std::map<MemberId, MemberRecord>& records() const { return records_; }
  const std::set<MemberId>& suspects() const { return suspects_; }
  const std::map<std::string, DataCentre>& data_centres() const { return data_centres_; }
  DataCentre& data_centre(MemberTime now, const std::string& name);
  const DataCentre* FindDataCentre(const std::string& name) const;
  /// Restarts the suspicion timeout of all suspects.
  void RestartSuspicions(MemberTime now);

  /// Replaces dead and left members by tombstones after the retention period, and drops expired
  /// tombstones.
  void Expire(MemberTime now);
  /// Highest incarnation whose claims about a removed member are rejected; empty without a
  /// tombstone.
  std::optional<uint64_t> TombstoneIncarnation(const MemberId& id) const;

  /// Removed members that have a tombstone.
  std::vector<MemberId> TombstoneIds() const;

  /// The current claim about a member or a tombstone.
  std::optional<MemberUpdate> UpdateOf(const MemberId& id) const;
  /// Encodes which live members of the data centre have at least `version`.
  VersionSet MakeVersionSet(const std::string& data_centre, const ConfigVersion& version) const;
  /// Applies a version set if its roster matches. Returns the members whose version increased.
  std::vector<MemberId> ApplyVersionSet(MemberTime now, const VersionSet& set);

  static size_t BucketOf(const MemberId& id);

 private:
  struct TombstoneRecord {
    uint64_t incarnation = 0;
    MemberTime since;
  };

  void AddToTotals(const MemberRecord& record);
  void RemoveFromTotals(const MemberRecord& record);
  MergeResult MergeUnknown(MemberTime now, const MemberUpdate& update);
  MergeResult MergeKnown(MemberTime now, const MemberUpdate& update, MemberRecord* record);

  std::map<MemberId, MemberRecord> records_;
  std::map<MemberId, TombstoneRecord> tombstones_;
  std::set<MemberId> suspects_;
  std::map<std::string, DataCentre> data_centres_;
};

/// True if an endpoint that accepts calls in `before` does not accept them in `after`.
bool StopsServing(const MemberEntry& before, const MemberEntry& after);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_MEMBER_TABLE_H_
