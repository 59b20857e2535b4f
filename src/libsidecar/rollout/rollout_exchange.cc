#include "libsidecar/rollout/rollout_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

RolloutExchange::RolloutExchange(event_base* base, const SidecarSettings* settings,
                                 uint64_t incarnation, PeerDirectory* directory,
                                 LocalUpstream* local, SidecarMetrics* metrics,
                                 WriteStatus write_status)
    : settings_(settings),
      incarnation_(incarnation),
      directory_(directory),
      local_(local),
      metrics_(metrics),
      write_status_(std::move(write_status)),
      rng_(incarnation),
      tick_timer_(base, [this] { OnTick(); }) {
  if (!enabled()) return;
  local_->SetObserver(
      {[this](const UpstreamReport& upstream) { OnSent(upstream); },
       [this](const UpstreamReport& upstream, uint64_t route, bool failed,
              ProxyDuration service_time) { OnResponse(upstream, route, failed, service_time); }});
}

void RolloutExchange::OnStoreRecords(const std::vector<RolloutRecord>& records) {
  for (const RolloutRecord& it : records) {
    if (!book_.Merge(steady_clock::now(), it)) continue;
    OnChanged(it.order.service);
    Broadcast(NewUpdate(it.order.service));
  }
}

void RolloutExchange::OnStoreList(int64_t era, int64_t revision,
                                  const std::vector<RolloutRecord>& records) {
  for (const std::string& it : book_.MergeList(steady_clock::now(), era, revision, records)) {
    OnChanged(it);
    Broadcast(NewUpdate(it));
  }
}

void RolloutExchange::OnRecords(const std::vector<RolloutRecord>& records) {
  if (!enabled()) return;
  for (const RolloutRecord& it : records) {
    if (book_.Merge(steady_clock::now(), it)) OnChanged(it.order.service);
  }
}

std::vector<RolloutRecord> RolloutExchange::Records() const {
  return book_.Records(steady_clock::now());
}

void RolloutExchange::OnChanged(const std::string& service) {
  const RolloutRecord& record = *book_.Find(service);
  LogEvent(LogLevel::kInfo, "rollout", record.deleted ? "withdrawn" : "state")
      .Add("service", service)
      .Add("target_version", record.order.target_version)
      .Add("state", ToString(record.state))
      .Add("phase", static_cast<int>(record.phase))
      .Add("revision", record.revision);
  const auto known = active_.find(service);
  if (known != active_.end() && (!record.active() || known->second.order != record.order)) {
    active_.erase(known);
  }
  if (!record.active()) return;
  if (active_.count(service) == 0) {
    const double start = std::uniform_real_distribution<double>(0, 1)(rng_);
    active_.emplace(service, Active{record.order, RolloutGate(start), "", nullptr, {}});
  }
  if (!tick_timer_.pending()) tick_timer_.StartOnce(std::chrono::microseconds(0));
}

void RolloutExchange::OnTick() {
  // A tick may end a roll-out.
  std::vector<std::string> services;
  for (const auto& it : active_) services.push_back(it.first);
  for (const std::string& it : services) {
    const auto active = active_.find(it);
    if (active != active_.end()) Tick(it, &active->second);
  }
  metrics_->Set("rollouts_active", static_cast<double>(active_.size()));
  if (!active_.empty()) tick_timer_.StartOnce(kTickInterval);
}

std::vector<std::string> RolloutExchange::ReachableNodes() const {
  std::vector<std::string> nodes;
  for (const auto& [node, peer] : directory_->peers()) {
    if (peer->up() && !peer->replaced) nodes.push_back(node);
  }
  return nodes;
}

void RolloutExchange::Tick(const std::string& service, Active* active) {
  const std::vector<std::string> reachable = ReachableNodes();
  const std::vector<std::string> ranked = RankedNodes(service, reachable, kCountReceivers);
  active->writer_node = ranked.empty() ? "" : ranked.front();
  if (active->writer_node != settings_->node && active->writer != nullptr) {
    active->writer.reset();
    LogEvent(LogLevel::kInfo, "rollout", "writer_replaced")
        .Add("service", service)
        .Add("node", active->writer_node);
  }
  SendCounts(service, ranked);
  if (active->writer_node == settings_->node) RunWriter(service, active, reachable);
}

void RolloutExchange::Send(const std::string& node, const PeerMessage& message) {
  if (node == settings_->node) return OnMessage(node, message);
  Peer* peer = directory_->Find(node);
  if (peer != nullptr && !peer->local() && peer->up()) peer->link->Send(message);
}

void RolloutExchange::Broadcast(const PeerMessage& message) {
  for (const auto& [node, peer] : directory_->peers()) {
    if (!peer->local() && peer->up()) peer->link->Send(message);
  }
}

RolloutUpdate RolloutExchange::NewUpdate(const std::string& service) const {
  RolloutUpdate update;
  update.record = *book_.Find(service);
  update.record.elapsed =
      duration_cast<ProxyDuration>(steady_clock::now() - book_.OrderedAt(service));
  return update;
}

