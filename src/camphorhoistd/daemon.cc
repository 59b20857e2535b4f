#include "camphorhoistd/daemon.h"

#include <utility>

#include "camphorhoist/record.h"
#include "libbase/log.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kPlatformTimeout{3};
constexpr std::chrono::milliseconds kDrainCheckPeriod{20};
/// Minimum time for which a draining node still accepts connections and refuses new calls as not
/// run, so that callers and peers learn of the shutdown before the port is closed.
constexpr std::chrono::milliseconds kMinDrainTime{1000};
/// Delay between the leave announcement and the end of the loop, in which the last datagrams are
/// sent.
constexpr std::chrono::milliseconds kLeaveDelay{200};
/// Burst of platform calls; enough for the head and all 64 pages at a cold start.
constexpr double kPlatformBurst = 80;
constexpr uint32_t kLowestSchema = 1;

StoreBudget MakeStoreBudget(const Settings& settings) {
  StoreBudget budget;
  budget.reads_per_second = settings.platform_reads_per_second;
  budget.read_burst = kPlatformBurst;
  budget.writes_per_second = settings.platform_writes_per_second;
  budget.write_burst = kPlatformBurst;
  return budget;
}

void AddBindError(const char* flag, const NetAddress& address, const std::error_code& ec,
                  Findings* findings) {
  if (ec) findings->Add(flag, "cannot bind " + address.ToString() + ": " + ec.message());
}

}  // namespace

Daemon::Daemon(Settings settings, uint64_t incarnation)
    : settings_(std::move(settings)),
      identity_{settings_.mesh, settings_.node_listen, incarnation},
      rng_(std::random_device{}()),
      platform_(loop_.base(), settings_.platform, kPlatformTimeout),
      store_(loop_.base(), &platform_, MakeStoreBudget(settings_)),
      drain_check_timer_(loop_.base(), [this] { CheckDrained(); }),
      stop_timer_(loop_.base(), [this] { loop_.Stop(); }) {}

Daemon::~Daemon() = default;

bool Daemon::Start(Findings* findings) {
  ListenForNodes(findings);
  CreateTasks();
  ConnectTasks();
  Listen(findings);
  if (!findings->empty()) return false;
  config_->Start(member_.get());
  LogEvent(LogLevel::kInfo, "daemon", "started")
      .Add("mesh", identity_.mesh)
      .Add("data_centre", settings_.data_centre)
      .Add("node", node_address().ToString())
      .Add("caller", caller_address().ToString())
      .Add("operator", operator_address().ToString())
      .Add("upstream", upstream_address().ToString())
      .Add("incarnation", identity_.incarnation);
  return true;
}

void Daemon::ListenForNodes(Findings* findings) {
  node_server_ = std::make_unique<NodeServer>(&loop_, identity_, static_cast<NodeService*>(this));
  const std::error_code ec = node_server_->Listen(settings_.node_listen);
  AddBindError("--node-listen", settings_.node_listen, ec, findings);
  if (!ec) identity_.address = node_server_->bound_address();
}

void Daemon::CreateTasks() {
  event_base* base = loop_.base();
  peers_ = std::make_unique<PeerPool>(&loop_, identity_);
  config_ = std::make_unique<ConfigTask>(
      base,
      ConfigTask::Options{identity_.address, settings_.data_centre, settings_.watch == "all",
                          settings_.config_transfer == "full"},
      &rng_, &store_, peers_.get(),
      [this](Snapshot::Ptr snapshot) { calls_->SetSnapshot(std::move(snapshot)); });
  MembershipOptions member;
  member.mesh = settings_.mesh;
  member.self = identity_.address;
  member.data_centre = settings_.data_centre;
  member.region = settings_.region;
  member.incarnation = identity_.incarnation;
  member.seeds = settings_.seeds;
  member.lowest_schema = kLowestSchema;
  member.highest_schema = kMaxSchema;
  member_ = std::make_unique<MemberTask>(base, member, &rng_, config_->inbox());
  upstreams_ = std::make_unique<UpstreamTask>(
      base, UpstreamTask::Options{identity_.incarnation, settings_.admission},
      [this] { return member_->membership().self().incarnation; },
      [this](std::vector<EndpointInfo> endpoints) {
        member_->PublishEndpoints(std::move(endpoints));
      });
  transport_ = std::make_unique<CallTransport>(base, identity_.address, peers_.get(),
                                               static_cast<NodeService*>(this));
  CallTask::Options call_options;
  call_options.balancer = settings_.balancer;
  call_options.hedging = settings_.hedging;
  call_options.max_calls = settings_.max_calls;
  call_options.max_buffered_bytes = settings_.max_buffered_bytes;
  calls_ = std::make_unique<CallTask>(base, std::move(call_options), &rng_, transport_.get(),
                                      &member_->endpoints());
  caller_server_ = std::make_unique<CallerServer>(base, calls_.get());
}

