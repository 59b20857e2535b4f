#ifndef CAMPHORHOIST_LIBNODE_EVENT_LOOP_H_
#define CAMPHORHOIST_LIBNODE_EVENT_LOOP_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/socket_address.h"

namespace camphorhoist {

/// Runs KJ's event loop on top of libevent, so that evhttp and Cap'n Proto RPC share one thread.
class LibeventPort final : public kj::EventPort {
 public:
  explicit LibeventPort(event_base* base) : base_(base) {}

  bool wait() override;
  bool poll() override;

 private:
  event_base* base_;
};

/// Byte counts of all node connections of a process, accepted and opened.
struct StreamTraffic {
  uint64_t bytes_received = 0;
  uint64_t bytes_sent = 0;
};

/// Event loop of a process that uses Cap'n Proto RPC.
///
/// Thread safety: none; create, run and destroy on one thread. Ignores SIGPIPE in the whole
/// process.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop() noexcept;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_.get(); }
  kj::WaitScope& wait_scope() { return wait_scope_; }
  /// Byte counts of all `SocketStream`s of this loop.
  StreamTraffic& traffic() { return traffic_; }

  /// Runs until `Stop`. Does not wait for promises that are still pending.
  void Run();
  /// Makes `Run` return after the current turn. May be called from any handler of the loop.
  void Stop();

 private:
  EventBasePtr base_;
  StreamTraffic traffic_;
  LibeventPort port_;
  kj::EventLoop loop_;
  kj::WaitScope wait_scope_;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
};

/// Non-blocking TCP socket as a KJ stream. Writing after the peer has disconnected fails with a
/// DISCONNECTED exception.
///
/// Thread safety: none; use on the loop's thread.
class SocketStream final : public kj::AsyncIoStream {
 public:
  /// Takes ownership of `fd`, which must be a connected, non-blocking stream socket.
  ///
  /// Precondition: `loop` outlives the stream.
  SocketStream(EventLoop* loop, int fd);
  ~SocketStream();
  KJ_DISALLOW_COPY(SocketStream);

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

 private:
  class EventWaiter;
  kj::Promise<size_t> ReadMore(kj::byte* buffer, size_t min_bytes, size_t max_bytes, size_t done);
  kj::Promise<void> WriteMore(kj::Array<kj::byte> data, size_t done);

  int fd_;
  StreamTraffic* traffic_;
  std::unique_ptr<EventWaiter> readable_;
  std::unique_ptr<EventWaiter> writable_;
};

/// Opens a connection. The promise fails with a DISCONNECTED exception if the connection cannot be
/// established. There is no timeout.
kj::Promise<kj::Own<SocketStream>> ConnectSocket(EventLoop* loop, const NetAddress& address);

/// Binds a listening TCP socket, close-on-exec and non-blocking. Returns -1 and sets `ec` on error.
int ListenSocket(const NetAddress& address, std::error_code* ec);

/// Returns the address to which a socket is bound, with the port that the system chose for port 0.
NetAddress BoundAddress(int fd);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_EVENT_LOOP_H_
