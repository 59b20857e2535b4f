#ifndef CAMPHORHOIST_TESTING_TCP_RELAY_H_
#define CAMPHORHOIST_TESTING_TCP_RELAY_H_

#include <event2/listener.h>

#include <map>
#include <memory>
#include <string>

#include "libnode/event_loop.h"

namespace camphorhoist {

/// TCP relay for tests. `FreezeOpenConnections` stops forwarding in both directions on the
/// connections that are open at that moment, until `ResumeOpenConnections`; new ones work.
class TcpRelay {
 public:
  TcpRelay(event_base* base, NetAddress target) : base_(base), target_(std::move(target)) {
    std::error_code ec;
    const int fd = ListenSocket(NetAddress("127.0.0.1", 0), &ec);
    address_ = BoundAddress(fd);
    listener_ = evconnlistener_new(base_, &TcpRelay::OnAccept, this,
                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd);
  }
  ~TcpRelay() { evconnlistener_free(listener_); }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  NetAddress address() const { return address_; }
  size_t connections() const { return connections_.size(); }

  void FreezeOpenConnections() {
    for (const auto& it : connections_) {
      bufferevent_disable(it.second->inbound.get(), EV_READ | EV_WRITE);
      bufferevent_disable(it.second->outbound.get(), EV_READ | EV_WRITE);
    }
  }
  void ResumeOpenConnections() {
    for (const auto& it : connections_) {
      bufferevent_enable(it.second->inbound.get(), EV_READ | EV_WRITE);
      bufferevent_enable(it.second->outbound.get(), EV_READ | EV_WRITE);
    }
  }

 private:
  struct Connection {
    TcpRelay* owner;
    BuffereventPtr inbound;
    BuffereventPtr outbound;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<TcpRelay*>(arg);
    auto connection = std::make_unique<Connection>();
    connection->owner = self;
    connection->inbound.reset(bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE));
    connection->outbound.reset(bufferevent_socket_new(self->base_, -1, BEV_OPT_CLOSE_ON_FREE));
    for (bufferevent* it : {connection->inbound.get(), connection->outbound.get()}) {
      bufferevent_setcb(it, &TcpRelay::OnRead, nullptr, &TcpRelay::OnEvent, connection.get());
      bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    const sockaddr_in name = ToSockaddr(self->target_);
    bufferevent_socket_connect(connection->outbound.get(), reinterpret_cast<const sockaddr*>(&name),
                               static_cast<int>(sizeof(name)));
    Connection* raw = connection.get();
    self->connections_.emplace(raw, std::move(connection));
  }

  static void OnRead(bufferevent* bev, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    bufferevent* other =
        bev == connection->inbound.get() ? connection->outbound.get() : connection->inbound.get();
    bufferevent_write_buffer(other, bufferevent_get_input(bev));
  }

  static void OnEvent(bufferevent*, short what, void* arg) {  // NOLINT(google-runtime-int)
    auto* connection = static_cast<Connection*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      connection->owner->connections_.erase(connection);
    }
  }

  event_base* base_;
  NetAddress target_;
  NetAddress address_;
  evconnlistener* listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_TESTING_TCP_RELAY_H_
