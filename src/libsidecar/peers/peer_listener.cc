#include "libsidecar/peers/peer_listener.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libbase/log.h"
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
                           MemoryBudget* budget, SidecarMetrics* metrics, Handlers handlers)
    : base_(base),
      upstream_(upstream),
      pacer_(pacer),
      budget_(budget),
      metrics_(metrics),
      handlers_(std::move(handlers)),
      cleanup_timer_(base, [this] { pending_deletion_.clear(); }),
      eviction_timer_(base, [this] { CloseEvicted(); }) {}

bool PeerListener::Start(const NetAddress& address, std::error_code* ec) {
  listener_ = Listen(base_, address, &PeerListener::OnAccept, this, ec);
  return listener_ != nullptr;
}

void PeerListener::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  static_cast<PeerListener*>(arg)->Add(fd);
}

void PeerListener::Add(evutil_socket_t fd) {
  const uint64_t connection_id = next_connection_id_++;
  const auto budget_id = budget_->Open(
      ListenAddress::kPeers, std::chrono::steady_clock::now(),
      [this, connection_id](MemoryBudget::Reason reason) { Evict(connection_id, reason); });
  if (!budget_id) {
    metrics_->Count("connections_refused_total", "peer");
    LogEvent(LogLevel::kWarn, "peer", "connection_refused").Add("connection", connection_id);
    evutil_closesocket(fd);
    return;
  }
  FrameStream::Handlers handlers;
  handlers.on_message = [this, connection_id](PeerMessage message) {
    OnMessage(connection_id, std::move(message));
  };
  handlers.on_partial_frame = [this, connection_id](size_t announced, size_t available) {
    return OnPartialFrame(connection_id, announced, available);
  };
  handlers.on_paused = [this, connection_id](bool paused) { OnPaused(connection_id, paused); };
  handlers.on_closed = [this, connection_id](const std::string&) { OnClosed(connection_id); };
  handlers.on_sent = [this](size_t bytes) { pacer_->OnShortMessage(bytes); };
  Connection& connection = connections_[connection_id];
  connection.budget_id = *budget_id;
  connection.stream = std::make_unique<FrameStream>(base_, fd, std::move(handlers));
}

bool PeerListener::Reserve(Connection* connection) {
  // A frame is copied when it is complete.
  const size_t bytes =
      2 * connection->frame_bytes + connection->offer_bytes + connection->stream->unsent_bytes();
  return budget_->Reserve(connection->budget_id, bytes, std::chrono::steady_clock::now());
}

bool PeerListener::OnPartialFrame(uint64_t connection_id, size_t announced, size_t available) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) return true;
  Connection& connection = it->second;
  const auto now = std::chrono::steady_clock::now();
  if (available == 0) {
    if (connection.frame_bytes == 0) return true;
    connection.frame_bytes = connection.frame_available = 0;
    if (connection.greeted) budget_->StopWaiting(connection.budget_id);
    Reserve(&connection);
    return true;
  }
  const bool starts = connection.frame_bytes == 0 || available < connection.frame_available;
  connection.frame_bytes = std::max(announced, available);
  if (Reserve(&connection)) {
    if (starts && connection.greeted) budget_->StartWaiting(connection.budget_id, now);
    const size_t before = starts ? 0 : connection.frame_available;
    budget_->OnTransfer(connection.budget_id, available - std::min(available, before));
    connection.frame_available = available;
    return true;
  }
  metrics_->Count("frames_rejected_total");
  LogEvent(LogLevel::kWarn, "peer", "frame_rejected").Add("bytes", announced);
  return false;
}

void PeerListener::OnPaused(uint64_t connection_id, bool paused) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) return;
  Reserve(&it->second);
  if (paused) {
    budget_->StartWaiting(it->second.budget_id, std::chrono::steady_clock::now());
  } else if (it->second.greeted) {
    budget_->StopWaiting(it->second.budget_id);
  }
}

// Cancelling the calls of the connection releases reservations, which a handler of the budget must
// not do. They are cancelled later.
void PeerListener::Evict(uint64_t connection_id, MemoryBudget::Reason reason) {
  const auto it = connections_.find(connection_id);
  if (it != connections_.end() && reason == MemoryBudget::Reason::kDescriptors) {
    it->second.stream->Close();
  }
  evicted_.push_back(connection_id);
  eviction_timer_.StartOnce(std::chrono::microseconds(0));
}

void PeerListener::CloseEvicted() {
  for (const uint64_t connection_id : std::exchange(evicted_, {})) {
    const auto it = connections_.find(connection_id);
    if (it == connections_.end()) continue;
    metrics_->Count("connections_evicted_total", "peer");
    LogEvent(LogLevel::kWarn, "peer", "evicted").Add("connection", connection_id);
    it->second.stream->Close();
    OnClosed(connection_id);
  }
}

