#include "libsidecar/peer_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

ListenerPtr Listen(event_base* base, const NetAddress& address, evconnlistener_cb on_accept,
                   void* arg, std::error_code* ec) {
  constexpr int kBacklog = 512;
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(address.port());
  inet_pton(AF_INET, address.ip().c_str(), &sin.sin_addr);
  ListenerPtr listener(evconnlistener_new_bind(base, on_accept, arg,
                                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
                                               reinterpret_cast<sockaddr*>(&sin), sizeof(sin)));
  if (listener == nullptr) *ec = std::error_code(errno, std::generic_category());
  return listener;
}

PeerListener::PeerListener(event_base* base, LocalUpstream* upstream, size_t link,
                           Handlers handlers)
    : base_(base),
      upstream_(upstream),
      link_(link),
      handlers_(std::move(handlers)),
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
  handlers.on_drained = [this, source] { OnDrained(source); };
  streams_.emplace(source, std::make_unique<FrameStream>(base_, fd, std::move(handlers)));
}

void PeerListener::OnMessage(uint64_t source, PeerMessage message) {
  if (auto* offer = std::get_if<CallOffer>(&message)) {
    return upstream_->Offer(std::move(*offer), source, [this, source](CallResult result) {
      Reply(source, std::move(result));
    });
  }
  if (const auto* cancel = std::get_if<CallCancel>(&message)) return upstream_->Cancel(cancel->id);
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    return streams_.at(source)->Send(PeerPong{ping->number});
  }
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    FrameStream* stream = streams_.at(source).get();
    if (hello->bulk && link_ < kMaxOrderedLink) {
      stream->LimitSendBuffer(kBulkSendBuffer);
      bulk_sources_.insert(source);
    }
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

// A connection sends one large response at a time, all together at most `kBulkInFlight`.
void PeerListener::SendBulk() {
  for (auto it = bulk_waiting_.begin();
       it != bulk_waiting_.end() && bulk_sending_.size() < kBulkInFlight;) {
    const uint64_t source = it->first;
    if (bulk_sending_.count(source) != 0) {
      ++it;
      continue;
    }
    bulk_sending_.insert(source);
    CallResult result = std::move(it->second);
    it = bulk_waiting_.erase(it);
    streams_.at(source)->Send(std::move(result));
  }
}

void PeerListener::OnDrained(uint64_t source) {
  if (bulk_sending_.erase(source) != 0) SendBulk();
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
  if (bulk_sending_.erase(source) != 0) SendBulk();
  upstream_->OnSourceClosed(source);
}

void PeerListener::Announce(const UpstreamStatus& status) {
  for (const auto& it : streams_) it.second->Send(status);
}

}  // namespace camphorhoist
