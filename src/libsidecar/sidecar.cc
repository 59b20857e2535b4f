#include "libsidecar/sidecar.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "camphorhoist/election.h"
#include "libbase/log.h"
#include "platform/announcements.h"

namespace camphorhoist {

using std::chrono::steady_clock;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

const char* ToString(UpstreamRegistry::Change change) {
  switch (change) {
    case UpstreamRegistry::Change::kIgnored:
      return "ignored";
    case UpstreamRegistry::Change::kRefreshed:
      return "refreshed";
    case UpstreamRegistry::Change::kActivated:
      return "arrived";
    case UpstreamRegistry::Change::kDeactivated:
      return "leaving";
  }
  return "ignored";
}

}  // namespace

Sidecar::Sidecar(event_base* base, const SidecarSettings& settings, uint64_t incarnation)
    : base_(base),
      settings_(settings),
      incarnation_(incarnation),
      budget_({settings_.memory_bytes, settings_.max_descriptors}),
      pacer_(base, settings_.link_bytes_per_second),
      local_(base, settings_, [this] { OnUpstreamStatusChanged(); }),
      directory_(base, {[this] { return NewHello(); },
                        [this](Peer* peer, PeerMessage message) {
                          OnPeerMessage(peer, std::move(message));
                        },
                        [this](Peer* peer, const PeerHello& hello) {
                          store_.OnPeerVersion(peer->config_version);
                          permits_.OnPeerUp(hello);
                          dispatcher_.OnPeerUp(peer);
                        },
                        [this](Peer* peer, bool terminated) {
                          permits_.OnPeerDown(peer);
                          dispatcher_.OnPeerDown(peer, terminated);
                        },
                        [this](const PeerHello& hello) { rollouts_.OnRecords(hello.rollouts); },
                        [this](size_t bytes) { pacer_.OnShortMessage(bytes); }}),
      permits_(base, settings_.node, &directory_, &metrics_,
               [this](uint64_t ticket, const OrganisationLimiter::Result& result) {
                 dispatcher_.OnPermit(ticket, result);
               }),
      rollouts_(base, &settings_, incarnation, &directory_, &local_, &metrics_,
                [this](const RolloutRecord& record, RolloutState state,
                       RolloutExchange::OnWritten on_written) {
                  store_.WriteRolloutStatus(record, state, std::move(on_written));
                }),
      dispatcher_(base, &settings_, incarnation, &directory_, &local_, &permits_, &rollouts_,
                  &metrics_),
      peer_listener_(
          base, &local_, &pacer_, &budget_, &metrics_,
          {[this] { return NewHello(); }, [this](const PeerHello& hello) { OnPeerHello(hello); },
           [this] { store_.RestoreEntry(); }, [this] { return config_version(); },
           [this](const std::string& node, const PermitRequest& request) {
             return permits_.OnRequest(node, request);
           },
           [this](uint64_t held_version) { return NewerConfig(held_version); },
           [this](const std::string& node, const PeerMessage& message) {
             rollouts_.OnMessage(node, message);
           }}),
      caller_listener_(base, &dispatcher_, &pacer_, &budget_, &metrics_),
      ready_server_(base, ListenAddress::kReadiness, &budget_, &metrics_,
                    [this](const ControlRequest& request) { return HandleReady(request); }),
      announce_server_(
          base, ListenAddress::kAnnouncements, &budget_, &metrics_,
          [this](const ControlRequest& request) { return HandleAnnouncement(request); }),
      metrics_server_(base, ListenAddress::kMetrics, &budget_, &metrics_,
                      [this](const ControlRequest& request) { return HandleMetrics(request); }),
      store_(
          base, settings_,
          {[this](std::shared_ptr<const MeshConfig> config) {
             permits_.SetConfig(*config);
             dispatcher_.SetConfig(std::move(config));
             if (store_.watching()) BroadcastStoreStatus();
           },
           [this](const SidecarEntry& entry) {
             directory_.AddOrUpdate(entry.node, *NetAddress::Parse(entry.address),
                                    entry.data_centre, true);
             directory_.SetStopped(entry.node, entry.stopped, entry.is_lost);
             for (const UpstreamDeparture& it : entry.departures) {
               directory_.OnDeparture(entry.node, it);
             }
           },
           [this](const std::string& node) { OnEntryRemoved(node); },
           [this](const std::set<std::string>& nodes) { OnEntriesListed(nodes); },
           [this] { permits_.OnEntriesListed(); }, [this] { BroadcastStoreStatus(); },
           [this](const SidecarEntry& entry) {
             local_.Restore(entry.departures);
             PersistDepartures();
           },
           [this](uint64_t held_version) { RequestConfig(held_version); },
           [this] {
             if (store_.watching()) BroadcastStoreStatus();
           },
           [this](const std::vector<RolloutRecord>& records) { rollouts_.OnStoreRecords(records); },
           [this](int64_t era, int64_t revision, const std::vector<RolloutRecord>& records) {
             rollouts_.OnStoreList(era, revision, records);
           }}),
      rng_(incarnation),
      election_timer_(base, [this] { ElectStoreWatchers(); }),
      stop_timer_(base, [this] { ContinueStop(); }) {
  if (pacer_.enabled()) {
    local_.SetEgress([this] { return pacer_.large_message_rate(); },
                     [this] { return pacer_.backlog(); });
  }
  directory_.AddSelf(settings_.node, settings_.data_centre);
}

