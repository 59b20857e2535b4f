#include "camphorhoist/upstream_gate.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// A refused call is remembered only while the ledger is emptier than this, so that refusals at
/// overload cannot fill it. The transport delivers a request at most once; remembering refusals is
/// a second line of defence.
constexpr double kRefusalShare = 0.5;
constexpr double kWarmUpStart = 0.25;

}  // namespace

const UpstreamGate::Policy UpstreamGate::kPolicies[] = {
    {"default", true, true, true},
    {"no_limit", false, false, false},
    {"single_queue", true, false, false},
};

UpstreamGate::UpstreamGate(const GateOptions& options, CallTime now)
    : UpstreamGate(kPolicies[0], options, now) {}

UpstreamGate::UpstreamGate(const Policy& policy, const GateOptions& options, CallTime now)
    : policy_(&policy),
      options_(options),
      created_(now),
      ledger_(options.ledger_capacity),
      limit_(options.slots) {}

std::optional<UpstreamGate> UpstreamGate::Create(const std::string& policy,
                                                 const GateOptions& options, CallTime now) {
  for (const Policy& it : kPolicies) {
    if (policy == it.name) return UpstreamGate(it, options, now);
  }
  return std::nullopt;
}

std::vector<std::string> UpstreamGate::PolicyNames() {
  std::vector<std::string> names;
  for (const Policy& it : kPolicies) names.emplace_back(it.name);
  return names;
}

GateEffects UpstreamGate::Offer(CallTime now, const GateCall& call) {
  const auto refusal = RefusalOf(now, call);
  if (refusal) {
    const double bound = kRefusalShare * static_cast<double>(ledger_.capacity());
    const bool remember = !ledger_.Find(call.id) && static_cast<double>(ledger_.size()) < bound;
    if (remember) ledger_.Void(call.id, now);
    return {Refuse{call.id, *refusal}};
  }
  const CallDuration wait = ExpectedWait(now, call.work_class);
  if (!ledger_.Begin(call.id, now)) return {Refuse{call.id, CallReason::kLedgerFull}};
  QueueOf(call.work_class).push_back({call, now});
  GateEffects effects;
  StartWaiting(now, &effects);
  if (ledger_.Find(call.id) == CallLedger::State::kQueued) {
    effects.emplace_back(Queued{call.id, wait});
  }
  return effects;
}

std::optional<CallReason> UpstreamGate::RefusalOf(CallTime now, const GateCall& call) const {
  const auto known = ledger_.Find(call.id);
  if (known == CallLedger::State::kVoided) return CallReason::kVoided;
  if (known) return CallReason::kDuplicateId;
  if (call.target_incarnation != options_.incarnation) return CallReason::kWrongIncarnation;
  if (draining_) return CallReason::kDraining;
  if (now >= call.deadline) return CallReason::kDeadline;
  if (!policy_->limited) {
    return running() >= options_.connections ? std::optional(CallReason::kOverloaded)
                                             : std::nullopt;
  }
  if (queued() >= kMaxQueuePerSlot * options_.slots) return CallReason::kQueueFull;
  const CallDuration wait = ExpectedWait(now, call.work_class);
  const CallDuration service = limit_.MeanService(call.work_class);
  if (wait > call.max_queue) return CallReason::kQueueFull;
  if (policy_->adaptive && now + wait + service > call.deadline) return CallReason::kQueueFull;
  return std::nullopt;
}

CallDuration UpstreamGate::ExpectedWait(CallTime now, WorkClass work_class) const {
  const uint32_t servers = std::max(limit(now), 1u);
  if (running() < servers && queued() == 0) return {};
  const auto short_work =
      limit_.MeanService(WorkClass::kShort) * static_cast<int64_t>(short_queue_.size() + 1);
  if (!policy_->classes || work_class == WorkClass::kShort) return short_work / servers;
  const auto long_work =
      limit_.MeanService(WorkClass::kLong) * static_cast<int64_t>(long_queue_.size() + 1);
  return long_work / std::max(LongLimit(now), 1u);
}

std::deque<UpstreamGate::Waiting>& UpstreamGate::QueueOf(WorkClass work_class) {
  const bool is_long = policy_->classes && work_class == WorkClass::kLong;
  return is_long ? long_queue_ : short_queue_;
}

uint32_t UpstreamGate::limit(CallTime now) const {
  if (!policy_->limited) return options_.connections;
  uint32_t limit = policy_->adaptive ? limit_.limit() : options_.slots;
  if (options_.warm_up.count() > 0 && now < created_ + options_.warm_up) {
    const double share = std::chrono::duration<double>(now - created_).count() /
                         std::chrono::duration<double>(options_.warm_up).count();
    const double warm = options_.slots * (kWarmUpStart + (1 - kWarmUpStart) * share);
    limit = std::min(limit, std::max(static_cast<uint32_t>(warm), 1u));
  }
  return std::min(limit, options_.connections);
}

uint32_t UpstreamGate::LongLimit(CallTime now) const {
  const uint32_t total = limit(now);
  const auto reserve = std::max(1u, static_cast<uint32_t>(std::ceil(total * kShortReserve)));
  // With a single slot there is nothing to reserve.
  return total <= 1 ? 1 : total - reserve;
}

bool UpstreamGate::MayStartLong(CallTime now) const {
  return !long_queue_.empty() && running_long_ < LongLimit(now);
}

