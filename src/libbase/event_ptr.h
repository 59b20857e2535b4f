#ifndef CAMPHORHOIST_LIBBASE_EVENT_PTR_H_
#define CAMPHORHOIST_LIBBASE_EVENT_PTR_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace camphorhoist {

/// Deleter for libevent objects, used by the owning pointers below.
struct EventDeleter {
  void operator()(event_base* p) const { event_base_free(p); }
  void operator()(event* p) const { event_free(p); }
  void operator()(evhttp* p) const { evhttp_free(p); }
  void operator()(evhttp_connection* p) const { evhttp_connection_free(p); }
  void operator()(evbuffer* p) const { evbuffer_free(p); }
  void operator()(bufferevent* p) const { bufferevent_free(p); }
};
using EventBasePtr = std::unique_ptr<event_base, EventDeleter>;
using EventPtr = std::unique_ptr<event, EventDeleter>;
using EvhttpPtr = std::unique_ptr<evhttp, EventDeleter>;
using EvhttpConnectionPtr = std::unique_ptr<evhttp_connection, EventDeleter>;
using EvbufferPtr = std::unique_ptr<evbuffer, EventDeleter>;
using BuffereventPtr = std::unique_ptr<bufferevent, EventDeleter>;

/// Closes the socket of a connected bufferevent, which must not be used afterwards except to free
/// it. `bufferevent_free` closes the socket only in a later step of the event loop. Connections
/// that are accepted before that would exceed the descriptor limit.
inline void CloseSocket(bufferevent* bufev) {
  const evutil_socket_t fd = bufferevent_getfd(bufev);
  if (fd < 0) return;
  bufferevent_setfd(bufev, -1);
  evutil_closesocket(fd);
}

inline timeval ToTimeval(std::chrono::microseconds duration) {
  timeval tv;
  tv.tv_sec = static_cast<time_t>(duration.count() / 1000000);
  tv.tv_usec = static_cast<suseconds_t>(duration.count() % 1000000);
  return tv;
}

/// A timer on an event base. The handler runs on the thread of the event loop. Destroying the timer
/// cancels it; the handler may destroy its own timer.
class Timer {
 public:
  /// Precondition: `base` outlives the timer.
  Timer(event_base* base, std::function<void()> handler)
      : handler_(std::move(handler)), event_(event_new(base, -1, EV_PERSIST, &Timer::Fire, this)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Fires once after `delay`, or immediately if `delay` is negative. Replaces an earlier schedule.
  void StartOnce(std::chrono::microseconds delay) {
    once_ = true;
    Add(delay);
  }
  /// Fires every `period` until stopped. Replaces an earlier schedule.
  void StartPeriodic(std::chrono::microseconds period) {
    once_ = false;
    Add(period);
  }
  void Stop() { event_del(event_.get()); }
  bool pending() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

 private:
  static void Fire(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
    auto* self = static_cast<Timer*>(arg);
    if (self->once_) event_del(self->event_.get());
    const std::function<void()> handler = self->handler_;  // the handler may destroy the timer
    handler();
  }
  void Add(std::chrono::microseconds delay) {
    // libevent aborts the process on a negative timeout.
    const timeval tv = ToTimeval(std::max(delay, std::chrono::microseconds(0)));
    event_del(event_.get());
    event_add(event_.get(), &tv);
  }

  std::function<void()> handler_;
  bool once_ = true;
  EventPtr event_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_EVENT_PTR_H_
