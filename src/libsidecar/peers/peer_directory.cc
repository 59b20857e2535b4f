#include "libsidecar/peers/peer_directory.h"

#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

using std::chrono::steady_clock;

PeerDirectory::PeerDirectory(event_base* base, Handlers handlers)
    : base_(base),
      handlers_(std::move(handlers)),
      cleanup_timer_(base, [this] { pending_deletion_.clear(); }),
      check_timer_(base, [this] { CheckLinks(); }) {
  check_timer_.StartPeriodic(PeerLink::kPingInterval);
}

void PeerDirectory::CheckLinks() {
  // Collects the links first, since closing one may remove its peer from the map. A removed peer is
  // destroyed in a later iteration of the event loop.
  std::vector<PeerLink*> links;
  for (const auto& [node, peer] : peers_) {
    if (peer->local()) continue;
    links.push_back(peer->link.get());
    links.push_back(peer->bulk_link.get());
  }
  for (PeerLink* it : links) it->CheckLiveness();
}

void PeerDirectory::AddSelf(const std::string& node, const std::string& data_centre) {
  auto peer = std::make_unique<Peer>();
  peer->node = node;
  peer->candidate.node = node;
  peer->candidate.data_centre = data_centre;
  self_ = peer.get();
  peers_[node] = std::move(peer);
}

Peer* PeerDirectory::Find(const std::string& node) {
  const auto it = peers_.find(node);
  return it == peers_.end() ? nullptr : it->second.get();
}

void PeerDirectory::AddOrUpdate(const std::string& node, const NetAddress& address,
                                const std::string& data_centre, bool listed) {
  Peer* known = Find(node);
  if (known != nullptr && known->local()) return;
  if (known != nullptr && known->address != address) {
    // While the peer is up, its address from the store takes precedence over one that it reported
    // itself.
    if (!listed && known->listed && known->up()) return;
    Remove(node);
    known = nullptr;
  }
  if (known != nullptr) {
    known->listed = known->listed || listed;
    return;
  }
  auto peer = std::make_unique<Peer>();
  peer->node = node;
  peer->candidate.node = node;
  peer->candidate.data_centre = data_centre;
  peer->address = address;
  peer->listed = listed;
  Peer* raw = peer.get();
  peers_[node] = std::move(peer);
  LogEvent(LogLevel::kInfo, "peers", "learned")
      .Add("node", node)
      .Add("address", address.ToString())
      .Add("listed", listed);
  raw->link = NewLink(raw, address, false);
  raw->bulk_link = NewLink(raw, address, true);
}

void PeerDirectory::OnHello(const PeerHello& hello) {
  Peer* peer = Find(hello.node);
  if (peer == nullptr || peer->local()) return;
  peer->config_version = hello.config_version;
  if (peer->up()) return;
  peer->terminated = false;
  peer->link->RetryNow();
}

void PeerDirectory::SetStopped(const std::string& node, bool stopped, bool lost) {
  Peer* peer = Find(node);
  if (peer == nullptr) return;
  peer->stopped = stopped;
  peer->lost = lost;
}

std::set<std::string> PeerDirectory::LostSince(std::chrono::steady_clock::time_point time) const {
  std::set<std::string> nodes;
  for (const auto& [node, peer] : peers_) {
    if (peer->listed && !peer->stopped && !peer->up() && peer->down_since <= time) {
      nodes.insert(node);
    }
  }
  return nodes;
}

void PeerDirectory::OnEntryRemoved(const std::string& node) {
  Peer* peer = Find(node);
  if (peer == nullptr || peer->local()) return;
  peer->listed = false;
  if (!peer->up()) Remove(node);
}

void PeerDirectory::Remove(const std::string& node) {
  const auto it = peers_.find(node);
  LogEvent(LogLevel::kInfo, "peers", "removed").Add("node", node);
  std::unique_ptr<Peer> peer = std::move(it->second);
  peers_.erase(it);
  handlers_.on_down(peer.get(), true);
  pending_deletion_.push_back(std::move(peer));
  cleanup_timer_.StartOnce(std::chrono::microseconds(0));
}

