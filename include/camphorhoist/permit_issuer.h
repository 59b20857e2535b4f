#ifndef CAMPHORHOIST_PERMIT_ISSUER_H_
#define CAMPHORHOIST_PERMIT_ISSUER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Rate limit of an organisation, for the whole mesh.
struct OrganisationLimit {
  double requests_per_second = 0;
  /// Requests that may be sent at once; 0 stands for one second of the rate.
  double burst = 0;
};
inline bool operator==(const OrganisationLimit& a, const OrganisationLimit& b) {
  return a.requests_per_second == b.requests_per_second && a.burst == b.burst;
}
inline bool operator!=(const OrganisationLimit& a, const OrganisationLimit& b) { return !(a == b); }

/// Limits by name of the organisation. Organisations without a limit are not in it.
using OrganisationLimits = std::map<std::string, OrganisationLimit>;

/// Request of a sidecar to the owner of an organisation.
struct PermitRequest {
  std::string organisation;
  uint32_t wanted = 0;
  /// The sender is the new owner and requests that the receiver, the previous one, hands over what
  /// is left in its bucket and issues nothing more.
  bool takeover = false;
};
inline bool operator==(const PermitRequest& a, const PermitRequest& b) {
  return a.organisation == b.organisation && a.wanted == b.wanted && a.takeover == b.takeover;
}

/// Response to a `PermitRequest`.
struct PermitGrant {
  std::string organisation;
  uint32_t granted = 0;
  /// Time after the arrival of the grant for which the permits may be used.
  ProxyDuration valid_for{};
  /// If fewer permits were granted than wanted: expected time until others are available.
  ProxyDuration retry_after{};
  /// Time for which the owner issues only a small part of the rate, since another sidecar may still
  /// issue permits.
  ProxyDuration cautious_for{};
  /// Response to a takeover.
  bool takeover = false;
  /// The sender was the owner and will issue nothing more. False if it regards another sidecar as
  /// the previous owner.
  bool released = false;
  /// Share of the rate that the previous owner issued.
  double share = 0;
  /// The sender does not issue permits of this organisation (yet, or any more).
  bool not_owner = false;
};
inline bool operator==(const PermitGrant& a, const PermitGrant& b) {
  return a.organisation == b.organisation && a.granted == b.granted && a.valid_for == b.valid_for &&
         a.retry_after == b.retry_after && a.cautious_for == b.cautious_for &&
         a.takeover == b.takeover && a.released == b.released && a.share == b.share &&
         a.not_owner == b.not_owner;
}

/// A sidecar as seen by another one. One that is neither reachable nor terminated may be alive.
struct KnownSidecar {
  std::string node;
  bool reachable = false;
  /// Identifies the process run that was reached last; 0 if none was.
  uint64_t incarnation = 0;
  /// The process has ended, and no other one has been heard of since.
  bool terminated = false;
  std::string data_centre = {};
  /// Other sidecars had not reached it for longer than `PermitIssuer::kSettleTime` when this
  /// process was started: if it is alive, the other side of the network partition is settled.
  bool lost = false;
};
inline bool operator==(const KnownSidecar& a, const KnownSidecar& b) {
  return a.node == b.node && a.reachable == b.reachable && a.incarnation == b.incarnation &&
         a.terminated == b.terminated && a.data_centre == b.data_centre && a.lost == b.lost;
}

