#include "libsidecar/peers/link_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libbase/precise_event_base.h"
#include "libcaller/testing/raw_peer.h"
#include "libsidecar/peers/peer_link.h"
#include "libsidecar/peers/peer_listener.h"
#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

EvbufferPtr Bytes(size_t size) {
  EvbufferPtr buf(evbuffer_new());
  const std::string text(size, 'x');
  evbuffer_add(buf.get(), text.data(), text.size());
  return buf;
}

class LinkPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkPacerTest);
  CPPUNIT_TEST(SendsPartsBelowLinkRate);
  CPPUNIT_TEST(ShortMessagesReduceTheRateOfLargeOnes);
  CPPUNIT_TEST(ShortMessagesDoNotStopLargeOnes);
  CPPUNIT_TEST(DroppedMessageDoesNotDelayNext);
  CPPUNIT_TEST(ReassemblesBodyPartsInterleavedWithOtherMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large message that saturates the link, so that a short one queues behind it.
  void SendsPartsBelowLinkRate() {
    constexpr size_t kLinkBytesPerSecond = 1 << 20;
    constexpr size_t kSize = 200000;
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), kLinkBytesPerSecond);
    CPPUNIT_ASSERT(pacer.enabled());
    std::vector<size_t> parts;
    bool complete = false;
    const auto start = steady_clock::now();
    pacer.Send(Bytes(kSize), [&](evbuffer* part, bool last) {
      parts.push_back(evbuffer_get_length(part));
      complete = last;
    });
    CPPUNIT_ASSERT(parts.empty());
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return complete; }));
    size_t sum = 0;
    for (const size_t it : parts) {
      sum += it;
      CPPUNIT_ASSERT(it <= kLinkBytesPerSecond * LinkPacer::kPartTime.count() / 1000);
    }
    CPPUNIT_ASSERT_EQUAL(kSize, sum);
    // The link must have sent all parts but the last, except for one part time that may make up for
    // a late timer.
    const std::chrono::duration<double> least(static_cast<double>(kSize - parts.back()) /
                                              pacer.rate());
    CPPUNIT_ASSERT(steady_clock::now() - start >= least - LinkPacer::kPartTime);
    CPPUNIT_ASSERT(pacer.empty());
  }

  // Guards against a saturated link although large messages are paced: many refusals and other
  // short messages need more than the share that is left to them.
  void ShortMessagesReduceTheRateOfLargeOnes() {
    constexpr size_t kLinkBytesPerSecond = 1 << 20;
    constexpr size_t kSize = 100000;
    constexpr size_t kShortBytes = 2000;
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), kLinkBytesPerSecond);
    size_t sent = 0;
    size_t last_part = 0;
    bool complete = false;
    const auto start = steady_clock::now();
    Timer short_messages(base.get(), [&] {
      if (complete) return;
      pacer.OnShortMessage(kShortBytes);
      sent += kShortBytes;
    });
    short_messages.StartPeriodic(milliseconds(5));
    pacer.Send(Bytes(kSize), [&](evbuffer* part, bool last) {
      last_part = evbuffer_get_length(part);
      sent += last_part;
      complete = last;
    });
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return complete; }));
    const std::chrono::duration<double> least(static_cast<double>(sent - last_part) / pacer.rate());
    CPPUNIT_ASSERT(steady_clock::now() - start >= least - LinkPacer::kPartTime);
  }

  // Guards against large responses that stop, and time out, during a burst of short messages.
  void ShortMessagesDoNotStopLargeOnes() {
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), 1 << 20);
    for (int i = 0; i < 100; ++i) pacer.OnShortMessage(1 << 20);
    bool complete = false;
    const auto start = steady_clock::now();
    pacer.Send(Bytes(5000), [&](evbuffer*, bool last) { complete = last; });
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return complete; }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1000));
  }

  // Guards against a link that stays busy with a message whose connection has been closed.
  void DroppedMessageDoesNotDelayNext() {
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), 1 << 20);
    bool started = false;
    bool next = false;
    const auto message_id = pacer.Send(Bytes(10 << 20), [&](evbuffer*, bool) { started = true; });
    pacer.Send(Bytes(5000), [&](evbuffer*, bool last) { next = last; });
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return started; }));
    CPPUNIT_ASSERT(pacer.backlog() > (9 << 20));
    pacer.Drop(message_id);
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return next; }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1000));
  }

  // Guards against a corrupted body when pings, refusals and other bodies are interleaved with its
  // parts, and against a body that counts as complete although a part is missing.
  void ReassemblesBodyPartsInterleavedWithOtherMessages() {
    const EventBasePtr base = NewPreciseEventBase();
    std::unique_ptr<FrameStream> peer;
    const std::string ip = LoopbackIp(2);
    const NetAddress address(ip, FreePort(ip));
    std::error_code ec;
    const auto accept = [](evconnlistener* listener, evutil_socket_t fd, sockaddr*, int,
                           void* arg) {
      *static_cast<std::unique_ptr<FrameStream>*>(arg) = std::make_unique<FrameStream>(
          evconnlistener_get_base(listener), fd,
          FrameStream::Handlers{[] {}, [](const PeerMessage&) {}, [](const std::string&) {}});
    };
    const ListenerPtr listener = Listen(base.get(), address, accept, &peer, &ec);
    CPPUNIT_ASSERT(listener != nullptr);
    std::vector<CallResult> results;
    bool up = false;
    PeerLink link(
        base.get(), address, milliseconds(600),
        {[] { return PeerHello(); }, [&](const PeerHello&) { up = true; },
         [&](const PeerMessage& message) { results.push_back(std::get<CallResult>(message)); },
         [](bool, const std::string&) {}});
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return peer != nullptr; }));
    peer->Send(PeerHello());
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return up; }));

    const std::string first(30000, 'a');
    const std::string second(20000, 'b');
    const auto head = [](uint64_t number, size_t size) {
      CallResult result;
      result.id = CallId(1, number);
      result.kind = ResultKind::kResponse;
      result.body_bytes_in_parts = size;
      return result;
    };
    peer->Send(head(1, first.size()));
    peer->Send(ResultPart{CallId(1, 1), first.substr(0, 10000), false});
    peer->Send(head(2, second.size()));
    peer->Send(PeerPong{7});
    peer->Send(ResultPart{CallId(1, 2), second.substr(0, 5000), false});
    CallResult refusal = head(3, 0);
    refusal.kind = ResultKind::kNotRun;
    peer->Send(refusal);
    peer->Send(ResultPart{CallId(1, 1), first.substr(10000), true});
    peer->Send(ResultPart{CallId(1, 9), "of a cancelled call", true});
    // The rest of the second body is missing.
    peer->Send(ResultPart{CallId(1, 2), "", true});
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return results.size() == 3; }));
    CPPUNIT_ASSERT(results[0].kind == ResultKind::kNotRun);
    CPPUNIT_ASSERT(results[1].kind == ResultKind::kResponse);
    CPPUNIT_ASSERT(results[1].body == first);
    CPPUNIT_ASSERT(results[2].kind == ResultKind::kUnknown);
    CPPUNIT_ASSERT(results[2].body.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkPacerTest);

}  // namespace
}  // namespace camphorhoist