void RolloutExchange::SendCounts(const std::string& service,
                                 const std::vector<std::string>& receivers) {
  const std::optional<UpstreamReport>& upstream = local_->registry().current();
  if (!upstream || upstream->service != service) return;
  ServerCounts* counts = CountsOf(*upstream);
  if (counts == nullptr) return;
  counts->active = static_cast<uint32_t>(local_->active());
  for (const std::string& it : receivers) Send(it, RolloutCounts{service, *counts});
}

void RolloutExchange::StartWriter(const std::string& service, Active* active) {
  const auto now = steady_clock::now();
  active->writer = std::make_unique<Writer>(
      Writer{active->order,
             RolloutPolicy(active->order, *settings_->rollout, book_.OrderedAt(service), now),
             {},
             now,
             now,
             false,
             -1});
  for (const auto& [node, counts] : active->counts) {
    active->writer->policy.OnCounts(now, node, counts);
  }
  LogEvent(LogLevel::kInfo, "rollout", "writer")
      .Add("service", service)
      .Add("target_version", active->order.target_version)
      .Add("known_servers", active->counts.size());
}

void RolloutExchange::RunWriter(const std::string& service, Active* active,
                                const std::vector<std::string>& reachable) {
  if (active->writer == nullptr) StartWriter(service, active);
  Writer& writer = *active->writer;
  const auto now = steady_clock::now();
  size_t targets = 0;
  std::vector<std::string> others;
  for (const auto& [node, peer] : directory_->peers()) {
    if (!peer->status.ready || peer->status.service != service || !peer->up()) continue;
    if (peer->status.version == active->order.target_version) {
      ++targets;
    } else {
      others.push_back(node);
    }
  }
  writer.policy.SetServers(targets, others.size());
  RolloutDecision decision;
  if (book_.Find(service)->phase == RolloutPhase::kCanary) {
    decision = writer.policy.Decide(now);
    if (decision.verdict != RolloutVerdict::kNone) {
      const bool good = decision.verdict == RolloutVerdict::kGood;
      book_.SetPhase(service, good ? RolloutPhase::kShifting : RolloutPhase::kStopped);
      metrics_->Count("rollout_verdicts_total", good ? "good" : decision.reason);
      LogEvent(good ? LogLevel::kInfo : LogLevel::kWarn, "rollout", good ? "good" : "bad")
          .Add("service", service)
          .Add("target_version", active->order.target_version)
          .Add("reason", decision.reason)
          .Add("requests_to_target", writer.policy.exposed())
          .Add("requests", writer.policy.requests())
          .Add("after_ms", (now - book_.OrderedAt(service)) / milliseconds(1));
    }
    metrics_->Set("rollout_share", decision.share);
    if (std::abs(decision.share - std::exchange(writer.logged_share, decision.share)) >= 0.01) {
      LogEvent(LogLevel::kInfo, "rollout", "share")
          .Add("service", service)
          .Add("share", decision.share)
          .Add("servers", decision.servers)
          .Add("requests_to_target", writer.policy.exposed())
          .Add("requests", writer.policy.requests());
    }
  }
  RolloutUpdate update = NewUpdate(service);
  update.decision = decision;
  Broadcast(update);
  Apply(settings_->node, update);
  switch (update.record.phase) {
    case RolloutPhase::kCanary:
      if (update.record.state == RolloutState::kNew &&
          now >= writer.started_at + RolloutPolicy::kSettleTime) {
        Write(service, &writer, RolloutState::kRunning);
      }
      return;
    case RolloutPhase::kShifting:
      if (writer.shift.MayComplete(now, reachable, others)) {
        Write(service, &writer, RolloutState::kCompleted);
      }
      return;
    case RolloutPhase::kStopped:
      return Write(service, &writer, RolloutState::kRolledBack);
  }
}

void RolloutExchange::Write(const std::string& service, Writer* writer, RolloutState state) {
  const auto now = steady_clock::now();
  if (writer->writing || now < writer->next_write) return;
  writer->writing = true;
  write_status_(*book_.Find(service), state, [this, service, state](std::error_code ec) {
    LogEvent(ec ? LogLevel::kWarn : LogLevel::kInfo, "rollout", ec ? "write_failed" : "written")
        .Add("service", service)
        .Add("state", ToString(state))
        .Add("error", ec ? ec.message() : "");
    metrics_->Count(ec ? "rollout_writes_failed_total" : "rollout_writes_total", ToString(state));
    // The roll-out, or the role of this sidecar, may have ended in the meantime.
    const auto it = active_.find(service);
    if (it == active_.end() || it->second.writer == nullptr) return;
    it->second.writer->writing = false;
    if (ec) it->second.writer->next_write = steady_clock::now() + kWriteRetryDelay;
  });
}

