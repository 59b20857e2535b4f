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

/// Buckets of a digest: at 471 members a bucket has about 15 keys, so that two fit one message.
constexpr size_t kDigestBuckets = 32;

struct MemberRecord {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
  /// When the state began.
  MemberTime since;
  /// When the entry or the version last changed.
  MemberTime reported;
};

/// What a merge changed.
struct MergeResult {
  /// The update told something new and is worth passing on.
  bool news = false;
  bool endpoints_changed = false;
  /// An endpoint stopped serving, or the member left.
  bool urgent = false;
  bool version_changed = false;
  /// The update is older than what is known.
  bool stale = false;
};

/// All known members with the merge rules, and per data centre the sorted live members, the roster
/// hash and the bucket hashes, kept up to date by each change.
///
/// Thread safety: none.
class MemberTable {
 public:
  struct DataCentre {
    std::set<MemberId> live;
    uint64_t roster = 0;
    std::array<uint64_t, kDigestBuckets> buckets{};
    std::map<ConfigVersion, size_t> versions;
    MemberTime last_heard;
    bool reachable = true;
  };

  /// Merges a claim by the rules of precedence: the higher incarnation wins; within one, the graver
  /// state wins and the higher sequence gives the entry.
  MergeResult Merge(MemberTime now, const MemberUpdate& update);
  /// Raises the version of a member whose incarnation is `incarnation`. Returns true if it changed.
  bool RaiseVersion(MemberTime now, const MemberId& id, uint64_t incarnation,
                    const ConfigVersion& version);
  /// Replaces a record without any rule; for the own entry.
  void Put(MemberTime now, const MemberEntry& entry, MemberState state);
  void SetState(MemberTime now, const MemberId& id, MemberState state);

  const MemberRecord* Find(const MemberId& id) const;
  const std::map<MemberId, MemberRecord>& records() const { return records_; }
  const std::set<MemberId>& suspects() const { return suspects_; }
  const std::map<std::string, DataCentre>& data_centres() const { return data_centres_; }
  DataCentre& data_centre(MemberTime now, const std::string& name);
  const DataCentre* FindDataCentre(const std::string& name) const;
  /// Restarts the suspicion time of all suspects.
  void RestartSuspicions(MemberTime now);

  /// Turns dead and left members into tombstones after the retention period, and drops old ones.
  void Expire(MemberTime now);
  /// Incarnation up to which claims about a removed member are refused.
  std::optional<uint64_t> Tombstone(const MemberId& id) const;

  /// Members removed as dead, and not seen since.
  std::vector<MemberId> Tombstones() const;

  /// The current claim about a member, tombstones included.
  std::optional<MemberUpdate> UpdateOf(const MemberId& id) const;
  /// The members with at least `version`, in the form of a set.
  VersionSet MakeVersionSet(const std::string& data_centre, const ConfigVersion& version) const;
  /// Applies a set of the same roster. Returns the members whose version rose.
  std::vector<MemberId> ApplyVersionSet(MemberTime now, const VersionSet& set);

  static size_t BucketOf(const MemberId& id);

 private:
  struct Grave {
    uint64_t incarnation = 0;
    MemberTime since;
  };

  void Account(const MemberRecord& record);
  void Discount(const MemberRecord& record);
  MergeResult MergeUnknown(MemberTime now, const MemberUpdate& update);
  MergeResult MergeKnown(MemberTime now, const MemberUpdate& update, MemberRecord* record);

  std::map<MemberId, MemberRecord> records_;
  std::map<MemberId, Grave> graves_;
  std::set<MemberId> suspects_;
  std::map<std::string, DataCentre> data_centres_;
};

/// True if an endpoint that took work in `before` takes none in `after`.
bool StopsServing(const MemberEntry& before, const MemberEntry& after);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_MEMBER_TABLE_H_
