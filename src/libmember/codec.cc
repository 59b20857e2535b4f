#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <utility>

#include "camphorhoist/error.h"
#include "camphorhoist/member_message.h"
#include "libmember/member.capnp.h"

namespace camphorhoist {

namespace {

namespace wire = member_wire;

// Limits the memory that a small packed message can expand to: 32 KiB.
constexpr uint64_t kTraversalLimitWords = 4096;
constexpr int kNestingLimit = 8;
constexpr size_t kScratchWords = 512;
constexpr size_t kHashBytes = 32;
constexpr size_t kMaxVersionSetBytes = 512;
constexpr size_t kMaxBuckets = 32;
constexpr size_t kMaxAges = 64;
// Valid counters stay far below this value. Rejecting larger ones keeps an incarnation that is
// raised above a received one from overflowing.
constexpr uint64_t kMaxCounter = 1ULL << 62;

/// Exception thrown within this file for an invalid message.
struct InvalidMessage {
  std::string reason;
};

[[noreturn]] void Fail(std::string reason) { throw InvalidMessage{std::move(reason)}; }

void Require(bool condition, const char* reason) {
  if (!condition) Fail(reason);
}

bool Printable(const std::string& text, char lowest) {
  return std::all_of(text.begin(), text.end(), [lowest](char c) { return c >= lowest && c < 127; });
}

void CheckName(const std::string& text, bool may_be_empty, const char* field) {
  if (text.empty() && may_be_empty) return;
  if (text.empty() || text.size() > kMaxMemberNameBytes || !Printable(text, '!')) {
    Fail(std::string(field) + " is not a name of 1 to 128 printable characters");
  }
}

void CheckCounter(uint64_t value, const char* field) {
  if (value >= kMaxCounter) Fail(std::string(field) + " is out of range");
}

uint32_t IpToWire(const NetAddress& address) {
  uint32_t value = 0;
  uint32_t octet = 0;
  for (char c : address.ip()) {
    if (c == '.') {
      value = value << 8 | octet;
      octet = 0;
    } else {
      octet = octet * 10 + static_cast<uint32_t>(c - '0');
    }
  }
  return value << 8 | octet;
}

NetAddress AddressFromWire(uint32_t ip, uint16_t port) {
  if (ip == 0 && port == 0) return NetAddress();
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(ip >> shift & 255);
    if (shift > 0) text += '.';
  }
  return NetAddress(std::move(text), port);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

std::string HashToWire(const std::string& hash) {
  if (hash.empty()) return {};
  Require(hash.size() == 2 * kHashBytes, "hash is not 64 hexadecimal digits");
  std::string bytes;
  for (size_t i = 0; i < hash.size(); i += 2) {
    const int high = HexDigit(hash[i]);
    const int low = HexDigit(hash[i + 1]);
    Require(high >= 0 && low >= 0, "hash is not 64 hexadecimal digits");
    bytes += static_cast<char>(high << 4 | low);
  }
  return bytes;
}

std::string HashFromWire(capnp::Data::Reader data) {
  Require(data.size() == 0 || data.size() == kHashBytes, "hash is not 32 bytes");
  static const char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned char byte : data) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string Text(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

void SetData(capnp::Data::Builder out, const std::string& bytes) {
  std::copy(bytes.begin(), bytes.end(), out.begin());
}

// The same checks apply to sent and to received updates.
void CheckUpdate(const MemberUpdate& update) {
  const MemberEntry& entry = update.entry;
  Require(!entry.address.empty(), "update without an address");
  Require(update.has_entry || update.state != MemberState::kAlive, "alive claim without an entry");
  Require(entry.incarnation > 0, "update without an incarnation");
  CheckCounter(entry.incarnation, "incarnation");
  CheckCounter(entry.sequence, "sequence");
  CheckCounter(entry.version.epoch(), "epoch");
  CheckCounter(entry.version.number(), "version number");
  if (!update.has_entry) return;
  CheckName(entry.data_centre, false, "data centre");
  CheckName(entry.region, true, "region");
  Require(entry.refusal.size() <= kMaxRefusalBytes, "refusal text is too long");
  Require(Printable(entry.refusal, ' '), "refusal text has unprintable characters");
  Require(entry.lowest_schema <= entry.highest_schema, "schema range is empty");
  Require(entry.endpoints.size() <= kMaxEndpointsPerMember, "too many endpoints");
  for (const EndpointInfo& it : entry.endpoints) {
    CheckName(it.service, false, "service");
    Require(!it.upstream.empty(), "endpoint without an address");
  }
}

void CheckMessage(const MemberMessage& message) {
  CheckName(message.mesh, false, "mesh");
  CheckName(message.sender_data_centre, false, "sender's data centre");
  CheckName(message.data_centre, true, "data centre");
  Require(!message.sender.empty(), "message without a sender");
  Require(message.sender_incarnation > 0, "sender without an incarnation");
  CheckCounter(message.sender_incarnation, "sender's incarnation");
  CheckCounter(message.version.epoch(), "epoch");
  CheckCounter(message.version.number(), "version number");
  Require(message.ages.size() <= kMaxAges, "too many data centre ages");
  Require(message.buckets.size() <= kMaxBuckets, "too many buckets");
  for (const MemberKey& it : message.keys) {
    Require(!it.address.empty(), "key without an address");
    CheckCounter(it.incarnation, "incarnation");
    CheckCounter(it.sequence, "sequence");
  }
  for (const MemberUpdate& it : message.updates) CheckUpdate(it);
  for (const VersionSet& it : message.version_sets) {
    CheckName(it.data_centre, false, "data centre of a version set");
    CheckCounter(it.version.epoch(), "epoch");
    CheckCounter(it.version.number(), "version number");
    Require(it.bits.size() <= kMaxVersionSetBytes, "version set is too large");
  }
}

void Write(const MemberUpdate& update, wire::Update::Builder out) {
  const MemberEntry& entry = update.entry;
  out.setIp(IpToWire(entry.address));
  out.setPort(entry.address.port());
  out.setState(static_cast<uint8_t>(update.state));
  out.setIncarnation(entry.incarnation);
  out.setSequence(entry.sequence);
  if (!update.has_entry) return;
  out.setHasEntry(true);
  out.setDraining(entry.draining);
  out.setEpoch(entry.version.epoch());
  out.setNumber(entry.version.number());
  out.setLowestSchema(entry.lowest_schema);
  out.setHighestSchema(entry.highest_schema);
  out.setDataCentre(entry.data_centre);
  if (!entry.region.empty()) out.setRegion(entry.region);
  if (!entry.refusal.empty()) out.setRefusal(entry.refusal);
  if (entry.endpoints.empty()) return;
  auto list = out.initEndpoints(static_cast<unsigned>(entry.endpoints.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const EndpointInfo& it = entry.endpoints[i];
    list[i].setService(it.service);
    list[i].setIp(IpToWire(it.upstream));
    list[i].setPort(it.upstream.port());
    list[i].setState(static_cast<uint8_t>(it.state));
    list[i].setSlots(it.slots);
  }
}

MemberUpdate Read(wire::Update::Reader in) {
  MemberUpdate update;
  Require(in.getState() <= static_cast<uint8_t>(MemberState::kLeft), "unknown member state");
  update.state = static_cast<MemberState>(in.getState());
  update.has_entry = in.getHasEntry();
  MemberEntry& entry = update.entry;
  entry.address = AddressFromWire(in.getIp(), in.getPort());
  entry.incarnation = in.getIncarnation();
  entry.sequence = in.getSequence();
  if (!update.has_entry) return update;
  entry.draining = in.getDraining();
  entry.version = ConfigVersion(in.getEpoch(), in.getNumber());
  entry.lowest_schema = in.getLowestSchema();
  entry.highest_schema = in.getHighestSchema();
  entry.data_centre = Text(in.getDataCentre());
  entry.region = Text(in.getRegion());
  entry.refusal = Text(in.getRefusal());
  Require(in.getEndpoints().size() <= kMaxEndpointsPerMember, "too many endpoints");
  for (auto it : in.getEndpoints()) {
    Require(it.getState() <= static_cast<uint8_t>(EndpointState::kDown), "unknown endpoint state");
    entry.endpoints.push_back({Text(it.getService()), AddressFromWire(it.getIp(), it.getPort()),
                               it.getSlots(), static_cast<EndpointState>(it.getState())});
  }
  return update;
}

void WriteHeader(const MemberMessage& message, wire::Message::Builder out) {
  out.setKind(static_cast<uint8_t>(message.kind));
  out.setMesh(message.mesh);
  out.setSenderIp(IpToWire(message.sender));
  out.setSenderPort(message.sender.port());
  out.setSenderIncarnation(message.sender_incarnation);
  out.setSenderDataCentre(message.sender_data_centre);
  out.setEpoch(message.version.epoch());
  out.setNumber(message.version.number());
  const std::string hash = HashToWire(message.hash);
  if (!hash.empty()) SetData(out.initHash(static_cast<unsigned>(hash.size())), hash);
  if (message.head_age) {
    out.setHasHeadAge(true);
    const int64_t age = std::clamp<int64_t>(message.head_age->count(), 0, UINT32_MAX);
    out.setHeadAgeMs(static_cast<uint32_t>(age));
  }
  if (message.ages.empty()) return;
  auto ages = out.initAges(static_cast<unsigned>(message.ages.size()));
  for (unsigned i = 0; i < ages.size(); ++i) {
    ages[i].setDataCentre(message.ages[i].data_centre);
    ages[i].setAgeMs(message.ages[i].age_ms);
  }
}

void WriteLists(const MemberMessage& message, wire::Message::Builder out) {
  if (!message.buckets.empty()) {
    auto list = out.initBuckets(static_cast<unsigned>(message.buckets.size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, message.buckets[i]);
  }
  if (!message.keys.empty()) {
    auto list = out.initKeys(static_cast<unsigned>(message.keys.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      list[i].setIp(IpToWire(message.keys[i].address));
      list[i].setPort(message.keys[i].address.port());
      list[i].setIncarnation(message.keys[i].incarnation);
      list[i].setSequence(message.keys[i].sequence);
    }
  }
  if (!message.updates.empty()) {
    auto list = out.initUpdates(static_cast<unsigned>(message.updates.size()));
    for (unsigned i = 0; i < list.size(); ++i) Write(message.updates[i], list[i]);
  }
  if (!message.version_sets.empty()) {
    auto list = out.initVersionSets(static_cast<unsigned>(message.version_sets.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const VersionSet& it = message.version_sets[i];
      list[i].setDataCentre(it.data_centre);
      list[i].setEpoch(it.version.epoch());
      list[i].setNumber(it.version.number());
      list[i].setRoster(it.roster);
      SetData(list[i].initBits(static_cast<unsigned>(it.bits.size())), it.bits);
    }
  }
}

void WriteMessage(const MemberMessage& message, wire::Message::Builder out) {
  WriteHeader(message, out);
  out.setProbe(message.probe);
  if (!message.target.empty()) {
    out.setTargetIp(IpToWire(message.target));
    out.setTargetPort(message.target.port());
  }
  out.setPageEnd(message.page_end);
  out.setBucketMask(message.bucket_mask);
  if (!message.data_centre.empty()) out.setDataCentre(message.data_centre);
  WriteLists(message, out);
}

void ReadHeader(wire::Message::Reader in, MemberMessage* message) {
  Require(in.getKind() < kMessageKinds, "unknown message kind");
  message->kind = static_cast<MessageKind>(in.getKind());
  message->mesh = Text(in.getMesh());
  message->sender = AddressFromWire(in.getSenderIp(), in.getSenderPort());
  message->sender_incarnation = in.getSenderIncarnation();
  message->sender_data_centre = Text(in.getSenderDataCentre());
  message->version = ConfigVersion(in.getEpoch(), in.getNumber());
  message->hash = HashFromWire(in.getHash());
  if (in.getHasHeadAge()) message->head_age = std::chrono::milliseconds(in.getHeadAgeMs());
  for (auto it : in.getAges()) message->ages.push_back({it.getDataCentre(), it.getAgeMs()});
}

MemberMessage ReadMessage(wire::Message::Reader in) {
  MemberMessage message;
  ReadHeader(in, &message);
  message.probe = in.getProbe();
  message.target = AddressFromWire(in.getTargetIp(), in.getTargetPort());
  message.page_end = in.getPageEnd();
  message.bucket_mask = in.getBucketMask();
  message.data_centre = Text(in.getDataCentre());
  for (uint64_t it : in.getBuckets()) message.buckets.push_back(it);
  for (auto it : in.getKeys()) {
    message.keys.push_back(
        {AddressFromWire(it.getIp(), it.getPort()), it.getIncarnation(), it.getSequence()});
  }
  for (auto it : in.getUpdates()) message.updates.push_back(Read(it));
  for (auto it : in.getVersionSets()) {
    const auto bits = it.getBits();
    message.version_sets.push_back({Text(it.getDataCentre()),
                                    ConfigVersion(it.getEpoch(), it.getNumber()), it.getRoster(),
                                    std::string(bits.begin(), bits.end())});
  }
  return message;
}

template <typename Result, typename Function>
Result CatchErrors(std::error_code* ec, std::string* text, Function function) {
  std::string reason;
  *ec = std::error_code();
  try {
    return function();
  } catch (const InvalidMessage& error) {
    reason = error.reason;
  } catch (const kj::Exception& error) {
    reason = std::string("malformed message: ") + error.getDescription().cStr();
  } catch (const std::exception& error) {
    reason = std::string("malformed message: ") + error.what();
  }
  *ec = Errc::kInvalidInput;
  if (text != nullptr) *text = reason;
  return Result();
}

}  // namespace

std::string EncodeMemberMessage(const MemberMessage& message, std::error_code* ec,
                                std::string* text) {
  return CatchErrors<std::string>(ec, text, [&message] {
    CheckMessage(message);
    capnp::word scratch[kScratchWords] = {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, kScratchWords));
    WriteMessage(message, builder.initRoot<wire::Message>());
    kj::VectorOutputStream out(kMaxMemberMessageBytes);
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    Require(bytes.size() <= kMaxMemberMessageBytes, "message is larger than 1200 bytes");
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
  });
}

std::optional<MemberMessage> DecodeMemberMessage(std::string_view bytes, std::error_code* ec,
                                                 std::string* text) {
  return CatchErrors<std::optional<MemberMessage>>(ec, text, [bytes] {
    Require(bytes.size() <= kMaxMemberMessageBytes, "message is larger than 1200 bytes");
    const auto* data = reinterpret_cast<const kj::byte*>(bytes.data());
    kj::ArrayInputStream in(kj::arrayPtr(data, bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    options.nestingLimit = kNestingLimit;
    capnp::PackedMessageReader reader(in, options);
    MemberMessage message = ReadMessage(reader.getRoot<wire::Message>());
    Require(in.tryGetReadBuffer().size() == 0, "bytes after the end of the message");
    CheckMessage(message);
    return std::optional<MemberMessage>(std::move(message));
  });
}

}  // namespace camphorhoist
