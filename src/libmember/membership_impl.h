#ifndef CAMPHORHOIST_LIBMEMBER_MEMBERSHIP_IMPL_H_
#define CAMPHORHOIST_LIBMEMBER_MEMBERSHIP_IMPL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/membership.h"
#include "libmember/gossip_queue.h"
#include "libmember/member_table.h"

namespace camphorhoist {

/// Implementation of `Membership`, split over three files: membership.cc (own entry, message
/// handling), probing.cc (failure detection) and exchange.cc (message assembly, join, repair,
/// exchange with other data centres).
class Membership::Impl {
 public:
  explicit Impl(MembershipOptions options);

  MemberEffects Tick(MemberTime now, std::mt19937_64& rng);
  MemberEffects OnMessage(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                          const MemberMessage& message);
  MemberEffects UpdateSelf(MemberTime now, std::mt19937_64& rng, const SelfState& state,
                           std::error_code* ec);
  MemberEffects Leave(MemberTime now, std::mt19937_64& rng);
  SendMessage MakeAnnouncement(MemberTime now, const MemberId& to);

  const MemberTable& table() const { return table_; }
  const MembershipOptions& options() const { return options_; }
  const MemberEntry& self() const { return self_; }
  const MembershipCounters& counters() const { return counters_; }
  bool joined() const { return joined_; }
  void set_head_confirmed(MemberTime at) { head_confirmed_ = at; }

 private:
  struct Probe {
    MemberId target;
    MemberTime sent;
    bool indirect = false;
  };
  /// A probe that this member sends on behalf of `requester`.
  struct RelayedProbe {
    MemberId requester;
    uint32_t probe = 0;
    MemberTime sent;
  };

  // membership.cc
  void Start(MemberTime now, std::mt19937_64& rng);
  void PublishSelf(MemberTime now, bool urgent);
  void RaiseIncarnation(MemberTime now, uint64_t above);
  /// Merges a claim and reports what changed. If `gossip` is false, it is not forwarded to others.
  void MergeUpdate(MemberTime now, std::mt19937_64& rng, const MemberUpdate& update, bool gossip,
                   MemberEffects* out);
  void MergeUpdateAboutSelf(MemberTime now, std::mt19937_64& rng, const MemberUpdate& update,
                            MemberEffects* out);
  void ReadHeader(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void ReadVersionSets(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void Dispatch(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                MemberEffects* out);
  void ReportMember(const MemberId& id, MemberEffects* out) const;
  void ReportEndpoints(const MemberId& id, MemberEffects* out) const;

  // Message assembly (exchange.cc).
  MemberMessage NewMessage(MemberTime now, MessageKind kind) const;
  void Send(const MemberId& to, MemberMessage message, MemberEffects* out);
  /// Fills the free space of a message with version sets and queued updates.
  void Piggyback(const MemberId& to, MemberMessage* message);
  void AddVersionSets(MemberMessage* message, size_t* budget);
  /// Sends updates in as many messages as needed, but at most `max_messages`.
  void SendUpdates(MemberTime now, const MemberId& to, const std::vector<MemberUpdate>& updates,
                   size_t max_messages, MemberEffects* out);
  std::vector<MemberId> PickMembers(std::mt19937_64& rng, const std::string& data_centre,
                                    size_t count) const;
  /// Sends the update about a member at once and repeats it a few times.
  void PushUrgent(MemberTime now, std::mt19937_64& rng, const MemberId& about, MemberEffects* out);
  void RunUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void SendUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  bool IsBridge() const;
  /// Number of times that each update is gossiped; logarithmic in the size of the data centre.
  int TransmitLimit() const;

  // probing.cc
  void DetectPause(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  /// After a pause or isolation: stops reporting failures until some new probes are acknowledged.
  void StartSelfCheck(MemberTime now);
  void RunProbes(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void StartProbe(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void SendIndirectProbes(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void ExpireProbes(MemberTime now, MemberEffects* out);
  void RunSuspicions(MemberTime now, MemberEffects* out);
  /// False while the cause of a failed probe may be this member itself.
  bool MayReportFailures(MemberTime now) const;
  void OnPing(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void OnAck(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void OnPingRequest(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void CheckIsolation(MemberTime now);

  // exchange.cc
  void RunJoin(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void RunDigest(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void RunReconnect(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void RunBridge(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void RunReachability(MemberTime now, MemberEffects* out);
  void SendDigest(MemberTime now, const MemberId& to, const std::string& data_centre,
                  MemberEffects* out);
  void SendPage(MemberTime now, const MemberId& to, const MemberId& after, MemberEffects* out);
  void OnPage(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
              MemberEffects* out);
  void AddKnownDataCentres(MemberTime now, MemberMessage* message) const;
  void IntroduceDataCentres(MemberTime now, std::mt19937_64& rng, const MemberMessage& digest,
                            MemberEffects* out);
  void OnDigest(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                MemberEffects* out);
  void OnKeys(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void OnEntryRequest(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void OnDataCentreHeard(MemberTime now, MemberTime at, const std::string& name,
                         MemberEffects* out);

  MembershipOptions options_;
  MemberEntry self_;
  std::string hash_;
  MemberTable table_;
  MembershipCounters counters_;
  GossipQueue gossip_queue_;
  /// Changes in this data centre to be sent to other data centres while this member is a bridge.
  GossipQueue export_queue_;
  /// Data centres whose version set changed recently, with the number of messages left to carry it.
  std::map<std::string, int> pending_version_sets_;
  /// Members with an urgent update, with the number of pushes left.
  std::map<MemberId, int> urgent_updates_;
  MemberTime next_urgent_push_;
  std::optional<MemberTime> head_confirmed_;

  bool started_ = false;
  bool left_ = false;
  int leave_pushes_ = 0;
  MemberTime next_leave_push_;
  MemberTime last_tick_;
  /// When to run the bridge exchange, the reachability check and the expiry next.
  MemberTime next_periodic_;

  // Failure detection (probing.cc).
  std::vector<MemberId> probe_order_;
  uint32_t last_probe_ = 0;
  std::map<uint32_t, Probe> probes_;
  std::map<uint32_t, RelayedProbe> relayed_probes_;
  MemberTime next_probe_;
  bool self_check_ = false;
  size_t self_check_acks_ = 0;
  MemberTime last_heard_own_data_centre_;
  /// True while no other member of this data centre is heard.
  bool isolated_ = false;

  // Join and repair (exchange.cc).
  bool joined_ = false;
  MemberTime start_time_;
  MemberTime next_join_;
  MemberId join_cursor_;
  bool page_received_ = false;
  MemberTime next_digest_;
  MemberTime::duration digest_interval_{};
  MemberTime next_reconnect_;
  int bridge_round_ = 0;
};

/// Returns a random index below `n`. Precondition: `n` > 0.
inline size_t RandomIndex(std::mt19937_64& rng, size_t n) { return static_cast<size_t>(rng() % n); }

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_MEMBERSHIP_IMPL_H_
