#include "libproxy/testing/permit_replay.h"

#include <algorithm>

namespace camphorhoist {

using std::chrono::milliseconds;

PermitReplay::PermitReplay(size_t nodes, uint64_t seed) : rng_(seed), nodes_(nodes) {
  for (size_t i = 0; i < nodes; ++i) {
    nodes_[i].peers.resize(nodes);
    for (Peer& it : nodes_[i].peers) it.incarnation = 1;
    NewProcess(i);
  }
  for (size_t i = 0; i < nodes; ++i) {
    for (size_t j = 0; j < nodes; ++j) {
      if (i != j) Greet(i, j);
    }
  }
}

ProxyDuration PermitReplay::elapsed() const {
  return std::chrono::duration_cast<ProxyDuration>(now_ - start_);
}

double PermitReplay::Bound(const OrganisationLimit& limit) {
  return (limit.requests_per_second * 5 + limit.burst) * 1.1 + 20;
}

void PermitReplay::At(ProxyTime time, std::function<void()> run) {
  events_.push({time, next_event_++, std::move(run)});
}

ProxyDuration PermitReplay::Random(ProxyDuration from, ProxyDuration to) {
  return ProxyDuration(std::uniform_int_distribution<int64_t>(from.count(), to.count())(rng_));
}

void PermitReplay::NewProcess(size_t node) {
  Node& n = nodes_[node];
  n.limiter = std::make_unique<OrganisationLimiter>();
  n.issuer = std::make_unique<PermitIssuer>(NameOf(node));
  n.alive = true;
  n.timer_at = ProxyTime::max();
  n.asked.clear();
  n.waiting.clear();
  const uint64_t incarnation = ++n.incarnation;
  UpdateView(node);
  n.issuer->SetLimits(now_, limits_);
  At(now_ + Random(milliseconds(0), PermitIssuer::kTakeoverInterval),
     [this, node, incarnation] { Tick(node, incarnation); });
}

void PermitReplay::SetLimits(const OrganisationLimits& limits) {
  limits_ = limits;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].alive) continue;
    At(now_ + Random(milliseconds(0), milliseconds(200)), [this, i] {
      nodes_[i].issuer->SetLimits(now_, limits_);
      nodes_[i].limiter->SetLimits(limits_);
      Pump(i);
    });
  }
}

void PermitReplay::SetDemand(const std::string& organisation, double per_second) {
  demand_[organisation] = per_second;
  Arrive(organisation, ++generations_[organisation]);
}

void PermitReplay::RunFor(ProxyDuration duration) {
  const ProxyTime end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

void PermitReplay::UpdateView(size_t node) {
  Node& n = nodes_[node];
  std::vector<KnownSidecar> view;
  for (size_t i = 0; i < n.peers.size(); ++i) {
    const uint64_t incarnation = i == node ? n.incarnation : n.peers[i].incarnation;
    view.push_back({NameOf(i), i == node || n.peers[i].reachable, incarnation,
                    i != node && !n.peers[i].known, "dc-" + std::to_string(i / kNodesPerDataCentre),
                    n.peers[i].lost});
  }
  n.issuer->SetView(now_, std::move(view), true);
}

void PermitReplay::SetReachable(size_t node, size_t peer, bool known, bool reachable,
                                ProxyDuration delay) {
  const uint64_t change = ++nodes_[node].peers[peer].change;
  nodes_[node].peers[peer].change_at = now_ + delay;
  At(now_ + delay, [=] {
    Node& n = nodes_[node];
    Peer& p = n.peers[peer];
    if (!n.alive || p.change != change) return;
    const bool is_lost = known && !reachable && n.issuer->Monitored().count(NameOf(peer)) != 0;
    p.known = known;
    p.reachable = reachable;
    if (is_lost) Probe(node);
    if (reachable) Greet(node, peer);
    UpdateView(node);
    std::vector<std::string> lost;
    for (const auto& [name, asked] : n.asked) {
      if (!reachable && asked == peer) lost.push_back(name);
    }
    for (const std::string& it : lost) n.limiter->OnRequestLost(now_, it);
    Pump(node);
  });
}

ProxyDuration PermitReplay::SilenceOf(size_t node, size_t peer, ProxyDuration unmonitored) {
  const bool is_monitored = nodes_[node].issuer->Monitored().count(NameOf(peer)) != 0;
  return is_monitored ? std::min<ProxyDuration>(unmonitored, kMaxMonitoredSilence) : unmonitored;
}

void PermitReplay::Monitor(size_t node, size_t peer) {
  const Peer& view = nodes_[node].peers[peer];
  const bool is_separated = nodes_[peer].side != nodes_[node].side;
  const bool is_silent = !nodes_[peer].alive && nodes_[peer].silent;
  if (peer == node || !view.reachable || (!is_separated && !is_silent)) return;
  if (view.change_at >= now_ && view.change_at <= now_ + kMaxMonitoredSilence) return;
  SetReachable(node, peer, true, false, Random(kMinSilence, kMaxMonitoredSilence));
}

void PermitReplay::Probe(size_t node) {
  for (size_t i = 0; i < nodes_.size(); ++i) Monitor(node, i);
}

void PermitReplay::Greet(size_t node, size_t peer) {
  Node& receiver = nodes_[peer];
  if (!receiver.alive) return;
  nodes_[node].peers[peer].incarnation = receiver.incarnation;
  nodes_[node].issuer->OnHello(now_, NameOf(peer), receiver.incarnation,
                               receiver.issuer->Issued(now_), true);
  receiver.peers[node].known = true;
  receiver.issuer->OnHello(now_, NameOf(node), nodes_[node].incarnation,
                           nodes_[node].issuer->Issued(now_), false);
  UpdateView(peer);
}

void PermitReplay::Partition(const std::set<size_t>& side) {
  for (size_t i = 0; i < nodes_.size(); ++i) nodes_[i].side = side.count(i) == 0 ? 0 : 1;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (nodes_[i].side == nodes_[j].side || !nodes_[j].alive) continue;
      SetReachable(i, j, true, false, SilenceOf(i, j, Random(kMinSilence, kMaxSilence)));
    }
  }
}

