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

/// Ask a peer for the highest version that it has seen and the one last reported for this node.
/// Ends with `OnFloor`.
struct AskFloor {
  MemberId to;
};

using DistributionEffect = std::variant<Announce, Pull, WatchHead, StopWatch, ReadHead, AskFloor>;
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
/// Preconditions: `now` never decreases; `Tick` is called about every 100 ms. Thread safety: none;
/// use from one thread.
class Distribution {
 public:
  explicit Distribution(DistributionOptions options);

  DistributionEffects Tick(MemberTime now, std::mt19937_64& rng);

  /// Tells the live members: feed each `MemberChanged` and `DataCentreChanged`.
  void OnMember(const MemberEntry& entry, MemberState state);
  void OnDataCentre(const std::string& data_centre, bool reachable);

  DistributionEffects OnVersionHeard(MemberTime now, std::mt19937_64& rng,
                                     const VersionHeard& heard);
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
  /// Empty values if the peer did not answer.
  DistributionEffects OnFloor(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                              std::optional<ConfigVersion> highest,
                              std::optional<ConfigVersion> reported);

  /// The version in force.
  const ConfigVersion& current() const { return current_; }
  /// The highest version known to exist anywhere; this node must not serve below it after a restart
  /// (see `Replica`).
  const ConfigVersion& floor() const { return floor_; }
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
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DISTRIBUTION_H_
