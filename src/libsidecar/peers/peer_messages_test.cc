#include "libsidecar/peers/peer_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "libbase/event_ptr.h"

namespace camphorhoist {
namespace {

CallOffer NewOffer() {
  CallOffer offer;
  offer.id = CallId(7, 1234567890123);
  offer.service = "catalog";
  offer.instance = "i-7f3a91c2";
  offer.request_id = "o6787x000000";
  offer.method = "GET";
  offer.target = "/items/123456";
  offer.headers = {{"Host", "h.example"}, {"X-Request-Id", "o6787x000000"}, {"Accept", "*/*"}};
  offer.body = "body";
  offer.time_left = std::chrono::seconds(2);
  return offer;
}

size_t FrameSize(const PeerMessage& message, FrameEncoding encoding) {
  const EvbufferPtr buf(evbuffer_new());
  AppendFrame(message, buf.get(), encoding);
  return evbuffer_get_length(buf.get());
}

class PeerMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessagesTest);
  CPPUNIT_TEST(PackedFramesKeepTheirContent);
  CPPUNIT_TEST(PackedFramesAreSmaller);
  CPPUNIT_TEST(LargeMessagesAreNotPacked);
  CPPUNIT_TEST(PackedFrameThatExpandsBeyondTheLimitIsMalformed);
  CPPUNIT_TEST(OnlyTrafficBetweenDataCentresIsPacked);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost or mixed up where both encodings share a connection.
  void PackedFramesKeepTheirContent() {
    const EvbufferPtr buf(evbuffer_new());
    const CallOffer offer = NewOffer();
    for (const auto encoding :
         {FrameEncoding::kPacked, FrameEncoding::kPlain, FrameEncoding::kPacked}) {
      AppendFrame(offer, buf.get(), encoding);
    }
    for (int i = 0; i < 3; ++i) {
      PeerMessage message;
      CPPUNIT_ASSERT(ExtractFrame(buf.get(), &message) == FrameStatus::kMessage);
      const CallOffer& received = std::get<CallOffer>(message);
      CPPUNIT_ASSERT(received.id == offer.id);
      CPPUNIT_ASSERT_EQUAL(offer.target, received.target);
      CPPUNIT_ASSERT(received.headers == offer.headers);
      CPPUNIT_ASSERT_EQUAL(offer.body, received.body);
      CPPUNIT_ASSERT(received.time_left == offer.time_left);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, evbuffer_get_length(buf.get()));
  }

  // Guards against an encoding that saves nothing on the messages of most calls.
  void PackedFramesAreSmaller() {
    for (const PeerMessage& message : {PeerMessage(NewOffer()), PeerMessage(CallResult())}) {
      const size_t plain = FrameSize(message, FrameEncoding::kPlain);
      CPPUNIT_ASSERT(FrameSize(message, FrameEncoding::kPacked) < plain * 3 / 4);
    }
  }

  // Guards against messages that their receiver rejects because of its limit.
  void LargeMessagesAreNotPacked() {
    CallOffer offer = NewOffer();
    for (const size_t size : {kMaxUnpackedBytes / 2 - 4096, kMaxUnpackedBytes}) {
      offer.headers = {{"X-Large", std::string(size, 'x')}};
      const EvbufferPtr buf(evbuffer_new());
      AppendFrame(offer, buf.get(), FrameEncoding::kPacked);
      PeerMessage message;
      CPPUNIT_ASSERT(ExtractFrame(buf.get(), &message) == FrameStatus::kMessage);
      CPPUNIT_ASSERT_EQUAL(size, std::get<CallOffer>(message).headers[0].second.size());
    }
  }

  // Guards against a few bytes that make the process allocate much memory.
  void PackedFrameThatExpandsBeyondTheLimitIsMalformed() {
    // A segment table that announces one segment of 16 Mi words, followed by runs of zero words.
    std::string packed("\x80\x01", 2);
    for (int i = 0; i < 1000; ++i) packed += std::string("\x00\xff", 2);
    const EvbufferPtr buf(evbuffer_new());
    std::string header(8, '\0');
    header[0] = static_cast<char>(packed.size() & 0xff);
    header[1] = static_cast<char>(packed.size() >> 8);
    header[3] = static_cast<char>(0x80);
    evbuffer_add(buf.get(), header.data(), header.size());
    evbuffer_add(buf.get(), packed.data(), packed.size());
    PeerMessage message;
    CPPUNIT_ASSERT(ExtractFrame(buf.get(), &message) == FrameStatus::kMalformed);
  }

  // Guards against packed frames to a sidecar of an earlier version, and against packing where no
  // traffic is billed.
  void OnlyTrafficBetweenDataCentresIsPacked() {
    PeerHello own;
    own.data_centre = "a";
    PeerHello peer = own;
    CPPUNIT_ASSERT(EncodingBetween(own, peer) == FrameEncoding::kPlain);
    peer.data_centre = "b";
    CPPUNIT_ASSERT(EncodingBetween(own, peer) == FrameEncoding::kPacked);
    peer.accepts_packed = false;
    CPPUNIT_ASSERT(EncodingBetween(own, peer) == FrameEncoding::kPlain);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);

}  // namespace
}  // namespace camphorhoist
