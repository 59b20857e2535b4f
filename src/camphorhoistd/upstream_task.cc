#include "camphorhoistd/upstream_task.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{10};
/// The default of `GateOptions` and `GateCall`. The gates need no other value because
/// `IsForThisRun` checks the incarnation first.
constexpr uint64_t kGateIncarnation = 0;
/// Bytes of a response that are buffered for a slow caller-side node before reading from the
/// upstream is paused.
constexpr size_t kPauseThresholdBytes = 256 << 10;

CallTime Now() { return std::chrono::steady_clock::now(); }

uint32_t ToMicros(CallDuration duration) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(micros, 0, UINT32_MAX));
}

EndpointState ToEndpointState(UpstreamState state) {
  switch (state) {
    case UpstreamState::kWarming:
      return EndpointState::kWarming;
    case UpstreamState::kServing:
      return EndpointState::kServing;
    case UpstreamState::kDraining:
      return EndpointState::kDraining;
  }
  return EndpointState::kDown;
}

NodeCallResult MakeResult(NodeOutcome outcome, CallReason reason) {
  NodeCallResult result;
  result.outcome = outcome;
  result.reason = std::string(ToText(reason));
  return result;
}

/// Maps a result of the upstream client to the result for the gate and the reply to the caller-side
/// node.
struct ResultMapping {
  UpstreamResult result;
  FinishKind kind;
  NodeOutcome outcome;
  CallReason reason;
};

constexpr ResultMapping kResultMappings[] = {
    {UpstreamResult::kWhole, FinishKind::kOk, NodeOutcome::kAnswered, CallReason::kNone},
    {UpstreamResult::kNeverSent, FinishKind::kError, NodeOutcome::kNotRun,
     CallReason::kConnectFailed},
    {UpstreamResult::kNoWholeAnswer, FinishKind::kError, NodeOutcome::kUnknown,
     CallReason::kAnswerBroken},
    {UpstreamResult::kTimedOut, FinishKind::kError, NodeOutcome::kUnknown, CallReason::kDeadline},
    {UpstreamResult::kShed, FinishKind::kShed, NodeOutcome::kNotRun, CallReason::kShed},
};

const ResultMapping& FindMapping(UpstreamResult result) {
  const auto* const it =
      std::find_if(std::begin(kResultMappings), std::end(kResultMappings),
                   [result](const ResultMapping& mapping) { return mapping.result == result; });
  return *it;
}

}  // namespace

/// One upstream with its admission control and its connections.
class UpstreamTask::Upstream {
 public:
  Upstream(event_base* base, const Options& options, const Announcement& announcement_in)
      : announcement(announcement_in),
        client(base, announcement.address, static_cast<size_t>(announcement.connections)),
        gate(*UpstreamGate::Create(options.admission, MakeGateOptions(announcement), Now())) {
    client.SetAcceptsCancel(announcement.accepts_cancel);
  }

  Announcement announcement;
  UpstreamClient client;
  UpstreamGate gate;

 private:
  static GateOptions MakeGateOptions(const Announcement& announcement) {
    GateOptions gate;
    gate.slots = static_cast<uint32_t>(announcement.slots);
    gate.connections = static_cast<uint32_t>(announcement.connections);
    return gate;
  }
};

/// One call that is queued for or running on an upstream.
class UpstreamTask::Call final : public ResponseSink {
 public:
  Call(UpstreamTask* owner, UpstreamPtr upstream, NodeCallRequest request,
       std::shared_ptr<ResponseWriter> writer)
      : upstream_(std::move(upstream)),
        request_(std::move(request)),
        owner_(owner),
        writer_(std::move(writer)),
        arrived_(Now()) {}

  ~Call() override {
    writer_->SetOnCancelled(nullptr);
    writer_->SetOnWritable(nullptr);
  }

  const CallId& id() const { return request_.id; }
  const UpstreamPtr& upstream() const { return upstream_; }
  ResponseWriter* writer() const { return writer_.get(); }
  CallTime started() const { return started_; }
  CallTime arrived() const { return arrived_; }

  GateCall ToGateCall() const {
    GateCall call;
    call.id = request_.id;
    call.deadline = arrived_ + std::chrono::milliseconds(request_.timeout_ms);
    call.work_class = request_.long_work ? WorkClass::kLong : WorkClass::kShort;
    call.idempotent = request_.idempotent;
    call.max_queue = std::chrono::milliseconds(request_.max_queue_ms);
    return call;
  }

