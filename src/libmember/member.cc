#include "camphorhoist/member.h"

#include <xxhash.h>

#include <tuple>

#include "camphorhoist/member_message.h"

namespace camphorhoist {

const char* ToString(EndpointState state) {
  switch (state) {
    case EndpointState::kWarming:
      return "warming";
    case EndpointState::kServing:
      return "serving";
    case EndpointState::kDraining:
      return "draining";
    case EndpointState::kDown:
      return "down";
  }
  return "unrecognized";
}

const char* ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unrecognized";
}

const char* ToString(MessageKind kind) {
  static const char* const kNames[kMessageKinds] = {
      "ping",    "ack",    "ping_request", "join",          "page_request", "page",
      "updates", "digest", "keys",         "entry_request", "announce"};
  const int n = static_cast<int>(kind);
  return n < kMessageKinds ? kNames[n] : "unrecognized";
}

uint32_t DataCentreKey(const std::string& data_centre) {
  return static_cast<uint32_t>(XXH64(data_centre.data(), data_centre.size(), 0));
}

bool operator==(const MemberMessage& a, const MemberMessage& b) {
  return std::tie(a.kind, a.mesh, a.sender, a.sender_incarnation, a.sender_data_centre, a.version,
                  a.hash, a.head_age, a.ages, a.probe, a.target, a.page_end, a.data_centre,
                  a.buckets, a.bucket_mask, a.keys, a.updates, a.version_sets) ==
         std::tie(b.kind, b.mesh, b.sender, b.sender_incarnation, b.sender_data_centre, b.version,
                  b.hash, b.head_age, b.ages, b.probe, b.target, b.page_end, b.data_centre,
                  b.buckets, b.bucket_mask, b.keys, b.updates, b.version_sets);
}

}  // namespace camphorhoist
