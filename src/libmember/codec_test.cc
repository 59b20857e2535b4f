#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/error.h"
#include "camphorhoist/member_message.h"

namespace camphorhoist {
namespace {

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(RejectsInvalidFields);
  CPPUNIT_TEST(RejectsNamesThatAreNotUtf8);
  CPPUNIT_TEST(RejectsTrailingBytes);
  CPPUNIT_TEST(HandlesCorruptedBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost in encoding, and against a size estimate that is too low:
  // the membership relies on it to keep messages within the size limit.
  void MessagesRoundTrip() {
    std::mt19937_64 rng(1);
    int encoded = 0;
    for (int i = 0; i < 2000; ++i) {
      const MemberMessage message = RandomMessage(&rng);
      size_t estimate = EstimateHeaderBytes(message) + message.keys.size() * EstimateKeyBytes();
      for (const auto& it : message.updates) estimate += EstimateUpdateBytes(it);
      for (const auto& it : message.version_sets) estimate += EstimateVersionSetBytes(it);
      std::error_code ec;
      std::string text;
      const std::string bytes = EncodeMemberMessage(message, &ec, &text);
      CPPUNIT_ASSERT_MESSAGE(text, !ec || estimate > kMaxMemberMessageBytes);
      if (ec) continue;
      ++encoded;
      CPPUNIT_ASSERT(bytes.size() <= estimate);
      const auto decoded = DecodeMemberMessage(bytes, &ec, &text);
      CPPUNIT_ASSERT_MESSAGE(text, decoded.has_value());
      CPPUNIT_ASSERT(*decoded == message);
    }
    CPPUNIT_ASSERT(encoded > 1000);
  }

  // Guards against an invalid field that reaches other members.
  void RejectsInvalidFields() {
    struct Case {
      const char* reason;
      std::function<void(MemberMessage*)> change;
    };
    const uint64_t huge = 1ULL << 62;
    const std::vector<Case> cases = {
        {"mesh", [](MemberMessage* m) { m->mesh = ""; }},
        {"mesh", [](MemberMessage* m) { m->mesh = std::string(129, 'a'); }},
        {"mesh", [](MemberMessage* m) { m->mesh = "two words"; }},
        {"sender", [](MemberMessage* m) { m->sender = MemberId(); }},
        {"incarnation", [](MemberMessage* m) { m->sender_incarnation = 0; }},
        {"incarnation", [=](MemberMessage* m) { m->sender_incarnation = huge; }},
        {"hash", [](MemberMessage* m) { m->hash = "abc"; }},
        {"version", [=](MemberMessage* m) { m->version = ConfigVersion(1, huge); }},
        {"buckets", [](MemberMessage* m) { m->buckets.assign(33, 1); }},
        {"incarnation", [=](MemberMessage* m) { m->updates[0].entry.incarnation = huge; }},
        {"sequence", [=](MemberMessage* m) { m->updates[0].entry.sequence = huge; }},
        {"alive", [](MemberMessage* m) { m->updates[0].has_entry = false; }},
        {"address", [](MemberMessage* m) { m->updates[0].entry.address = MemberId(); }},
        {"centre", [](MemberMessage* m) { m->updates[0].entry.data_centre = ""; }},
        {"schema", [](MemberMessage* m) { m->updates[0].entry.lowest_schema = 9; }},
        {"refusal", [](MemberMessage* m) { m->updates[0].entry.refusal = "a\nb"; }},
        {"refusal", [](MemberMessage* m) { m->updates[0].entry.refusal = std::string(161, 'a'); }},
        {"service", [](MemberMessage* m) { m->updates[0].entry.endpoints[0].service = ""; }},
        {"endpoint",
         [](MemberMessage* m) { m->updates[0].entry.endpoints[0].upstream = NetAddress(); }},
        {"1200", [](MemberMessage* m) { m->updates.assign(60, m->updates[0]); }},
    };
    std::error_code ec;
    std::string text;
    CPPUNIT_ASSERT(!EncodeMemberMessage(ValidMessage(), &ec, &text).empty());
    for (const Case& it : cases) {
      MemberMessage message = ValidMessage();
      it.change(&message);
      CPPUNIT_ASSERT_MESSAGE(it.reason, EncodeMemberMessage(message, &ec, &text).empty());
      CPPUNIT_ASSERT(ec == Errc::kInvalidInput);
      CPPUNIT_ASSERT_MESSAGE(text, text.find(it.reason) != std::string::npos);
    }
  }

  // Guards against names of other nodes that the dump cannot encode as JSON, which would end the
  // process.
  void RejectsNamesThatAreNotUtf8() {
    const std::string name = "abcdefgh";
    const std::vector<std::function<void(MemberMessage*)>> places = {
        [&](MemberMessage* m) { m->mesh = name; },
        [&](MemberMessage* m) { m->sender_data_centre = name; },
        [&](MemberMessage* m) { m->updates[0].entry.data_centre = name; },
        [&](MemberMessage* m) { m->updates[0].entry.region = name; },
        [&](MemberMessage* m) { m->updates[0].entry.endpoints[0].service = name; },
    };
    std::error_code ec;
    for (const auto& place : places) {
      MemberMessage message = ValidMessage();
      place(&message);
      std::string bytes = EncodeMemberMessage(message, &ec);
      CPPUNIT_ASSERT(DecodeMemberMessage(bytes, &ec).has_value());
      const size_t at = bytes.find(name);
      CPPUNIT_ASSERT(at != std::string::npos);
      bytes[at + name.size() - 1] = '\xc3';
      CPPUNIT_ASSERT(!DecodeMemberMessage(bytes, &ec));
      CPPUNIT_ASSERT(ec == Errc::kInvalidInput);
    }
  }

  // Guards against a datagram whose trailing bytes are ignored, as with two concatenated messages
  // or a wrong length.
  void RejectsTrailingBytes() {
    std::error_code ec;
    std::string text;
    const std::string bytes = EncodeMemberMessage(ValidMessage(), &ec);
    CPPUNIT_ASSERT(DecodeMemberMessage(bytes, &ec).has_value());
    for (const std::string& tail : {std::string(1, '\0'), std::string(2, '\0'), std::string("x"),
                                    std::string(8, '\xff'), bytes}) {
      CPPUNIT_ASSERT(!DecodeMemberMessage(bytes + tail, &ec, &text));
      CPPUNIT_ASSERT(ec == Errc::kInvalidInput);
      CPPUNIT_ASSERT_EQUAL(std::string("bytes after the end of the message"), text);
    }
  }

  // Guards against crashes, exceptions and accepted invalid messages on corrupted bytes.
  void HandlesCorruptedBytes() {
    constexpr int kRounds = 40000;
    std::mt19937_64 rng(2);
    std::error_code ec;
    int refused = 0;
    for (int i = 0; i < kRounds; ++i) {
      std::string bytes = EncodeMemberMessage(RandomMessage(&rng), &ec);
      Corrupt(&rng, i % 5, &bytes);
      std::string text;
      const auto message = DecodeMemberMessage(bytes, &ec, &text);
      CPPUNIT_ASSERT_EQUAL(message.has_value(), !ec);
      if (!message) {
        ++refused;
        CPPUNIT_ASSERT(ec == Errc::kInvalidInput);
        CPPUNIT_ASSERT(!text.empty());
        continue;
      }
      // An accepted message respects all limits, so it can be encoded and forwarded.
      const std::string again = EncodeMemberMessage(*message, &ec, &text);
      CPPUNIT_ASSERT_MESSAGE(text, !ec || text.find("1200") != std::string::npos);
    }
    CPPUNIT_ASSERT(refused > kRounds / 4);
  }

 private:
  static MemberMessage ValidMessage() {
    MemberMessage message;
    message.mesh = "mesh";
    message.sender = MemberId("10.0.0.1", 7000);
    message.sender_incarnation = 5;
    message.sender_data_centre = "dc1";
    message.version = ConfigVersion(1, 2);
    message.hash = std::string(64, 'b');
    MemberUpdate update;
    update.has_entry = true;
    update.entry.address = MemberId("10.0.0.2", 7000);
    update.entry.data_centre = "dc1";
    update.entry.incarnation = 3;
    update.entry.endpoints = {{"svc", NetAddress("10.0.0.2", 8000), 6, EndpointState::kServing}};
    message.updates.push_back(update);
    return message;
  }

  static uint64_t Number(std::mt19937_64* rng) { return ((*rng)() >> 2) >> ((*rng)() % 62); }
  static NetAddress Address(std::mt19937_64* rng) {
    std::string ip = std::to_string(1 + (*rng)() % 255);
    for (int i = 0; i < 3; ++i) ip += '.' + std::to_string((*rng)() % 256);
    return NetAddress(ip, static_cast<uint16_t>((*rng)()));
  }
  static std::string Name(std::mt19937_64* rng) {
    return std::string(1 + (*rng)() % 20, static_cast<char>('a' + (*rng)() % 26));
  }
  static ConfigVersion Version(std::mt19937_64* rng) {
    const uint64_t epoch = Number(rng);
    return ConfigVersion(epoch, Number(rng));
  }

  static MemberUpdate RandomUpdate(std::mt19937_64* rng) {
    MemberUpdate update;
    update.state = static_cast<MemberState>((*rng)() % 4);
    update.has_entry = update.state == MemberState::kAlive || (*rng)() % 2 == 0;
    MemberEntry& entry = update.entry;
    entry.address = Address(rng);
    entry.incarnation = 1 + Number(rng) / 2;
    entry.sequence = Number(rng);
    if (!update.has_entry) return update;
    entry.data_centre = Name(rng);
    entry.region = (*rng)() % 2 == 0 ? "" : Name(rng);
    entry.version = Version(rng);
    entry.refusal = std::string((*rng)() % (kMaxRefusalBytes / 4), 'x');
    entry.lowest_schema = static_cast<uint32_t>((*rng)() % 3);
    entry.highest_schema = entry.lowest_schema + static_cast<uint32_t>((*rng)());
    if (entry.highest_schema < entry.lowest_schema) entry.highest_schema = entry.lowest_schema;
    entry.draining = (*rng)() % 2 == 0;
    for (size_t n = (*rng)() % 4; n > 0; --n) {
      entry.endpoints.push_back({Name(rng), Address(rng), static_cast<uint32_t>((*rng)()),
                                 static_cast<EndpointState>((*rng)() % 4)});
    }
    return update;
  }

  static MemberMessage RandomMessage(std::mt19937_64* rng) {
    MemberMessage message = ValidMessage();
    message.updates.clear();
    message.kind = static_cast<MessageKind>((*rng)() % kMessageKinds);
    message.sender = Address(rng);
    message.sender_incarnation = 1 + Number(rng) / 2;
    message.version = Version(rng);
    if ((*rng)() % 3 == 0) message.hash.clear();
    if ((*rng)() % 2 == 0) message.head_age = std::chrono::milliseconds((*rng)() % 100000);
    message.probe = static_cast<uint32_t>((*rng)());
    if ((*rng)() % 2 == 0) message.target = Address(rng);
    message.page_end = (*rng)() % 2 == 0;
    message.bucket_mask = static_cast<uint32_t>((*rng)());
    if ((*rng)() % 2 == 0) message.data_centre = Name(rng);
    for (size_t n = (*rng)() % 4; n > 0; --n) {
      message.ages.push_back({static_cast<uint32_t>((*rng)()), static_cast<uint32_t>((*rng)())});
    }
    for (size_t n = (*rng)() % 33; n > 0; --n) message.buckets.push_back((*rng)());
    for (size_t n = (*rng)() % 8; n > 0; --n) {
      const NetAddress address = Address(rng);
      const uint64_t incarnation = Number(rng);
      message.keys.push_back({address, incarnation, Number(rng)});
    }
    for (size_t n = (*rng)() % 4; n > 0; --n) message.updates.push_back(RandomUpdate(rng));
    for (size_t n = (*rng)() % 3; n > 0; --n) {
      const ConfigVersion version = Version(rng);
      message.version_sets.push_back(
          {Name(rng), version, (*rng)(), std::string((*rng)() % 60, static_cast<char>((*rng)()))});
    }
    return message;
  }

  static void Corrupt(std::mt19937_64* rng, int kind, std::string* bytes) {
    const size_t size = std::max<size_t>(bytes->size(), 1);
    switch (kind) {
      case 0:
        bytes->resize((*rng)() % size);
        break;
      case 1:
        bytes->append(1 + (*rng)() % 8, static_cast<char>((*rng)()));
        break;
      case 2:
        bytes->assign((*rng)() % 1300, '\0');
        for (char& c : *bytes) c = static_cast<char>((*rng)());
        break;
      default:
        for (size_t n = 1 + (*rng)() % 8; n > 0 && !bytes->empty(); --n) {
          (*bytes)[(*rng)() % bytes->size()] = static_cast<char>((*rng)());
        }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace camphorhoist
