#ifndef CAMPHORHOIST_MEMBERSHIP_H_
#define CAMPHORHOIST_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/member.h"
#include "camphorhoist/member_message.h"

namespace camphorhoist {

using MemberTime = std::chrono::steady_clock::time_point;

/// Identity of the own node, fixed for the process run.
struct MembershipOptions {
  std::string mesh;
  MemberId self;
  std::string data_centre;
  std::string region;
  /// Start time of the process in milliseconds since 1970; raised above what peers report.
  uint64_t incarnation = 0;
  /// Addresses to join through, of any data centre. The own address among them is ignored.
  std::vector<MemberId> seeds;
  uint32_t lowest_schema = 1;
  uint32_t highest_schema = 1;
};

/// The part of the own entry that changes during the run.
struct SelfState {
  ConfigVersion version;
  /// Hash of the configuration in force, 64 hexadecimal digits; empty if none.
  std::string hash;
  /// Cut to `kMaxRefusalBytes`.
  std::string refusal;
  std::vector<EndpointInfo> endpoints;
  bool draining = false;
};

/// Send `message` to the node port of `to`.
struct SendMessage {
  MemberId to;
  MemberMessage message;
};

/// A member is new or its state or entry changed.
struct MemberChanged {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
};

/// The usable endpoints of a member changed: feed it to `EndpointTable::Apply`.
struct EndpointChanged {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
};

/// A data centre can be heard again, or cannot be heard as a whole.
struct DataCentreChanged {
  std::string data_centre;
  bool reachable = true;
};

/// A peer told its configuration version; feed it to `Distribution::OnVersionObserved`.
struct VersionObserved {
  ConfigVersion version;
  std::string hash;
  MemberId from;
  std::optional<std::chrono::milliseconds> head_age;
};

using MemberEffect =
    std::variant<SendMessage, MemberChanged, EndpointChanged, DataCentreChanged, VersionObserved>;
using MemberEffects = std::vector<MemberEffect>;

/// A member in the own view.
struct MemberView {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
  /// False if the member's data centre cannot be heard; its state is then the last known one.
  bool reachable = true;
  /// When the entry or the version last changed.
  MemberTime last_changed;
};

/// Counts since the start.
struct MembershipCounters {
  uint64_t wrong_mesh = 0;
  uint64_t invalid_sender = 0;
  uint64_t stale_updates = 0;
  uint64_t suspicions_raised = 0;
  uint64_t deaths_declared = 0;
  uint64_t refutations = 0;
  uint64_t pauses_seen = 0;
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
};

/// Membership of one node: failure detection and dissemination in the own data centre, exchange of
/// changed entries with the others.
///
/// Preconditions: `now` never decreases; `Tick` is called about every 100 ms, at most every second
/// (a gap above 2 s is taken for a pause of the process). Thread safety: none; use from one thread.
class Membership {
 public:
  explicit Membership(MembershipOptions options);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Runs what is due. The first call starts to join.
  MemberEffects Tick(MemberTime now, std::mt19937_64& rng);

  /// Handles a decoded message. `from` is the address that the datagram came from; it must be the
  /// sender's. Messages of another mesh or with a false sender are counted and dropped.
  MemberEffects OnMessage(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                          const MemberMessage& message);

  /// Publishes the own state. An endpoint that stops serving is pushed at once. Errors:
  /// `kInvalidInput` if the entry would be larger than `kMaxEntryBytes`; nothing is then changed.
  MemberEffects UpdateSelf(MemberTime now, std::mt19937_64& rng, const SelfState& state,
                           std::error_code* ec = nullptr);

  /// Sets the time of the latest known confirmation of the platform's head, which travels with each
  /// message.
  void SetHeadConfirmed(MemberTime at);

  /// Tells the members that this one leaves. Afterwards the object only answers probes.
  MemberEffects Leave(MemberTime now, std::mt19937_64& rng);

  /// The message that tells `to` the own version, for `Announce` of the distribution.
  SendMessage MakeAnnouncement(MemberTime now, const MemberId& to);

  /// All known members with the own one, including dead ones until they expire.
  std::vector<MemberView> Members() const;
  std::optional<MemberView> Find(const MemberId& id) const;
  /// Live members of a data centre with the own one, sorted.
  std::vector<MemberId> LiveMembers(const std::string& data_centre) const;
  /// Number of live members of reachable data centres, with the own one.
  size_t LiveCount() const;
  bool Reachable(const std::string& data_centre) const;
  const MemberEntry& self() const;
  /// True once the state of another member was received in full, or there is nobody to ask.
  bool joined() const;
  /// Lowest `highest_schema` and highest `lowest_schema` over live members.
  std::pair<uint32_t, uint32_t> SchemaRange() const;
  const MembershipCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMBERSHIP_H_
