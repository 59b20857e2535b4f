#include "libsidecar/link_pacer.h"

#include <algorithm>
#include <utility>

namespace camphorhoist {

LinkPacer::LinkPacer(event_base* base, size_t link)
    : link_(link), timer_(base, [this] { SendParts(); }) {}

LinkPacer::Ticket LinkPacer::Send(EvbufferPtr message, Sink sink) {
  const Ticket ticket = next_ticket_++;
  waiting_.push_back({ticket, std::move(message), std::move(sink)});
  if (!timer_.pending()) {
    const auto wait = std::max<Clock::duration>(free_ - Clock::now(), {});
    timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(wait));
  }
  return ticket;
}

void LinkPacer::SendParts() {
  const std::chrono::duration<double> part_time(kPartTime);
  const auto part_bytes = static_cast<size_t>(rate() * part_time.count());
  while (!waiting_.empty()) {
    const auto now = Clock::now();
    if (free_ > now) {
      return timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(free_ - now));
    }
    Message& message = waiting_.front();
    const size_t size = std::min(part_bytes, evbuffer_get_length(message.bytes.get()));
    const EvbufferPtr part(evbuffer_new());
    evbuffer_remove_buffer(message.bytes.get(), part.get(), size);
    // A timer that fired late does not lower the rate.
    const std::chrono::duration<double> time(static_cast<double>(size) / rate());
    free_ = std::max(free_, now - Clock::duration(kPartTime)) +
            std::chrono::duration_cast<Clock::duration>(time);
    const bool last = evbuffer_get_length(message.bytes.get()) == 0;
    const Sink sink = message.sink;
    if (last) waiting_.pop_front();
    sink(part.get(), last);
  }
}

size_t LinkPacer::backlog() const {
  size_t bytes = 0;
  for (const Message& it : waiting_) bytes += evbuffer_get_length(it.bytes.get());
  const std::chrono::duration<double> busy = free_ - Clock::now();
  if (busy.count() > 0) bytes += static_cast<size_t>(busy.count() * rate());
  return bytes;
}

void LinkPacer::Drop(Ticket ticket) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [ticket](const Message& m) { return m.ticket == ticket; });
  if (it != waiting_.end()) waiting_.erase(it);
}

}  // namespace camphorhoist