void RolloutExchange::Apply(const std::string& node, const RolloutUpdate& update) {
  const std::string& service = update.record.order.service;
  const auto it = active_.find(service);
  if (!update.decision || it == active_.end() || it->second.order != update.record.order) return;
  if (book_.TrafficOf(service) == RolloutTraffic::kTargetOnly) {
    Send(node, RolloutTold{service, update.record.order.target_version});
  }
  // While views of reachability differ, there may be two writers. Each sender follows one of them.
  if (node != it->second.writer_node) return;
  const auto now = steady_clock::now();
  ProxyDuration valid_for = std::min<ProxyDuration>(kLease, settings_->rollout->rollback_time / 2);
  if (update.decision->valid_for.count() > 0) {
    valid_for = std::min(valid_for, update.decision->valid_for);
  }
  it->second.gate.Set(*update.decision, now + valid_for);
}

void RolloutExchange::OnCounts(const std::string& node, const RolloutCounts& message) {
  const auto it = active_.find(message.service);
  if (it == active_.end()) return;
  it->second.counts[node] = message.counts;
  if (it->second.writer == nullptr) return;
  const auto now = steady_clock::now();
  it->second.writer->policy.OnCounts(now, node, message.counts);
  it->second.writer->shift.OnActive(now, node, message.counts.active);
}

void RolloutExchange::OnMessage(const std::string& node, const PeerMessage& message) {
  if (!enabled()) return;
  if (const auto* counts = std::get_if<RolloutCounts>(&message)) return OnCounts(node, *counts);
  if (const auto* told = std::get_if<RolloutTold>(&message)) {
    const auto it = active_.find(told->service);
    if (it == active_.end() || it->second.writer == nullptr) return;
    if (it->second.order.target_version == told->target_version) {
      it->second.writer->shift.OnTold(node);
    }
    return;
  }
  if (const auto* update = std::get_if<RolloutUpdate>(&message)) {
    OnRecords({update->record});
    Apply(node, *update);
  }
}

ServerCounts* RolloutExchange::CountsOf(const UpstreamReport& upstream) {
  const auto it = active_.find(upstream.service);
  if (it == active_.end()) return nullptr;
  if (own_counts_.generation == 0 || own_counts_.version != upstream.version ||
      own_order_ != it->second.order) {
    own_counts_ = ServerCounts();
    own_counts_.version = upstream.version;
    own_counts_.generation = XXH64(&incarnation_, sizeof(incarnation_), ++generations_) | 1;
    own_order_ = it->second.order;
  }
  return &own_counts_;
}

void RolloutExchange::OnSent(const UpstreamReport& upstream) {
  if (ServerCounts* counts = CountsOf(upstream)) ++counts->requests;
}

void RolloutExchange::OnResponse(const UpstreamReport& upstream, uint64_t route, bool failed,
                                 ProxyDuration service_time) {
  if (ServerCounts* counts = CountsOf(upstream)) counts->AddResponse(route, failed, service_time);
}

bool RolloutExchange::ChooseTarget(const std::string& service) {
  if (book_.empty() || book_.TrafficOf(service) != RolloutTraffic::kSplit) return false;
  const auto it = active_.find(service);
  const bool to_target = it != active_.end() && it->second.gate.Next(steady_clock::now());
  metrics_->Count("rollout_requests_total", to_target ? "target" : "others");
  return to_target;
}

void RolloutExchange::Restrict(const std::string& service, bool to_target,
                               ServerCandidates* candidates) const {
  if (book_.empty()) return;
  const RolloutTraffic traffic = book_.TrafficOf(service);
  if (traffic == RolloutTraffic::kAll) return;
  const std::string& version = book_.Find(service)->order.target_version;
  ServerCandidates targets;
  ServerCandidates others;
  for (const ServerCandidate* it : *candidates) {
    const Peer* peer = directory_->Find(it->node);
    (peer != nullptr && peer->status.version == version ? targets : others).push_back(it);
  }
  switch (traffic) {
    case RolloutTraffic::kAll:
      return;
    case RolloutTraffic::kTargetOnly:
      *candidates = std::move(targets);
      return;
    case RolloutTraffic::kTargetPreferred:
      if (!targets.empty()) *candidates = std::move(targets);
      return;
    case RolloutTraffic::kOthersOnly:
      *candidates = std::move(others);
      return;
    case RolloutTraffic::kSplit:
      break;
  }
  if (!to_target || targets.empty()) {
    *candidates = std::move(others);
    return;
  }
  const uint32_t servers = active_.at(service).gate.servers(steady_clock::now());
  if (servers > 0 && servers < targets.size()) {
    std::vector<std::string> nodes;
    for (const ServerCandidate* it : targets) nodes.push_back(it->node);
    const std::vector<std::string> ranked = RankedNodes(version, nodes, servers);
    targets.erase(std::remove_if(targets.begin(), targets.end(),
                                 [&ranked](const ServerCandidate* it) {
                                   return std::find(ranked.begin(), ranked.end(), it->node) ==
                                          ranked.end();
                                 }),
                  targets.end());
  }
  *candidates = std::move(targets);
}

uint64_t RolloutExchange::RouteHash(const std::string& name) const {
  return enabled() ? XXH64(name.data(), name.size(), 0) : 0;
}

}  // namespace camphorhoist
