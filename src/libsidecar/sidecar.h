#ifndef CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_
#define CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "camphorhoist/finding.h"
#include "camphorhoist/sidecar_settings.h"
#include "libbase/event_ptr.h"
#include "libsidecar/caller_listener.h"
#include "libsidecar/control_server.h"
#include "libsidecar/dispatcher.h"
#include "libsidecar/link_pacer.h"
#include "libsidecar/local_upstream.h"
#include "libsidecar/peer_directory.h"
#include "libsidecar/peer_listener.h"
#include "libsidecar/sidecar_metrics.h"
#include "libsidecar/store_sync.h"

namespace camphorhoist {

/// The process beside one upstream: carries the requests of the callers on its VM to the sidecars
/// beside other upstreams, and is the only sender to its own upstream.
///
/// Thread safety: none; one thread creates, runs and stops it.
class Sidecar {
 public:
  /// After this time from the start of a stop, callers have noticed that the sidecar is not ready:
  /// readiness is checked each second, and two misses take it out.
  static constexpr std::chrono::milliseconds kReadinessDetectionTime{2200};
  /// Kept at the end of the grace period, so that the process ends before it is killed.
  static constexpr std::chrono::milliseconds kStopMargin{500};
  /// Time before the end in which nothing new is taken, for the last responses. Until then the
  /// upstream stays in use: it can be reached only through this process.
  static constexpr std::chrono::milliseconds kFinalDrainTime{1500};
  static constexpr std::chrono::milliseconds kStopPollInterval{50};
  /// Time between two checks of whether this sidecar has to watch the store. It bounds the gap that
  /// a watcher leaves which ends or loses the store.
  static constexpr std::chrono::milliseconds kWatcherElectionInterval{500};

  Sidecar(event_base* base, const SidecarSettings& settings, uint64_t incarnation);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Opens all listening sockets. Returns false with findings if one cannot be opened.
  bool Start(Findings* findings);
  /// Begins an orderly stop: the loop ends once all calls have their responses, or at the end of
  /// the grace period. A second call ends the loop at once.
  void Stop();
  /// Whether this sidecar watches the store for others.
  bool watching() const { return store_.watching(); }
  /// Takes the settings that can change while the process runs: the service of the upstream.
  void Reload(const SidecarSettings& settings);

 private:
  PeerHello NewHello() const;
  /// Version in force; 0 before the first.
  uint64_t config_version() const;
  /// Has the starts of the upstream that left kept in the store.
  void PersistDepartures();
  void OnUpstreamReadyChanged();
  /// Chooses the sidecars of this data centre that watch the store.
  void ElectStoreWatchers();
  /// Tells the others of the newest version and of the contact to the store.
  void BroadcastStoreStatus();
  void OnEntriesListed(const std::set<std::string>& nodes);
  void OnEntryRemoved(const std::string& node);
  void OnPeerMessage(Peer* peer, PeerMessage message);
  void OnPeerHello(const PeerHello& hello);
  ControlResponse HandleReady(const ControlRequest& request) const;
  ControlResponse HandleAnnouncement(const ControlRequest& request);
  ControlResponse HandleMetrics(const ControlRequest& request);
  bool ready() const;
  void ContinueStop();
  /// When this process ends at the latest. Precondition: `Stop` was called.
  std::chrono::steady_clock::time_point stop_deadline() const {
    return *stop_started_ + settings_.grace - kStopMargin;
  }

  event_base* base_;
  SidecarSettings settings_;
  uint64_t incarnation_;
  SidecarMetrics metrics_;
  LinkPacer pacer_;
  LocalUpstream local_;
  PeerDirectory directory_;
  Dispatcher dispatcher_;
  PeerListener peer_listener_;
  CallerListener caller_listener_;
  ControlServer ready_server_;
  ControlServer announce_server_;
  ControlServer metrics_server_;
  StoreSync store_;
  Timer election_timer_;
  Timer stop_timer_;
  std::optional<std::chrono::steady_clock::time_point> stop_started_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_SIDECAR_H_
