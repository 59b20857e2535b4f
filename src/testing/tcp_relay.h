#ifndef CAMPHORHOIST_TESTING_TCP_RELAY_H_
#define CAMPHORHOIST_TESTING_TCP_RELAY_H_

#include <event2/listener.h>

#include <map>
#include <memory>
#include <string>

#include "libnode/event_loop.h"

namespace camphorhoist {

/// TCP relay for tests. `FreezeOpenConnections` makes the connections that are open at that moment
/// silent for good, in both directions, while new ones work.
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
  size_t connections() const { return pairs_.size(); }

  void FreezeOpenConnections() {
    for (const auto& it : pairs_) {
      bufferevent_disable(it.second->inbound.get(), EV_READ | EV_WRITE);
      bufferevent_disable(it.second->outbound.get(), EV_READ | EV_WRITE);
    }
  }
  void ResumeOpenConnections() {
    for (const auto& it : pairs_) {
      bufferevent_enable(it.second->inbound.get(), EV_READ | EV_WRITE);
      bufferevent_enable(it.second->outbound.get(), EV_READ | EV_WRITE);
    }
  }

 private:
  struct Pair {
    TcpRelay* owner;
    BuffereventPtr inbound;
    BuffereventPtr outbound;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<TcpRelay*>(arg);
    auto pair = std::make_unique<Pair>();
    pair->owner = self;
    pair->inbound.reset(bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE));
    pair->outbound.reset(bufferevent_socket_new(self->base_, -1, BEV_OPT_CLOSE_ON_FREE));
    for (bufferevent* it : {pair->inbound.get(), pair->outbound.get()}) {
      bufferevent_setcb(it, &TcpRelay::OnRead, nullptr, &TcpRelay::OnEvent, pair.get());
      bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    const sockaddr_in name = ToSockaddr(self->target_);
    bufferevent_socket_connect(pair->outbound.get(), reinterpret_cast<const sockaddr*>(&name),
                               static_cast<int>(sizeof(name)));
    Pair* raw = pair.get();
    self->pairs_.emplace(raw, std::move(pair));
  }

  static void OnRead(bufferevent* bev, void* arg) {
    auto* pair = static_cast<Pair*>(arg);
    bufferevent* other = bev == pair->inbound.get() ? pair->outbound.get() : pair->inbound.get();
    bufferevent_write_buffer(other, bufferevent_get_input(bev));
  }

  static void OnEvent(bufferevent*, short what, void* arg) {  // NOLINT(google-runtime-int)
    auto* pair = static_cast<Pair*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) pair->owner->pairs_.erase(pair);
  }

  event_base* base_;
  NetAddress target_;
  NetAddress address_;
  evconnlistener* listener_;
  std::map<Pair*, std::unique_ptr<Pair>> pairs_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_TESTING_TCP_RELAY_H_