void Daemon::ConnectTasks() {
  member_->SetEndpointListener([this] { calls_->OnEndpointsChanged(); });
  OperatorTask::Sources sources;
  sources.settings = &settings_;
  sources.identity = &identity_;
  sources.config = config_.get();
  sources.member = member_.get();
  sources.calls = calls_.get();
  sources.upstreams = upstreams_.get();
  sources.server = node_server_.get();
  sources.peers = peers_.get();
  sources.traffic = &loop_.traffic();
  sources.platform = &store_.meter();
  sources.drain = [this] {
    if (!draining_) StartDraining();
  };
  sources.draining = [this] { return draining_; };
  operator_ = std::make_unique<OperatorTask>(std::move(sources));
  operator_server_ = std::make_unique<OperatorServer>(loop_.base(), operator_.get());
}

void Daemon::Listen(Findings* findings) {
  if (findings->empty()) {
    AddBindError("--node-listen (UDP)", identity_.address, member_->Start(), findings);
  }
  AddBindError("--upstream-listen", settings_.upstream_listen,
               upstreams_->Listen(settings_.upstream_listen), findings);
  AddBindError("--operator-listen", settings_.operator_listen,
               operator_server_->Listen(settings_.operator_listen), findings);
  AddBindError("--caller-listen", settings_.caller_listen,
               caller_server_->Listen(settings_.caller_listen), findings);
}

size_t Daemon::Run() {
  loop_.Run();
  return aborted_calls_;
}

void Daemon::Stop() {
  if (!draining_) return StartDraining();
  aborted_calls_ = InFlightCalls();
  LogEvent(LogLevel::kWarn, "daemon", "stopped_at_once").Add("cut_off", aborted_calls_);
  loop_.Stop();
}

void Daemon::StartDraining() {
  draining_ = true;
  drain_started_ = std::chrono::steady_clock::now();
  LogEvent(LogLevel::kInfo, "daemon", "draining").Add("in_flight", InFlightCalls());
  calls_->StartDraining();
  upstreams_->StartDraining();
  member_->StartDraining();
  drain_check_timer_.StartPeriodic(kDrainCheckPeriod);
}

void Daemon::CheckDrained() {
  const auto elapsed = std::chrono::steady_clock::now() - drain_started_;
  if (elapsed >= settings_.drain_timeout && InFlightCalls() > 0) return Stop();
  if (elapsed < kMinDrainTime || InFlightCalls() > 0 || leaving_) return;
  leaving_ = true;
  member_->Leave();
  caller_server_->StopAccepting([this] { FinishStop(); });
}

void Daemon::FinishStop() {
  LogEvent(LogLevel::kInfo, "daemon", "stopped").Add("cut_off", aborted_calls_);
  drain_check_timer_.Stop();
  stop_timer_.StartOnce(kLeaveDelay);
}

void Daemon::OnCall(NodeCallRequest request, std::shared_ptr<ResponseWriter> writer) {
  upstreams_->OnCall(std::move(request), writer);
}

ResolveReply Daemon::OnResolve(const CallId& id, uint64_t target_incarnation) {
  return upstreams_->OnResolve(id, target_incarnation);
}

ConfigDeltaMessage Daemon::OnPull(const ConfigVersion& version, const std::string& hash) {
  return config_->OnPull(version, hash);
}

FloorReply Daemon::OnFloor(const std::string& address) { return config_->OnFloor(address); }

}  // namespace camphorhoist
