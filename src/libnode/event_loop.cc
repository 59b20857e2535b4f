#include "libnode/event_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <kj/debug.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "libbase/precise_event_base.h"

namespace camphorhoist {

namespace {

constexpr int kListenBacklog = 1024;

}  // namespace

bool LibeventPort::wait() {
  event_base_loop(base_, EVLOOP_ONCE);
  return false;
}

bool LibeventPort::poll() {
  event_base_loop(base_, EVLOOP_NONBLOCK);
  return false;
}

EventLoop::EventLoop()
    : base_(NewPreciseEventBase()), port_(base_.get()), loop_(port_), wait_scope_(loop_) {
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() noexcept {
  // KJ requires an empty queue, and closing RPC connections queues events.
  wait_scope_.poll();
}

void EventLoop::Run() {
  auto paf = kj::newPromiseAndFulfiller<void>();
  stop_ = kj::mv(paf.fulfiller);
  paf.promise.wait(wait_scope_);
}

void EventLoop::Stop() {
  if (stop_.get() != nullptr) stop_->fulfill();
}

/// Waits for a single event on a socket.
class SocketStream::EventWaiter {
 public:
  EventWaiter(event_base* base, int fd, short what)  // NOLINT(google-runtime-int): libevent
      : event_(event_new(base, fd, what, &EventWaiter::OnEvent, this)) {}

  kj::Promise<void> Wait() {
    auto paf = kj::newPromiseAndFulfiller<void>();
    fulfiller_ = kj::mv(paf.fulfiller);
    event_add(event_.get(), nullptr);
    return kj::mv(paf.promise);
  }

 private:
  static void OnEvent(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
    auto* self = static_cast<EventWaiter*>(arg);
    if (self->fulfiller_.get() != nullptr) self->fulfiller_->fulfill();
  }

  kj::Own<kj::PromiseFulfiller<void>> fulfiller_;
  EventPtr event_;
};

SocketStream::SocketStream(EventLoop* loop, int fd)
    : fd_(fd),
      traffic_(&loop->traffic()),
      readable_(std::make_unique<EventWaiter>(loop->base(), fd, EV_READ)),
      writable_(std::make_unique<EventWaiter>(loop->base(), fd, EV_WRITE)) {
  const int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

SocketStream::~SocketStream() {
  readable_.reset();
  writable_.reset();
  close(fd_);
}

kj::Promise<size_t> SocketStream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes) {
  return ReadMore(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<size_t> SocketStream::ReadMore(kj::byte* buffer, size_t min_bytes, size_t max_bytes,
                                           size_t done) {
  while (done < min_bytes) {
    const ssize_t n = ::read(fd_, buffer + done, max_bytes - done);
    if (n > 0) {
      traffic_->bytes_received += static_cast<uint64_t>(n);
      done += static_cast<size_t>(n);
    } else if (n == 0) {
      return done;
    } else if (errno == EAGAIN) {
      return readable_->Wait().then([this, buffer, min_bytes, max_bytes, done] {
        return ReadMore(buffer, min_bytes, max_bytes, done);
      });
    } else if (errno != EINTR) {
      return KJ_EXCEPTION(DISCONNECTED, "read failed", strerror(errno));
    }
  }
  return done;
}

kj::Promise<void> SocketStream::write(const void* buffer, size_t size) {
  return WriteMore(kj::heapArray(static_cast<const kj::byte*>(buffer), size), 0);
}

kj::Promise<void> SocketStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  size_t size = 0;
  for (const auto& it : pieces) size += it.size();
  auto data = kj::heapArray<kj::byte>(size);
  size_t offset = 0;
  for (const auto& it : pieces) {
    memcpy(data.begin() + offset, it.begin(), it.size());
    offset += it.size();
  }
  return WriteMore(kj::mv(data), 0);
}

kj::Promise<void> SocketStream::WriteMore(kj::Array<kj::byte> data, size_t done) {
  while (done < data.size()) {
    const ssize_t n = send(fd_, data.begin() + done, data.size() - done, MSG_NOSIGNAL);
    if (n > 0) {
      traffic_->bytes_sent += static_cast<uint64_t>(n);
      done += static_cast<size_t>(n);
    } else if (n < 0 && errno == EAGAIN) {
      return writable_->Wait().then(
          [this, data = kj::mv(data), done]() mutable { return WriteMore(kj::mv(data), done); });
    } else if (n == 0 || errno != EINTR) {
      // A write of zero bytes counts as a lost connection, since retrying it would busy-loop.
      return KJ_EXCEPTION(DISCONNECTED, "write failed", n == 0 ? "no progress" : strerror(errno));
    }
  }
  return kj::READY_NOW;
}

kj::Promise<void> SocketStream::whenWriteDisconnected() { return kj::NEVER_DONE; }

void SocketStream::shutdownWrite() { shutdown(fd_, SHUT_WR); }

void SocketStream::abortRead() { shutdown(fd_, SHUT_RD); }

namespace {

/// Owns a socket while it is connecting.
class PendingSocket {
 public:
  explicit PendingSocket(int fd) : fd_(fd) {}
  ~PendingSocket() {
    if (fd_ >= 0) close(fd_);
  }
  KJ_DISALLOW_COPY(PendingSocket);

  int get() const { return fd_; }
  int Release() { return std::exchange(fd_, -1); }

  kj::Promise<void> WaitWritable(event_base* base) {
    auto paf = kj::newPromiseAndFulfiller<void>();
    fulfiller_ = kj::mv(paf.fulfiller);
    event_.reset(event_new(
        base, fd_, EV_WRITE,
        [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
          static_cast<PendingSocket*>(arg)->fulfiller_->fulfill();
        },
        this));
    event_add(event_.get(), nullptr);
    return kj::mv(paf.promise);
  }

 private:
  int fd_;
  kj::Own<kj::PromiseFulfiller<void>> fulfiller_;
  EventPtr event_;
};

}  // namespace

kj::Promise<kj::Own<SocketStream>> ConnectSocket(EventLoop* loop, const NetAddress& address) {
  auto pending = kj::heap<PendingSocket>(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
  const sockaddr_in name = ToSockaddr(address);
  if (connect(pending->get(), reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 &&
      errno != EINPROGRESS) {
    return KJ_EXCEPTION(DISCONNECTED, "connect failed", strerror(errno));
  }
  auto writable = pending->WaitWritable(loop->base());
  return writable.then(
      [loop, pending = kj::mv(pending)]() mutable -> kj::Promise<kj::Own<SocketStream>> {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(pending->get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return KJ_EXCEPTION(DISCONNECTED, "connect failed", strerror(error));
        return kj::heap<SocketStream>(loop, pending->Release());
      });
}

int ListenSocket(const NetAddress& address, std::error_code* ec) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in name = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    *ec = std::error_code(errno, std::system_category());
    close(fd);
    return -1;
  }
  ec->clear();
  return fd;
}

NetAddress BoundAddress(int fd) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  char buf[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &name.sin_addr, buf, sizeof(buf));
  return NetAddress(buf, ntohs(name.sin_port));
}

}  // namespace camphorhoist
