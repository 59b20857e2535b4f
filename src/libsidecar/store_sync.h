#ifndef CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_
#define CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/mesh_config.h"
#include "camphorhoist/sidecar_settings.h"
#include "camphorhoist/upstream_registry.h"
#include "libbase/event_ptr.h"
#include "platform/object_client.h"

namespace camphorhoist {

/// What a sidecar keeps in the store: where others reach it, and which starts of its upstream must
/// not come back.
struct SidecarEntry {
  std::string node;
  std::string address;
  std::string data_centre;
  std::vector<UpstreamDeparture> departures;
};

nlohmann::json EncodeEntry(const SidecarEntry& entry);
/// Returns nothing for an entry of another writer that cannot be read.
std::optional<SidecarEntry> DecodeEntry(const std::string& name, const nlohmann::json& spec);

/// Keeps this sidecar's entry in the store, and follows the configuration and the entries of the
/// others.
///
/// Store calls are paid for, so only some sidecars of each data centre watch the store, and tell
/// the others of a newer version. Those then read it once. At its start a sidecar reads the
/// entries, writes the own one and reads again, so that of two that start at the same time at least
/// one learns of the other.
///
/// Thread safety: none; use on the thread of the event loop.
class StoreSync {
 public:
  struct Handlers {
    /// A newer version is whole and valid.
    std::function<void(std::shared_ptr<const MeshConfig>)> on_config;
    std::function<void(const SidecarEntry&)> on_entry;
    std::function<void(const std::string& node)> on_entry_removed;
    /// All nodes that have an entry.
    std::function<void(const std::set<std::string>& nodes)> on_entries_listed;
    /// The store answers again, or no longer.
    std::function<void()> on_store_status;
    /// The own entry as an earlier run of this process left it.
    std::function<void(const SidecarEntry&)> on_own_entry;
  };

  /// Kind of the entries.
  static constexpr char kEntryKind[] = "sidecars";
  /// Longest wait of one watch. A lost connection is noticed earlier, by keep-alive probes.
  static constexpr std::chrono::milliseconds kWatchTimeout{20000};
  /// Time between two watches, so that a series of changes costs few calls. A configuration has to
  /// be in force within two seconds. New sidecars make themselves known by their connections, so
  /// that their entries are urgent only for those that start at the same time.
  static constexpr std::chrono::milliseconds kConfigWatchInterval{900};
  static constexpr std::chrono::milliseconds kEntryWatchInterval{3000};
  /// An entry that is missed by several watchers is written once in this time.
  static constexpr std::chrono::milliseconds kMinEntryRewriteInterval{1000};
  /// The watch tells of a version that others run within this time, unless its connection is
  /// silent.
  static constexpr std::chrono::milliseconds kVersionWatchTimeout{1200};
  /// Time between two reads of a version that others run. With `kConfigWatchInterval` and the calls
  /// it has to stay below two seconds.
  static constexpr std::chrono::milliseconds kMinVersionReadInterval{500};
  /// Delay after a failed call; doubles up to the maximum. The own entry has to be back within two
  /// seconds after the store is.
  static constexpr std::chrono::milliseconds kMinRetryDelay{200};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

  StoreSync(event_base* base, const SidecarSettings& settings, Handlers handlers);

  void Start();
  /// Whether this sidecar watches the store for others. Initially it does not.
  void SetWatching(bool watching);
  bool watching() const { return watching_; }
  /// A watching sidecar found no entry of this one.
  void RestoreEntry();
  /// The upstream has been told to get no more requests.
  void SetDepartures(std::vector<UpstreamDeparture> departures);
  /// Another sidecar knows this version. Reads the configuration, unless the own watch tells of it
  /// within `kVersionWatchTimeout`.
  void OnPeerVersion(uint64_t version);
  /// Newest version that was read; 0 before the first.
  uint64_t version() const { return version_; }
  /// The last call failed.
  bool store_lost() const { return store_lost_; }

  /// The entries have been read and the own one is written.
  bool joined() const { return entries_listed_ && entry_written_; }
  uint64_t calls() const { return client_.calls(); }
  /// Time of the last answer of the store.
  std::chrono::steady_clock::time_point last_response() const { return last_response_; }

 private:
  /// Delay of a loop that reads from the store, and its state.
  struct SyncLoop {
    std::unique_ptr<Timer> timer;
    std::chrono::milliseconds retry_delay = kMinRetryDelay;
    int64_t as_of = 0;
    bool listed = false;
    bool busy = false;
    /// What a sidecar needs at its start has been read; only a watching one reads on.
    bool complete = false;
  };

  void ReadConfig();
  void CheckVersion();
  void ReadVersion(platform::ObjectClient::Freshness freshness);
  void WatchConfig();
  void ApplyConfig(const platform::StoredObject& object);
  void ReadEntries();
  void ApplyEntries(const platform::ObjectList& list);
  void WatchEntries();
  void ApplyEntry(const platform::StoredObject& object);
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
  uint64_t version_ = 0;
  /// Newest version that another sidecar was seen to know.
  uint64_t newest_peer_version_ = 0;
  std::unique_ptr<Timer> version_timer_;
  bool reading_version_ = false;
  std::chrono::milliseconds version_retry_delay_ = kMinRetryDelay;
  std::chrono::steady_clock::time_point version_read_at_;
  std::chrono::steady_clock::time_point entry_written_at_;
  bool entry_exists_ = false;
  bool entries_listed_ = false;
  bool entry_written_ = false;
  bool write_again_ = false;
  bool store_lost_ = false;
  std::chrono::steady_clock::time_point last_response_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_
