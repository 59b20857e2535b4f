#ifndef CAMPHORHOIST_LIBBASE_MAILBOX_H_
#define CAMPHORHOIST_LIBBASE_MAILBOX_H_

#include <deque>
#include <functional>
#include <utility>

#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Queue of messages to one receiver. Messages are delivered in order by the event loop, never from
/// inside `Post`, so that the receiver cannot call back into the sender during `Post`.
///
/// Thread safety: none; sender and receiver run on the thread of the event loop.
template <typename Message>
class Mailbox {
 public:
  using Handler = std::function<void(Message)>;

  /// Precondition: `base` outlives the mailbox.
  Mailbox(event_base* base, Handler handler)
      : handler_(std::move(handler)), event_(event_new(base, -1, 0, &Mailbox::Deliver, this)) {}
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void Post(Message message) {
    queue_.push_back(std::move(message));
    event_active(event_.get(), EV_TIMEOUT, 0);
  }

  size_t size() const { return queue_.size(); }

 private:
  static void Deliver(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
    auto* self = static_cast<Mailbox*>(arg);
    // Messages posted by the handler are delivered in the next iteration of the event loop.
    std::deque<Message> batch;
    batch.swap(self->queue_);
    for (Message& it : batch) self->handler_(std::move(it));
  }

  Handler handler_;
  std::deque<Message> queue_;
  EventPtr event_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_MAILBOX_H_