bool Sidecar::Start(Findings* findings) {
  std::error_code ec;
  const auto check = [findings](bool opened, const char* place, const NetAddress& address) {
    if (!opened) findings->Add(place, "cannot listen on " + address.ToString());
  };
  check(peer_listener_.Start(settings_.peer_listen, &ec), "peers", settings_.peer_listen);
  check(caller_listener_.Start(settings_.caller_listen, &ec), "callers", settings_.caller_listen);
  check(ready_server_.Start(settings_.ready_listen), "readiness", settings_.ready_listen);
  check(announce_server_.Start(settings_.announce_listen), "announcements",
        settings_.announce_listen);
  if (settings_.metrics_listen) {
    check(metrics_server_.Start(*settings_.metrics_listen), "metrics", *settings_.metrics_listen);
  }
  if (!findings->empty()) return false;
  store_.Start();
  election_timer_.StartPeriodic(kWatcherElectionInterval);
  LogEvent(LogLevel::kInfo, "sidecar", "started")
      .Add("node", settings_.node)
      .Add("data_centre", settings_.data_centre)
      .Add("service", settings_.service)
      .Add("incarnation", incarnation_);
  return true;
}

uint64_t Sidecar::config_version() const {
  return dispatcher_.config() == nullptr ? 0 : dispatcher_.config()->version();
}

void Sidecar::PersistDepartures() {
  const auto& departures = local_.registry().departures();
  store_.SetDepartures({departures.begin(), departures.end()});
}

PeerHello Sidecar::NewHello() const {
  PeerHello hello;
  hello.node = settings_.node;
  hello.incarnation = incarnation_;
  hello.data_centre = settings_.data_centre;
  hello.address = settings_.peer_listen.ToString();
  hello.config_version = config_version();
  hello.upstream = local_.status();
  hello.store_lost = store_.store_lost();
  hello.store_era = store_.era();
  hello.rollouts = rollouts_.Records();
  hello.issued = permits_.Issued();
  return hello;
}

void Sidecar::OnUpstreamStatusChanged() {
  const UpstreamStatus status = local_.status();
  directory_.self()->status = status;
  directory_.UpdateLoad(directory_.self(), status.load);
  peer_listener_.Broadcast(status);
  PersistDepartures();
}

// Sidecars to which the store does not respond are elected last, so that the others take over
// watching while any of them remains.
void Sidecar::ElectStoreWatchers() {
  std::vector<MemberId> with_store;
  std::vector<MemberId> without_store;
  for (const auto& [node, peer] : directory_.peers()) {
    if (!peer->up() || peer->candidate.data_centre != settings_.data_centre) continue;
    const bool lost = peer->local() ? store_.store_lost() : peer->store_lost;
    const MemberId& member = peer->local() ? settings_.peer_listen : peer->address;
    (lost ? without_store : with_store).push_back(member);
  }
  const auto elected = [this](const std::vector<MemberId>& members, size_t count) {
    const std::vector<MemberId> watchers = ElectWatchers(members, settings_.data_centre, count);
    return std::find(watchers.begin(), watchers.end(), settings_.peer_listen) != watchers.end();
  };
  const size_t missing =
      kWatchersPerDataCentre - std::min(kWatchersPerDataCentre, with_store.size());
  store_.SetWatching(elected(with_store, kWatchersPerDataCentre) ||
                     elected(without_store, missing));
  std::set<std::string> lost;
  if (store_.watching() && permits_.enabled()) {
    lost = directory_.LostSince(steady_clock::now() - PermitIssuer::kSettleTime);
  }
  store_.SetLost(std::move(lost));
}

