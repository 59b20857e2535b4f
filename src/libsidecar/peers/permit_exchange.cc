#include "libsidecar/peers/permit_exchange.h"

#include <algorithm>
#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

using std::chrono::steady_clock;

PermitExchange::PermitExchange(event_base* base, const std::string& node, PeerDirectory* directory,
                               SidecarMetrics* metrics, OnDecision on_decision)
    : node_(node),
      directory_(directory),
      metrics_(metrics),
      on_decision_(std::move(on_decision)),
      issuer_(node),
      tick_timer_(base, [this] { OnTick(); }),
      limiter_timer_(base,
                     [this] {
                       limiter_.OnTimer(steady_clock::now());
                       SendRequests();
                     }),
      delivery_timer_(base, [this] { Deliver(); }) {}

void PermitExchange::SetConfig(const MeshConfig& config) {
  OrganisationLimits limits;
  for (const MeshOrganisation& it : config.organisations()) {
    if (it.requests_per_second > 0) limits[it.name] = {it.requests_per_second, it.burst};
  }
  if (limits == limits_) return;
  limits_ = limits;
  LogEvent(LogLevel::kInfo, "limits", "applied")
      .Add("version", config.version())
      .Add("organisations", limits_.size());
  limiter_.SetLimits(limits_);
  issuer_.SetLimits(steady_clock::now(), std::move(limits));
  if (enabled()) {
    tick_timer_.StartPeriodic(PermitIssuer::kTakeoverInterval);
    UpdateView();
  } else {
    tick_timer_.Stop();
  }
  SendRequests();
}

void PermitExchange::UpdateView() {
  if (!enabled()) return;
  std::vector<KnownSidecar> sidecars;
  sidecars.reserve(directory_->size());
  for (const auto& [node, peer] : directory_->peers()) {
    if (peer->replaced) continue;
    const bool ended = (peer->terminated || peer->stopped) && !peer->up();
    sidecars.push_back(
        {node, peer->up(), peer->incarnation, ended, peer->candidate.data_centre, peer->lost});
  }
  const auto now = steady_clock::now();
  issuer_.SetView(now, std::move(sidecars), all_listed_);
  MonitorPeers();
  for (const PermitIssuer::Takeover& it : issuer_.Tick(now)) {
    Peer* peer = directory_->Find(it.node);
    if (peer != nullptr && !peer->local()) peer->link->Send(it.request);
  }
}

void PermitExchange::MonitorPeers() {
  const std::set<std::string>& monitored = issuer_.Monitored();
  if (monitored == monitored_) return;
  for (const std::string& it : monitored_) {
    Peer* peer = monitored.count(it) == 0 ? directory_->Find(it) : nullptr;
    if (peer != nullptr && !peer->local()) peer->link->SetMonitored(false);
  }
  for (const std::string& it : monitored) {
    Peer* peer = monitored_.count(it) == 0 ? directory_->Find(it) : nullptr;
    if (peer != nullptr && !peer->local()) peer->link->SetMonitored(true);
  }
  monitored_ = monitored;
}

void PermitExchange::OnTick() {
  UpdateView();
  metrics_->Set("organisations_owned", static_cast<double>(issuer_.owned()));
  metrics_->Set("organisations_share", issuer_.share(steady_clock::now()));
  metrics_->Set("permits_waiting", static_cast<double>(limiter_.waiting()));
}

PermitExchange::Result PermitExchange::Acquire(const std::string& organisation, Ticket ticket,
                                               ProxyTime deadline) {
  if (limits_.count(organisation) == 0) return {};
  Result result = limiter_.Acquire(steady_clock::now(), organisation, ticket, deadline);
  SendRequests();
  if (result.outcome == OrganisationLimiter::Outcome::kWaiting) {
    // This sidecar may be the owner itself.
    const auto it = std::find_if(decisions_.begin(), decisions_.end(),
                                 [ticket](const auto& d) { return d.ticket == ticket; });
    if (it != decisions_.end()) {
      result = it->result;
      decisions_.erase(it);
    }
  }
  if (result.outcome == OrganisationLimiter::Outcome::kWaiting) {
    metrics_->Count("permit_waits_total");
  }
  return result;
}

void PermitExchange::Cancel(const std::string& organisation, Ticket ticket) {
  limiter_.Cancel(organisation, ticket);
}

PermitGrant PermitExchange::OnRequest(const std::string& node, const PermitRequest& request) {
  if (stopped_ && !request.takeover) {
    PermitGrant refusal;
    refusal.organisation = request.organisation;
    refusal.not_owner = true;
    refusal.retry_after = PermitIssuer::kNotOwnerDelay;
    return refusal;
  }
  PermitGrant grant = issuer_.OnRequest(steady_clock::now(), node, request);
  if (grant.released) {
    LogEvent(LogLevel::kInfo, "limits", "released")
        .Add("organisation", request.organisation)
        .Add("node", node)
        .Add("permits", grant.granted);
  } else if (grant.granted > 0) {
    metrics_->Count("permits_issued_total", "", grant.granted);
  }
  return grant;
}

