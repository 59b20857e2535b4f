#include "libsidecar/peer_listener.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libbase/socket_address.h"

namespace camphorhoist {

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

PeerListener::PeerListener(event_base* base, LocalUpstream* upstream, LinkPacer* pacer,
                           Handlers handlers)
    : base_(base),
      upstream_(upstream),
      pacer_(pacer),
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
  streams_.emplace(source, std::make_unique<FrameStream>(base_, fd, std::move(handlers)));
}

void PeerListener::OnMessage(uint64_t source, PeerMessage message) {
  if (auto* offer = std::get_if<CallOffer>(&message)) {
    return upstream_->Offer(std::move(*offer), source, [this, source](CallResult result) {
      Reply(source, std::move(result));
    });
  }
  if (const auto* cancel = std::get_if<CallCancel>(&message)) {
    const auto paced = std::find_if(paced_.begin(), paced_.end(), [cancel](const auto& it) {
      return it.second.id == cancel->id;
    });
    if (paced != paced_.end()) {
      pacer_->Drop(paced->first);
      paced_.erase(paced);
    }
    return upstream_->Cancel(cancel->id);
  }
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    return streams_.at(source)->Send(PeerPong{ping->number});
  }
  if (std::holds_alternative<EntryMissing>(message)) return handlers_.on_entry_missing();
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    FrameStream* stream = streams_.at(source).get();
    if (hello->bulk) bulk_sources_.insert(source);
    stream->Send(handlers_.hello());
    handlers_.on_hello(*hello);
  }
}

void PeerListener::Reply(uint64_t source, CallResult result) {
  const auto it = streams_.find(source);
  if (it == streams_.end()) return;
  result.config_version = handlers_.config_version();
  // Short results, refusals above all, go out at once: a sender that waits for one behind large
  // responses has no time left for another server.
  const bool paced = pacer_->active() && result.body.size() >= LinkPacer::kLargeMessage;
  if (!paced) return it->second->Send(std::move(result));
  SendPaced(source, std::move(result));
}

void PeerListener::SendPaced(uint64_t source, CallResult result) {
  const CallId id = result.id;
  EvbufferPtr body(evbuffer_new());
  AppendBody(std::exchange(result.body, ""), body.get());
  result.parted_bytes = evbuffer_get_length(body.get());
  streams_.at(source)->Send(std::move(result));
  // The ticket is known only after the call, and the sink is not called before.
  auto ticket = std::make_shared<LinkPacer::Ticket>(0);
  *ticket = pacer_->Send(std::move(body), [this, source, id, ticket](evbuffer* bytes, bool last) {
    ResultPart part{id, std::string(evbuffer_get_length(bytes), '\0'), last};
    evbuffer_remove(bytes, part.body.data(), part.body.size());
    if (last) paced_.erase(*ticket);
    const auto it = streams_.find(source);
    if (it != streams_.end()) it->second->Send(std::move(part));
  });
  paced_[*ticket] = {source, id};
}

void PeerListener::OnClosed(uint64_t source) {
  const auto it = streams_.find(source);
  if (it == streams_.end()) return;
  closed_.push_back(std::move(it->second));
  streams_.erase(it);
  cleanup_.StartOnce(std::chrono::microseconds(0));
  bulk_sources_.erase(source);
  for (auto paced = paced_.begin(); paced != paced_.end();) {
    if (paced->second.source != source) {
      ++paced;
      continue;
    }
    pacer_->Drop(paced->first);
    paced = paced_.erase(paced);
  }
  upstream_->OnSourceClosed(source);
}

void PeerListener::Broadcast(const PeerMessage& message) {
  for (const auto& it : streams_) {
    if (bulk_sources_.count(it.first) == 0) it.second->Send(message);
  }
}

}  // namespace camphorhoist
