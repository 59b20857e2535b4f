#ifndef CAMPHORHOIST_MEMBER_MESSAGE_H_
#define CAMPHORHOIST_MEMBER_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "camphorhoist/config_version.h"
#include "camphorhoist/member.h"

namespace camphorhoist {

/// Largest encoded membership message, in bytes: fits one unfragmented datagram.
constexpr size_t kMaxMemberMessageBytes = 1200;
/// Longest data centre, region, mesh and service name, in bytes.
constexpr size_t kMaxMemberNameBytes = 128;
/// Longest refusal text that an entry carries, in bytes.
constexpr size_t kMaxRefusalBytes = 160;
/// Most endpoints of one entry.
constexpr size_t kMaxEndpointsPerMember = 64;
/// Largest entry by `EstimateUpdateBytes`: one entry and the message header fit one message.
constexpr size_t kMaxEntryBytes = 880;

enum class MessageKind : uint8_t {
  /// Probe; answered by kAck with the same `probe`.
  kPing,
  kAck,
  /// Asks the receiver to probe `target` and pass its kAck on.
  kPingRequest,
  /// A new member introduces itself and asks for the first page of the state.
  kJoin,
  /// Asks for the page of entries that starts after `target`.
  kPageRequest,
  /// One message of a page; the last one of it has `page_end`.
  kPage,
  /// Updates without a request (urgent changes, repair).
  kUpdates,
  /// Bucket hashes of one data centre; answered by kKeys for buckets that differ.
  kDigest,
  /// Keys of all members of the buckets in `bucket_mask`.
  kKeys,
  /// Asks for the entries of the members in `keys`.
  kEntryRequest,
  /// Tells the sender's configuration version; carries nothing but the header.
  kAnnounce,
};
constexpr int kMessageKinds = 11;
const char* ToString(MessageKind kind);

/// A claim about one member. A claim of `kAlive` carries the whole entry; one of another state may
/// carry only address and incarnation (`has_entry` false).
struct MemberUpdate {
  MemberState state = MemberState::kAlive;
  bool has_entry = false;
  /// Without `has_entry` only address, incarnation and sequence are meaningful.
  MemberEntry entry;
};

inline bool operator==(const MemberUpdate& a, const MemberUpdate& b) {
  return a.state == b.state && a.has_entry == b.has_entry && a.entry == b.entry;
}

/// Identity and age of one entry.
struct MemberKey {
  MemberId address;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
};

inline bool operator==(const MemberKey& a, const MemberKey& b) {
  return a.address == b.address && a.incarnation == b.incarnation && a.sequence == b.sequence;
}

/// The members of a data centre that have at least `version` in force, as a bit map over the sorted
/// live members. `roster` is a hash over these members and their incarnations; a receiver with
/// another roster ignores the set.
struct VersionSet {
  std::string data_centre;
  ConfigVersion version;
  uint64_t roster = 0;
  std::string bits;
};

inline bool operator==(const VersionSet& a, const VersionSet& b) {
  return a.data_centre == b.data_centre && a.version == b.version && a.roster == b.roster &&
         a.bits == b.bits;
}

/// How long ago anybody in the sender's data centre heard from a data centre.
struct DataCentreAge {
  /// Hash of the data centre's name, see `DataCentreKey`.
  uint32_t data_centre = 0;
  uint32_t age_ms = 0;
};

inline bool operator==(const DataCentreAge& a, const DataCentreAge& b) {
  return a.data_centre == b.data_centre && a.age_ms == b.age_ms;
}

/// Short key of a data centre's name.
uint32_t DataCentreKey(const std::string& data_centre);

/// One decoded membership message. Value type; a field that a kind does not use is left empty.
struct MemberMessage {
  MessageKind kind = MessageKind::kPing;
  std::string mesh;
  MemberId sender;
  uint64_t sender_incarnation = 0;
  std::string sender_data_centre;
  /// The sender's configuration version and its hash (64 hexadecimal digits, or empty if none).
  ConfigVersion version;
  std::string hash;
  /// Time since the latest confirmation of the platform's head that the sender knows of.
  std::optional<std::chrono::milliseconds> head_age;
  std::vector<DataCentreAge> ages;

  /// Number of the probe (kPing, kAck, kPingRequest).
  uint32_t probe = 0;
  /// Probed member (kPingRequest), cursor (kPageRequest, kPage).
  MemberId target;
  bool page_end = false;
  /// Data centre of a digest and of keys.
  std::string data_centre;
  std::vector<uint64_t> buckets;
  uint32_t bucket_mask = 0;
  std::vector<MemberKey> keys;
  std::vector<MemberUpdate> updates;
  std::vector<VersionSet> version_sets;
};

bool operator==(const MemberMessage& a, const MemberMessage& b);

/// Encodes `message`. Errors: `kInvalidInput` if a field breaks a limit or the result is larger
/// than `kMaxMemberMessageBytes`; `text`, if given, says which.
std::string EncodeMemberMessage(const MemberMessage& message, std::error_code* ec,
                                std::string* text = nullptr);

/// Decodes and checks untrusted bytes. Errors: `kInvalidInput`, with the reason in `text`. Never
/// throws. Thread safety: safe from any thread.
std::optional<MemberMessage> DecodeMemberMessage(std::string_view bytes, std::error_code* ec,
                                                 std::string* text = nullptr);

/// Upper bounds of the encoded size, in bytes, of parts of a message. The sum over the parts is an
/// upper bound for the message.
size_t EstimateHeaderBytes(const MemberMessage& message);
size_t EstimateUpdateBytes(const MemberUpdate& update);
size_t EstimateVersionSetBytes(const VersionSet& set);
size_t EstimateKeyBytes();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMBER_MESSAGE_H_
