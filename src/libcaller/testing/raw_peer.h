#ifndef CAMPHORHOIST_LIBCALLER_TESTING_RAW_PEER_H_
#define CAMPHORHOIST_LIBCALLER_TESTING_RAW_PEER_H_

// Client and server for tests that control every byte on a connection.

#include <arpa/inet.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Runs the loop until `done` returns true. Returns false after 10 s, far more than any test needs.
inline bool PumpUntil(event_base* base, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    event_base_loop(base, EVLOOP_NONBLOCK);
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
  return true;
}

/// Runs the loop until `value` has not changed for 200 ms.
inline void PumpUntilStable(event_base* base, const std::function<size_t()>& value) {
  size_t last = value();
  auto since = std::chrono::steady_clock::now();
  PumpUntil(base, [&] {
    const auto now = std::chrono::steady_clock::now();
    if (value() != last) since = now;
    last = value();
    return now - since > std::chrono::milliseconds(200);
  });
}

/// A client connection.
class RawClient {
 public:
  explicit RawClient(const NetAddress& server) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server.port());
    inet_pton(AF_INET, server.ip().c_str(), &name.sin_addr);
    connected_ = connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  /// Precondition: `text` fits into the socket's send buffer.
  void Send(const std::string& text) { send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  /// Sends `text` of any size; stops if the connection is lost.
  void SendAll(event_base* base, const std::string& text) {
    size_t sent = 0;
    PumpUntil(base, [&] {
      const ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) return true;
      sent += n > 0 ? static_cast<size_t>(n) : 0;
      return sent == text.size();
    });
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  /// Reads at most `limit` bytes that have arrived, and returns all data received so far.
  const std::string& Read(size_t limit = SIZE_MAX) {
    char buf[4096];
    while (limit > 0) {
      const ssize_t n = recv(fd_, buf, std::min(sizeof(buf), limit), 0);
      if (n == 0) eof_ = true;
      if (n < 0 && errno == ECONNRESET) reset_ = true;
      if (n <= 0) break;
      received_.append(buf, static_cast<size_t>(n));
      limit -= static_cast<size_t>(n);
    }
    return received_;
  }
  bool Contains(const std::string& text) { return Read().find(text) != std::string::npos; }
  bool closed() {
    Read();
    return eof_ || reset_;
  }
  bool reset() const { return reset_; }

 private:
  int fd_;
  bool connected_ = false;
  bool eof_ = false;
  bool reset_ = false;
  std::string received_;
};

/// A server whose responses are written by the test.
class RawServer {
 public:
  struct Connection {
    BuffereventPtr bufev;
    std::string received;
    bool closed = false;

    void Write(const std::string& text) {
      if (bufev) bufferevent_write(bufev.get(), text.data(), text.size());
    }
    void Close() { bufev.reset(); }
    size_t unsent() const { return evbuffer_get_length(bufferevent_get_output(bufev.get())); }
  };

  /// `on_request` runs with the number of the connection when the head of a request has arrived.
  RawServer(event_base* base, std::function<void(size_t)> on_request)
      : base_(base), on_request_(std::move(on_request)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(base, &RawServer::OnAccept, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                        reinterpret_cast<sockaddr*>(&name), sizeof(name));
    socklen_t size = sizeof(name);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
    address_ = NetAddress("127.0.0.1", ntohs(name.sin_port));
  }
  ~RawServer() { evconnlistener_free(listener_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const NetAddress& address() const { return address_; }
  Connection& at(size_t number) { return *connections_.at(number); }
  size_t size() const { return connections_.size(); }
  size_t requests() const { return requests_; }
  /// Data received on all connections.
  std::string AllReceived() const {
    std::string all;
    for (const auto& it : connections_) all += it->received;
    return all;
  }

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    auto connection = std::make_unique<Connection>();
    connection->bufev.reset(bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(connection->bufev.get(), &RawServer::OnRead, nullptr, &RawServer::OnEvent,
                      self);
    bufferevent_enable(connection->bufev.get(), EV_READ | EV_WRITE);
    self->connections_.push_back(std::move(connection));
  }
  size_t Find(const bufferevent* bufev) const {
    size_t n = 0;
    while (connections_[n]->bufev.get() != bufev) ++n;
    return n;
  }
  static void OnRead(bufferevent* bufev, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    const size_t number = self->Find(bufev);
    evbuffer* in = bufferevent_get_input(bufev);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, text.data(), text.size());
    self->connections_[number]->received += text;
    if (text.find("\r\n\r\n") == std::string::npos) return;
    ++self->requests_;
    self->on_request_(number);
  }
  static void OnEvent(bufferevent* bufev, short,  // NOLINT(google-runtime-int): libevent
                      void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    self->connections_[self->Find(bufev)]->closed = true;
  }

  event_base* base_;
  std::function<void(size_t)> on_request_;
  evconnlistener* listener_ = nullptr;
  NetAddress address_;
  size_t requests_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_TESTING_RAW_PEER_H_
