#ifndef CAMPHORHOIST_DISTRIBUTION_H_
#define CAMPHORHOIST_DISTRIBUTION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/member.h"
#include "camphorhoist/membership.h"

namespace camphorhoist {

/// Sends this node's version to a peer (see `Membership::MakeAnnouncement`).
struct Announce {
  MemberId to;
  ConfigVersion version;
  std::string hash;
};

/// Fetches the configuration from a peer, or from the platform if `from` is empty. Completed by
/// `OnPullDone`. At most one pull is open at a time.
struct Pull {
  std::optional<MemberId> from;
  /// Lowest useful version; none if any version is useful.
  ConfigVersion version;
};

/// Watches the platform's head for a version above `after`. Completed by `OnWatchResult`.
struct WatchHead {
  ConfigVersion after;
};

/// Cancels the open watch; its result is ignored.
struct StopWatch {};

/// Reads the platform's head once. Completed by `OnHeadRead`.
struct ReadHead {};

/// Asks a peer for the highest version that it knows of and for the latest version that it saw this
/// node report. Completed by `OnFloorReply`.
struct RequestFloor {
  MemberId to;
};

using DistributionEffect =
    std::variant<Announce, Pull, WatchHead, StopWatch, ReadHead, RequestFloor>;
using DistributionEffects = std::vector<DistributionEffect>;

enum class PullResult {
  /// A version was fetched, verified and applied.
  kApplied,
  /// Nothing was received, or the peer has nothing newer.
  kFailed,
  /// The version was received but failed verification; it is not pulled again.
  kRejected,
};

struct DistributionOptions {
  MemberId self;
  std::string data_centre;
  /// Watch the head without being elected; a baseline for benchmarks in which every node watches.
  bool watch_always = false;
};

/// Decides how one node discovers, fetches and announces configuration versions. It performs no
/// I/O: the caller executes the returned effects and reports their results.
///
/// The floor is the highest version known to exist. A process that starts does not know which
/// version this node had in force before. It fetches and serves nothing until the floor is settled,
/// by a response of the platform or by a round of floor requests to live members (see
/// `floor_settled`), and then starts at the floor, so that a node never goes back to an older
/// version across restarts (guarantee P1).
///
/// Preconditions: `now` never decreases; `Tick` is called about every 100 ms. Thread safety: none;
/// use from one thread.
class Distribution {
 public:
  explicit Distribution(DistributionOptions options);

  DistributionEffects Tick(MemberTime now, std::mt19937_64& rng);

  /// Update the list of live members; to be called for each `MemberChanged` and
  /// `DataCentreChanged`.
  void OnMember(const MemberEntry& entry, MemberState state);
  void OnDataCentre(const std::string& data_centre, bool reachable);

  DistributionEffects OnVersionObserved(MemberTime now, std::mt19937_64& rng,
                                        const VersionObserved& observed);
  /// `version` and `hash` are those that were applied (kApplied) or rejected (kRejected).
  DistributionEffects OnPullDone(MemberTime now, std::mt19937_64& rng, PullResult result,
                                 const ConfigVersion& version, const std::string& hash);
  /// A version was applied without a pull, for example by a change that this node committed.
  DistributionEffects OnApplied(MemberTime now, std::mt19937_64& rng, const ConfigVersion& version,
                                const std::string& hash);
  /// `version` is empty if the read failed, and none() if the platform has no configuration.
  DistributionEffects OnHeadRead(MemberTime now, std::mt19937_64& rng,
                                 std::optional<ConfigVersion> version);
  /// As `OnHeadRead`; a watch that ended without a change passes the unchanged version.
  DistributionEffects OnWatchResult(MemberTime now, std::mt19937_64& rng,
                                    std::optional<ConfigVersion> version);
  /// `highest` and `reported` are empty if the peer did not reply. A reply after the end of the
  /// round still raises the floor, so that a node that does not serve yet waits for that version.
  DistributionEffects OnFloorReply(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                                   std::optional<ConfigVersion> highest,
                                   std::optional<ConfigVersion> reported);

