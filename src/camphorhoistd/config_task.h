#ifndef CAMPHORHOIST_CAMPHORHOISTD_CONFIG_TASK_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CONFIG_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/distribution.h"
#include "camphorhoist/object_store.h"
#include "camphorhoist/replica.h"
#include "camphorhoistd/member_task.h"
#include "libnode/peer_pool.h"
#include "libplatform/committer.h"

namespace camphorhoist {

/// Owns the configuration of the node: learns of versions, fetches, verifies and applies them, and
/// commits the change sets of operators.
///
/// Thread safety: none; use on the loop's thread.
class ConfigTask {
 public:
  struct Options {
    NetAddress self;
    std::string data_centre;
    /// Baselines for measurements: watch whether elected or not, and answer pulls with the whole
    /// configuration.
    bool watch_always = false;
    bool full_transfer = false;
  };
  /// Gets the configuration that calls use from now on; null while none may be served.
  using SnapshotListener = std::function<void(Snapshot::Ptr)>;
  using ApplyCallback = std::function<void(const AcceptOutcome&)>;

  /// Preconditions: the pointers outlive the task.
  ConfigTask(event_base* base, const Options& options, std::mt19937_64* rng, ObjectStore* store,
             PeerPool* peers, SnapshotListener listener);
  ~ConfigTask();
  ConfigTask(const ConfigTask&) = delete;
  ConfigTask& operator=(const ConfigTask&) = delete;

  /// Where messages of the member task go.
  Mailbox<MemberEvent>* inbox() { return &inbox_; }
  /// Precondition: `member` outlives the task. Call once, before the first tick.
  void Start(MemberTask* member);

  /// Commits a change set; `callback` runs once with the outcome.
  void Apply(ChangeSet change_set, ApplyCallback callback);
  /// Version at which a recently accepted change set came into force. The error is that of the
  /// platform read; nothing means that the id is not among the recent ones.
  void FindChangeSet(const std::string& id,
                     std::function<void(std::error_code, std::optional<ConfigVersion>)> callback);

  /// See `NodeService`.
  ConfigDeltaMessage OnPull(const ConfigVersion& version, const std::string& hash) const;
  FloorReply OnFloor(const std::string& address) const;

  const Replica& replica() const { return replica_; }
  const Distribution& distribution() const { return distribution_; }
  /// True once calls may use the configuration in force.
  bool MayServe() const { return replica_.MayServe() && distribution_.may_serve(); }

  struct Counters {
    uint64_t pulls = 0;
    uint64_t pulls_full = 0;
    uint64_t pull_bytes = 0;
    uint64_t platform_loads = 0;
    uint64_t refused_versions = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  class PlatformLoad;

  void OnMemberEvent(const MemberEvent& event);
  void NoteReported(const MemberId& member, const ConfigVersion& version);
  void Carry(const DistributionEffects& effects);
  void CarryOne(const DistributionEffect& effect);
  void PullFromPeer(const Pull& pull);
  void OnDelta(const ConfigDeltaMessage& message);
  void LoadFromPlatform();
  void OnLoaded(PullResult result, const ConfigVersion& version, const std::string& hash,
                const Snapshot::Ptr& snapshot, const Findings& findings);
  void Watch();
  void OnWatch(const WatchResult& result);
  void ReadPlatformHead();
  std::optional<ConfigVersion> VersionOf(const std::error_code& error, ObjectVersion object_version,
                                         const std::string& body);
  void AskPeerFloor(const MemberId& peer);
  /// Applies a verified snapshot; returns how the pull that brought it ended.
  PullResult Offer(const Snapshot::Ptr& snapshot);
  void FinishPull(PullResult result, const ConfigVersion& version, const std::string& hash);
  void NoteRefusal(const ConfigVersion& version, const Findings& findings);
  void Publish();

  Options options_;
  std::mt19937_64* rng_;
  ObjectStore* store_;
  PeerPool* peers_;
  SnapshotListener listener_;
  MemberTask* member_ = nullptr;
  Replica replica_;
  Distribution distribution_;
  Committer committer_;
  Counters counters_;
  /// What the listener was last told.
  bool serving_ = false;
  /// The head as last read: version of the object, and the configuration version it names.
  ObjectVersion head_object_version_ = 0;
  ConfigVersion head_version_;
  /// Raised to make the result of an open watch void.
  uint64_t watch_generation_ = 0;
  /// Highest version that each member has ever reported. A member that restarts reports none at
  /// first, and asks its peers for this.
  std::map<MemberId, ConfigVersion> reported_;
  std::unique_ptr<PlatformLoad> load_;
  std::unique_ptr<PlatformLoad> ended_load_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Mailbox<MemberEvent> inbox_;
  Timer tick_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CONFIG_TASK_H_
