#ifndef CAMPHORHOIST_LIBPROXY_TESTING_PERMIT_REPLAY_H_
#define CAMPHORHOIST_LIBPROXY_TESTING_PERMIT_REPLAY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/organisation_limiter.h"

namespace camphorhoist {

/// Deterministic simulation of sidecars that limit the requests of organisations: each with an
/// `OrganisationLimiter` and a `PermitIssuer`, connected by messages with a latency. Messages
/// across a partition or to a process that has ended are lost, and each sidecar notices that others
/// are unreachable, or reachable again, after a delay of its own.
class PermitReplay {
 public:
  static constexpr std::chrono::milliseconds kLatency{3};
  static constexpr std::chrono::milliseconds kMinSilence{200};
  static constexpr std::chrono::milliseconds kMaxSilence{3000};
  /// The same for connections that are monitored, and for those that are probed after the loss of
  /// one of these.
  static constexpr std::chrono::milliseconds kMaxMonitoredSilence{800};
  static constexpr std::chrono::milliseconds kMaxReconnect{1000};
  /// Nodes in one data centre; their numbers are consecutive.
  static constexpr size_t kNodesPerDataCentre = 24;
  static constexpr std::chrono::milliseconds kLostTime{8500};
  /// Time in which the end of a process is noticed by those that its VM responds to.
  static constexpr std::chrono::milliseconds kMaxNotice{100};
  static constexpr std::chrono::seconds kWindow{5};

  struct Counts {
    uint64_t requests = 0;
    uint64_t permitted = 0;
    uint64_t rejected = 0;
    /// Requests rejected after they had waited.
    uint64_t waited_rejected = 0;
    /// Messages to owners on other VMs.
    uint64_t messages = 0;
    ProxyDuration longest_wait{};
    /// Longest time from a rejected request to a later one with no permitted request in between.
    ProxyDuration longest_outage{};
    std::optional<ProxyTime> rejected_since;
    std::vector<ProxyTime> permitted_at;
  };

  PermitReplay(size_t nodes, uint64_t seed);

  /// Time since the start.
  ProxyDuration elapsed() const;
  void SetLimits(const OrganisationLimits& limits);
  /// Requests arrive independently, at random nodes.
  void SetDemand(const std::string& organisation, double per_second);
  void RunFor(ProxyDuration duration);

  /// Separates the nodes in `side` from the others.
  void Partition(const std::set<size_t>& side);
  /// The worst case for the owner `owner`: others notice at once that it is not reachable, while
  /// all other changes, and those that it has to notice itself, are noticed as late as possible.
  void PartitionFromOwner(const std::set<size_t>& side, size_t owner);
  void Heal();
  /// `silent`: others do not learn that the process has ended, only that it does not respond.
  void Kill(size_t node, bool silent);
  /// Starts a node that was killed. It learns within `kMaxNotice` which other processes have ended,
  /// and knows which ones the store names as lost: those that have been silent for `kLostTime`.
  void Restart(size_t node);
  /// The node that most sidecars regard as the owner.
  size_t OwnerOf(const std::string& organisation) const;

  const Counts& counts(const std::string& organisation) { return counts_[organisation]; }
  void ResetCounts() { counts_.clear(); }
  /// As `ResetCounts`, but keeps the permitted requests for `BusiestWindow`.
  void ResetRejections();
  /// Largest number of permitted requests in a window of 5 s that starts at `from` or later.
  size_t BusiestWindow(const std::string& organisation, ProxyDuration from = {}) const;
  static double Bound(const OrganisationLimit& limit);

 private:
  struct Peer {
    bool known = true;
    bool reachable = true;
    bool lost = false;
    /// Of the process that was reached last.
    uint64_t incarnation = 0;
    /// Discards changes that a later one has overtaken.
    uint64_t change = 0;
    /// Time of the last change, or of the next one.
    ProxyTime change_at{};
  };
  struct Node {
    std::unique_ptr<OrganisationLimiter> limiter;
    std::unique_ptr<PermitIssuer> issuer;
    std::vector<Peer> peers;
    bool alive = true;
    /// Others cannot learn that the process has ended.
    bool silent = false;
    ProxyTime ended_at{};
    uint64_t incarnation = 0;
    int side = 0;
    std::map<std::string, size_t> asked;
    std::map<OrganisationLimiter::Ticket, std::pair<std::string, ProxyTime>> waiting;
    ProxyTime timer_at = ProxyTime::max();
  };
  struct Event {
    ProxyTime at;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void At(ProxyTime time, std::function<void()> run);
  ProxyDuration Random(ProxyDuration from, ProxyDuration to);
  static std::string NameOf(size_t node) { return "vm-" + std::to_string(node); }
  static size_t NodeOf(const std::string& name) { return std::stoul(name.substr(3)); }
  void NewProcess(size_t node);
  void SetReachable(size_t node, size_t peer, bool known, bool reachable, ProxyDuration delay);
  void UpdateView(size_t node);
  /// Time after which `node` notices that it was separated from `peer`.
  ProxyDuration SilenceOf(size_t node, size_t peer, ProxyDuration unmonitored);
  /// The node expects a response of `peer` from now on, if it regards it as reachable.
  void Monitor(size_t node, size_t peer);
  /// Probes all connections of a node after the loss of a monitored one.
  void Probe(size_t node);
  /// The connection from `node` to `peer` opens.
  void Greet(size_t node, size_t peer);
  void Tick(size_t node, uint64_t incarnation);
  void Arrive(const std::string& organisation, uint64_t generation);
  void Permit(Counts* counts);
  void Reject(Counts* counts);
  void Pump(size_t node);
  /// `asked`: number of sidecars asked for these permits, including this one.
  void Ask(size_t node, size_t owner, const PermitRequest& request, int asked);
  void OnGrant(size_t node, size_t owner, const PermitRequest& request, const PermitGrant& grant,
               int asked);
  /// Delivers to a node unless it is separated from the sender or has ended.
  void Send(size_t from, size_t to, std::function<void()> run);

  ProxyTime now_ = ProxyTime() + std::chrono::hours(1);
  const ProxyTime start_ = now_;
  std::mt19937_64 rng_;
  std::vector<Node> nodes_;
  OrganisationLimits limits_;
  std::map<std::string, double> demand_;
  std::map<std::string, uint64_t> generations_;
  std::map<std::string, Counts> counts_;
  std::priority_queue<Event> events_;
  uint64_t next_event_ = 0;
  OrganisationLimiter::Ticket next_ticket_ = 1;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_TESTING_PERMIT_REPLAY_H_