  void Start() {
    started_ = Now();
    UpstreamRequest request;
    request.method = request_.method;
    request.target = request_.target;
    request.headers = std::move(request_.headers);
    request.body = std::move(request_.body);
    request.call_id = request_.id;
    request.depth = static_cast<int>(request_.depth);
    request.timeout = RemainingTimeout();
    handle_ = upstream_->client.Start(std::move(request), this);
  }

  void Abort() {
    upstream_->client.Cancel(handle_);
    handle_ = 0;
  }

  void OnHead(int status, HttpHeaders headers) override {
    upstream_->gate.OnHead(id());
    writer_->SendHead(status, std::move(headers));
    writer_->SetOnWritable([this] { Resume(); });
  }

  void OnData(std::string data) override {
    writer_->SendChunk(std::move(data));
    if (paused_ || writer_->buffered_bytes() < kPauseThresholdBytes) return;
    paused_ = true;
    upstream_->client.Pause(handle_);
  }

  void OnEnd(UpstreamResult result, const std::string& detail) override {
    handle_ = 0;
    if (result == UpstreamResult::kWhole) writer_->EndBody();
    const ResultMapping& mapping = FindMapping(result);
    if (mapping.outcome == NodeOutcome::kUnknown) {
      LogEvent(LogLevel::kInfo, "upstream", "call_failed")
          .Add("call", id().ToString())
          .Add("upstream", upstream_->announcement.address.ToString())
          .Add("result", ToString(result))
          .Add("detail", detail);
    }
    owner_->Finish(this, mapping.kind, MakeResult(mapping.outcome, mapping.reason));
  }

 private:
  std::chrono::milliseconds RemainingTimeout() const {
    const Deadline deadline(arrived_ + std::chrono::milliseconds(request_.timeout_ms));
    return std::max(deadline.NextHopTimeout(started_), std::chrono::milliseconds(1));
  }

  void Resume() {
    if (!paused_ || handle_ == 0) return;
    paused_ = false;
    upstream_->client.Resume(handle_);
  }

  UpstreamPtr upstream_;
  NodeCallRequest request_;
  UpstreamTask* owner_;
  std::shared_ptr<ResponseWriter> writer_;
  CallTime arrived_;
  CallTime started_{};
  UpstreamClient::Handle handle_ = 0;
  bool paused_ = false;
};

UpstreamTask::UpstreamTask(event_base* base, Options options,
                           CurrentIncarnation current_incarnation, EndpointListener listener)
    : base_(base),
      options_(std::move(options)),
      current_incarnation_(std::move(current_incarnation)),
      incarnations_(options_.incarnation),
      listener_(std::move(listener)),
      inbox_(base, [this](const UpstreamMessage& message) { OnMessage(message); }),
      announcements_(base, &inbox_),
      free_timer_(base, [this] { finished_calls_.clear(); }),
      tick_timer_(base, [this] { Tick(); }) {
  tick_timer_.StartPeriodic(kTickPeriod);
}

UpstreamTask::~UpstreamTask() {
  calls_.clear();
  finished_calls_.clear();
}

void UpstreamTask::OnMessage(const UpstreamMessage& message) {
  if (const auto* announced = std::get_if<UpstreamAnnounced>(&message)) {
    OnAnnounced(announced->announcement);
  } else if (const auto* draining = std::get_if<UpstreamDraining>(&message)) {
    OnDraining(draining->announcement);
  } else if (const auto* left = std::get_if<UpstreamLeft>(&message)) {
    OnLeft(left->announcement);
  }
  // Load reports are ignored: the gate measures queue and service times itself.
}

void UpstreamTask::OnAnnounced(const Announcement& announcement) {
  UpstreamPtr& upstream = upstreams_[announcement.address];
  if (upstream && upstream->announcement.slots == announcement.slots &&
      upstream->announcement.connections == announcement.connections &&
      upstream->announcement.instance == announcement.instance) {
    upstream->announcement = announcement;
  } else {
    if (upstream) Retire(std::move(upstream));
    upstream = std::make_shared<Upstream>(base_, options_, announcement);
    if (draining_) upstream->gate.Drain(Now(), DrainMode::kNodeStops);
  }
  LogEvent(LogLevel::kInfo, "upstream", "announced")
      .Add("service", announcement.service)
      .Add("upstream", announcement.address.ToString())
      .Add("state", ToString(announcement.state));
  PublishEndpoints();
}

