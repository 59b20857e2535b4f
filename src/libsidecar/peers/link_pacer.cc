#include "libsidecar/peers/link_pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorhoist {

LinkPacer::LinkPacer(event_base* base, size_t link_bytes_per_second)
    : link_bytes_per_second_(link_bytes_per_second), timer_(base, [this] { SendParts(); }) {}

LinkPacer::MessageId LinkPacer::Send(EvbufferPtr message, Sink sink) {
  const MessageId message_id = next_message_id_++;
  queue_.push_back({message_id, std::move(message), std::move(sink)});
  if (!timer_.pending()) {
    const auto wait = std::max<Clock::duration>(link_free_at_ - Clock::now(), {});
    timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(wait));
  }
  return message_id;
}

void LinkPacer::SendParts() {
  const std::chrono::duration<double> part_time(kPartTime);
  const auto part_bytes = static_cast<size_t>(rate() * part_time.count());
  while (!queue_.empty()) {
    const auto now = Clock::now();
    if (link_free_at_ > now) {
      return timer_.StartOnce(
          std::chrono::duration_cast<std::chrono::microseconds>(link_free_at_ - now));
    }
    Message& message = queue_.front();
    const size_t size = std::min(part_bytes, evbuffer_get_length(message.bytes.get()));
    const EvbufferPtr part(evbuffer_new());
    evbuffer_remove_buffer(message.bytes.get(), part.get(), size);
    // Allows one part time of catch-up, so that a timer that fires late does not lower the rate.
    const std::chrono::duration<double> time(static_cast<double>(size) / rate());
    link_free_at_ = std::max(link_free_at_, now - Clock::duration(kPartTime)) +
                    std::chrono::duration_cast<Clock::duration>(time);
    const bool last = evbuffer_get_length(message.bytes.get()) == 0;
    const Sink sink = message.sink;
    if (last) queue_.pop_front();
    sink(part.get(), last);
  }
}

void LinkPacer::OnShortMessage(size_t bytes) {
  if (!enabled()) return;
  const auto now = Clock::now();
  const auto size = static_cast<double>(bytes + kPacketOverheadBytes);
  short_bytes_ = RecentShortBytes(now) + size;
  short_bytes_at_ = now;
  const std::chrono::duration<double> time(size / rate());
  const auto free_at = std::max(link_free_at_, now - Clock::duration(kPartTime)) +
                       std::chrono::duration_cast<Clock::duration>(time);
  link_free_at_ =
      std::max(link_free_at_, std::min(free_at, now + Clock::duration(kMaxShortBacklog)));
}

double LinkPacer::RecentShortBytes(Clock::time_point now) const {
  const std::chrono::duration<double> passed = now - short_bytes_at_;
  return short_bytes_ * std::exp(-passed / std::chrono::duration<double>(kShortRateTime));
}

double LinkPacer::large_message_rate() const {
  const double short_rate =
      RecentShortBytes(Clock::now()) / std::chrono::duration<double>(kShortRateTime).count();
  return std::max(rate() - short_rate, kMinLargeMessageShare * rate());
}

size_t LinkPacer::backlog() const {
  size_t bytes = 0;
  for (const Message& it : queue_) bytes += evbuffer_get_length(it.bytes.get());
  const std::chrono::duration<double> busy = link_free_at_ - Clock::now();
  if (busy.count() > 0) bytes += static_cast<size_t>(busy.count() * rate());
  return bytes;
}

void LinkPacer::Drop(MessageId message_id) {
  const auto it = std::find_if(queue_.begin(), queue_.end(), [message_id](const Message& m) {
    return m.message_id == message_id;
  });
  if (it != queue_.end()) queue_.erase(it);
}

}  // namespace camphorhoist
