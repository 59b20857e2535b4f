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

/// Send the own version to a peer (`Membership::MakeAnnouncement`).
struct Announce {
  MemberId to;
  ConfigVersion version;
  std::string hash;
};

/// Fetch the configuration from a peer, or from the platform if `from` is empty. Ends with
/// `OnPullDone`. At most one is open at a time.
struct Pull {
  std::optional<MemberId> from;
  /// The version that is wanted at least; none if any is welcome.
  ConfigVersion version;
};

/// Watch the platform's head for a version above `after`. Ends with `OnWatchResult`.
struct WatchHead {
  ConfigVersion after;
};

/// Give up the open watch; its result is ignored.
struct StopWatch {};

/// Read the platform's head once. Ends with `OnHeadRead`.
struct ReadHead {};

/// Ask a peer for the highest version that it has heard of and the one last reported for this node.
/// Ends with `OnFloorReply`.
struct RequestFloor {
  MemberId to;
};

using DistributionEffect =
    std::variant<Announce, Pull, WatchHead, StopWatch, ReadHead, RequestFloor>;
using DistributionEffects = std::vector<DistributionEffect>;

enum class PullResult {
  /// A version was fetched, verified and put in force.
  kApplied,
  /// Nothing was received, or the peer has nothing newer.
  kFailed,
  /// The version was received and failed verification; it is not asked for again.
  kRejected,
};

struct DistributionOptions {
  MemberId self;
  std::string data_centre;
  /// Every node watches the head, as a baseline for measurements.
  bool watch_always = false;
};

/// Rules by which one node learns of configuration versions, fetches them and passes them on.
///
/// A process that starts does not know which version this node had in force before. It fetches and
/// serves nothing until the floor is settled, by an answer of the platform or by a round of floor
/// questions to live members (`floor_settled`), and then starts at the floor (P1).
///
/// Preconditions: `now` never decreases; `Tick` is called about every 100 ms. Thread safety: none;
/// use from one thread.
class Distribution {
 public:
  explicit Distribution(DistributionOptions options);

  DistributionEffects Tick(MemberTime now, std::mt19937_64& rng);

  /// Tells the live members: feed each `MemberChanged` and `DataCentreChanged`.
  void OnMember(const MemberEntry& entry, MemberState state);
  void OnDataCentre(const std::string& data_centre, bool reachable);

  DistributionEffects OnVersionObserved(MemberTime now, std::mt19937_64& rng,
                                        const VersionObserved& heard);
  /// `version` and `hash` are the ones that were put in force (kApplied) or refused (kRejected).
  DistributionEffects OnPullDone(MemberTime now, std::mt19937_64& rng, PullResult result,
                                 const ConfigVersion& version, const std::string& hash);
  /// A version came into force without a pull, for example by an accepted change of this node.
  DistributionEffects OnApplied(MemberTime now, std::mt19937_64& rng, const ConfigVersion& version,
                                const std::string& hash);
  /// `version` is empty if the read failed, and none() if the platform has no configuration.
  DistributionEffects OnHeadRead(MemberTime now, std::mt19937_64& rng,
                                 std::optional<ConfigVersion> version);
  /// As `OnHeadRead`; a watch that ended without a change gives the unchanged version.
  DistributionEffects OnWatchResult(MemberTime now, std::mt19937_64& rng,
                                    std::optional<ConfigVersion> version);
  /// Empty values if the peer did not answer. An answer after the end of the round still raises the
  /// floor while the node does not serve.
  DistributionEffects OnFloorReply(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                                   std::optional<ConfigVersion> highest,
                                   std::optional<ConfigVersion> reported);

