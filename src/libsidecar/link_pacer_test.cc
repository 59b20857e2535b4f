#include "libsidecar/link_pacer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

#include "libbase/precise_event_base.h"
#include "libcaller/testing/raw_peer.h"
#include "libsidecar/frame_stream.h"

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
  CPPUNIT_TEST(SendsPartsBelowTheRateOfTheLink);
  CPPUNIT_TEST(OnlyAMessageThatHasNotBegunIsWithdrawn);
  CPPUNIT_TEST(DroppedMessageLeavesTheLinkToTheNext);
  CPPUNIT_TEST(MessagesWaitForTheEndOfAFrameInParts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large message that fills the link, so that a short one waits behind it.
  void SendsPartsBelowTheRateOfTheLink() {
    constexpr size_t kLink = 1 << 20;
    constexpr size_t kSize = 200000;
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), kLink);
    CPPUNIT_ASSERT(pacer.active());
    std::vector<size_t> parts;
    bool whole = false;
    const auto start = steady_clock::now();
    pacer.Send(Bytes(kSize), [&](evbuffer* part, bool last) {
      parts.push_back(evbuffer_get_length(part));
      whole = last;
    });
    CPPUNIT_ASSERT(parts.empty());
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return whole; }));
    size_t sum = 0;
    for (const size_t it : parts) {
      sum += it;
      CPPUNIT_ASSERT(it <= kLink * LinkPacer::kPartTime.count() / 1000);
    }
    CPPUNIT_ASSERT_EQUAL(kSize, sum);
    // All but the last part have to have left, less the part that may make up for a late timer.
    const std::chrono::duration<double> least((kSize - parts.back()) / pacer.rate());
    CPPUNIT_ASSERT(steady_clock::now() - start >= least - LinkPacer::kPartTime);
    CPPUNIT_ASSERT(pacer.empty());
  }

  // Guards against a frame that ends in its middle because its call was cancelled.
  void OnlyAMessageThatHasNotBegunIsWithdrawn() {
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), 1 << 20);
    size_t first = 0;
    size_t second = 0;
    const auto first_ticket = pacer.Send(
        Bytes(100000), [&](evbuffer* part, bool) { first += evbuffer_get_length(part); });
    const auto second_ticket = pacer.Send(
        Bytes(100000), [&](evbuffer* part, bool) { second += evbuffer_get_length(part); });
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return first > 0; }));
    CPPUNIT_ASSERT(!pacer.Withdraw(first_ticket));
    CPPUNIT_ASSERT(pacer.Withdraw(second_ticket));
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return pacer.empty(); }));
    CPPUNIT_ASSERT_EQUAL(size_t{100000}, first);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, second);
  }

  // Guards against a link that stays busy with a message whose connection is gone.
  void DroppedMessageLeavesTheLinkToTheNext() {
    const EventBasePtr base = NewPreciseEventBase();
    LinkPacer pacer(base.get(), 1 << 20);
    bool begun = false;
    bool next = false;
    const auto ticket = pacer.Send(Bytes(10 << 20), [&](evbuffer*, bool) { begun = true; });
    pacer.Send(Bytes(5000), [&](evbuffer*, bool last) { next = last; });
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return begun; }));
    CPPUNIT_ASSERT(pacer.backlog() > (9 << 20));
    pacer.Drop(ticket);
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return next; }));
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1000));
  }

  // Guards against a ping or a result that is written into the middle of a large response, which
  // then reached the caller with wrong bytes.
  void MessagesWaitForTheEndOfAFrameInParts() {
    const EventBasePtr base = NewPreciseEventBase();
    int fds[2];
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds));
    std::vector<PeerMessage> received;
    bool closed = false;
    FrameStream receiver(base.get(), fds[0],
                         {[] {}, [&](PeerMessage message) { received.push_back(message); },
                          [&](const std::string&) { closed = true; }});
    FrameStream sender(base.get(), fds[1], {[] {}, [](PeerMessage) {}, [](const std::string&) {}});
    CallResult result;
    result.status = 200;
    for (int i = 0; i < 50000; ++i) result.body += static_cast<char>(i % 251);
    EvbufferPtr frame(evbuffer_new());
    AppendFrame(result, frame.get());
    const EvbufferPtr part(evbuffer_new());
    evbuffer_remove_buffer(frame.get(), part.get(), 20000);
    sender.SendPart(part.get(), false);
    sender.Send(PeerPing{7});
    sender.Send(PeerPing{8});
    sender.SendPart(frame.get(), true);
    sender.Send(PeerPing{9});
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return received.size() == 4 || closed; }));
    CPPUNIT_ASSERT(!closed);
    CPPUNIT_ASSERT(std::get<CallResult>(received[0]).body == result.body);
    for (uint64_t i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 6, std::get<PeerPing>(received[i]).number);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkPacerTest);

}  // namespace
}  // namespace camphorhoist