void UpstreamTask::OnDraining(const Announcement& announcement) {
  const auto it = upstreams_.find(announcement.address);
  if (it == upstreams_.end()) return;
  Upstream* const upstream = it->second.get();
  upstream->announcement = announcement;
  LogEvent(LogLevel::kInfo, "upstream", "draining")
      .Add("upstream", announcement.address.ToString());
  // The new state is published before the queued calls are refused, so that they are not sent to
  // this upstream again.
  PublishEndpoints();
  Execute(upstream, upstream->gate.Drain(Now(), DrainMode::kUpstreamLeaves));
}

void UpstreamTask::OnLeft(const Announcement& announcement) {
  const auto it = upstreams_.find(announcement.address);
  if (it == upstreams_.end()) return;
  if (it->second->announcement.instance != announcement.instance) return;
  const UpstreamPtr upstream = it->second;
  upstreams_.erase(it);
  LogEvent(LogLevel::kInfo, "upstream", "left").Add("upstream", announcement.address.ToString());
  PublishEndpoints();
  Retire(upstream);
}

void UpstreamTask::Retire(UpstreamPtr upstream) {
  Execute(upstream.get(), upstream->gate.Drain(Now(), DrainMode::kUpstreamLeaves));
  retired_.push_back({std::move(upstream), Now()});
}

bool UpstreamTask::KnownToRetired(const CallId& id) const {
  return std::any_of(retired_.begin(), retired_.end(), [&id](const RetiredUpstream& it) {
    return it.upstream->gate.ledger().Find(id).has_value();
  });
}

void UpstreamTask::PublishEndpoints() {
  std::vector<EndpointInfo> endpoints;
  for (const auto& it : upstreams_) {
    const Announcement& announcement = it.second->announcement;
    endpoints.push_back({announcement.service, announcement.address,
                         static_cast<uint32_t>(announcement.slots),
                         ToEndpointState(announcement.state)});
  }
  listener_(std::move(endpoints));
}

void UpstreamTask::OnCall(NodeCallRequest request, const std::shared_ptr<ResponseWriter>& writer) {
  ++counters_.offered;
  if (!IsForThisRun(request.target_incarnation)) {
    ++counters_.refused;
    writer->Finish(MakeResult(NodeOutcome::kNotRun, CallReason::kWrongIncarnation));
    return;
  }
  const auto address = NetAddress::Parse(request.endpoint);
  const auto it = address ? upstreams_.find(*address) : upstreams_.end();
  if (it == upstreams_.end() || it->second->announcement.service != request.service) {
    ++counters_.refused;
    writer->Finish(MakeResult(NodeOutcome::kNotRun, CallReason::kUnknownUpstream));
    return;
  }
  const CallId id = request.id;
  if (voided_.Find(id)) {
    ++counters_.refused;
    writer->Finish(MakeResult(NodeOutcome::kNotRun, CallReason::kVoided));
    return;
  }
  if (calls_.count(id) != 0 || KnownToRetired(id)) {
    ++counters_.refused;
    writer->Finish(MakeResult(NodeOutcome::kUnknown, CallReason::kDuplicateId));
    return;
  }
  const UpstreamPtr upstream = it->second;
  auto call = std::make_unique<Call>(this, upstream, std::move(request), writer);
  const GateCall gate_call = call->ToGateCall();
  calls_.emplace(id, std::move(call));
  writer->SetOnCancelled(
      [this, upstream, id] { Execute(upstream.get(), upstream->gate.Cancel(Now(), id)); });
  Execute(upstream.get(), upstream->gate.Offer(Now(), gate_call));
}

// Queries every gate, because the upstream may have been replaced after the call was sent. A gate
// that does not know the id adds a tombstone for it.
ResolveReply UpstreamTask::OnResolve(const CallId& id, uint64_t target_incarnation) {
  ResolveReply reply;
  if (!IsForThisRun(target_incarnation)) return reply;
  std::vector<UpstreamPtr> all;
  for (const auto& it : upstreams_) all.push_back(it.second);
  for (const RetiredUpstream& it : retired_) all.push_back(it.upstream);
  reply.state = NodeCallState::kVoided;
  for (const UpstreamPtr& it : all) {
    const auto resolution = it->gate.Resolve(Now(), id, kGateIncarnation);
    if (resolution.state != ResolveState::kVoided) {
      reply.state = static_cast<NodeCallState>(resolution.state);
    }
    Execute(it.get(), resolution.effects);
  }
  // Without a tombstone in `voided_`, a request that arrives later could still be started.
  if (reply.state == NodeCallState::kVoided && !voided_.Void(id, Now())) {
    reply.state = NodeCallState::kUnknown;
  }
  return reply;
}