void PermitExchange::Send(const std::string& node, const PermitRequest& request, int asked) {
  if (node == node_) return Apply(node, request, OnRequest(node, request), asked);
  Peer* peer = directory_->Find(node);
  if (peer == nullptr || peer->local()) return;
  ReleasePending(request.organisation);
  pending_[request.organisation] = {node, request, asked};
  peer->link->AddOutstanding(1);
  peer->link->Send(request);
  metrics_->Count("permit_requests_total");
}

void PermitExchange::SendRequests() {
  for (auto requests = limiter_.TakeRequests(); !requests.empty();
       requests = limiter_.TakeRequests()) {
    for (const PermitRequest& it : requests) Send(issuer_.OwnerOf(it.organisation), it, 1);
  }
  const std::vector<OrganisationLimiter::Decision> decisions = limiter_.TakeDecisions();
  decisions_.insert(decisions_.end(), decisions.begin(), decisions.end());
  if (!decisions_.empty()) delivery_timer_.StartOnce(std::chrono::microseconds(0));
  const std::optional<ProxyTime> next = limiter_.NextEvent();
  if (!next) return limiter_timer_.Stop();
  limiter_timer_.StartOnce(
      std::chrono::ceil<std::chrono::microseconds>(*next - steady_clock::now()));
}

void PermitExchange::Apply(const std::string& node, const PermitRequest& request,
                           const PermitGrant& grant, int asked) {
  // The owner may have been elected only here, or may not have taken over yet.
  if (grant.not_owner && asked < PermitIssuer::kMaxAsked) {
    const std::string next = issuer_.NextAfter(grant.organisation, node);
    if (!next.empty()) return Send(next, request, asked + 1);
  }
  if (grant.granted > 0) metrics_->Count("permits_received_total", "", grant.granted);
  limiter_.OnGrant(steady_clock::now(), grant);
}

void PermitExchange::OnGrant(Peer* peer, const PermitGrant& grant) {
  if (grant.takeover) {
    if (grant.released) {
      LogEvent(LogLevel::kInfo, "limits", "taken_over")
          .Add("organisation", grant.organisation)
          .Add("node", peer->node)
          .Add("permits", grant.granted);
    }
    return issuer_.OnTakeoverGrant(steady_clock::now(), peer->node, grant);
  }
  PermitRequest request{grant.organisation, 0, false};
  const auto it = pending_.find(grant.organisation);
  if (it != pending_.end() && it->second.node == peer->node) {
    request = it->second.request;
    const int asked = it->second.asked;
    ReleasePending(grant.organisation);
    Apply(peer->node, request, grant, asked);
  } else if (grant.granted > 0) {
    // Late response to a request that was repeated at another sidecar.
    limiter_.OnGrant(steady_clock::now(), grant);
  }
  SendRequests();
}

void PermitExchange::ReleasePending(const std::string& organisation) {
  const auto it = pending_.find(organisation);
  if (it == pending_.end()) return;
  Peer* peer = directory_->Find(it->second.node);
  if (peer != nullptr && !peer->local()) peer->link->AddOutstanding(-1);
  pending_.erase(it);
}

void PermitExchange::OnPeerUp(const PeerHello& hello) {
  issuer_.OnHello(steady_clock::now(), hello.node, hello.incarnation, hello.issued, true);
  UpdateView();
}

void PermitExchange::OnHello(const PeerHello& hello) {
  issuer_.OnHello(steady_clock::now(), hello.node, hello.incarnation, hello.issued, false);
  UpdateView();
}

void PermitExchange::OnEntriesListed() {
  if (all_listed_) return;
  all_listed_ = true;
  UpdateView();
}

std::vector<std::string> PermitExchange::Issued() const {
  if (stopped_) return {};
  return issuer_.Issued(steady_clock::now());
}

void PermitExchange::OnPeerDown(Peer* peer) {
  // Only the connection for large responses is lost.
  if (directory_->Find(peer->node) == peer && peer->up()) return;
  // One side of a network partition may have been separated from more sidecars than this one.
  const auto now = steady_clock::now();
  if (monitored_.count(peer->node) != 0 && !peer->terminated && now >= next_probe_) {
    next_probe_ = now + kMinProbeInterval;
    for (const auto& it : directory_->peers()) {
      if (!it.second->local()) it.second->link->Probe();
    }
  }
  UpdateView();
  std::vector<std::string> lost;
  for (const auto& [organisation, pending] : pending_) {
    if (pending.node == peer->node) lost.push_back(organisation);
  }
  for (const std::string& it : lost) {
    if (!peer->local()) peer->link->AddOutstanding(-1);
    pending_.erase(it);
    limiter_.OnRequestLost(steady_clock::now(), it);
  }
  SendRequests();
}

void PermitExchange::Deliver() {
  const std::vector<OrganisationLimiter::Decision> decisions = std::exchange(decisions_, {});
  for (const OrganisationLimiter::Decision& it : decisions) on_decision_(it.ticket, it.result);
}

}  // namespace camphorhoist
