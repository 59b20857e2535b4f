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

/// State and rules behind `Membership`. Split by subject: membership.cc (own entry, messages),
/// probing.cc (failure detection), exchange.cc (join, repair, other data centres).
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
  struct Relay {
    MemberId requester;
    uint32_t probe = 0;
    MemberTime sent;
  };

  // membership.cc
  void Start(MemberTime now, std::mt19937_64& rng);
  void PublishSelf(MemberTime now, bool urgent);
  void RaiseIncarnation(MemberTime now, uint64_t above);
  /// Merges a claim and reports what changed. Without `gossip` news are not passed on.
  void Learn(MemberTime now, std::mt19937_64& rng, const MemberUpdate& update, bool gossip,
             MemberEffects* out);
  void LearnAboutSelf(MemberTime now, std::mt19937_64& rng, const MemberUpdate& update,
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
  void Piggyback(const MemberId& to, MemberMessage* message);
  void AddVersionSets(MemberMessage* message, size_t* budget);
  /// Sends updates in as many messages as needed, at most `max_messages`.
  void SendUpdates(MemberTime now, const MemberId& to, const std::vector<MemberUpdate>& updates,
                   size_t max_messages, MemberEffects* out);
  std::vector<MemberId> PickMembers(std::mt19937_64& rng, const std::string& data_centre,
                                    size_t count) const;
  /// Pushes the update at once, and again a few times later.
  void PushUrgent(MemberTime now, std::mt19937_64& rng, const MemberId& about, MemberEffects* out);
  void RunUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void SendUrgent(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  bool IsBridge() const;
  int GossipLimit() const;

  // probing.cc
  void NoticePause(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void StartProbation(MemberTime now);
  void RunProbes(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void StartProbe(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void AskIndirect(MemberTime now, std::mt19937_64& rng, MemberEffects* out);
  void FinishProbe(MemberTime now, MemberEffects* out);
  void RunSuspicions(MemberTime now, MemberEffects* out);
  bool MayAccuse(MemberTime now) const;
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
  void Introduce(MemberTime now, std::mt19937_64& rng, const MemberMessage& digest,
                 MemberEffects* out);
  void OnDigest(MemberTime now, std::mt19937_64& rng, const MemberMessage& message,
                MemberEffects* out);
  void OnKeys(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void OnEntryRequest(MemberTime now, const MemberMessage& message, MemberEffects* out);
  void HeardDataCentre(MemberTime now, MemberTime at, const std::string& name, MemberEffects* out);

  MembershipOptions options_;
  MemberEntry self_;
  std::string hash_;
  MemberTable table_;
  MembershipCounters counters_;
  GossipQueue gossip_;
  /// Own data centre's changes for the others; used while this member is a bridge.
  GossipQueue exports_;
  /// Data centres whose version set changed lately, with the number of messages it still goes into.
  std::map<std::string, int> hot_versions_;
  /// Updates to push, with the number of pushes left.
  std::map<MemberId, int> urgent_;
  MemberTime next_urgent_;
  std::optional<MemberTime> head_confirmed_;

  bool started_ = false;
  bool left_ = false;
  int leave_pushes_ = 0;
  MemberTime next_leave_push_;
  MemberTime last_tick_;
  MemberTime next_second_;

  // Failure detection.
  std::vector<MemberId> probe_order_;
  uint32_t last_probe_ = 0;
  std::map<uint32_t, Probe> probes_;
  std::map<uint32_t, Relay> relays_;
  MemberTime next_probe_;
  bool probation_ = false;
  size_t probation_acks_ = 0;
  MemberTime heard_own_data_centre_;
  bool isolated_ = false;

  // Join and repair.
  bool joined_ = false;
  MemberTime started_at_;
  MemberTime next_join_;
  MemberId join_cursor_;
  bool page_seen_ = false;
  MemberTime next_digest_;
  MemberTime::duration digest_interval_{};
  MemberTime next_reconnect_;
  int bridge_round_ = 0;
};

/// Uniform index below `n`. Precondition: `n` > 0.
inline size_t RandomIndex(std::mt19937_64& rng, size_t n) { return static_cast<size_t>(rng() % n); }

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_MEMBERSHIP_IMPL_H_