void Sidecar::BroadcastStoreStatus() {
  peer_listener_.Broadcast(StoreStatus{store_.version(), store_.store_lost(), store_.era()});
}

void Sidecar::OnEntryRemoved(const std::string& node) {
  directory_.OnEntryRemoved(node);
  Peer* peer = directory_.Find(node);
  if (peer == nullptr || peer->local() || !peer->up()) return;
  LogEvent(LogLevel::kInfo, "store", "entry_missing").Add("node", node);
  peer->link->Send(EntryMissing{});
}

void Sidecar::OnEntriesListed(const std::set<std::string>& nodes) {
  std::vector<std::string> missing;
  for (const auto& it : directory_.peers()) {
    if (nodes.count(it.first) == 0) missing.push_back(it.first);
  }
  for (const std::string& node : missing) OnEntryRemoved(node);
}

void Sidecar::OnPeerHello(const PeerHello& hello) {
  const std::optional<NetAddress> address = NetAddress::Parse(hello.address);
  if (address && !hello.node.empty()) {
    directory_.AddOrUpdate(hello.node, *address, hello.data_centre, false);
  }
  directory_.OnHello(hello);
  if (!hello.bulk) permits_.OnHello(hello);
  store_.OnPeerVersion(hello.config_version);
  store_.OnPeerEra(hello.store_era);
  rollouts_.OnRecords(hello.rollouts);
  local_.OnRememberedStatus(hello.receiver_upstream);
  local_.Restore(hello.receiver_upstream.departures);
}

void Sidecar::OnPeerMessage(Peer* peer, PeerMessage message) {
  if (auto* result = std::get_if<CallResult>(&message)) {
    peer->config_version = std::max(peer->config_version, result->config_version);
    store_.OnPeerVersion(result->config_version);
    return dispatcher_.OnResult(peer, std::move(*result));
  }
  if (const auto* grant = std::get_if<PermitGrant>(&message)) return permits_.OnGrant(peer, *grant);
  if (const auto* document = std::get_if<ConfigDocument>(&message)) {
    return store_.OnPeerConfig(document->body);
  }
  if (auto* status = std::get_if<UpstreamStatus>(&message)) {
    directory_.SetStatus(peer, std::move(*status));
  }
  if (const auto* status = std::get_if<StoreStatus>(&message)) {
    peer->store_lost = status->lost;
    peer->config_version = std::max(peer->config_version, status->config_version);
    store_.OnPeerVersion(status->config_version);
    store_.OnPeerEra(status->era);
  }
}

void Sidecar::RequestConfig(uint64_t held_version) {
  std::vector<Peer*> nearby;
  std::vector<Peer*> remote;
  for (const auto& [node, peer] : directory_.peers()) {
    if (peer->local() || !peer->up() || peer->config_version <= held_version) continue;
    const bool is_nearby = peer->candidate.data_centre == settings_.data_centre;
    (is_nearby ? nearby : remote).push_back(peer.get());
  }
  const std::vector<Peer*>& peers = nearby.empty() ? remote : nearby;
  if (peers.empty()) return;
  Peer* peer = peers[rng_() % peers.size()];
  LogEvent(LogLevel::kInfo, "config", "requested_from_peer")
      .Add("node", peer->node)
      .Add("held_version", held_version)
      .Add("version", peer->config_version);
  peer->link->Send(ConfigRequest{held_version});
}

std::optional<ConfigDocument> Sidecar::NewerConfig(uint64_t held_version) const {
  if (store_.version() <= held_version) return std::nullopt;
  return ConfigDocument{store_.version(), store_.config_text()};
}

bool Sidecar::ready() const {
  return !stop_started_at_ && dispatcher_.config() != nullptr && store_.joined();
}

ControlResponse Sidecar::HandleReady(const ControlRequest& request) const {
  if (request.path != platform::kReadyPath) return {kNotFound, "text/plain", ""};
  return {ready() ? kOk : kServiceUnavailable, "text/plain", ""};
}

