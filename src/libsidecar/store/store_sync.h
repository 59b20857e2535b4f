#ifndef CAMPHORHOIST_LIBSIDECAR_STORE_STORE_SYNC_H_
#define CAMPHORHOIST_LIBSIDECAR_STORE_STORE_SYNC_H_

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/mesh_config.h"
#include "camphorhoist/rollout_book.h"
#include "camphorhoist/sidecar_settings.h"
#include "camphorhoist/upstream_registry.h"
#include "libbase/event_ptr.h"
#include "platform/object_client.h"

namespace camphorhoist {

/// A sidecar's entry in the store: the address at which other sidecars reach it, and the departed
/// incarnations of its upstream, which must get no more calls.
struct SidecarEntry {
  std::string node;
  std::string address;
  std::string data_centre;
  std::vector<UpstreamDeparture> departures;
  /// Start of the process, in ms since the Unix epoch. The store keeps the revision of an entry
  /// that is written without a change, so that each process needs an entry of its own.
  int64_t started_ms = 0;
  /// The process has stopped, and no other one has been started on the VM since.
  bool stopped = false;
  /// Sidecars that this one has not reached for some seconds.
  std::set<std::string> lost;
  /// Another entry that was written after this one names its sidecar in `lost`. Not part of the
  /// stored entry.
  bool is_lost = false;
};

nlohmann::json EncodeEntry(const SidecarEntry& entry);
/// Returns nullopt for an entry of another writer that cannot be parsed.
std::optional<SidecarEntry> DecodeEntry(const std::string& name, const nlohmann::json& spec);

/// Maintains this sidecar's entry in the store, and follows the configuration and the entries of
/// the other sidecars.
///
/// Store calls are billed, so only some sidecars of each data centre watch the store and notify the
/// others of a newer version, which these then read once. On startup a sidecar reads the entries,
/// writes its own entry and reads the entries again, so that of two sidecars that start at the same
/// time at least one learns of the other.
///
/// Thread safety: none; use on the thread of the event loop.
class StoreSync {
 public:
  struct Handlers {
    /// A newer, complete and valid version has been read.
    std::function<void(std::shared_ptr<const MeshConfig>)> on_config;
    std::function<void(const SidecarEntry&)> on_entry;
    std::function<void(const std::string& node)> on_entry_removed;
    /// All nodes that have an entry. Only called while this sidecar watches the store.
    std::function<void(const std::set<std::string>& nodes)> on_entries_listed;
    /// All entries have been read since this sidecar wrote its own: every sidecar that was missing
    /// from that list reads the entry of this one when it starts. Called once.
    std::function<void()> on_entries_complete;
    /// The store responds again, or has stopped responding.
    std::function<void()> on_store_status;
    /// This sidecar's entry as written by an earlier run of its process.
    std::function<void(const SidecarEntry&)> on_own_entry;
    /// The store does not respond, and another sidecar holds a configuration that is newer than
    /// `held_version`.
    std::function<void(uint64_t held_version)> request_config;
    /// The store was restored from an older copy.
    std::function<void()> on_store_restored;
    /// Roll-out orders that were read or have changed.
    std::function<void(const std::vector<RolloutRecord>&)> on_rollouts;
    /// All roll-out orders at a revision of the store.
    std::function<void(int64_t era, int64_t revision, const std::vector<RolloutRecord>&)>
        on_rollouts_listed;
  };

