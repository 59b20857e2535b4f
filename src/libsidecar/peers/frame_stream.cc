#include "libsidecar/peers/frame_stream.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "libbase/socket_address.h"
#include "libbase/socket_options.h"
#include "libsidecar/http_text.h"

namespace camphorhoist {

FrameStream::FrameStream(event_base* base, evutil_socket_t fd, Handlers handlers)
    : handlers_(std::move(handlers)),
      bufev_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
      accepted_(true) {
  TuneSocket(fd, kUnackedTimeout);
  bufferevent_set_max_single_read(bufev_.get(), kSocketReadBytes);
  bufferevent_setcb(bufev_.get(), &FrameStream::OnRead, &FrameStream::OnWritten,
                    &FrameStream::OnEvent, this);
  bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
}

FrameStream::FrameStream(event_base* base, const NetAddress& address,
                         std::chrono::milliseconds timeout, Handlers handlers)
    : handlers_(std::move(handlers)),
      bufev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
  bufferevent_setcb(bufev_.get(), &FrameStream::OnRead, nullptr, &FrameStream::OnEvent, this);
  bufferevent_set_max_single_read(bufev_.get(), kSocketReadBytes);
  const timeval tv = ToTimeval(timeout);
  bufferevent_set_timeouts(bufev_.get(), nullptr, &tv);
  sockaddr_in name = ToSockaddr(address);
  bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(bufev_.get(), reinterpret_cast<sockaddr*>(&name), sizeof(name));
}

void FrameStream::Send(PeerMessage message) {
  if (bufev_ == nullptr) return;
  const bool paced = std::holds_alternative<ResultPart>(message);
  const size_t unsent = unsent_bytes();
  AppendFrame(std::move(message), bufferevent_get_output(bufev_.get()), encoding_);
  if (!paced && handlers_.on_sent) handlers_.on_sent(unsent_bytes() - unsent);
}

size_t FrameStream::unsent_bytes() const {
  return bufev_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(bufev_.get()));
}

bool FrameStream::PauseIfUnread() {
  if (paused_) return true;
  if (!accepted_ || unsent_bytes() <= kMaxUnsentBytes) return false;
  paused_ = true;
  bufferevent_disable(bufev_.get(), EV_READ);
  if (handlers_.on_paused) handlers_.on_paused(true);
  return true;
}

void FrameStream::OnWritten(bufferevent* bufev, void* arg) {
  auto* self = static_cast<FrameStream*>(arg);
  if (!self->paused_) return;
  self->paused_ = false;
  if (self->handlers_.on_paused) self->handlers_.on_paused(false);
  if (self->bufev_ == nullptr) return;
  bufferevent_enable(bufev, EV_READ);
  bufferevent_trigger(bufev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void FrameStream::Close() {
  if (bufev_ != nullptr && accepted_) CloseSocket(bufev_.get());
  bufev_.reset();
}

void FrameStream::Fail(const std::string& reason) {
  Close();
  // The handler may schedule the destruction of this object, so it is called last.
  const auto handler = handlers_.on_closed;
  handler(reason);
}

void FrameStream::OnRead(bufferevent* bufev, void* arg) {
  auto* self = static_cast<FrameStream*>(arg);
  self->last_read_ = std::chrono::steady_clock::now();
  evbuffer* input = bufferevent_get_input(bufev);
  while (self->bufev_ != nullptr && !self->PauseIfUnread()) {
    PeerMessage message;
    const FrameStatus status = ExtractFrame(input, &message);
    if (status == FrameStatus::kNeedMore) {
      const bool fits =
          !self->handlers_.on_partial_frame ||
          self->handlers_.on_partial_frame(AnnouncedFrameBytes(input), evbuffer_get_length(input));
      return fits ? void() : self->Fail("no memory");
    }
    if (status == FrameStatus::kMalformed) return self->Fail("malformed frame");
    self->handlers_.on_message(std::move(message));
  }
}

void FrameStream::OnEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                          void* arg) {
  auto* self = static_cast<FrameStream*>(arg);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    bufferevent_set_timeouts(bufev, nullptr, nullptr);
    TuneSocket(bufferevent_getfd(bufev), kUnackedTimeout);
    return self->handlers_.on_connected();
  }
  if ((what & BEV_EVENT_EOF) != 0) return self->Fail("closed by peer");
  if ((what & BEV_EVENT_TIMEOUT) != 0) return self->Fail("connect timed out");
  self->Fail(std::strerror(errno));
}

}  // namespace camphorhoist
