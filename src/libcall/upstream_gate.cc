#include "camphorhoist/upstream_gate.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// Refused calls are recorded in the ledger only while less than this share of it is in use, so
/// that refusals during overload cannot fill it. The record is only an additional safeguard: the
/// transport delivers a request at most once.
constexpr double kRefusalRecordShare = 0.5;
/// Share of the slots at the start of the warm-up.
constexpr double kWarmUpStartShare = 0.25;

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
      created_at_(now),
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
  const auto refusal = RefusalReason(now, call);
  if (refusal) {
    const double bound = kRefusalRecordShare * static_cast<double>(ledger_.capacity());
    const bool record_refusal =
        !ledger_.Find(call.id) && static_cast<double>(ledger_.size()) < bound;
    if (record_refusal) ledger_.Void(call.id, now);
    return {Refuse{call.id, *refusal}};
  }
  const CallDuration wait = ExpectedWait(now, call.work_class);
  if (!ledger_.AddQueued(call.id, now)) return {Refuse{call.id, CallReason::kLedgerFull}};
  QueueOf(call.work_class).push_back({call, now});
  GateEffects effects;
  StartQueued(now, &effects);
  if (ledger_.Find(call.id) == CallLedger::State::kQueued) {
    effects.emplace_back(Queued{call.id, wait});
  }
  return effects;
}

std::optional<CallReason> UpstreamGate::RefusalReason(CallTime now, const GateCall& call) const {
  const auto known = ledger_.Find(call.id);
  if (known == CallLedger::State::kVoided) return CallReason::kVoided;
  if (known) return CallReason::kDuplicateId;
  if (call.target_incarnation != options_.incarnation) return CallReason::kWrongIncarnation;
  if (draining_) return CallReason::kDraining;
  if (now >= call.deadline) return CallReason::kDeadline;
  if (!policy_->limits_concurrency) {
    return running() >= options_.connections ? std::optional(CallReason::kOverloaded)
                                             : std::nullopt;
  }
  if (queued() >= kMaxQueuePerSlot * options_.slots) return CallReason::kQueueFull;
  const CallDuration wait = ExpectedWait(now, call.work_class);
  const CallDuration service = limit_.MeanServiceTime(call.work_class);
  if (wait > call.max_queue) return CallReason::kQueueFull;
  if (policy_->adapts_limit && now + wait + service > call.deadline) return CallReason::kQueueFull;
  return std::nullopt;
}

CallDuration UpstreamGate::ExpectedWait(CallTime now, WorkClass work_class) const {
  const uint32_t servers = std::max(limit(now), 1u);
  if (running() < servers && queued() == 0) return {};
  const auto short_work =
      limit_.MeanServiceTime(WorkClass::kShort) * static_cast<int64_t>(short_queue_.size() + 1);
  if (!policy_->separates_classes || work_class == WorkClass::kShort) return short_work / servers;
  const auto long_work =
      limit_.MeanServiceTime(WorkClass::kLong) * static_cast<int64_t>(long_queue_.size() + 1);
  return long_work / std::max(LongCallLimit(now), 1u);
}

std::deque<UpstreamGate::QueuedCall>& UpstreamGate::QueueOf(WorkClass work_class) {
  const bool is_long = policy_->separates_classes && work_class == WorkClass::kLong;
  return is_long ? long_queue_ : short_queue_;
}

uint32_t UpstreamGate::limit(CallTime now) const {
  if (!policy_->limits_concurrency) return options_.connections;
  uint32_t limit = policy_->adapts_limit ? limit_.limit() : options_.slots;
  if (options_.warm_up.count() > 0 && now < created_at_ + options_.warm_up) {
    const double share = std::chrono::duration<double>(now - created_at_).count() /
                         std::chrono::duration<double>(options_.warm_up).count();
    const double warm = options_.slots * (kWarmUpStartShare + (1 - kWarmUpStartShare) * share);
    limit = std::min(limit, std::max(static_cast<uint32_t>(warm), 1u));
  }
  return std::min(limit, options_.connections);
}