// What does not fit is declined like an offer to a busy server, so that its sender tries another.
void PeerListener::OnOffer(uint64_t connection_id, CallOffer offer) {
  Connection& connection = connections_.at(connection_id);
  const CallId id = offer.id;
  // The body is copied once when it is sent to the upstream.
  size_t bytes = 2 * offer.body.size();
  for (const auto& it : offer.headers) {
    bytes += MemoryBudget::kHeaderFieldBytes + it.first.size() + it.second.size();
  }
  const size_t before = connection.offers.count(id) == 0 ? 0 : connection.offers.at(id);
  connection.offers[id] = bytes;
  connection.offer_bytes += bytes - before;
  connection.frame_bytes = connection.frame_available = 0;
  if (!Reserve(&connection)) {
    metrics_->Count("offers_over_budget_total");
    LogEvent(LogLevel::kWarn, "peer", "offer_over_budget").Add("bytes", bytes);
    CallResult result;
    result.id = id;
    result.kind = ResultKind::kNotRun;
    result.reason = ResultReason::kBusy;
    result.load = upstream_->load();
    return Reply(connection_id, std::move(result));
  }
  upstream_->Offer(std::move(offer), connection_id, [this, connection_id](CallResult result) {
    Reply(connection_id, std::move(result));
  });
}

void PeerListener::ReleaseOffer(uint64_t connection_id, const CallId& id) {
  const auto connection = connections_.find(connection_id);
  if (connection == connections_.end()) return;
  const auto it = connection->second.offers.find(id);
  if (it == connection->second.offers.end()) return;
  connection->second.offer_bytes -= it->second;
  connection->second.offers.erase(it);
  Reserve(&connection->second);
}

void PeerListener::OnMessage(uint64_t connection_id, PeerMessage message) {
  if (auto* offer = std::get_if<CallOffer>(&message)) {
    return OnOffer(connection_id, std::move(*offer));
  }
  if (const auto* cancel = std::get_if<CallCancel>(&message)) {
    const auto paced =
        std::find_if(paced_results_.begin(), paced_results_.end(),
                     [cancel](const auto& it) { return it.second.id == cancel->id; });
    if (paced != paced_results_.end()) {
      pacer_->Drop(paced->first);
      paced_results_.erase(paced);
    }
    ReleaseOffer(connection_id, cancel->id);
    return upstream_->Cancel(cancel->id);
  }
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    return connections_.at(connection_id).stream->Send(PeerPong{ping->number});
  }
  if (const auto* request = std::get_if<PermitRequest>(&message)) {
    const auto node = nodes_.find(connection_id);
    if (node == nodes_.end()) return;
    return connections_.at(connection_id)
        .stream->Send(handlers_.on_permit_request(node->second, *request));
  }
  if (std::holds_alternative<EntryMissing>(message)) return handlers_.on_entry_missing();
  if (const auto* request = std::get_if<ConfigRequest>(&message)) {
    std::optional<ConfigDocument> document = handlers_.config_document(request->held_version);
    if (document) connections_.at(connection_id).stream->Send(std::move(*document));
    return;
  }
  if (std::holds_alternative<RolloutUpdate>(message) ||
      std::holds_alternative<RolloutCounts>(message) ||
      std::holds_alternative<RolloutTold>(message)) {
    const auto node = nodes_.find(connection_id);
    if (node != nodes_.end()) handlers_.on_rollout_message(node->second, message);
    return;
  }
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    Connection& connection = connections_.at(connection_id);
    FrameStream* stream = connection.stream.get();
    connection.greeted = true;
    budget_->StopWaiting(connection.budget_id);
    if (hello->bulk) bulk_connections_.insert(connection_id);
    nodes_[connection_id] = hello->node;
    PeerHello own = handlers_.hello();
    stream->set_encoding(EncodingBetween(own, *hello));
    stream->Send(std::move(own));
    handlers_.on_hello(*hello);
  }
}

void PeerListener::Reply(uint64_t connection_id, CallResult result) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) return;
  ReleaseOffer(connection_id, result.id);
  result.config_version = handlers_.config_version();
  // Short results, refusals in particular, are sent at once: a sender that receives a refusal only
  // after large responses has no time left to try another server.
  const bool paced = pacer_->enabled() && result.body.size() >= LinkPacer::kLargeMessageBytes;
  if (!paced) return it->second.stream->Send(std::move(result));
  SendPaced(connection_id, std::move(result));
}

void PeerListener::SendPaced(uint64_t connection_id, CallResult result) {
  const CallId id = result.id;
  EvbufferPtr body(evbuffer_new());
  AppendBody(std::exchange(result.body, ""), body.get());
  result.body_bytes_in_parts = evbuffer_get_length(body.get());
  connections_.at(connection_id).stream->Send(std::move(result));
  // The message id is known only after the call, and the sink is not called before.
  auto message_id = std::make_shared<LinkPacer::MessageId>(0);
  *message_id = pacer_->Send(
      std::move(body), [this, connection_id, id, message_id](evbuffer* bytes, bool last) {
        ResultPart part{id, std::string(evbuffer_get_length(bytes), '\0'), last};
        evbuffer_remove(bytes, part.body.data(), part.body.size());
        if (last) paced_results_.erase(*message_id);
        const auto it = connections_.find(connection_id);
        if (it != connections_.end()) it->second.stream->Send(std::move(part));
      });
  paced_results_[*message_id] = {connection_id, id};
}

void PeerListener::OnClosed(uint64_t connection_id) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) return;
  budget_->Close(it->second.budget_id);
  pending_deletion_.push_back(std::move(it->second.stream));
  connections_.erase(it);
  cleanup_timer_.StartOnce(std::chrono::microseconds(0));
  bulk_connections_.erase(connection_id);
  nodes_.erase(connection_id);
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
  for (const auto& it : connections_) {
    if (bulk_connections_.count(it.first) == 0) it.second.stream->Send(message);
  }
}

}  // namespace camphorhoist
