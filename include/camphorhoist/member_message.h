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

/// Largest encoded membership message, in bytes: fits in one unfragmented datagram.
constexpr size_t kMaxMemberMessageBytes = 1200;
/// Longest name of a data centre, region, mesh or service, in bytes.
constexpr size_t kMaxMemberNameBytes = 128;
/// Longest refusal text of an entry, in bytes.
constexpr size_t kMaxRefusalBytes = 160;
/// Maximum number of endpoints of one entry.
constexpr size_t kMaxEndpointsPerMember = 64;
/// Largest entry, in bytes as computed by `EstimateUpdateBytes`: one entry and the message header
/// fit in one message.
constexpr size_t kMaxEntryBytes = 880;

enum class MessageKind : uint8_t {
  /// Probe; answered by kAck with the same `probe`.
  kPing,
  kAck,
  /// Asks the receiver to probe `target` and forward its kAck (indirect probe).
  kPingRequest,
  /// Sent by a joining member with its own entry; answered by the first page of the member list.
  kJoin,
  /// Requests the page of entries that starts after `target`.
  kPageRequest,
  /// One message of a page; `page_end` is set in the last message of the page.
  kPage,
  /// Updates for an urgent change, an exchange between data centres or a repair; may be empty.
  kUpdates,
  /// Bucket hashes of one data centre; answered by kKeys for the buckets that differ.
  kDigest,
  /// Keys of all members in the buckets of `bucket_mask`.
  kKeys,
  /// Requests the entries of the members in `keys`.
  kEntryRequest,
  /// Announces the sender's configuration version; consists of the header only.
  kAnnounce,
};
constexpr int kMessageKinds = 11;
const char* ToString(MessageKind kind);

/// A claim about one member. A claim of `kAlive` carries the whole entry; one of another state may
/// carry only the fields that identify the entry (`has_entry` false).
struct MemberUpdate {
  MemberState state = MemberState::kAlive;
  bool has_entry = false;
  /// If `has_entry` is false, only address, incarnation and sequence are set.
  MemberEntry entry;
};

inline bool operator==(const MemberUpdate& a, const MemberUpdate& b) {
  return a.state == b.state && a.has_entry == b.has_entry && a.entry == b.entry;
}

/// Identifies one entry and its revision.
struct MemberKey {
  MemberId address;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
};

inline bool operator==(const MemberKey& a, const MemberKey& b) {
  return a.address == b.address && a.incarnation == b.incarnation && a.sequence == b.sequence;
}

/// The members of a data centre that have at least `version` in force, as a bitmap over its live
/// members in sorted order. `roster` is a hash over the live members and their incarnations; a
/// receiver with a different roster ignores the set.
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

/// Time since any member of the sender's data centre received a message from a data centre.
struct DataCentreAge {
  /// Hash of the data centre's name, see `DataCentreKey`.
  uint32_t data_centre = 0;
  uint32_t age_ms = 0;
};

inline bool operator==(const DataCentreAge& a, const DataCentreAge& b) {
  return a.data_centre == b.data_centre && a.age_ms == b.age_ms;
}

/// Hash that stands for the name of a data centre in messages.
uint32_t DataCentreKey(const std::string& data_centre);

/// One decoded membership message. A field that its kind does not use is left empty.
struct MemberMessage {
  MessageKind kind = MessageKind::kPing;
  std::string mesh;
  MemberId sender;
  uint64_t sender_incarnation = 0;
  std::string sender_data_centre;
  /// The sender's configuration version and its hash (64 hexadecimal digits, or empty without one).
  ConfigVersion version;
  std::string hash;
  /// Time since the latest confirmation of the platform's head by any node, as known to the sender.
  std::optional<std::chrono::milliseconds> head_age;
  std::vector<DataCentreAge> ages;

  /// Sequence number of the probe (kPing, kAck, kPingRequest).
  uint32_t probe = 0;
  /// Probed member (kPingRequest, forwarded kAck), or cursor of the page (kPageRequest, kPage).
  MemberId target;
  bool page_end = false;
  /// Data centre that the digest or the keys belong to (kDigest, kKeys).
  std::string data_centre;
  std::vector<uint64_t> buckets;
  uint32_t bucket_mask = 0;
  std::vector<MemberKey> keys;
  std::vector<MemberUpdate> updates;
  std::vector<VersionSet> version_sets;
};

bool operator==(const MemberMessage& a, const MemberMessage& b);

/// Encodes `message`. Errors: `kInvalidInput` if a field is invalid or the result is larger than
/// `kMaxMemberMessageBytes`; `text`, if given, receives the reason.
std::string EncodeMemberMessage(const MemberMessage& message, std::error_code* ec,
                                std::string* text = nullptr);

/// Decodes and validates untrusted bytes. Errors: `kInvalidInput`, with the reason in `text`. Never
/// throws. Thread safety: safe from any thread.
std::optional<MemberMessage> DecodeMemberMessage(std::string_view bytes, std::error_code* ec,
                                                 std::string* text = nullptr);

/// Upper bounds of the encoded size of the parts of a message, in bytes. Their sum is an upper
/// bound of the size of the message.
size_t EstimateHeaderBytes(const MemberMessage& message);
size_t EstimateUpdateBytes(const MemberUpdate& update);
size_t EstimateVersionSetBytes(const VersionSet& set);
size_t EstimateKeyBytes();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMBER_MESSAGE_H_
