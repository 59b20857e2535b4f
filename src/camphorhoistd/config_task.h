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

/// Keeps the configuration of the node up to date: discovers new versions, fetches, verifies and
/// applies them, and commits the change sets of operators.
///
/// Thread safety: none; use on the loop's thread.
class ConfigTask {
 public:
  struct Options {
    NetAddress self;
    std::string data_centre;
    /// Baselines for benchmarks: watch the platform's head without being elected, and reply to
    /// pulls with the whole configuration instead of a delta.
    bool watch_always = false;
    bool full_transfer = false;
  };
  /// Called with the configuration for new calls; null while the node must not serve one.
  using SnapshotListener = std::function<void(Snapshot::Ptr)>;
  using CommitCallback = std::function<void(const AcceptOutcome&)>;

  /// Preconditions: the pointers outlive the task.
  ConfigTask(event_base* base, const Options& options, std::mt19937_64* rng, ObjectStore* store,
             PeerPool* peers, SnapshotListener listener);
  ~ConfigTask();
  ConfigTask(const ConfigTask&) = delete;
  ConfigTask& operator=(const ConfigTask&) = delete;

  /// Receives the messages of the member task.
  Mailbox<MemberEvent>* inbox() { return &inbox_; }
  /// Precondition: `member` outlives the task. Call once, before the first tick.
  void Start(MemberTask* member);

  /// Commits a change set; `callback` runs once with the outcome.
  void CommitChangeSet(ChangeSet change_set, CommitCallback callback);
  /// Reads from the platform at which version a recent change set was accepted. The error is that
  /// of the read; an empty version means that `id` is not one of the recent change sets.
  void FindChangeSet(const std::string& id,
                     std::function<void(std::error_code, std::optional<ConfigVersion>)> callback);

  /// See `NodeService`.
  ConfigDeltaMessage OnPull(const ConfigVersion& version, const std::string& hash) const;
  FloorReply OnFloor(const std::string& address) const;

  const Replica& replica() const { return replica_; }
  const Distribution& distribution() const { return distribution_; }
  /// True if new calls may use the current configuration.
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
  void RecordReportedVersion(const MemberId& member, const ConfigVersion& version);
  void Execute(const DistributionEffects& effects);
  void ExecuteOne(const DistributionEffect& effect);
  void StartPull(const Pull& pull);
  void OnDelta(const ConfigDeltaMessage& message);
  void LoadFromPlatform();
  void OnPlatformLoadDone(PullResult result, const ConfigVersion& version, const std::string& hash,
                          const Snapshot::Ptr& snapshot, const Findings& findings);
  void WatchPlatformHead();
  void OnWatchResult(const WatchResult& result);
  void ReadPlatformHead();
  /// Decodes the head as read from the platform and stores its versions. Returns the configuration
  /// version: none() if there is no head, empty if the read failed or the head is malformed.
  std::optional<ConfigVersion> UpdateHead(const std::error_code& error,
                                          ObjectVersion object_version, const std::string& body);
  void RequestFloorFrom(const MemberId& peer);
  /// Applies a verified snapshot. Returns the result for the pull that fetched it.
  PullResult ApplySnapshot(const Snapshot::Ptr& snapshot);
  void FinishPull(PullResult result, const ConfigVersion& version, const std::string& hash);
  /// Records that the version was received but could not be built.
  void RefuseVersion(const ConfigVersion& version, const Findings& findings);
  /// Passes the current configuration to the listener and publishes it in this node's member entry.
  void PublishConfig();

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
  /// Whether the listener last received a configuration.
  bool serving_ = false;
  /// The head as last read: its object version, and the configuration version it refers to.
  ObjectVersion head_object_version_ = 0;
  ConfigVersion head_version_;
  /// Incremented to invalidate the open watch; the result of an earlier generation is ignored.
  uint64_t watch_generation_ = 0;
  /// Highest version that each member has reported. A restarted member reports none at first and
  /// requests this value from its peers.
  std::map<MemberId, ConfigVersion> highest_reported_;
  std::unique_ptr<PlatformLoad> load_;
  /// Kept until the next load because its callback may still be running.
  std::unique_ptr<PlatformLoad> previous_load_;
  /// Set to false by the destructor; pending callbacks check it before they use the task.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Mailbox<MemberEvent> inbox_;
  Timer tick_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CONFIG_TASK_H_
