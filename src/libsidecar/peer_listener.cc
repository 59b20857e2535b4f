#include "libsidecar/peer_listener.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libbase/socket_address.h"

namespace camphorhoist {

using std::chrono::steady_clock;

ListenerPtr Listen(event_base* base, const NetAddress& address, evconnlistener_cb on_accept,
                   void* arg, std::error_code* ec) {
  constexpr int kBacklog = 512;
  sockaddr_in name = ToSockaddr(address);
  ListenerPtr listener(evconnlistener_new_bind(base, on_accept, arg,
                                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
                                               reinterpret_cast<sockaddr*>(&name), sizeof(name)));
  if (listener == nullptr) *ec = std::error_code(errno, std::generic_category());
  return listener;
}

PeerListener::PeerListener(event_base* base, LocalUpstream* upstream, size_t link,
                           Handlers handlers)
    : base_(base),
      upstream_(upstream),
      link_(link),
      handlers_(std::move(handlers)),
      bulk_timer_(base, [this] { SendBulk(); }),
      cleanup_(base, [this] { closed_.clear(); }) {}

bool PeerListener::Start(const NetAddress& address, std::error_code* ec) {
  listener_ = Listen(base_, address, &PeerListener::OnAccept, this, ec);
  return listener_ != nullptr;
}

void PeerListener::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  static_cast<PeerListener*>(arg)->Add(fd);
}

void PeerListener::Add(evutil_socket_t fd) {
  const uint64_t source = next_source_++;
  FrameStream::Handlers handlers;
  handlers.on_message = [this, source](PeerMessage message) {
    OnMessage(source, std::move(message));
  };
  handlers.on_closed = [this, source](const std::string&) { OnClosed(source); };
  streams_.emplace(source, std::make_unique<FrameStream>(base_, fd, std::move(handlers)));
}

void PeerListener::OnMessage(uint64_t source, PeerMessage message) {
  if (auto* offer = std::get_if<CallOffer>(&message)) {
    return upstream_->Offer(std::move(*offer), source, [this, source](CallResult result) {
      Reply(source, std::move(result));
    });
  }
  if (const auto* cancel = std::get_if<CallCancel>(&message)) {
    const auto of_call = [cancel](const auto& waiting) { return waiting.second.id == cancel->id; };
    bulk_waiting_.erase(std::remove_if(bulk_waiting_.begin(), bulk_waiting_.end(), of_call),
                        bulk_waiting_.end());
    return upstream_->Cancel(cancel->id);
  }
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    return streams_.at(source)->Send(PeerPong{ping->number});
  }
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    FrameStream* stream = streams_.at(source).get();
    if (hello->bulk && orders_bulk()) bulk_sources_.insert(source);
    stream->Send(handlers_.hello());
    handlers_.on_hello(*hello);
  }
}

void PeerListener::Reply(uint64_t source, CallResult result) {
  const auto it = streams_.find(source);
  if (it == streams_.end()) return;
  result.config_version = handlers_.config_version();
  if (bulk_sources_.count(source) == 0) return it->second->Send(std::move(result));
  bulk_waiting_.emplace_back(source, std::move(result));
  SendBulk();
}

void PeerListener::SendBulk() {
  const auto now = steady_clock::now();
  while (!bulk_waiting_.empty() && bulk_free_ <= now) {
    const uint64_t source = bulk_waiting_.front().first;
    CallResult result = std::move(bulk_waiting_.front().second);
    bulk_waiting_.pop_front();
    const std::chrono::duration<double> time(static_cast<double>(result.body.size()) / bulk_rate());
    bulk_free_ = now + std::chrono::duration_cast<steady_clock::duration>(time);
    streams_.at(source)->Send(std::move(result));
  }
  if (bulk_waiting_.empty() || bulk_timer_.pending()) return;
  bulk_timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(bulk_free_ - now));
}

size_t PeerListener::bulk_backlog() const {
  size_t bytes = 0;
  for (const auto& it : bulk_waiting_) bytes += it.second.body.size();
  const std::chrono::duration<double> busy = bulk_free_ - steady_clock::now();
  if (busy.count() > 0) bytes += static_cast<size_t>(busy.count() * static_cast<double>(link_));
  return bytes;
}

void PeerListener::OnClosed(uint64_t source) {
  const auto it = streams_.find(source);
  if (it == streams_.end()) return;
  closed_.push_back(std::move(it->second));
  streams_.erase(it);
  cleanup_.StartOnce(std::chrono::microseconds(0));
  bulk_sources_.erase(source);
  const auto from_source = [source](const auto& waiting) { return waiting.first == source; };
  bulk_waiting_.erase(std::remove_if(bulk_waiting_.begin(), bulk_waiting_.end(), from_source),
                      bulk_waiting_.end());
  upstream_->OnSourceClosed(source);
}

void PeerListener::Announce(const UpstreamStatus& status) {
  for (const auto& it : streams_) it.second->Send(status);
}

}  // namespace camphorhoist
