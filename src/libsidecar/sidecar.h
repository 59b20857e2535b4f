#ifndef CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_
#define CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "camphorhoist/finding.h"
#include "camphorhoist/memory_budget.h"
#include "camphorhoist/sidecar_settings.h"
#include "libbase/event_ptr.h"
#include "libsidecar/callers/caller_listener.h"
#include "libsidecar/control_server.h"
#include "libsidecar/dispatcher.h"
#include "libsidecar/peers/link_pacer.h"
#include "libsidecar/peers/peer_directory.h"
#include "libsidecar/peers/peer_listener.h"
#include "libsidecar/peers/permit_exchange.h"
#include "libsidecar/rollout/rollout_exchange.h"
#include "libsidecar/servers/local_upstream.h"
#include "libsidecar/sidecar_metrics.h"
#include "libsidecar/store/store_sync.h"

namespace camphorhoist {

/// The proxy process next to one upstream: forwards the requests of the callers on its VM to the
/// sidecars of other upstreams, and is the only client of its own upstream.
///
/// Thread safety: none; one thread creates, runs and stops it.
class Sidecar {
 public:
  /// Time after the start of a stop by which callers have noticed that the sidecar is not ready:
  /// the platform checks every second, and two failed checks take it out of use.
  static constexpr std::chrono::milliseconds kReadinessDetectionTime{2200};
  /// Margin before the end of the grace period, so that the process exits before it is killed.
  static constexpr std::chrono::milliseconds kStopMargin{500};
  /// Time before the end of a stop in which no new calls are accepted, so that the last responses
  /// can be sent. Until then the upstream stays in use, since it is reachable only through this
  /// process.
  static constexpr std::chrono::milliseconds kFinalDrainTime{1500};
  static constexpr std::chrono::milliseconds kStopPollInterval{50};
  /// Maximum time for the last write to the store, within `kStopMargin`.
  static constexpr std::chrono::milliseconds kStoppedWriteTime{200};
  /// Interval at which the sidecars that watch the store are elected. It bounds the gap after a
  /// watcher exits or loses the store.
  static constexpr std::chrono::milliseconds kWatcherElectionInterval{500};

  Sidecar(event_base* base, const SidecarSettings& settings, uint64_t incarnation);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Opens all listening sockets. Returns false with findings if one cannot be opened.
  bool Start(Findings* findings);
  /// Begins a graceful stop, which ends `kStopMargin` before the end of the grace period at the
  /// latest. New calls are accepted until `kFinalDrainTime` before that, but after
  /// `kReadinessDetectionTime` only if their deadline is before the end; from then on the event
  /// loop ends once all calls have their responses. A second call ends the event loop at once.
  void Stop();
  /// Whether this sidecar watches the store for the others.
  bool watching() const { return store_.watching(); }
  /// Applies the settings that can change at runtime: the service of the upstream.
  void Reload(const SidecarSettings& settings);

 private:
  PeerHello NewHello() const;
  /// Configuration version in force; 0 before the first.
  uint64_t config_version() const;
  /// Writes the departures of the upstream to the store.
  void PersistDepartures();
  void OnUpstreamStatusChanged();
  /// Elects the sidecars of this data centre that watch the store, and starts or stops watching
  /// accordingly.
  void ElectStoreWatchers();
  /// Sends the newest configuration version and the reachability of the store to the connected
  /// sidecars.
  void BroadcastStoreStatus();
  void OnEntriesListed(const std::set<std::string>& nodes);
  void OnEntryRemoved(const std::string& node);
  void OnPeerMessage(Peer* peer, PeerMessage message);
  void OnPeerHello(const PeerHello& hello);
  /// Asks one of the sidecars that hold a configuration newer than `held_version` for it, in this
  /// data centre if possible.
  void RequestConfig(uint64_t held_version);
  std::optional<ConfigDocument> NewerConfig(uint64_t held_version) const;
  ControlResponse HandleReady(const ControlRequest& request) const;
  ControlResponse HandleAnnouncement(const ControlRequest& request);
  ControlResponse HandleMetrics(const ControlRequest& request);
  bool ready() const;
  void ContinueStop();
  void FinishStop();
  /// Time by which this process ends. Precondition: `Stop` was called.
  std::chrono::steady_clock::time_point stop_deadline() const {
    return *stop_started_at_ + settings_.grace_period - kStopMargin;
  }

  event_base* base_;
  SidecarSettings settings_;
  uint64_t incarnation_;
  SidecarMetrics metrics_;
  MemoryBudget budget_;
  LinkPacer pacer_;
  LocalUpstream local_;
  PeerDirectory directory_;
  PermitExchange permits_;
  RolloutExchange rollouts_;
  Dispatcher dispatcher_;
  PeerListener peer_listener_;
  CallerListener caller_listener_;
  ControlServer ready_server_;
  ControlServer announce_server_;
  ControlServer metrics_server_;
  StoreSync store_;
  std::mt19937_64 rng_;
  Timer election_timer_;
  Timer stop_timer_;
  std::optional<std::chrono::steady_clock::time_point> stop_started_at_;
  /// The process is idle and writes to the store that it has stopped.
  bool writing_stopped_ = false;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_