/// Determines the owner of each organisation and holds the token buckets of those that this sidecar
/// owns.
///
/// In each window of 5 s the whole mesh may use (rate x 5 + burst) x 1.1 + 20 permits, which leaves
/// rate x 0.5 + burst x 0.1 + 20 for everything that a single bucket does not bound:
///  - permits that were issued before the window and are used in it: `kOutstandingSeconds` of the
///    rate and `kOutstandingPermits`, by reducing the capacity of the bucket;
///  - a second owner while views of reachability differ: `kCautiousShare` of the rate and
///    `kCautiousPerSecond` for `kSettleTime`. A successor of an owner that is known to have ended
///    needs no such caution and starts with a credit of that size instead (`Credit`);
///  - larger buckets of small organisations: `kExtraBurst`.
///
/// A new owner issues its whole share at once if it is known that no other sidecar issues permits:
///  - a process that has run for `kSettleTime` knows it when the process of the previous owner is
///    known to have ended;
///  - one that has started later first needs a response to its hello from all other sidecars that
///    it did not see start. A response names the organisations that its sender issues permits of;
///    from then on the sender regards the new process as alive, and starts to issue no others that
///    this one ranks first for.
///
/// The owner of an organisation and its deputies, the sidecars that rank highest in each data
/// centre, monitor the connections to each other (`Monitored`). One side of a network partition
/// elects a deputy, which therefore knows that the previous owner has noticed the partition, too,
/// and has probed all its connections, after `kMonitoredSettleTime`.
///
/// Reads no clock. Thread safety: none; use from one thread.
class PermitIssuer {
 public:
  /// Longest time for which two sidecars have different views of what is reachable. A peer that is
  /// silent is noticed within 3 s.
  static constexpr std::chrono::milliseconds kSettleTime{3000};
  /// The same for an owner and its deputies: a monitored connection is found silent within 0.8 s,
  /// then all others within 0.8 s, and the rest is for processes that have little processor time.
  static constexpr std::chrono::milliseconds kMonitoredSettleTime{2000};
  static constexpr double kCautiousShare = 0.08;
  static constexpr double kCautiousPerSecond = 0.8;
  static constexpr double kOutstandingSeconds = 0.2;
  static constexpr double kOutstandingPermits = 5;
  /// Added to the burst. With a burst of 3.7, independent arrivals at 1/1.6 of the limit would find
  /// the bucket empty more than once in a hundred times.
  static constexpr double kExtraBurst = 8;
  /// Sum of the credits of successive owners, in seconds of the rate and in permits. The first one
  /// gets half of it, the next one a quarter, and so on.
  static constexpr double kCreditSeconds = 0.24;
  static constexpr double kCreditPermits = 5;
  /// Owners that ended within this time count as successive: a window, the time for which permits
  /// are outstanding, and the time in which the end of a process is noticed.
  static constexpr std::chrono::milliseconds kCreditWindow{7000};
  /// A process that was silent for longer before its end became known may have issued permits that
  /// a second owner has issued, too; then there is no credit. Closed connections are opened again
  /// after 50 ms, which shows whether the process has ended.
  static constexpr std::chrono::milliseconds kBriefSilence{500};
  /// Time for which permits can be used. Longer than the time for which senders prefetch, so that
  /// few expire.
  static constexpr std::chrono::milliseconds kValidTime{750};
  /// `kValidTime` and the time that a grant is on its way.
  static constexpr std::chrono::milliseconds kOutstandingTime{850};
  static constexpr std::chrono::milliseconds kTakeoverInterval{100};
  /// A process that has just started waits this long before it takes over from another one, so
  /// that the senders see it; the other one issues permits until then. It waits equally long for
  /// sidecars that it cannot reach, unless it knows that nobody issues permits.
  static constexpr std::chrono::milliseconds kStartDelay{1000};
  /// The previous owner issues permits for at most this long after it has seen its successor.
  static constexpr std::chrono::milliseconds kHandoverTime{1500};
  /// Returned by a sidecar that is not the owner; its view and that of the sender differ for a
  /// short time only.
  static constexpr std::chrono::milliseconds kNotOwnerDelay{50};
  static constexpr std::chrono::milliseconds kMaxRetryAfter{1000};
  /// Number of sidecars that are asked one after the other. When several sidecars were restarted,
  /// one that ranks third or fourth may still issue permits.
  static constexpr int kMaxAsked = 4;
  /// Bounds the permits that one message can take.
  static constexpr uint32_t kMaxWanted = 1000;

  /// A takeover to be sent.
  struct Takeover {
    std::string node;
    PermitRequest request;
  };