  /// Object kind of the entries.
  static constexpr char kEntryKind[] = "sidecars";
  /// Maximum duration of one watch request. TCP keep-alive probes detect a lost connection earlier.
  static constexpr std::chrono::milliseconds kWatchTimeout{20000};
  /// Pause between two watch requests, so that a series of changes costs few calls. A configuration
  /// has to be in force within two seconds. New sidecars announce themselves over their
  /// connections, so that their entries are urgent only for sidecars that start at the same time.
  static constexpr std::chrono::milliseconds kConfigWatchInterval{900};
  static constexpr std::chrono::milliseconds kEntryWatchInterval{3000};
  /// The same for roll-out orders. Until an order is known, the target version gets as many
  /// requests as the others.
  static constexpr std::chrono::milliseconds kRolloutWatchInterval{200};
  /// Interval at which a watching sidecar compares the revision of the store with what its watches
  /// have reported. A watch may wait for a response that the store has lost.
  static constexpr std::chrono::milliseconds kRevisionCheckInterval{1000};
  /// Time for a watch to report a revision that the store has.
  static constexpr std::chrono::milliseconds kWatchReportTimeout{200};
  /// Minimum time between two rewrites of an entry that several watchers report as missing.
  static constexpr std::chrono::milliseconds kMinEntryRewriteInterval{1000};
  static constexpr std::chrono::milliseconds kMinLostWriteInterval{2000};
  /// Time within which this sidecar's own watch reports a version that other sidecars run, unless
  /// its connection has stalled.
  static constexpr std::chrono::milliseconds kVersionWatchTimeout{1200};
  /// Minimum time between two reads, apart from retries, of a version that other sidecars run.
  /// Together with `kConfigWatchInterval` and the duration of the calls it has to stay below two
  /// seconds.
  static constexpr std::chrono::milliseconds kMinVersionReadInterval{500};
  /// Time after the store was restored from an older copy during which a missing entry does not
  /// mean that its VM has terminated. Sidecars write their entries again within two seconds.
  static constexpr std::chrono::milliseconds kRestoreGrace{2500};
  /// Delay after a failed call, doubled up to the maximum. This sidecar's entry has to be back
  /// within two seconds after the store recovers.
  static constexpr std::chrono::milliseconds kMinRetryDelay{200};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

  StoreSync(event_base* base, const SidecarSettings& settings, Handlers handlers);

  void Start();
  /// Sets whether this sidecar watches the store for the others. Initially it does not.
  void SetWatching(bool watching);
  bool watching() const { return watching_; }
  /// Writes this sidecar's entry again, after a watching sidecar found that it is missing.
  void RestoreEntry();
  /// Updates the departures of the upstream in this sidecar's entry.
  void SetDepartures(std::vector<UpstreamDeparture> departures);
  /// Names in this sidecar's entry those that it has not reached for some seconds. A process that
  /// is started later need not wait for them. Written at most once in `kMinLostWriteInterval`; to
  /// be called repeatedly.
  void SetLost(std::set<std::string> nodes);
  /// Marks this sidecar's entry as that of a process that has stopped, so that processes which are
  /// started later need not wait for a VM that no longer responds. `on_written` is called when the
  /// store has the entry, unless it does not respond. Precondition: this process does nothing more
  /// for other sidecars.
  void WriteStopped(std::function<void()> on_written);
  /// Writes the status of a roll-out if the store still has the revision of `record`. The present
  /// record is passed to `on_rollouts` before `callback`, also if the revision has changed.
  void WriteRolloutStatus(const RolloutRecord& record, RolloutState state,
                          std::function<void(std::error_code)> callback);
  /// Called when another sidecar reports that it runs `version`. Reads the configuration if this
  /// version is newer. A watching sidecar first waits for its own watch to report the version
  /// within `kVersionWatchTimeout`.
  void OnPeerVersion(uint64_t version);
  /// Applies a configuration that another sidecar sent as the text of the store's object, if it is
  /// newer than the present one.
  void OnPeerConfig(const std::string& text);
  /// Text of the configuration, for sidecars to which the store does not respond; empty before the
  /// first.
  std::string config_text() const;
  /// Called when another sidecar reports the era of the store that it has seen. In a newer era the
  /// store may have lost this sidecar's entry, so that it is written again.
  void OnPeerEra(int64_t era);
  /// Newest era of the store that was seen; 0 if none.
  int64_t era() const { return client_.era(); }
  /// Newest configuration version that was read; 0 before the first.
  uint64_t version() const { return version_; }
  /// Whether the store did not respond properly to the last call. "Not found" and "conflict" are
  /// proper responses.
  bool store_lost() const { return store_lost_; }

