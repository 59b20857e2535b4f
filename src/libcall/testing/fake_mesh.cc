#include "libcall/testing/fake_mesh.h"

#include <algorithm>
#include <stdexcept>

namespace camphorhoist {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kServiceTime(20);
constexpr int kSlowServiceFactor = 30;
constexpr milliseconds kPingTimeout(300);
constexpr milliseconds kPauseDuration(450);
constexpr milliseconds kPartitionDuration(600);
constexpr milliseconds kRestartDelay(100);
/// Delay after which the sender learns of a change of the endpoints.
constexpr milliseconds kDiscoveryDelay(200);
/// A session has a few hundred events; one that exceeds this limit does not end.
constexpr size_t kMaxEvents = 100000;
constexpr const char* kService = "orders";

std::string ResponsePart(uint64_t call, int position) {
  return "[" + std::to_string(call) + "." + std::to_string(position) + "]";
}

}  // namespace

const char* ToText(Step step) {
  static const char* const kTexts[kSteps] = {
      "call", "head", "chunk", "end", "not-run", "failed", "resolve", "resolve-reply", "cancel"};
  return kTexts[static_cast<int>(step)];
}

const char* ToText(Fault fault) {
  static const char* const kTexts[kFaults] = {
      "lost",  "delayed", "duplicated", "reordered", "crossed", "crash", "restart",
      "pause", "silent",  "partition",  "drain",     "slow",    "shed",  "break"};
  return kTexts[static_cast<int>(fault)];
}

std::string MeshResponse(uint64_t call) { return ResponsePart(call, 0) + ResponsePart(call, 1); }

FakeMesh::FakeMesh(const MeshScenario& scenario) : scenario_(scenario), rng_(scenario.seed) {
  for (const Injection& it : scenario.injections) pending_injections_.push_back({it, it.nth});
  nodes_.resize(static_cast<size_t>(scenario.nodes));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].endpoint.service = kService;
    nodes_[i].endpoint.upstream = NetAddress("10.0.0." + std::to_string(i + 1), 80);
    nodes_[i].endpoint.node = NetAddress("10.0.0." + std::to_string(i + 1), 7000);
    nodes_[i].endpoint.node_incarnation = 100 * (i + 1);
    StartNode(i);
  }
  nodes_[0].slow = scenario.slow_first;
  // Enough samples that calls are hedged or moved after about 25 ms.
  for (int i = 0; i < 60; ++i) hedge_.OnLatency(kServiceTime);
  PublishCandidates();
  calls_.resize(static_cast<size_t>(scenario.calls));
  for (size_t i = 0; i < calls_.size(); ++i) {
    RunAt(now_ + milliseconds(i), [this, i] { BeginCall(i); });
  }
}

FakeMesh::~FakeMesh() = default;

