#ifndef CAMPHORHOIST_LIBSIDECAR_LINK_PACER_H_
#define CAMPHORHOIST_LIBSIDECAR_LINK_PACER_H_

#include <event2/buffer.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Sends the large messages of a VM over its slow link one after the other, in small parts and
/// below the rate of the link, so that short messages do not wait behind them.
///
/// Answers large responses that queue in the sockets of a slow link: requests of callers and nested
/// calls then missed their deadlines, on the VM of the server and on that of the caller.
///
/// Thread safety: none; use on the thread of the event loop.
class LinkPacer {
 public:
  /// Share of the link that large messages take.
  static constexpr double kBulkShare = 0.9;
  /// Bytes per second from which on a link carries a large message in a few milliseconds and needs
  /// no pacing.
  static constexpr size_t kMaxPacedBytesPerSecond = 40 << 20;
  /// Messages below this size are not worth pacing: a slow link carries them in a few tens of
  /// milliseconds.
  static constexpr size_t kLargeMessageBytes = 16 << 10;
  /// Time that the link needs for one part, which is what a short message waits for at most.
  static constexpr std::chrono::milliseconds kPartTime{10};

  /// Identifies a message.
  using MessageId = uint64_t;
  /// Takes the next part of a message. `last`: no other follows. It may call the pacer.
  using Sink = std::function<void(evbuffer* part, bool last)>;

  /// `link_bytes_per_second`: rate of the VM's link in bytes per second.
  LinkPacer(event_base* base, size_t link_bytes_per_second);
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// Whether the link is slow enough to need pacing; otherwise messages are sent directly.
  bool enabled() const { return link_bytes_per_second_ < kMaxPacedBytesPerSecond; }
  /// Bytes of large messages per second.
  double rate() const { return kBulkShare * static_cast<double>(link_bytes_per_second_); }
  /// Bytes of large messages that wait for the link.
  size_t backlog() const;
  bool empty() const { return queue_.empty(); }

  /// Queues a message. `sink` is never called from inside this function. Tickets are above 0.
  MessageId Send(EvbufferPtr message, Sink sink);
  /// Drops what is left of a message, when no one waits for it any more. Unknown tickets are
  /// ignored.
  void Drop(MessageId message_id);

 private:
  struct Message {
    MessageId message_id = 0;
    EvbufferPtr bytes;
    Sink sink;
  };
  using Clock = std::chrono::steady_clock;

  void SendParts();

  size_t link_bytes_per_second_;
  Timer timer_;
  std::deque<Message> queue_;
  MessageId next_message_id_ = 1;
  /// When the link has sent the last part.
  Clock::time_point link_free_at_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_LINK_PACER_H_