  explicit PermitIssuer(std::string self) : self_(std::move(self)) {}

  /// Sets the limits in force. Buckets of organisations that keep a limit are kept, reduced to the
  /// new capacity.
  void SetLimits(ProxyTime now, OrganisationLimits limits);
  /// Sets the sidecars that are known, including this one. One whose entry was removed and that
  /// cannot be reached, or whose address belongs to another VM, is left out, which counts as its
  /// termination.
  /// `all_listed`: the view contains all sidecars that have an entry in the store.
  void SetView(ProxyTime now, std::vector<KnownSidecar> sidecars, bool all_listed = false);
  /// The process `incarnation` of the sidecar `node` has sent a hello, which names the
  /// organisations that it issues permits of. `reply`: to a hello of this sidecar; to be called
  /// before the view in which `node` is reachable is set. Otherwise `node` has opened the
  /// connection and is sent what `Issued` returns at that time.
  void OnHello(ProxyTime now, const std::string& node, uint64_t incarnation,
               const std::vector<std::string>& issued, bool reply);
  /// Returns the organisations that this sidecar issues permits of, also if another one is already
  /// their owner.
  std::vector<std::string> Issued(ProxyTime now) const;
  /// Returns the sidecar to request permits from, as seen by this one; empty if no view was set.
  const std::string& OwnerOf(const std::string& organisation) const;

  /// Returns the sidecar to request permits from after `node` has responded with `not_owner`: the
  /// reachable one that ranks next; empty if there is none.
  std::string NextAfter(const std::string& organisation, const std::string& node) const;

  /// Returns the sidecars whose connections have to be monitored without interruption: the deputies
  /// of this owner, and the owners whose deputy this one is. If one of them is silent, the caller
  /// probes the connections to all others.
  const std::set<std::string>& Monitored() const { return monitored_; }

  /// Responds to a request of the sidecar `from`, which may be this one.
  PermitGrant OnRequest(ProxyTime now, const std::string& from, const PermitRequest& request);
  /// Takes over the bucket of the previous owner, the sidecar `from`. Precondition:
  /// `grant.takeover`.
  void OnTakeoverGrant(ProxyTime now, const std::string& from, const PermitGrant& grant);
  /// Returns the takeovers to send now. To be called every `kTakeoverInterval`, and after changes.
  std::vector<Takeover> Tick(ProxyTime now);

  /// Share of the rate that this sidecar may issue for the organisations it owns.
  double share(ProxyTime now) const;
  /// Number of organisations that this sidecar owns.
  size_t owned() const;

 private:
  struct Bucket {
    double tokens = 0;
    /// The bucket issues nothing before this time.
    ProxyTime updated_at{};
    /// Share of the rate at `updated_at`.
    double share = 0;
    ProxyTime started_at{};
    /// Another sidecar may still regard itself as the owner until then.
    ProxyTime cautious_until{};
    /// The previous owner, if this process has seen it as such.
    KnownSidecar predecessor;
    ProxyTime next_takeover_at{};
    double inherited_share = 0;
    ProxyTime inherited_until{};
    /// Time at which another sidecar became the owner.
    std::optional<ProxyTime> retired_at;
    /// The successor has taken over.
    bool released = false;
    /// Permits issued within `kOutstandingTime`.
    std::deque<std::pair<ProxyTime, uint32_t>> grants;
    double outstanding = 0;
    /// Decaying number of permits that were wanted and not granted.
    double unfilled = 0;
    ProxyTime unfilled_at{};
  };
  /// This sidecar is a deputy of an owner.
  struct Deputyship {
    std::string owner;
    ProxyTime since{};
    /// An earlier owner was lost at this time.
    std::optional<ProxyTime> lost_at;
  };
  /// A process whose end is known.
  struct Ended {
    ProxyTime at{};
    std::string node;
    uint64_t hash = 0;
    uint64_t incarnation = 0;
    /// Not reachable for longer than `kBriefSilence` before.
    bool was_silent = false;
  };