void PermitReplay::PartitionFromOwner(const std::set<size_t>& side, size_t owner) {
  Partition(side);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (nodes_[i].side == nodes_[j].side || !nodes_[j].alive) continue;
      SetReachable(i, j, true, false,
                   j == owner ? ProxyDuration(kMinSilence) : SilenceOf(i, j, kMaxSilence));
    }
  }
}

void PermitReplay::Heal() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (nodes_[i].side == nodes_[j].side || !nodes_[j].alive) continue;
      SetReachable(i, j, true, true, Random(milliseconds(5), kMaxReconnect));
    }
  }
  for (Node& it : nodes_) it.side = 0;
}

void PermitReplay::Kill(size_t node, bool silent) {
  nodes_[node].alive = false;
  nodes_[node].silent = silent;
  nodes_[node].ended_at = now_;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (i == node) continue;
    SetReachable(i, node, silent, false,
                 silent ? SilenceOf(i, node, Random(kMinSilence, kMaxSilence))
                        : Random(milliseconds(1), kMaxNotice));
  }
}

void PermitReplay::Restart(size_t node) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (i == node) continue;
    Peer& peer = nodes_[node].peers[i];
    peer.known = true;
    peer.reachable = false;
    peer.lost = !nodes_[i].alive && nodes_[i].silent && nodes_[i].ended_at + kLostTime <= now_;
    peer.incarnation = 0;
    const bool reachable = nodes_[i].alive && nodes_[i].side == nodes_[node].side;
    if (!nodes_[i].alive && !nodes_[i].silent) {
      SetReachable(node, i, false, false, Random(milliseconds(1), kMaxNotice));
    }
    if (!reachable) continue;
    SetReachable(node, i, true, true, Random(milliseconds(5), milliseconds(300)));
    SetReachable(i, node, true, true, Random(milliseconds(5), kMaxReconnect));
  }
  NewProcess(node);
}

