#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_LINK_PACER_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_LINK_PACER_H_

#include <event2/buffer.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Sends the large messages of a VM over its slow link one at a time, in small parts and below the
/// rate of the link, so that short messages do not queue behind them.
///
/// Without pacing, large responses queue in the sockets of a slow link, and requests of callers and
/// nested calls miss their deadlines, on the VM of the server and on that of the caller.
///
/// Thread safety: none; use on the thread of the event loop.
class LinkPacer {
 public:
  /// Share of the link rate that messages use, large ones with what short ones leave. The rest is
  /// for the packet headers of large messages, and for traffic that is not counted.
  static constexpr double kBulkShare = 0.9;
  /// Share of that rate which is assumed to be left to large messages at least.
  static constexpr double kMinLargeMessageShare = 0.25;
  /// Time over which the rate of short messages is averaged.
  static constexpr std::chrono::milliseconds kShortRateTime{1000};
  /// Link rate in bytes per second from which a large message takes only a few milliseconds and
  /// needs no pacing.
  static constexpr size_t kMaxPacedBytesPerSecond = 40 << 20;
  /// Smaller messages are not paced: a slow link sends them in a few tens of milliseconds.
  static constexpr size_t kLargeMessageBytes = 16 << 10;
  /// Ethernet, IP and TCP headers of a short message and of its acknowledgement.
  static constexpr size_t kPacketOverheadBytes = 120;
  /// Short messages occupy the link for at most this long in advance. Otherwise a burst of them
  /// would stop large messages that callers wait for.
  static constexpr std::chrono::milliseconds kMaxShortBacklog{50};
  /// Time that the link needs to send one part, which is the longest that a short message waits.
  static constexpr std::chrono::milliseconds kPartTime{10};

  /// Identifies a message.
  using MessageId = uint64_t;
  /// Receives the next part of a message. `last`: no other part follows. The sink may call the
  /// pacer.
  using Sink = std::function<void(evbuffer* part, bool last)>;

  /// `link_bytes_per_second`: rate of the VM's link.
  LinkPacer(event_base* base, size_t link_bytes_per_second);
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// Whether the link is slow enough to need pacing; otherwise messages are sent directly.
  bool enabled() const { return link_bytes_per_second_ < kMaxPacedBytesPerSecond; }
  /// Rate of paced and short messages together, in bytes per second.
  double rate() const { return kBulkShare * static_cast<double>(link_bytes_per_second_); }
  /// Rate that recent short messages leave to large ones, in bytes per second.
  double large_message_rate() const;
  /// Bytes of large messages that are queued for the link.
  size_t backlog() const;
  bool empty() const { return queue_.empty(); }

  /// Queues a message. `sink` is never called from within this function. The returned ids are
  /// greater than 0.
  MessageId Send(EvbufferPtr message, Sink sink);
  /// Discards the rest of a message that is no longer needed. Unknown ids are ignored.
  void Drop(MessageId message_id);
  /// Called with each message of `bytes` that is sent over the link without pacing. Large messages
  /// use the rest of `rate()`.
  void OnShortMessage(size_t bytes);

 private:
  struct Message {
    MessageId message_id = 0;
    EvbufferPtr bytes;
    Sink sink;
  };
  using Clock = std::chrono::steady_clock;

  void SendParts();
  /// Bytes of short messages in the last `kShortRateTime`, with exponentially decreasing weights.
  double RecentShortBytes(Clock::time_point now) const;

  size_t link_bytes_per_second_;
  Timer timer_;
  std::deque<Message> queue_;
  MessageId next_message_id_ = 1;
  /// Time at which the link will have sent all parts that were passed on.
  Clock::time_point link_free_at_;
  double short_bytes_ = 0;
  Clock::time_point short_bytes_at_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_LINK_PACER_H_