  /// Returns the reachable sidecar with the highest rank, ignoring `excluded`; nullptr if none.
  const KnownSidecar* Highest(const std::string& organisation, const std::string& excluded) const;
  /// Whether a sidecar that issues permits of the organisation has been named to this process.
  bool HasNamedIssuer(const std::string& organisation) const;
  const KnownSidecar* Find(const std::string& node) const;
  bool IsReachable(const std::string& node) const;
  /// Whether a sidecar that ranks above this one is known and unreachable.
  bool HasUnreachableSuperior(const std::string& organisation) const;
  /// Whether all sidecars that rank above this one have been told since `since` what this one
  /// issues, so that they do not start to issue it, too.
  bool SuperiorsDefer(const std::string& organisation, ProxyTime since) const;
  void UpdateInformed(ProxyTime now);
  /// Whether the sidecar is reachable, or is being connected to after its hello has arrived.
  bool IsPresent(ProxyTime now, const KnownSidecar& sidecar) const;
  bool HasEnded(const KnownSidecar& process) const;
  void RecordEnd(ProxyTime now, const std::string& node, uint64_t incarnation);
  void RecordChanges(ProxyTime now, const std::vector<KnownSidecar>& sidecars);
  void CountAbsent(ProxyTime now);
  void UpdateOwnership(ProxyTime now);
  void UpdateMonitored(ProxyTime now);
  /// Returns the time until which the successor of `owner` has to be cautious.
  ProxyTime CautiousUntil(ProxyTime from, const std::string& organisation,
                          const std::string& owner) const;
  Bucket NewBucket(ProxyTime now, const std::string& organisation,
                   const KnownSidecar& predecessor) const;
  /// Ends the caution of buckets once it is known that no other sidecar issues permits.
  void EndCaution(ProxyTime now);
  bool IsSoleIssuer(ProxyTime now, const std::string& organisation, const Bucket& bucket) const;
  /// Permits with which the successor of an owner that has ended starts.
  double Credit(ProxyTime now, const std::string& organisation) const;
  /// Share of the sidecars that are present now.
  double PresentShare() const;
  void Accrue(ProxyTime now, const OrganisationLimit& limit, Bucket* bucket) const;
  double ShareOf(ProxyTime now, const Bucket& bucket) const;
  static bool Issues(ProxyTime now, const Bucket& bucket);
  PermitGrant Release(ProxyTime now, const std::string& from, const std::string& organisation);

  std::string self_;
  /// Time of the first view.
  std::optional<ProxyTime> started_at_;
  OrganisationLimits limits_;
  /// Those of the last view that have not terminated, by name.
  std::vector<KnownSidecar> sidecars_;
  /// Hashes of the names in `sidecars_`.
  std::vector<uint64_t> hashes_;
  std::map<std::string, KnownSidecar> owners_;
  std::map<std::string, Bucket> buckets_;
  std::set<std::string> monitored_;
  /// By organisation.
  std::map<std::string, Deputyship> deputyships_;
  bool all_listed_ = false;
  /// Sidecars whose process has responded to a hello of this one, or was started later than this
  /// one. Only kept until `informed_` is set.
  std::set<std::string> vouched_;
  /// This process knows what all other sidecars issue.
  bool informed_ = false;
  /// Number of sidecars that are not present (see `IsPresent`).
  size_t absent_ = 0;
  /// Time at which sidecars that had been reached became unreachable.
  std::map<std::string, ProxyTime> lost_at_;
  /// Sidecars that were unreachable and are reachable again, with the time of the change.
  std::deque<std::pair<ProxyTime, std::string>> regained_;
  std::deque<Ended> ended_;
  /// Time of the last hello of each sidecar that opened a connection to this one.
  std::map<std::string, ProxyTime> hellos_;
  /// Sidecars that have named an organisation in their hello. Only kept until this process has run
  /// for `kSettleTime`.
  std::map<std::string, std::set<std::string>> issuers_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_PERMIT_ISSUER_H_