// Checked here and not in the gates, because the incarnation of a run changes when the node refutes
// a suspicion.
bool UpstreamTask::IsForThisRun(uint64_t target_incarnation) {
  incarnations_.Update(current_incarnation_());
  return incarnations_.Contains(target_incarnation);
}

void UpstreamTask::StartDraining() {
  draining_ = true;
  for (const auto& it : upstreams_) {
    Execute(it.second.get(), it.second->gate.Drain(Now(), DrainMode::kNodeStops));
  }
}

void UpstreamTask::Execute(Upstream* upstream, const GateEffects& effects) {
  for (const GateEffect& it : effects) {
    if (const auto* start = std::get_if<StartCall>(&it)) {
      StartOnUpstream(start->id);
    } else if (const auto* refuse = std::get_if<camphorhoist::Refuse>(&it)) {
      Refuse(upstream, *refuse);
    } else if (const auto* cancel = std::get_if<CancelRunning>(&it)) {
      CancelOnUpstream(cancel->id);
    }
  }
}

void UpstreamTask::StartOnUpstream(const CallId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  ++counters_.started;
  it->second->Start();
}

void UpstreamTask::Refuse(Upstream* upstream, const camphorhoist::Refuse& refuse) {
  const auto it = calls_.find(refuse.id);
  if (it == calls_.end()) return;
  ++counters_.refused;
  const NodeOutcome outcome =
      ProvesNotRun(refuse.reason) ? NodeOutcome::kNotRun : NodeOutcome::kUnknown;
  NodeCallResult result = MakeResult(outcome, refuse.reason);
  const LoadReport load = upstream->gate.load(Now());
  result.queue_length = load.queue_length;
  result.running = load.running;
  result.limit = load.limit;
  it->second->writer()->Finish(std::move(result));
  Remove(refuse.id);
}

void UpstreamTask::CancelOnUpstream(const CallId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->Abort();
  Finish(it->second.get(), FinishKind::kError,
         MakeResult(NodeOutcome::kUnknown, CallReason::kCancelled));
}

void UpstreamTask::Finish(Call* call, FinishKind kind, NodeCallResult result) {
  // Valid until the end of this function: a removed call is destroyed in a later turn of the loop.
  Upstream* const upstream = call->upstream().get();
  const CallTime now = Now();
  const CallId id = call->id();
  const GateEffects effects = upstream->gate.OnFinish(now, id, now - call->started(), kind);
  ++(kind == FinishKind::kOk ? counters_.answered : counters_.broken);
  const LoadReport load = upstream->gate.load(now);
  result.queue_length = load.queue_length;
  result.running = load.running;
  result.limit = load.limit;
  result.queue_micros = ToMicros(call->started() - call->arrived());
  result.service_micros = ToMicros(now - call->started());
  call->writer()->Finish(std::move(result));
  Remove(id);
  Execute(upstream, effects);
}

void UpstreamTask::Remove(const CallId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  finished_calls_.push_back(std::move(it->second));
  calls_.erase(it);
  free_timer_.StartOnce(std::chrono::microseconds(0));
}

void UpstreamTask::Tick() {
  const CallTime now = Now();
  incarnations_.Update(current_incarnation_());
  for (const auto& it : upstreams_) Execute(it.second.get(), it.second->gate.Tick(now));
  for (const RetiredUpstream& it : retired_) {
    Execute(it.upstream.get(), it.upstream->gate.Tick(now));
  }
  const auto expired = [now](const RetiredUpstream& it) {
    return it.upstream->gate.idle() && now - it.retired_at > CallLedger::kRetention;
  };
  retired_.erase(std::remove_if(retired_.begin(), retired_.end(), expired), retired_.end());
  voided_.Expire(now);
}

std::vector<UpstreamTask::View> UpstreamTask::Views() const {
  std::vector<View> views;
  for (const auto& it : upstreams_) {
    const Upstream& upstream = *it.second;
    View view;
    view.announcement = upstream.announcement;
    view.running = upstream.gate.running();
    view.queued = upstream.gate.queued();
    view.limit = upstream.gate.limit(Now());
    view.connections = upstream.client.open_connections();
    view.connections_opened = upstream.client.connections_opened();
    view.ledger_entries = upstream.gate.ledger().size();
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace camphorhoist