  /// The configuration version in force on this node.
  const ConfigVersion& current() const { return current_; }
  /// The highest version known to exist on any node or the platform. A node that does not serve yet
  /// must not apply a lower one (see `Replica`).
  const ConfigVersion& floor() const { return floor_; }
  /// True once `floor()` is, as far as can be determined, at or above the version that this node
  /// had in force before its start. Any of these settles it, for the lifetime of the process:
  /// - the platform returned a version to a head read or watch, or accepted a change of this node;
  /// - a round of requests to up to 5 live members ended with a version known: all replied, or the
  ///   round timed out after at least one reply with a version;
  /// - the platform has no configuration, and no member knew a version in a complete round (the
  ///   first start of a mesh).
  bool floor_settled() const { return floor_settled_; }
  /// The version that this node sends in reply to a floor request. None until its own floor is
  /// settled, because the versions it has observed since its start may be out of date.
  ConfigVersion FloorForReply() const { return floor_settled_ ? floor_ : ConfigVersion(); }
  /// True once the floor is settled and the version in force is at or above it. Stays true: from
  /// then on the version only increases, and the node keeps serving while a newer version is
  /// fetched.
  bool may_serve() const { return may_serve_; }
  /// True once a version was learned from a peer, the platform or a local change since the start,
  /// or the platform reported that it has no configuration.
  bool floor_known() const { return floor_known_; }
  bool watching() const { return watching_; }
  /// Latest known time at which any node confirmed the platform's head; for
  /// `Membership::SetHeadConfirmed`.
  std::optional<MemberTime> head_confirmed() const { return head_confirmed_; }

 private:
  struct Peer {
    std::string data_centre;
    ConfigVersion version;
  };
  /// One round of floor requests to live members.
  struct FloorRound {
    MemberTime start;
    std::set<MemberId> requested;
    std::set<MemberId> replied;
    /// Did not reply; another member is asked instead.
    std::set<MemberId> failed;
    /// Replied with a version.
    std::set<MemberId> with_version;
  };

  /// Raises the floor and the pull target to `version`, which is known to exist.
  void LearnVersion(MemberTime now, const ConfigVersion& version);
  void ConfirmHead(MemberTime at);
  void ApplyVersion(std::mt19937_64& rng, const ConfigVersion& version, const std::string& hash,
                    DistributionEffects* out);
  void AnnounceCurrent(std::mt19937_64& rng, DistributionEffects* out);
  void MaybePull(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void OpenPull(MemberTime now, std::optional<MemberId> from, DistributionEffects* out);
  void OnPullFailure(MemberTime now, std::mt19937_64& rng);
  void UpdateWatch(MemberTime now, DistributionEffects* out);
  void MaybeReadHead(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void RunStartup(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void RequestFloors(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  bool FloorRoundComplete(MemberTime now) const;
  void CheckFloorRound(MemberTime now, std::mt19937_64& rng);
  void OnPlatformResponse(MemberTime now, const ConfigVersion& version);
  void SettleFloor(MemberTime now);
  void SettleFloorOnFirstStart(MemberTime now);
  void UpdateMayServe();
  void OnPlatformFailure(MemberTime now, std::mt19937_64& rng);
  std::optional<MemberId> PickPullSource(std::mt19937_64& rng) const;
  std::vector<MemberId> LivePeers(bool own_data_centre) const;
  size_t LiveCount() const;
  size_t PeersWithoutConfig() const;

  DistributionOptions options_;
  std::map<MemberId, Peer> peers_;
  std::set<std::string> unreachable_data_centres_;
  ConfigVersion current_;
  std::string hash_;
  ConfigVersion floor_;
  bool floor_known_ = false;
  /// The version to pull next, if it is above `current_`.
  ConfigVersion target_;
  /// The highest version that failed verification.
  ConfigVersion rejected_;
  /// The member that the target was learned from; the next pull tries it first.
  std::optional<MemberId> preferred_source_;
  bool is_watcher_ = false;
  bool members_changed_ = true;

  bool pull_open_ = false;
  MemberTime pull_deadline_;
  MemberTime next_pull_;
  /// Members from which a pull of the target failed.
  std::set<MemberId> failed_sources_;
  int failed_pulls_ = 0;
  std::optional<MemberId> pull_from_;

  bool watching_ = false;
  MemberTime next_watch_;
  bool head_read_open_ = false;
  MemberTime head_read_deadline_;
  int platform_failures_ = 0;
  MemberTime next_platform_call_;
  std::optional<MemberTime> head_confirmed_;

  std::optional<MemberTime> start_time_;
  std::optional<MemberTime> last_tick_;
  MemberTime next_floor_round_;
  std::optional<FloorRound> floor_round_;
  bool platform_is_empty_ = false;
  /// No member knew a version in the last complete round.
  bool no_member_has_version_ = false;
  bool floor_settled_ = false;
  bool may_serve_ = false;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DISTRIBUTION_H_