size_t PermitReplay::OwnerOf(const std::string& organisation) const {
  std::map<std::string, size_t> votes;
  for (const Node& it : nodes_) {
    if (it.alive) ++votes[it.issuer->OwnerOf(organisation)];
  }
  const auto best = std::max_element(
      votes.begin(), votes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return NodeOf(best->first);
}

void PermitReplay::Send(size_t from, size_t to, std::function<void()> run) {
  const uint64_t incarnation = nodes_[to].incarnation;
  At(now_ + kLatency, [=, run = std::move(run)] {
    const Node& receiver = nodes_[to];
    if (!receiver.alive || receiver.incarnation != incarnation) return;
    if (nodes_[from].side != receiver.side) return;
    run();
  });
}

void PermitReplay::Tick(size_t node, uint64_t incarnation) {
  Node& n = nodes_[node];
  if (!n.alive || n.incarnation != incarnation) return;
  Pump(node);
  At(now_ + PermitIssuer::kTakeoverInterval,
     [this, node, incarnation] { Tick(node, incarnation); });
}

void PermitReplay::Arrive(const std::string& organisation, uint64_t generation) {
  if (generation != generations_[organisation]) return;
  const double rate = demand_[organisation];
  if (rate <= 0) return;
  const double gap = std::exponential_distribution<double>(rate)(rng_);
  At(now_ + ProxyDuration(static_cast<int64_t>(gap * 1e6) + 1),
     [=] { Arrive(organisation, generation); });
  const size_t node = std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(rng_);
  Node& n = nodes_[node];
  if (!n.alive) return;
  Counts& counts = counts_[organisation];
  ++counts.requests;
  const OrganisationLimiter::Ticket ticket = next_ticket_++;
  const auto result = n.limiter->Acquire(now_, organisation, ticket, now_ + milliseconds(500));
  switch (result.outcome) {
    case OrganisationLimiter::Outcome::kPermitted:
      Permit(&counts);
      break;
    case OrganisationLimiter::Outcome::kRejected:
      Reject(&counts);
      break;
    case OrganisationLimiter::Outcome::kWaiting:
      n.waiting[ticket] = {organisation, now_};
      break;
  }
  Pump(node);
}

void PermitReplay::Permit(Counts* counts) {
  ++counts->permitted;
  counts->permitted_at.push_back(now_);
  counts->rejected_since.reset();
}

void PermitReplay::Reject(Counts* counts) {
  ++counts->rejected;
  if (!counts->rejected_since) counts->rejected_since = now_;
  counts->longest_outage =
      std::max(counts->longest_outage,
               std::chrono::duration_cast<ProxyDuration>(now_ - *counts->rejected_since));
}

void PermitReplay::ResetRejections() {
  for (auto& [name, counts] : counts_) {
    Counts kept;
    kept.permitted_at = std::move(counts.permitted_at);
    counts = std::move(kept);
  }
}

void PermitReplay::Ask(size_t node, size_t owner, const PermitRequest& request, int asked) {
  nodes_[node].asked[request.organisation] = owner;
  if (owner == node) {
    return OnGrant(node, owner, request,
                   nodes_[node].issuer->OnRequest(now_, NameOf(node), request), asked);
  }
  ++counts_[request.organisation].messages;
  Monitor(node, owner);
  Send(node, owner, [=] {
    const PermitGrant grant = nodes_[owner].issuer->OnRequest(now_, NameOf(node), request);
    Send(owner, node, [=] {
      OnGrant(node, owner, request, grant, asked);
      Pump(node);
    });
  });
}

void PermitReplay::OnGrant(size_t node, size_t owner, const PermitRequest& request,
                           const PermitGrant& grant, int asked) {
  Node& n = nodes_[node];
  if (grant.takeover) return n.issuer->OnTakeoverGrant(now_, NameOf(owner), grant);
  if (grant.not_owner && asked < PermitIssuer::kMaxAsked) {
    const std::string next = n.issuer->NextAfter(grant.organisation, NameOf(owner));
    if (!next.empty()) return Ask(node, NodeOf(next), request, asked + 1);
  }
  n.asked.erase(grant.organisation);
  n.limiter->OnGrant(now_, grant);
}

void PermitReplay::Pump(size_t node) {
  Node& n = nodes_[node];
  for (const PermitIssuer::Takeover& it : n.issuer->Tick(now_)) {
    const size_t previous = NodeOf(it.node);
    Send(node, previous, [this, node, previous, request = it.request] {
      const PermitGrant grant = nodes_[previous].issuer->OnRequest(now_, NameOf(node), request);
      Send(previous, node, [=] { OnGrant(node, previous, request, grant, 1); });
    });
  }
  if (n.limiter->NextEvent() <= now_) n.limiter->OnTimer(now_);
  for (auto requests = n.limiter->TakeRequests(); !requests.empty();
       requests = n.limiter->TakeRequests()) {
    for (const PermitRequest& it : requests) {
      const std::string& owner = n.issuer->OwnerOf(it.organisation);
      if (!owner.empty()) Ask(node, NodeOf(owner), it, 1);
    }
  }
  for (const OrganisationLimiter::Decision& it : n.limiter->TakeDecisions()) {
    const auto waiting = n.waiting.find(it.ticket);
    if (waiting == n.waiting.end()) continue;
    Counts& counts = counts_[waiting->second.first];
    if (it.result.outcome == OrganisationLimiter::Outcome::kPermitted) {
      Permit(&counts);
    } else {
      Reject(&counts);
      ++counts.waited_rejected;
    }
    counts.longest_wait =
        std::max(counts.longest_wait,
                 std::chrono::duration_cast<ProxyDuration>(now_ - waiting->second.second));
    n.waiting.erase(waiting);
  }
  const std::optional<ProxyTime> next = n.limiter->NextEvent();
  if (!next || *next >= n.timer_at) return;
  n.timer_at = std::max(*next, now_ + ProxyDuration(1));
  const uint64_t incarnation = n.incarnation;
  At(n.timer_at, [this, node, incarnation] {
    Node& n = nodes_[node];
    if (!n.alive || n.incarnation != incarnation) return;
    n.timer_at = ProxyTime::max();
    Pump(node);
  });
}

size_t PermitReplay::BusiestWindow(const std::string& organisation, ProxyDuration from) const {
  const auto it = counts_.find(organisation);
  if (it == counts_.end()) return 0;
  const std::vector<ProxyTime>& times = it->second.permitted_at;
  size_t most = 0;
  size_t end = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    if (times[i] < start_ + from) continue;
    while (end < times.size() && times[end] < times[i] + kWindow) ++end;
    most = std::max(most, end - i);
  }
  return most;
}

}  // namespace camphorhoist