std::deque<UpstreamGate::Waiting>* UpstreamGate::NextQueue(CallTime now) {
  const bool may_long = MayStartLong(now);
  if (may_long && !short_queue_.empty()) {
    const Waiting& oldest = long_queue_.front();
    const auto patience = std::chrono::duration_cast<CallDuration>(
        std::chrono::duration<double>(oldest.call.max_queue) * kLongAgingShare);
    const bool aged = now - oldest.since >= patience;
    return aged && oldest.since < short_queue_.front().since ? &long_queue_ : &short_queue_;
  }
  if (!short_queue_.empty()) return &short_queue_;
  return may_long ? &long_queue_ : nullptr;
}

void UpstreamGate::StartWaiting(CallTime now, GateEffects* effects) {
  DropExpired(now, &short_queue_, effects);
  DropExpired(now, &long_queue_, effects);
  while (running() < limit(now)) {
    std::deque<Waiting>* queue = NextQueue(now);
    if (queue == nullptr) return;
    const GateCall call = queue->front().call;
    queue->pop_front();
    ledger_.Start(call.id);
    running_.emplace(call.id, Running{call, now});
    if (call.work_class == WorkClass::kLong) ++running_long_;
    effects->emplace_back(StartCall{call.id});
  }
}

void UpstreamGate::DropExpired(CallTime now, std::deque<Waiting>* queue, GateEffects* effects) {
  for (auto it = queue->begin(); it != queue->end();) {
    const bool late = now >= it->call.deadline;
    const bool waited = now - it->since > it->call.max_queue;
    if (!late && !waited) {
      ++it;
      continue;
    }
    ledger_.Void(it->call.id, now);
    effects->emplace_back(
        Refuse{it->call.id, late ? CallReason::kDeadline : CallReason::kQueueTimeout});
    it = queue->erase(it);
  }
}

void UpstreamGate::OnHead(const CallId& id) {
  const auto it = running_.find(id);
  if (it != running_.end()) it->second.head = true;
}

GateEffects UpstreamGate::OnFinish(CallTime now, const CallId& id, CallDuration service_time,
                                   FinishKind kind) {
  GateEffects effects;
  const auto it = running_.find(id);
  if (it == running_.end()) return effects;
  const WorkClass work_class = it->second.call.work_class;
  const bool cancelled = it->second.cancelled;
  if (work_class == WorkClass::kLong) --running_long_;
  running_.erase(it);
  const bool shed = kind == FinishKind::kShed;
  ledger_.Settle(id, shed ? CallLedger::State::kVoided : CallLedger::State::kFinished, now);
  // A cancelled call says nothing about the service time.
  if (!cancelled) limit_.OnFinish(now, work_class, service_time, shed);
  StartWaiting(now, &effects);
  return effects;
}

bool UpstreamGate::Withdraw(CallTime now, const CallId& id) {
  for (std::deque<Waiting>* queue : {&short_queue_, &long_queue_}) {
    const auto it = std::find_if(queue->begin(), queue->end(),
                                 [&id](const Waiting& entry) { return entry.call.id == id; });
    if (it == queue->end()) continue;
    queue->erase(it);
    break;
  }
  return ledger_.Void(id, now);
}

GateEffects UpstreamGate::Cancel(CallTime now, const CallId& id) {
  const auto state = ledger_.Find(id);
  if (!state) {
    ledger_.Void(id, now);
    return {};
  }
  if (*state == CallLedger::State::kQueued) {
    Withdraw(now, id);
    return {Refuse{id, CallReason::kCancelled}};
  }
  const auto it = running_.find(id);
  if (it == running_.end() || it->second.cancelled || !it->second.call.idempotent) return {};
  it->second.cancelled = true;
  return {CancelRunning{id}};
}

UpstreamGate::Resolution UpstreamGate::Resolve(CallTime now, const CallId& id,
                                               uint64_t target_incarnation) {
  if (target_incarnation != options_.incarnation) return {ResolveState::kUnknown, {}};
  const auto state = ledger_.Find(id);
  if (state == CallLedger::State::kRunning) return {ResolveState::kStarted, {}};
  if (state == CallLedger::State::kFinished) return {ResolveState::kFinished, {}};
  const bool queued = state == CallLedger::State::kQueued;
  if (!Withdraw(now, id)) return {ResolveState::kUnknown, {}};
  Resolution resolution{ResolveState::kVoided, {}};
  if (queued) resolution.effects.emplace_back(Refuse{id, CallReason::kVoided});
  return resolution;
}

GateEffects UpstreamGate::Drain(CallTime now, DrainMode mode) {
  draining_ = true;
  GateEffects effects;
  if (mode == DrainMode::kNodeStops) return effects;
  RefuseAll(now, &short_queue_, &effects);
  RefuseAll(now, &long_queue_, &effects);
  return effects;
}

void UpstreamGate::RefuseAll(CallTime now, std::deque<Waiting>* queue, GateEffects* effects) {
  for (const Waiting& it : *queue) {
    ledger_.Void(it.call.id, now);
    effects->emplace_back(Refuse{it.call.id, CallReason::kDraining});
  }
  queue->clear();
}

GateEffects UpstreamGate::Tick(CallTime now) {
  GateEffects effects;
  ledger_.Expire(now);
  for (auto& it : running_) {
    Running& entry = it.second;
    const bool useless = now >= entry.call.deadline && !entry.head;
    if (!useless || entry.cancelled || !entry.call.idempotent) continue;
    entry.cancelled = true;
    effects.emplace_back(CancelRunning{it.first});
  }
  StartWaiting(now, &effects);
  return effects;
}

LoadReport UpstreamGate::load(CallTime now) const {
  return {static_cast<uint32_t>(queued()), static_cast<uint32_t>(running()), limit(now)};
}

}  // namespace camphorhoist
