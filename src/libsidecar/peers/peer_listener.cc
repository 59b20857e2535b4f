#include "libsidecar/peers/peer_listener.h"

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
      cleanup_timer_(base, [this] { pending_deletion_.clear(); }) {}

bool PeerListener::Start(const NetAddress& address, std::error_code* ec) {
  listener_ = Listen(base_, address, &PeerListener::OnAccept, this, ec);
  return listener_ != nullptr;
}

void PeerListener::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  static_cast<PeerListener*>(arg)->Add(fd);
}

void PeerListener::Add(evutil_socket_t fd) {
  const uint64_t connection_id = next_connection_id_++;
  FrameStream::Handlers handlers;
  handlers.on_message = [this, connection_id](PeerMessage message) {
    OnMessage(connection_id, std::move(message));
  };
  handlers.on_closed = [this, connection_id](const std::string&) { OnClosed(connection_id); };
  streams_.emplace(connection_id, std::make_unique<FrameStream>(base_, fd, std::move(handlers)));
}

void PeerListener::OnMessage(uint64_t connection_id, PeerMessage message) {
  if (auto* offer = std::get_if<CallOffer>(&message)) {
    return upstream_->Offer(
        std::move(*offer), connection_id,
        [this, connection_id](CallResult result) { Reply(connection_id, std::move(result)); });
  }
  if (const auto* cancel = std::get_if<CallCancel>(&message)) {
    const auto paced =
        std::find_if(paced_results_.begin(), paced_results_.end(),
                     [cancel](const auto& it) { return it.second.id == cancel->id; });
    if (paced != paced_results_.end()) {
      pacer_->Drop(paced->first);
      paced_results_.erase(paced);
    }
    return upstream_->Cancel(cancel->id);
  }
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    return streams_.at(connection_id)->Send(PeerPong{ping->number});
  }
  if (std::holds_alternative<EntryMissing>(message)) return handlers_.on_entry_missing();
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    FrameStream* stream = streams_.at(connection_id).get();
    if (hello->bulk) bulk_connections_.insert(connection_id);
    stream->Send(handlers_.hello());
    handlers_.on_hello(*hello);
  }
}

void PeerListener::Reply(uint64_t connection_id, CallResult result) {
  const auto it = streams_.find(connection_id);
  if (it == streams_.end()) return;
  result.config_version = handlers_.config_version();
  // Short results, refusals in particular, are sent at once: a sender that receives a refusal only
  // after large responses has no time left to try another server.
  const bool paced = pacer_->enabled() && result.body.size() >= LinkPacer::kLargeMessageBytes;
  if (!paced) return it->second->Send(std::move(result));
  SendPaced(connection_id, std::move(result));
}

void PeerListener::SendPaced(uint64_t connection_id, CallResult result) {
  const CallId id = result.id;
  EvbufferPtr body(evbuffer_new());
  AppendBody(std::exchange(result.body, ""), body.get());
  result.body_bytes_in_parts = evbuffer_get_length(body.get());
  streams_.at(connection_id)->Send(std::move(result));
  // The message id is known only after the call, and the sink is not called before.
  auto message_id = std::make_shared<LinkPacer::MessageId>(0);
  *message_id = pacer_->Send(
      std::move(body), [this, connection_id, id, message_id](evbuffer* bytes, bool last) {
        ResultPart part{id, std::string(evbuffer_get_length(bytes), '\0'), last};
        evbuffer_remove(bytes, part.body.data(), part.body.size());
        if (last) paced_results_.erase(*message_id);
        const auto it = streams_.find(connection_id);
        if (it != streams_.end()) it->second->Send(std::move(part));
      });
  paced_results_[*message_id] = {connection_id, id};
}

void PeerListener::OnClosed(uint64_t connection_id) {
  const auto it = streams_.find(connection_id);
  if (it == streams_.end()) return;
  pending_deletion_.push_back(std::move(it->second));
  streams_.erase(it);
  cleanup_timer_.StartOnce(std::chrono::microseconds(0));
  bulk_connections_.erase(connection_id);
  for (auto paced = paced_results_.begin(); paced != paced_results_.end();) {
    if (paced->second.connection_id != connection_id) {
      ++paced;
      continue;
    }
    pacer_->Drop(paced->first);
    paced = paced_results_.erase(paced);
  }
  upstream_->OnConnectionClosed(connection_id);
}

void PeerListener::Broadcast(const PeerMessage& message) {
  for (const auto& it : streams_) {
    if (bulk_connections_.count(it.first) == 0) it.second->Send(message);
  }
}

}  // namespace camphorhoist
