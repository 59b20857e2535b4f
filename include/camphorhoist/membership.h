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

/// Settings of this node, fixed for the lifetime of the process.
struct MembershipOptions {
  std::string mesh;
  MemberId self;
  std::string data_centre;
  std::string region;
  /// Start time of the process in milliseconds since 1970. Raised above the incarnation that peers
  /// report for this node, in case the clock is behind.
  uint64_t incarnation = 0;
  /// Addresses to join through, in any data centre. This node's own address is ignored.
  std::vector<MemberId> seeds;
  uint32_t lowest_schema = 1;
  uint32_t highest_schema = 1;
};

/// The part of this node's entry that changes while the process runs.
struct SelfState {
  ConfigVersion version;
  /// Hash of the configuration in force, 64 hexadecimal digits; empty if none.
  std::string hash;
  /// Truncated to `kMaxRefusalBytes`.
  std::string refusal;
  std::vector<EndpointInfo> endpoints;
  bool draining = false;
};

/// Sends `message` to the node port of `to`.
struct SendMessage {
  MemberId to;
  MemberMessage message;
};

/// A member was added, or its state or entry changed.
struct MemberChanged {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
};

/// The usable endpoints of a member changed; to be passed to `EndpointTable::Apply`.
struct EndpointChanged {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
};

/// A whole data centre became reachable or unreachable.
struct DataCentreChanged {
  std::string data_centre;
  bool reachable = true;
};

/// A peer reported its configuration version; to be passed to `Distribution::OnVersionObserved`.
struct VersionObserved {
  ConfigVersion version;
  std::string hash;
  MemberId from;
  std::optional<std::chrono::milliseconds> head_age;
};

using MemberEffect =
    std::variant<SendMessage, MemberChanged, EndpointChanged, DataCentreChanged, VersionObserved>;
using MemberEffects = std::vector<MemberEffect>;

/// A member in the view of this node.
struct MemberView {
  MemberEntry entry;
  MemberState state = MemberState::kAlive;
  /// False if the member's data centre is unreachable; its state is then the last known one.
  bool reachable = true;
  /// When the entry or the version last changed.
  MemberTime last_changed;
};

/// Event counts since the start of the process.
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

/// Membership protocol of one node: SWIM-style failure detection and gossip within the node's data
/// centre, and exchange of changed entries with other data centres through bridges. It performs no
/// I/O: the caller executes the returned effects.
///
/// Preconditions: `now` never decreases; `Tick` is called about every 100 ms, and at least once per
/// second (a gap above 2 s is treated as a pause of the process). Thread safety: none; use from one
/// thread.
class Membership {
 public:
  explicit Membership(MembershipOptions options);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Runs the actions that are due. The first call starts the join.
  MemberEffects Tick(MemberTime now, std::mt19937_64& rng);

  /// Handles a decoded message. `from` is the source address of the datagram. Messages of another
  /// mesh, or whose sender differs from `from`, are counted and dropped.
  MemberEffects OnMessage(MemberTime now, std::mt19937_64& rng, const MemberId& from,
                          const MemberMessage& message);

  /// Publishes the state of this node. If an endpoint stops serving, the update is sent at once.
  /// Errors: `kInvalidInput` if the entry has more than `kMaxEndpointsPerMember` endpoints or would
  /// be larger than `kMaxEntryBytes`; nothing is changed then.
  MemberEffects UpdateSelf(MemberTime now, std::mt19937_64& rng, const SelfState& state,
                           std::error_code* ec = nullptr);

  /// Sets the time of the latest known confirmation of the platform's head; its age is sent in each
  /// message.
  void SetHeadConfirmed(MemberTime at);

  /// Announces to the other members that this one leaves. Afterwards the object only repeats the
  /// announcement a few times and answers probes.
  MemberEffects Leave(MemberTime now, std::mt19937_64& rng);

  /// The message that announces this node's version to `to`, for the effect `Announce`.
  SendMessage MakeAnnouncement(MemberTime now, const MemberId& to);

  /// All known members including this one, and dead or left ones until they expire.
  std::vector<MemberView> Members() const;
  std::optional<MemberView> Find(const MemberId& id) const;
  /// Live members of a data centre, sorted; includes this one.
  std::vector<MemberId> LiveMembers(const std::string& data_centre) const;
  /// Number of live members of reachable data centres, including this one.
  size_t LiveCount() const;
  bool Reachable(const std::string& data_centre) const;
  const MemberEntry& self() const;
  /// True once the whole member list was received, or there is no member to request it from.
  bool joined() const;
  /// Minimum of `highest_schema` and maximum of `lowest_schema` over all live members.
  std::pair<uint32_t, uint32_t> SchemaRange() const;
  const MembershipCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMBERSHIP_H_