  /// Whether the entries have been read and this sidecar's own entry has been written.
  bool joined() const { return entries_listed_ && entry_written_; }
  uint64_t calls() const { return client_.calls(); }
  /// Time of the last response of the store.
  std::chrono::steady_clock::time_point last_response() const { return last_response_; }

 private:
  /// State and retry delay of one loop that reads from the store or writes to it.
  struct SyncLoop {
    std::unique_ptr<Timer> timer;
    std::chrono::milliseconds retry_delay = kMinRetryDelay;
    int64_t as_of = 0;
    bool listed = false;
    bool busy = false;
    /// The data needed on startup has been read; only a watching sidecar continues to read.
    bool complete = false;
    /// Last watch that was opened.
    HttpClient::RequestId watch = 0;
    /// Newest revision of the store for which the pending watch was opened.
    int64_t checked_revision = 0;
  };

  void OnRestored();
  /// Discards the revisions of a loop and cancels its watch, so that it continues with a list.
  void RestartLoop(SyncLoop* loop);
  void CheckRevision();
  void OnRevision(std::error_code ec, int64_t revision);
  /// Opens the watches again that have not reported the newest revision.
  void RenewStalledWatches();
  void RenewWatch(SyncLoop* loop, const char* kind);
  void ReadConfig();
  void CheckVersion();
  void ReadVersion(platform::ObjectClient::Freshness freshness);
  void WatchConfig();
  void ApplyConfig(const platform::StoredObject& object);
  void ApplyConfigSpec(const nlohmann::json& spec, const char* source);
  void ReadEntries();
  void ApplyEntries(const platform::ObjectList& list);
  void WatchEntries();
  void ApplyEntry(const platform::StoredObject& object, bool is_lost);
  void ReadRollouts();
  void WatchRollouts();
  /// Adds the order of an object to `records`, or logs why it is ignored.
  void AddRollout(const platform::StoredObject& object, std::vector<RolloutRecord>* records) const;
  void WriteEntry();
  void OnWritten(std::error_code ec);
  void ScheduleRetry(SyncLoop* loop, const char* call_name, std::error_code ec);
  void RecordStoreResponse(std::error_code ec);

  Handlers handlers_;
  bool watching_ = false;
  platform::ObjectClient client_;
  SidecarEntry own_entry_;
  SyncLoop config_loop_;
  SyncLoop entries_loop_;
  SyncLoop write_loop_;
  /// Roll-out orders, which only a watching sidecar reads.
  SyncLoop rollouts_loop_;
  bool reads_rollouts_ = false;
  uint64_t version_ = 0;
  /// Configuration as the store holds it; null before the first.
  nlohmann::json config_spec_;
  /// Newest version that another sidecar has reported.
  uint64_t newest_peer_version_ = 0;
  std::unique_ptr<Timer> version_timer_;
  bool reading_version_ = false;
  std::chrono::milliseconds version_retry_delay_ = kMinRetryDelay;
  std::chrono::steady_clock::time_point version_read_at_;
  std::chrono::steady_clock::time_point entry_written_at_;
  bool entry_exists_ = false;
  bool entries_listed_ = false;
  bool entry_written_ = false;
  std::chrono::steady_clock::time_point lost_written_at_;
  std::function<void()> on_stopped_written_;
  bool write_again_ = false;
  /// Newest era that another sidecar has reported.
  int64_t newest_peer_era_ = 0;
  /// Pending while missing entries have no meaning.
  std::unique_ptr<Timer> restore_timer_;
  std::unique_ptr<Timer> revision_timer_;
  std::unique_ptr<Timer> report_timer_;
  bool checking_revision_ = false;
  /// The last check of the revision got no response.
  bool revision_check_failed_ = false;
  int64_t store_revision_ = 0;
  bool store_lost_ = false;
  std::chrono::steady_clock::time_point last_response_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_STORE_STORE_SYNC_H_
