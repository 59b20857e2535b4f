#ifndef CAMPHORHOIST_MEMBER_H_
#define CAMPHORHOIST_MEMBER_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// A member is identified by the address of its node port.
using MemberId = NetAddress;

/// Readiness of one upstream endpoint, as its node reports it. Only `kServing` accepts new calls.
enum class EndpointState : uint8_t { kWarming, kServing, kDraining, kDown };
const char* ToString(EndpointState state);

/// One upstream behind a node.
struct EndpointInfo {
  std::string service;
  NetAddress upstream;
  /// Number of requests that the upstream can run concurrently.
  uint32_t slots = 0;
  EndpointState state = EndpointState::kWarming;
};

inline bool operator==(const EndpointInfo& a, const EndpointInfo& b) {
  return std::tie(a.service, a.upstream, a.slots, a.state) ==
         std::tie(b.service, b.upstream, b.slots, b.state);
}
inline bool operator!=(const EndpointInfo& a, const EndpointInfo& b) { return !(a == b); }

/// State of a member in the view of another member. The order matters when claims are merged:
/// within one incarnation the later state wins.
enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* ToString(MemberState state);

/// True for a member that takes part in the mesh: alive or suspect.
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// The state that a member publishes about itself. Only the member itself changes its entry.
/// `incarnation` identifies the process run, and is raised to refute a false claim that the member
/// is suspect or dead. `sequence` counts the changes within an incarnation. `version` is the
/// configuration in force; within one incarnation it only increases, and it is merged by maximum,
/// independent of `sequence`.
struct MemberEntry {
  MemberId address;
  std::string data_centre;
  std::string region;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  ConfigVersion version;
  /// Why the member rejected a newer configuration version; empty if it did not.
  std::string refusal;
  uint32_t lowest_schema = 1;
  uint32_t highest_schema = 1;
  std::vector<EndpointInfo> endpoints;
  /// The whole node is draining or leaving: none of its endpoints accepts new calls.
  bool draining = false;
};

inline bool operator==(const MemberEntry& a, const MemberEntry& b) {
  return std::tie(a.address, a.data_centre, a.region, a.incarnation, a.sequence, a.version,
                  a.refusal, a.lowest_schema, a.highest_schema, a.endpoints, a.draining) ==
         std::tie(b.address, b.data_centre, b.region, b.incarnation, b.sequence, b.version,
                  b.refusal, b.lowest_schema, b.highest_schema, b.endpoints, b.draining);
}
inline bool operator!=(const MemberEntry& a, const MemberEntry& b) { return !(a == b); }

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMBER_H_
