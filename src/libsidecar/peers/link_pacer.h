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
  /// Share of the link rate that large messages use.
  static constexpr double kBulkShare = 0.9;
  /// Link rate in bytes per second from which a large message takes only a few milliseconds and
  /// needs no pacing.
  static constexpr size_t kMaxPacedBytesPerSecond = 40 << 20;
  /// Smaller messages are not paced: a slow link sends them in a few tens of milliseconds.
  static constexpr size_t kLargeMessageBytes = 16 << 10;
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
  /// Rate of large messages in bytes per second.
  double rate() const { return kBulkShare * static_cast<double>(link_bytes_per_second_); }
  /// Bytes of large messages that are queued for the link.
  size_t backlog() const;
  bool empty() const { return queue_.empty(); }

  /// Queues a message. `sink` is never called from within this function. The returned ids are
  /// greater than 0.
  MessageId Send(EvbufferPtr message, Sink sink);
  /// Discards the rest of a message that is no longer needed. Unknown ids are ignored.
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
  /// Time at which the link will have sent all parts that were passed on.
  Clock::time_point link_free_at_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_LINK_PACER_H_