std::unique_ptr<PeerLink> PeerDirectory::NewLink(Peer* peer, const NetAddress& address, bool bulk) {
  PeerLink::Handlers handlers;
  handlers.hello = [this, peer, bulk] {
    PeerHello hello = handlers_.hello();
    hello.bulk = bulk;
    hello.receiver_upstream = peer->status;
    hello.receiver_upstream.load = peer->candidate.load;
    hello.receiver_upstream.departures = departures_.departures(peer->node);
    return hello;
  };
  handlers.on_message = [this, peer](PeerMessage message) {
    handlers_.on_message(peer, std::move(message));
  };
  handlers.on_sent = handlers_.on_sent;
  if (bulk) {
    handlers.on_up = [](const PeerHello&) {};
    handlers.on_down = [this, peer](bool, const std::string&) { handlers_.on_down(peer, false); };
  } else {
    handlers.on_up = [this, peer](const PeerHello& hello) { OnUp(peer, hello); };
    handlers.on_down = [this, peer](bool refused, const std::string& reason) {
      OnDown(peer, refused, reason);
    };
  }
  const auto no_data_timeout = bulk ? PeerLink::kBulkNoDataTimeout : PeerLink::kNoDataTimeout;
  return std::make_unique<PeerLink>(base_, address, no_data_timeout, std::move(handlers));
}

void PeerDirectory::OnUp(Peer* peer, const PeerHello& hello) {
  if (hello.node != peer->node) {
    // The address now belongs to another VM.
    peer->replaced = true;
    LogEvent(LogLevel::kWarn, "peers", "wrong_node")
        .Add("expected", peer->node)
        .Add("found", hello.node);
    return;
  }
  LogEvent(LogLevel::kInfo, "peers", "up")
      .Add("node", peer->node)
      .Add("incarnation", hello.incarnation)
      .Add("upstream", hello.upstream.instance);
  peer->replaced = false;
  peer->candidate.data_centre = hello.data_centre;
  peer->incarnation = hello.incarnation;
  peer->was_up = true;
  peer->terminated = false;
  peer->store_lost = hello.store_lost;
  peer->config_version = hello.config_version;
  handlers_.on_hello(hello);
  SetStatus(peer, hello.upstream);
  peer->bulk_link->RetryNow();
  handlers_.on_up(peer, hello);
}

void PeerDirectory::OnDown(Peer* peer, bool terminated, const std::string& reason) {
  const bool was_up = peer->status.ready;
  if (peer->was_up) peer->down_since = std::chrono::steady_clock::now();
  peer->was_up = false;
  peer->status.ready = false;
  peer->terminated = peer->terminated || terminated;
  if (was_up) {
    LogEvent(LogLevel::kWarn, "peers", "down").Add("node", peer->node).Add("reason", reason);
  }
  handlers_.on_down(peer, terminated);
  if (!peer->listed && terminated) Remove(peer->node);
}

void PeerDirectory::SetStatus(Peer* peer, UpstreamStatus status) {
  for (const UpstreamDeparture& it : status.departures) departures_.Record(peer->node, it);
  peer->status = std::move(status);
  UpdateLoad(peer, peer->status.load);
  ExcludeDeparted(peer);
}

void PeerDirectory::OnDeparture(const std::string& node, const UpstreamDeparture& departure) {
  departures_.Record(node, departure);
  Peer* peer = Find(node);
  if (peer != nullptr && !peer->local()) ExcludeDeparted(peer);
}

void PeerDirectory::ExcludeDeparted(Peer* peer) {
  UpstreamStatus& status = peer->status;
  if (!status.ready) return;
  if (!departures_.HasDeparted(peer->node, {status.instance, status.started_ms})) return;
  status.ready = false;
  LogEvent(LogLevel::kInfo, "peers", "departed_upstream_excluded")
      .Add("node", peer->node)
      .Add("instance", status.instance);
}

void PeerDirectory::UpdateLoad(Peer* peer, const ServerLoad& load) {
  ServerPicker::UpdateLoad(steady_clock::now(), load, &peer->candidate);
}

}  // namespace camphorhoist