const Trace& FakeMesh::Run() {
  size_t left = kMaxEvents;
  while (!events_.empty()) {
    if (left-- == 0) throw std::runtime_error("session exceeded the event limit");
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  return trace_;
}

bool FakeMesh::all_injected() const {
  return std::all_of(pending_injections_.begin(), pending_injections_.end(),
                     [](const PendingInjection& it) { return it.done; });
}

void FakeMesh::RunAt(CallTime at, std::function<void()> run) {
  events_.push({at, order_++, std::move(run)});
}

void FakeMesh::AddNote(size_t call, const CallId& attempt, const std::string& text) {
  trace_.push_back({now_, TraceKind::kNote, call, attempt, "", text});
}

void FakeMesh::StartNode(size_t node) {
  Node& it = nodes_[node];
  GateOptions options;
  options.slots = 1;
  options.incarnation = it.endpoint.node_incarnation;
  options.ledger_capacity = 1000;
  it.gate.emplace(options, now_);
  it.up = true;
  ++it.connection;
}

void FakeMesh::PublishCandidates() {
  std::vector<BalancerCandidate> candidates;
  for (const Node& it : nodes_) {
    if (it.up && !it.draining) candidates.push_back({it.endpoint});
  }
  balancer_.SetCandidates(candidates);
}

void FakeMesh::BeginCall(size_t call) {
  CallSpec spec;
  spec.service = kService;
  spec.idempotent = scenario_.idempotent;
  spec.depth = scenario_.depth;
  spec.deadline = Deadline(now_ + kTimeout);
  spec.hedge = true;
  CallContext context{&balancer_, &retry_budget_, &hedge_, &rng_,
                      [this] { return CallId(1, ++next_id_); }};
  TraceEvent event{now_, TraceKind::kCallStarted, call};
  event.idempotent = scenario_.idempotent;
  trace_.push_back(event);
  calls_[call].coordinator = std::make_unique<CallCoordinator>(context, spec);
  Apply(call, calls_[call].coordinator->Start(now_));
  if (scenario_.abandon_call != static_cast<int>(call)) return;
  RunAt(now_ + kServiceTime / 2, [this, call] {
    trace_.push_back({now_, TraceKind::kAbandoned, call});
    Apply(call, calls_[call].coordinator->OnCallerAbandoned(now_));
  });
}

bool FakeMesh::IsToNode(Step step) {
  return step == Step::kCall || step == Step::kResolve || step == Step::kCancel;
}

void FakeMesh::Send(const Message& message) {
  AddNote(message.call, message.attempt, std::string("send ") + ToText(message.step));
  bool handled = false;
  for (PendingInjection& it : pending_injections_) {
    if (it.done || it.injection.step != message.step || it.remaining-- > 0) continue;
    it.done = true;
    AddNote(message.call, message.attempt, std::string("fault ") + ToText(it.injection.fault));
    const Fault fault = it.injection.fault;
    if (fault <= Fault::kCrossed) {
      handled = ApplyMessageFault(fault, message) || handled;
    } else {
      ApplyNodeFault(fault, message.node, message.connection);
    }
  }
  if (!handled) Schedule(message, {}, true);
}

bool FakeMesh::ApplyMessageFault(Fault fault, const Message& message) {
  Message copy = message;
  switch (fault) {
    case Fault::kLost:
      return true;
    case Fault::kDelayed:
      Schedule(message, milliseconds(150), true);
      return true;
    case Fault::kDuplicated:
      // Depending on the seed, the copy arrives soon or after the end of the call.
      Schedule(message, scenario_.seed % 2 == 0 ? milliseconds(3) : milliseconds(400), false);
      return false;
    case Fault::kReordered:
      Schedule(message, milliseconds(12), false);
      return true;
    default:
      // `kCrossed`: the message arrives at another node, or for another call.
      if (IsToNode(message.step)) {
        copy.node = (message.node + 1) % nodes_.size();
      } else {
        copy.call = (message.call + 1) % calls_.size();
      }
      Schedule(copy, {}, false);
      return true;
  }
}

void FakeMesh::ApplyNodeFault(Fault fault, size_t node, uint64_t connection) {
  Node& it = nodes_[node];
  switch (fault) {
    case Fault::kCrash:
      Crash(node);
      RunAt(now_ + kDiscoveryDelay, [this] { PublishCandidates(); });
      break;
    case Fault::kRestart:
      Crash(node);
      RunAt(now_ + kRestartDelay, [this, node] {
        ++nodes_[node].endpoint.node_incarnation;
        StartNode(node);
      });
      RunAt(now_ + kRestartDelay + kDiscoveryDelay, [this] { PublishCandidates(); });
      break;
    case Fault::kPause:
      it.paused_until = now_ + kPauseDuration;
      break;
    case Fault::kSilent:
      it.silent_since.emplace(connection, now_);
      break;
    case Fault::kPartition:
      it.partitioned_until = now_ + kPartitionDuration;
      break;
    case Fault::kDrain:
      if (!it.up || it.draining) break;
      it.draining = true;
      trace_.push_back({now_, TraceKind::kDrainStarted, 0, {}, it.endpoint.upstream.ToString()});
      Apply(node, it.gate->Drain(now_, DrainMode::kUpstreamLeaves));
      RunAt(now_ + kDiscoveryDelay, [this] { PublishCandidates(); });
      break;
    case Fault::kSlow:
      it.slow = true;
      break;
    case Fault::kShed:
      it.shed_next = true;
      break;
    default:
      it.break_next = true;
      break;
  }
}

void FakeMesh::Crash(size_t node) {
  Node& it = nodes_[node];
  if (!it.up) return;
  it.up = false;
  it.gate.reset();
  it.requests.clear();
  RunAt(now_ + milliseconds(1), [this, node] { ReportLostConnections(node); });
}

void FakeMesh::ReportLostConnections(size_t node) {
  for (size_t call = 0; call < calls_.size(); ++call) {
    const auto sent = calls_[call].sent_requests;
    for (const auto& it : sent) {
      if (it.second.node != node) continue;
      Apply(call, calls_[call].coordinator->OnConnectionLost(now_, it.first, true));
    }
  }
}

void FakeMesh::Schedule(const Message& message, CallDuration extra, bool in_order) {
  Node& node = nodes_[message.node];
  CallTime at = now_ + milliseconds(1) + extra + microseconds(rng_() % 500);
  at = std::max(at, node.partitioned_until);
  if (in_order) {
    CallTime& last = node.last_delivery[IsToNode(message.step) ? 0 : 1][message.connection];
    at = std::max(at, last + microseconds(1));
    last = at;
  }
  RunAt(at, [this, message] { Deliver(message); });
}

void FakeMesh::Deliver(const Message& message) {
  Node& node = nodes_[message.node];
  if (node.silent_since.count(message.connection) > 0) return;
  if (now_ < node.paused_until) {
    RunAt(node.paused_until, [this, message] { Deliver(message); });
    return;
  }
  if (IsToNode(message.step)) {
    DeliverToNode(message);
  } else {
    DeliverToSender(message);
  }
}

void FakeMesh::DeliverToNode(const Message& message) {
  Node& node = nodes_[message.node];
  if (!node.up) return;
  if (message.step == Step::kCancel) {
    Apply(message.node, node.gate->Cancel(now_, message.attempt));
    return;
  }
  if (message.step == Step::kResolve) {
    const auto resolution = node.gate->Resolve(now_, message.attempt, message.incarnation);
    Message reply = message;
    reply.step = Step::kResolveReply;
    reply.state = resolution.state;
    Apply(message.node, resolution.effects);
    Send(reply);
    return;
  }
  node.requests.emplace(message.attempt, message);
  GateCall call;
  call.id = message.attempt;
  call.target_incarnation = message.incarnation;
  call.deadline = now_ + message.timeout;
  call.idempotent = scenario_.idempotent;
  Apply(message.node, node.gate->Offer(now_, call));
  ScheduleTick(message.node);
}

void FakeMesh::ScheduleTick(size_t node) {
  Node& it = nodes_[node];
  if (it.tick_pending || !it.up || it.gate->idle()) return;
  it.tick_pending = true;
  RunAt(std::max(now_ + milliseconds(10), it.paused_until), [this, node] {
    nodes_[node].tick_pending = false;
    if (!nodes_[node].up) return;
    Apply(node, nodes_[node].gate->Tick(now_));
    ScheduleTick(node);
  });
}

void FakeMesh::Apply(size_t node, const GateEffects& effects) {
  for (const GateEffect& it : effects) {
    std::visit([this, node](const auto& effect) { ApplyEffect(node, effect); }, it);
  }
}

void FakeMesh::ApplyEffect(size_t, const Queued&) {}

void FakeMesh::ApplyEffect(size_t node, const Refuse& effect) {
  Message message;
  message.reason = effect.reason;
  SendBack(node, effect.id, Step::kNotRun, message);
}

void FakeMesh::ApplyEffect(size_t node, const CancelRunning& effect) {
  const uint64_t incarnation = nodes_[node].endpoint.node_incarnation;
  RunAt(now_ + milliseconds(1), [this, node, incarnation, effect] {
    FinishCall(node, incarnation, effect.id, milliseconds(1), FinishKind::kError);
  });
}

void FakeMesh::ApplyEffect(size_t node, const StartCall& effect) {
  Node& it = nodes_[node];
  const uint64_t incarnation = it.endpoint.node_incarnation;
  const CallId id = effect.id;
  const size_t call = it.requests.at(id).call;
  if (it.shed_next) {
    it.shed_next = false;
    RunAt(now_ + milliseconds(1), [this, node, incarnation, id] {
      FinishCall(node, incarnation, id, milliseconds(1), FinishKind::kShed);
    });
    return;
  }
  trace_.push_back({now_, TraceKind::kRunStarted, call, id, it.endpoint.upstream.ToString()});
  const CallDuration service = it.slow ? kServiceTime * kSlowServiceFactor : kServiceTime;
  const bool breaks_response = std::exchange(it.break_next, false);
  // Depending on the seed, the response breaks off before the head or in the middle.
  const int parts = !breaks_response ? 2 : static_cast<int>(scenario_.seed % 2);
  for (int i = 0; i < parts; ++i) {
    RunAt(now_ + service * (i + 1) / 3, [this, node, incarnation, id, call, i] {
      if (nodes_[node].endpoint.node_incarnation != incarnation || !nodes_[node].up) return;
      nodes_[node].gate->OnHead(id);
      Message message;
      message.part = ResponsePart(call, i);
      message.position = i;
      SendBack(node, id, i == 0 ? Step::kHead : Step::kChunk, message);
    });
  }
  RunAt(now_ + service, [this, node, incarnation, id, service, breaks_response, call] {
    trace_.push_back({now_, TraceKind::kRunFinished, call, id});
    FinishCall(node, incarnation, id, service,
               breaks_response ? FinishKind::kError : FinishKind::kOk);
  });
}

void FakeMesh::FinishCall(size_t node, uint64_t incarnation, const CallId& attempt,
                          CallDuration time, FinishKind kind) {
  Node& it = nodes_[node];
  if (!it.up || it.endpoint.node_incarnation != incarnation) return;
  if (it.gate->ledger().Find(attempt) != CallLedger::State::kRunning) return;
  if (now_ < it.paused_until) {
    RunAt(it.paused_until, [=] { FinishCall(node, incarnation, attempt, time, kind); });
    return;
  }
  Message message;
  message.reason = kind == FinishKind::kShed ? CallReason::kShed : CallReason::kUpstreamFailed;
  message.position = 2;
  const Step step = kind == FinishKind::kOk     ? Step::kEnd
                    : kind == FinishKind::kShed ? Step::kNotRun
                                                : Step::kFailed;
  SendBack(node, attempt, step, message);
  // The fault of the scenario may crash the node at the step just taken.
  if (!it.up) return;
  Apply(node, it.gate->OnFinish(now_, attempt, time, kind));
}

void FakeMesh::SendBack(size_t node, const CallId& attempt, Step step, Message message) {
  const auto request = nodes_[node].requests.find(attempt);
  if (request == nodes_[node].requests.end()) return;
  message.step = step;
  message.attempt = attempt;
  message.call = request->second.call;
  message.node = node;
  message.connection = request->second.connection;
  Send(message);
}

void FakeMesh::DeliverToSender(const Message& message) {
  CallCoordinator& call = *calls_[message.call].coordinator;
  AddNote(message.call, message.attempt, std::string("receive ") + ToText(message.step));
  switch (message.step) {
    case Step::kNotRun:
      Apply(message.call, call.OnNotRun(now_, message.attempt, message.reason, LoadReport{}));
      break;
    case Step::kFailed:
      Apply(message.call, call.OnUnknown(now_, message.attempt, message.reason));
      break;
    case Step::kResolveReply:
      Apply(message.call, call.OnResolved(now_, message.attempt, message.state));
      break;
    default:
      OnResponsePart(message.call, message);
      break;
  }
}

void FakeMesh::OnResponsePart(size_t call, const Message& message) {
  Call& it = calls_[call];
  if (message.step == Step::kHead) Apply(call, it.coordinator->OnHead(now_, message.attempt));
  const bool is_streaming = it.streamed_attempt == message.attempt;
  // A missing or misordered part: the body no longer matches its length.
  if (!is_streaming || message.position != it.next_position) {
    Apply(call, it.coordinator->OnBroken(now_, message.attempt));
    return;
  }
  ++it.next_position;
  if (message.step == Step::kEnd) {
    Apply(call, it.coordinator->OnFinished(now_, message.attempt, LoadReport{}));
    return;
  }
  if (it.replied) return;
  Apply(call, it.coordinator->OnProgress(now_, message.attempt));
  trace_.push_back({now_, TraceKind::kPartForwarded, call, message.attempt, "", message.part});
}

void FakeMesh::Apply(size_t call, const CallEffects& effects) {
  for (const CallEffect& it : effects) {
    std::visit([this, call](const auto& effect) { ApplyEffect(call, effect); }, it);
  }
}

size_t FakeMesh::NodeOf(const CallEndpoint& endpoint) const {
  size_t node = 0;
  while (nodes_[node].endpoint.upstream != endpoint.upstream) ++node;
  return node;
}

void FakeMesh::ApplyEffect(size_t call, const SendAttempt& effect) {
  const size_t node = NodeOf(effect.endpoint);
  Message message;
  message.call = call;
  message.attempt = effect.attempt;
  message.node = node;
  message.connection = nodes_[node].connection;
  message.incarnation = effect.endpoint.node_incarnation;
  message.timeout = effect.timeout;
  calls_[call].sent_requests[effect.attempt] = message;
  if (!nodes_[node].up) {
    RunAt(now_ + milliseconds(1), [this, call, effect] {
      Apply(call, calls_[call].coordinator->OnConnectionLost(now_, effect.attempt, false));
    });
    return;
  }
  Send(message);
  CheckConnection(call, effect.attempt);
}

void FakeMesh::CheckConnection(size_t call, const CallId& attempt) {
  if (calls_[call].replied || calls_[call].coordinator->done()) return;
  const Message& sent = calls_[call].sent_requests[attempt];
  Node& node = nodes_[sent.node];
  const auto silent = node.silent_since.find(sent.connection);
  const bool dropped = silent != node.silent_since.end() && now_ - silent->second >= kPingTimeout;
  const bool paused =
      now_ + kPauseDuration - kPingTimeout >= node.paused_until && now_ < node.paused_until;
  const bool partitioned = now_ + kPartitionDuration - kPingTimeout >= node.partitioned_until &&
                           now_ < node.partitioned_until;
  if (dropped || paused || partitioned) {
    if (sent.connection == node.connection) ++node.connection;
    Apply(call, calls_[call].coordinator->OnSilent(now_, attempt));
    return;
  }
  RunAt(now_ + milliseconds(50), [this, call, attempt] { CheckConnection(call, attempt); });
}

void FakeMesh::ApplyEffect(size_t call, const ResolveAttempt& effect) {
  Message message = calls_[call].sent_requests.at(effect.attempt);
  message.step = Step::kResolve;
  Node& node = nodes_[message.node];
  // A resolve request uses a new connection.
  message.connection = ++node.connection;
  if (node.up && now_ >= node.partitioned_until) Send(message);
  RunAt(now_ + (node.up ? kPingTimeout : milliseconds(1)), [this, call, effect] {
    Apply(call, calls_[call].coordinator->OnResolveFailed(now_, effect.attempt));
  });
}

void FakeMesh::ApplyEffect(size_t call, const CancelAttempt& effect) {
  Message message = calls_[call].sent_requests.at(effect.attempt);
  message.step = Step::kCancel;
  if (nodes_[message.node].up) Send(message);
}

void FakeMesh::ApplyEffect(size_t call, const StreamResponse& effect) {
  if (calls_[call].streamed_attempt) throw std::logic_error("more than one response was streamed");
  calls_[call].streamed_attempt = effect.attempt;
}

void FakeMesh::ApplyEffect(size_t call, const ReplyOutcome& effect) {
  calls_[call].replied = true;
  TraceEvent event{
      now_,
      TraceKind::kReplied,
      call,
      {},
      "",
      std::string(effect.result.header_value()) + " " + std::string(ToText(effect.result.reason))};
  event.outcome = effect.result.outcome;
  trace_.push_back(event);
}

void FakeMesh::ApplyEffect(size_t call, const SetTimer& effect) {
  const int timer = ++calls_[call].latest_timer;
  RunAt(effect.at, [this, call, timer] {
    if (timer != calls_[call].latest_timer) return;
    Apply(call, calls_[call].coordinator->OnTimer(now_));
  });
}

}  // namespace camphorhoist
