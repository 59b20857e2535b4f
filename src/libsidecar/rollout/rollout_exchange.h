#ifndef CAMPHORHOIST_LIBSIDECAR_ROLLOUT_ROLLOUT_EXCHANGE_H_
#define CAMPHORHOIST_LIBSIDECAR_ROLLOUT_ROLLOUT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "camphorhoist/rollout_book.h"
#include "camphorhoist/sidecar_settings.h"
#include "libsidecar/peers/peer_directory.h"
#include "libsidecar/servers/local_upstream.h"
#include "libsidecar/sidecar_metrics.h"

namespace camphorhoist {

/// Carries out roll-outs: passes orders on to other sidecars, counts what the upstream of this VM
/// does, divides the requests of this sidecar between the versions, and, where this sidecar is the
/// writer of a roll-out, decides and writes its status. Does nothing if the settings have no bounds
/// for roll-outs, and nothing for a service without an order.
///
/// Thread safety: none; use on the thread of the event loop.
class RolloutExchange {
 public:
  using OnWritten = std::function<void(std::error_code)>;
  using WriteStatus = std::function<void(const RolloutRecord&, RolloutState, OnWritten)>;

  /// Interval at which counts and decisions are sent.
  static constexpr std::chrono::milliseconds kTickInterval{500};
  /// Time for which senders use the last share without hearing from the writer; at most half of the
  /// time in which a bad version has to be without traffic.
  static constexpr std::chrono::milliseconds kLease{2500};
  /// Delay after a write of the status that failed.
  static constexpr std::chrono::milliseconds kWriteRetryDelay{1000};
  /// Sidecars that receive the counts: the writer, and the one that follows if it terminates.
  static constexpr size_t kCountReceivers = 2;

  /// Precondition: the pointers outlive the exchange.
  RolloutExchange(event_base* base, const SidecarSettings* settings, uint64_t incarnation,
                  PeerDirectory* directory, LocalUpstream* local, SidecarMetrics* metrics,
                  WriteStatus write_status);
  RolloutExchange(const RolloutExchange&) = delete;
  RolloutExchange& operator=(const RolloutExchange&) = delete;

  /// Takes orders that this sidecar has read from the store, and passes changes on.
  void OnStoreRecords(const std::vector<RolloutRecord>& records);
  /// Takes all orders of the store at a revision.
  void OnStoreList(int64_t era, int64_t revision, const std::vector<RolloutRecord>& records);
  /// Takes what another sidecar knows.
  void OnRecords(const std::vector<RolloutRecord>& records);
  /// Precondition: the message is a `RolloutUpdate`, `RolloutCounts` or `RolloutTold`.
  void OnMessage(const std::string& node, const PeerMessage& message);
  /// What this sidecar knows, for others.
  std::vector<RolloutRecord> Records() const;

  /// Whether the next request of a service is to be sent to the target version first. To be called
  /// once for each request.
  bool ChooseTarget(const std::string& service);
  /// Removes the servers from `candidates` whose version the request must not be sent to.
  /// `to_target`: result of `ChooseTarget` for a first offer, otherwise false.
  void Restrict(const std::string& service, bool to_target, ServerCandidates* candidates) const;
  /// Returns the identification of a route in the counts; 0 without roll-outs.
  uint64_t RouteHash(const std::string& name) const;

 private:
  /// State of a roll-out whose writer this sidecar is.
  struct Writer {
    RolloutOrder order;
    RolloutPolicy policy;
    RolloutShift shift;
    ProxyTime started_at{};
    ProxyTime next_write{};
    bool writing = false;
    /// Last share that was logged.
    double logged_share = -1;
  };
  /// State of an active roll-out.
  struct Active {
    RolloutOrder order;
    RolloutGate gate;
    /// Node of the writer, as seen by this sidecar.
    std::string writer_node;
    std::unique_ptr<Writer> writer;
    /// Last counts by node.
    std::map<std::string, ServerCounts> counts;
  };

  bool enabled() const { return settings_->rollout.has_value(); }
  /// Called when the record of a service has changed.
  void OnChanged(const std::string& service);
  void OnTick();
  void Tick(const std::string& service, Active* active);
  std::vector<std::string> ReachableNodes() const;
  void Send(const std::string& node, const PeerMessage& message);
  void Broadcast(const PeerMessage& message);
  RolloutUpdate NewUpdate(const std::string& service) const;
  void SendCounts(const std::string& service, const std::vector<std::string>& receivers);
  void RunWriter(const std::string& service, Active* active,
                 const std::vector<std::string>& reachable);
  void StartWriter(const std::string& service, Active* active);
  void Write(const std::string& service, Writer* writer, RolloutState state);
  void Apply(const std::string& node, const RolloutUpdate& update);
  void OnCounts(const std::string& node, const RolloutCounts& message);
  void OnSent(const UpstreamReport& upstream);
  void OnResponse(const UpstreamReport& upstream, uint64_t route, bool failed,
                  ProxyDuration service_time);
  /// Returns the counts of the upstream, or nullptr if its service has no active roll-out.
  ServerCounts* CountsOf(const UpstreamReport& upstream);

  const SidecarSettings* settings_;
  uint64_t incarnation_;
  PeerDirectory* directory_;
  LocalUpstream* local_;
  SidecarMetrics* metrics_;
  WriteStatus write_status_;
  std::mt19937_64 rng_;
  RolloutBook book_;
  std::map<std::string, Active> active_;
  /// Counts of the upstream of this VM, and the order that they belong to.
  ServerCounts own_counts_;
  RolloutOrder own_order_;
  uint64_t generations_ = 0;
  Timer tick_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_ROLLOUT_ROLLOUT_EXCHANGE_H_