uint32_t UpstreamGate::LongCallLimit(CallTime now) const {
  const uint32_t total = limit(now);
  const auto reserve = std::max(1u, static_cast<uint32_t>(std::ceil(total * kShortReserveShare)));
  // A single slot cannot be reserved, since long calls would never run.
  return total <= 1 ? 1 : total - reserve;
}

bool UpstreamGate::MayStartLong(CallTime now) const {
  return !long_queue_.empty() && running_long_ < LongCallLimit(now);
}

std::deque<UpstreamGate::QueuedCall>* UpstreamGate::NextQueue(CallTime now) {
  const bool may_start_long = MayStartLong(now);
  if (may_start_long && !short_queue_.empty()) {
    const QueuedCall& oldest = long_queue_.front();
    const auto aging_time = std::chrono::duration_cast<CallDuration>(
        std::chrono::duration<double>(oldest.call.max_queue) * kLongAgingShare);
    const bool aged = now - oldest.enqueued_at >= aging_time;
    return aged && oldest.enqueued_at < short_queue_.front().enqueued_at ? &long_queue_
                                                                         : &short_queue_;
  }
  if (!short_queue_.empty()) return &short_queue_;
  return may_start_long ? &long_queue_ : nullptr;
}

void UpstreamGate::StartQueued(CallTime now, GateEffects* effects) {
  RefuseExpired(now, &short_queue_, effects);
  RefuseExpired(now, &long_queue_, effects);
  while (running() < limit(now)) {
    std::deque<QueuedCall>* queue = NextQueue(now);
    if (queue == nullptr) return;
    const GateCall call = queue->front().call;
    queue->pop_front();
    ledger_.MarkRunning(call.id);
    running_.emplace(call.id, RunningCall{call, now});
    if (call.work_class == WorkClass::kLong) ++running_long_;
    effects->emplace_back(StartCall{call.id});
  }
}

void UpstreamGate::RefuseExpired(CallTime now, std::deque<QueuedCall>* queue,
                                 GateEffects* effects) {
  for (auto it = queue->begin(); it != queue->end();) {
    const bool past_deadline = now >= it->call.deadline;
    const bool waited_too_long = now - it->enqueued_at > it->call.max_queue;
    if (!past_deadline && !waited_too_long) {
      ++it;
      continue;
    }
    ledger_.Void(it->call.id, now);
    effects->emplace_back(
        Refuse{it->call.id, past_deadline ? CallReason::kDeadline : CallReason::kQueueTimeout});
    it = queue->erase(it);
  }
}

void UpstreamGate::OnHead(const CallId& id) {
  const auto it = running_.find(id);
  if (it != running_.end()) it->second.head_received = true;
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
  // The duration of a cancelled call is not a valid service time.
  if (!cancelled) limit_.OnFinish(now, work_class, service_time, shed);
  StartQueued(now, &effects);
  return effects;
}

bool UpstreamGate::Withdraw(CallTime now, const CallId& id) {
  for (std::deque<QueuedCall>* queue : {&short_queue_, &long_queue_}) {
    const auto it = std::find_if(queue->begin(), queue->end(),
                                 [&id](const QueuedCall& entry) { return entry.call.id == id; });
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

void UpstreamGate::RefuseAll(CallTime now, std::deque<QueuedCall>* queue, GateEffects* effects) {
  for (const QueuedCall& it : *queue) {
    ledger_.Void(it.call.id, now);
    effects->emplace_back(Refuse{it.call.id, CallReason::kDraining});
  }
  queue->clear();
}

GateEffects UpstreamGate::Tick(CallTime now) {
  GateEffects effects;
  ledger_.Expire(now);
  for (auto& it : running_) {
    RunningCall& entry = it.second;
    const bool overdue = now >= entry.call.deadline && !entry.head_received;
    if (!overdue || entry.cancelled || !entry.call.idempotent) continue;
    entry.cancelled = true;
    effects.emplace_back(CancelRunning{it.first});
  }
  StartQueued(now, &effects);
  return effects;
}

LoadReport UpstreamGate::load(CallTime now) const {
  return {static_cast<uint32_t>(queued()), static_cast<uint32_t>(running()), limit(now)};
}

}  // namespace camphorhoist
