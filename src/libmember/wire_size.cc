// Upper bounds of the packed Cap'n Proto size of the parts of a message. A packed word consists of
// a tag byte and its non-zero bytes, plus one byte if all its bytes are zero or all are non-zero.

#include "camphorhoist/member_message.h"

namespace camphorhoist {

namespace {

// A pointer has at most four non-zero bytes, because offsets and sizes stay below 2^14 words.
constexpr size_t kPointerBytes = 5;
constexpr size_t kFullWordBytes = 10;
// Tag word in front of a list of structs.
constexpr size_t kListTagBytes = 6;
// Segment table and root pointer.
constexpr size_t kFramingBytes = 14;
constexpr size_t kMessagePointers = 9;
constexpr size_t kUpdatePointers = 4;
constexpr size_t kHashBytes = 32;

size_t WordBytes(uint64_t value) {
  size_t n = 2;
  while (value != 0) {
    ++n;
    value >>= 8;
  }
  return n;
}

size_t BlobBytes(size_t size) { return size == 0 ? 0 : size + 2 * ((size + 7) / 8); }
size_t TextBytes(const std::string& text) { return text.empty() ? 0 : BlobBytes(text.size() + 1); }

}  // namespace

size_t EstimateUpdateBytes(const MemberUpdate& update) {
  const MemberEntry& entry = update.entry;
  size_t n = kFullWordBytes + WordBytes(entry.incarnation) + WordBytes(entry.sequence);
  n += WordBytes(entry.version.epoch()) + WordBytes(entry.version.number());
  n += kFullWordBytes + kUpdatePointers * kPointerBytes;
  if (!update.has_entry) return n;
  n += TextBytes(entry.data_centre) + TextBytes(entry.region) + TextBytes(entry.refusal);
  n += kListTagBytes;
  for (const EndpointInfo& it : entry.endpoints) {
    n += kFullWordBytes + WordBytes(it.slots) + kPointerBytes + TextBytes(it.service);
  }
  return n;
}

size_t EstimateVersionSetBytes(const VersionSet& set) {
  return WordBytes(set.version.epoch()) + WordBytes(set.version.number()) + kFullWordBytes +
         2 * kPointerBytes + TextBytes(set.data_centre) + BlobBytes(set.bits.size());
}

size_t EstimateKeyBytes() { return 3 * kFullWordBytes; }

size_t EstimateHeaderBytes(const MemberMessage& message) {
  size_t n = kFramingBytes + 4 * kFullWordBytes + WordBytes(message.sender_incarnation);
  n += WordBytes(message.version.epoch()) + WordBytes(message.version.number());
  n += kMessagePointers * kPointerBytes + 4 * kListTagBytes;
  n += TextBytes(message.mesh) + TextBytes(message.sender_data_centre);
  n += TextBytes(message.data_centre);
  if (!message.hash.empty()) n += BlobBytes(kHashBytes);
  n += message.ages.size() * kFullWordBytes + message.buckets.size() * kFullWordBytes;
  return n;
}

}  // namespace camphorhoist