  /// The version in force.
  const ConfigVersion& current() const { return current_; }
  /// The highest version known to exist anywhere. A node that does not serve yet must not put a
  /// lower one in force (see `Replica`).
  const ConfigVersion& floor() const { return floor_; }
  /// True once `floor()` covers what this node had in force before its start, as far as it can be
  /// told. Any of these settles it, for the life of the process:
  /// - the platform answered a head read or a watch with a version, or accepted a change of this
  ///   node;
  /// - a round of questions to up to 5 live members ended with a version known: all answered, or
  ///   the round timed out with at least one answer that knows a version;
  /// - the platform has no configuration, and a whole round found nobody who knows a version (the
  ///   first start of a mesh).
  bool floor_settled() const { return floor_settled_; }
  /// What this node answers to a floor question of a peer; none while its own floor is not settled,
  /// since what it merely heard since its start may be old.
  ConfigVersion FloorForReply() const { return floor_settled_ ? floor_ : ConfigVersion(); }
  /// True once the floor was settled with a version at or above it in force. Stays true: from then
  /// on the version only rises, and a newer one that is not fetched yet does not stop the service.
  bool may_serve() const { return may_serve_; }
  /// True once at least one source (peer or platform) told a floor since the start.
  bool floor_known() const { return floor_known_; }
  bool watching() const { return watching_; }
  /// When the head was last known to be confirmed by anybody; for `Membership::SetHeadConfirmed`.
  std::optional<MemberTime> head_confirmed() const { return head_confirmed_; }

 private:
  struct Peer {
    std::string data_centre;
    ConfigVersion version;
  };
  /// Open questions about the floor.
  struct FloorRound {
    MemberTime opened;
    std::set<MemberId> asked;
    std::set<MemberId> answered;
    /// Did not answer; another member is asked instead.
    std::set<MemberId> failed;
    /// Answered with a version.
    std::set<MemberId> informed;
  };

  void Learn(MemberTime now, const ConfigVersion& version);
  void Confirm(MemberTime at);
  void ApplyVersion(std::mt19937_64& rng, const ConfigVersion& version, const std::string& hash,
                    DistributionEffects* out);
  void AnnounceTo(std::mt19937_64& rng, DistributionEffects* out);
  void ConsiderPull(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void OpenPull(MemberTime now, std::optional<MemberId> from, DistributionEffects* out);
  void PullFailed(MemberTime now, std::mt19937_64& rng);
  void UpdateWatch(MemberTime now, DistributionEffects* out);
  void ConsiderHeadRead(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void StartUp(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  void AskFloors(MemberTime now, std::mt19937_64& rng, DistributionEffects* out);
  bool RoundComplete(MemberTime now) const;
  void CheckRound(MemberTime now, std::mt19937_64& rng);
  void OnPlatformAnswer(MemberTime now, const ConfigVersion& version);
  void SettleFloor(MemberTime now);
  void SettleFirstStart(MemberTime now);
  void UpdateServing();
  void FailedPlatform(MemberTime now, std::mt19937_64& rng);
  std::optional<MemberId> PickHolder(std::mt19937_64& rng) const;
  std::vector<MemberId> LivePeers(bool own_data_centre) const;
  size_t LiveCount() const;
  size_t EmptyPeers() const;

  DistributionOptions options_;
  std::map<MemberId, Peer> peers_;
  std::set<std::string> unreachable_;
  ConfigVersion current_;
  std::string hash_;
  ConfigVersion floor_;
  bool floor_known_ = false;
  ConfigVersion target_;
  ConfigVersion rejected_;
  std::optional<MemberId> announcer_;
  bool elected_ = false;
  bool members_changed_ = true;

  bool pull_open_ = false;
  MemberTime pull_deadline_;
  MemberTime next_pull_;
  std::set<MemberId> tried_;
  int failed_pulls_ = 0;
  std::optional<MemberId> pull_from_;

  bool watching_ = false;
  MemberTime next_watch_;
  bool reading_ = false;
  MemberTime read_deadline_;
  int platform_failures_ = 0;
  MemberTime next_platform_;
  std::optional<MemberTime> head_confirmed_;

  std::optional<MemberTime> started_;
  std::optional<MemberTime> last_tick_;
  MemberTime next_floor_;
  std::optional<FloorRound> floor_round_;
  bool platform_is_empty_ = false;
  /// The last whole round found no member that knows a version.
  bool nobody_knows_ = false;
  bool floor_settled_ = false;
  bool may_serve_ = false;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DISTRIBUTION_H_