ControlResponse Sidecar::HandleAnnouncement(const ControlRequest& request) {
  const auto path = platform::ParseAnnouncementPath(request.path);
  if (!request.post || !path) return {kNotFound, "text/plain", ""};
  const bool heartbeat = path->call == platform::AnnouncementCall::kHeartbeat;
  Findings findings;
  const std::optional<UpstreamReport> report =
      heartbeat ? platform::DecodeHeartbeat(path->instance, request.body, &findings)
                : platform::DecodeDeregistration(path->instance, request.body, &findings);
  if (!report) {
    metrics_.Count("reports_rejected_total");
    LogEvent(LogLevel::kWarn, "upstream", "report_rejected")
        .Add("instance", path->instance)
        .Add("findings", findings.ToString());
    return {kBadRequest, "application/json", "{}"};
  }
  if (heartbeat && report->address != settings_.upstream.ToString()) {
    LogEvent(LogLevel::kWarn, "upstream", "report_of_other_address")
        .Add("instance", path->instance)
        .Add("address", report->address);
    return {kOk, "application/json", "{}"};
  }
  const UpstreamRegistry::Change change = local_.Apply(*report);
  if (change != UpstreamRegistry::Change::kRefreshed) {
    LogEvent(LogLevel::kInfo, "upstream", "report")
        .Add("instance", report->instance)
        .Add("sequence", report->sequence)
        .Add("state", static_cast<int>(report->state))
        .Add("change", ToString(change));
    PersistDepartures();
  }
  return {kOk, "application/json", "{}"};
}

ControlResponse Sidecar::HandleMetrics(const ControlRequest& request) {
  if (request.path != "/metrics") return {kNotFound, "text/plain", ""};
  metrics_.Set("config_version", static_cast<double>(config_version()));
  metrics_.Set("store_era", static_cast<double>(store_.era()));
  metrics_.Set("store_calls", static_cast<double>(store_.calls()));
  metrics_.Set("store_silence_seconds",
               std::chrono::duration<double>(steady_clock::now() - store_.last_response()).count());
  metrics_.Set("upstream_connections_opened", static_cast<double>(local_.connections_opened()));
  const ServerLoad load = local_.load();
  metrics_.Set("upstream_running", load.running);
  metrics_.Set("upstream_queued", load.queued);
  metrics_.Set("calls_active", static_cast<double>(dispatcher_.active()));
  metrics_.Set("caller_connections", static_cast<double>(caller_listener_.connections()));
  metrics_.Set("held_bytes", static_cast<double>(budget_.used_bytes()));
  metrics_.Set("peers", static_cast<double>(directory_.size()));
  return {kOk, "text/plain; version=0.0.4", metrics_.ToText()};
}

void Sidecar::Reload(const SidecarSettings& settings) {
  LogEvent(LogLevel::kInfo, "sidecar", "reloaded")
      .Add("service", settings.service)
      .Add("before", settings_.service);
  settings_.service = settings.service;
}

void Sidecar::Stop() {
  if (stop_started_at_) {
    event_base_loopbreak(base_);
    return;
  }
  LogEvent(LogLevel::kInfo, "sidecar", "stopping")
      .Add("calls", dispatcher_.active())
      .Add("upstream_calls", local_.active());
  stop_started_at_ = steady_clock::now();
  local_.SetLatestDeadline(stop_deadline());
  stop_timer_.StartOnce(kReadinessDetectionTime);
}

void Sidecar::ContinueStop() {
  // The store has not responded in time.
  if (writing_stopped_) return FinishStop();
  const auto now = steady_clock::now();
  caller_listener_.StopKeepAlive();
  dispatcher_.SetLatestDeadline(stop_deadline() - Dispatcher::kResultSlack);
  if (now >= stop_deadline() - kFinalDrainTime) {
    caller_listener_.Stop();
    local_.Stop();
    const bool idle = dispatcher_.active() == 0 && local_.active() == 0 && pacer_.empty();
    if (idle || now >= stop_deadline()) {
      writing_stopped_ = true;
      permits_.Stop();
      stop_timer_.StartOnce(kStoppedWriteTime);
      return store_.WriteStopped([this] { FinishStop(); });
    }
  }
  stop_timer_.StartOnce(kStopPollInterval);
}

void Sidecar::FinishStop() {
  LogEvent(LogLevel::kInfo, "sidecar", "stopped")
      .Add("cut_calls", dispatcher_.active())
      .Add("cut_upstream_calls", local_.active());
  stop_timer_.Stop();
  event_base_loopbreak(base_);
}

}  // namespace camphorhoist
