#ifndef CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_
#define CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_

#include <chrono>
#include <functional>
#include <memory>
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
/// Reads the entries, writes the own one and watches from what was read, so that of two sidecars
/// that start at the same time at least one learns of the other.
///
/// Thread safety: none; use on the thread of the event loop.
class StoreSync {
 public:
  struct Handlers {
    /// A newer version is whole and valid.
    std::function<void(std::shared_ptr<const MeshConfig>)> on_config;
    std::function<void(const SidecarEntry&)> on_entry;
    std::function<void(const std::string& node)> on_entry_gone;
    /// The own entry as an earlier run of this process left it.
    std::function<void(const SidecarEntry&)> on_own_entry;
  };

  /// Kind of the entries.
  static constexpr char kEntryKind[] = "sidecars";
  /// Longest wait of one watch. A lost connection is noticed earlier, by keep-alive probes.
  static constexpr std::chrono::milliseconds kWatchWait{20000};
  /// Time between two watches, so that a series of changes costs few calls. A configuration has to
  /// be in force within two seconds. New sidecars make themselves known by their connections, so
  /// that their entries are urgent only for those that start at the same time.
  static constexpr std::chrono::milliseconds kConfigWatchSpacing{900};
  static constexpr std::chrono::milliseconds kEntryWatchSpacing{3000};
  /// The watch tells of a version that others run within this time, unless its connection is
  /// silent.
  static constexpr std::chrono::milliseconds kVersionPatience{1200};
  /// Delay after a failed call; doubles up to the maximum. The own entry has to be back within two
  /// seconds after the store is.
  static constexpr std::chrono::milliseconds kMinRetry{200};
  static constexpr std::chrono::milliseconds kMaxRetry{1000};

  StoreSync(event_base* base, const SidecarSettings& settings, Handlers handlers);

  void Start();
  /// The upstream has been told to get no more requests.
  void SetDepartures(std::vector<UpstreamDeparture> departures);
  /// Another sidecar runs this version. Reads the configuration if the watch does not tell of it
  /// within `kVersionPatience`.
  void OnVersionSeen(uint64_t version);

  /// The entries have been read and the own one is written.
  bool joined() const { return listed_ && written_; }
  uint64_t calls() const { return client_.calls(); }
  /// Time of the last answer of the store.
  std::chrono::steady_clock::time_point last_contact() const { return last_contact_; }

 private:
  /// Delay of a loop that reads from the store, and its state.
  struct Follower {
    std::unique_ptr<Timer> timer;
    std::chrono::milliseconds retry = kMinRetry;
    int64_t as_of = 0;
    bool listed = false;
    bool busy = false;
  };

  void ReadConfig();
  void CheckVersion();
  void WatchConfig();
  void TakeConfig(const platform::StoredObject& object);
  void ReadEntries();
  void WatchEntries();
  void TakeEntry(const platform::StoredObject& object);
  void WriteEntry();
  void OnWritten(std::error_code ec);
  void Retry(Follower* follower, const char* what, std::error_code ec);
  void NoteContact(std::error_code ec);

  Handlers handlers_;
  platform::ObjectClient client_;
  SidecarEntry own_;
  Follower config_;
  Follower entries_;
  Follower write_;
  uint64_t version_ = 0;
  /// Version that another sidecar was seen to run when `version_timer_` was started.
  uint64_t seen_version_ = 0;
  std::unique_ptr<Timer> version_timer_;
  bool exists_ = false;
  bool listed_ = false;
  bool written_ = false;
  bool write_again_ = false;
  bool store_down_ = false;
  std::chrono::steady_clock::time_point last_contact_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_STORE_SYNC_H_
