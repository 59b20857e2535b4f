#include "camphorhoist/call_coordinator.h"

#include <algorithm>
#include <utility>

namespace camphorhoist {

namespace {

AttemptEnd AttemptEndOfRefusal(CallReason reason) {
  switch (reason) {
    case CallReason::kQueueFull:
    case CallReason::kQueueTimeout:
    case CallReason::kOverloaded:
    case CallReason::kShed:
    case CallReason::kLedgerFull:
      return AttemptEnd::kOverloaded;
    case CallReason::kConnectFailed:
      return AttemptEnd::kFailed;
    default:
      return AttemptEnd::kNotRun;
  }
}

/// Whether a retry after this refusal is exempt from the retry budget. The refused attempt never
/// reached an upstream, so the retry adds no load; the number of attempts still bounds it.
bool IsExemptFromRetryBudget(CallReason reason) {
  return reason == CallReason::kDraining || reason == CallReason::kWrongIncarnation ||
         reason == CallReason::kUnknownUpstream || reason == CallReason::kConnectFailed ||
         reason == CallReason::kVoided;
}

/// Whether the same upstream may be tried again because the cause lies in the connection to it.
bool MayReuseEndpoint(CallReason reason) {
  return reason == CallReason::kVoided || reason == CallReason::kSilent ||
         reason == CallReason::kConnectionLost || reason == CallReason::kConnectFailed;
}

}  // namespace

CallCoordinator::CallCoordinator(CallContext context, CallSpec spec)
    : context_(std::move(context)), spec_(std::move(spec)) {}

CallEffects CallCoordinator::Start(CallTime now) {
  const CallDuration total = spec_.deadline.at() - now;
  withdraw_at_ = spec_.deadline.at() - std::min<CallDuration>(kWithdrawMargin, total / 4);
  if (spec_.deadline.NextHopTimeout(now).count() <= 0) {
    Reply({Outcome::kNotRun, CallReason::kDeadline});
    return TakeEffects();
  }
  const auto endpoint = PickEndpoint(now, false);
  if (!endpoint) {
    Reply({Outcome::kNotRun, CallReason::kNoEndpoint});
    return TakeEffects();
  }
  Send(now, *endpoint);
  if (spec_.depth == 0 && !spec_.pinned && context_.hedge->Ready()) {
    hedge_at_ = now + context_.hedge->Delay();
  }
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnHead(CallTime now, const CallId& id) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr || head_sent_) return TakeEffects();
  attempt->state = State::kStreaming;
  attempt->head_latency = now - attempt->sent_at;
  head_sent_ = true;
  last_progress_ = now;
  effects_.emplace_back(StreamResponse{id});
  // Long calls are not hedged, and their latency would only distort the quantile.
  if (spec_.work_class == WorkClass::kShort) context_.hedge->OnLatency(attempt->head_latency);
  CancelLive(now, attempt);
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnProgress(CallTime now, const CallId& id) {
  const Attempt* attempt = FindLive(id);
  // The timer is not reset for each part; when it fires it is set again for the remaining time.
  if (attempt != nullptr && attempt->state == State::kStreaming) last_progress_ = now;
  return TakeEffects();
}

CallEffects CallCoordinator::OnFinished(CallTime now, const CallId& id,
                                        const std::optional<LoadReport>& load) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr) return TakeEffects();
  if (attempt->state != State::kStreaming) return OnBroken(now, id);
  context_.balancer->OnResult(
      attempt->endpoint, now,
      {AttemptEnd::kAnswered, attempt->head_latency, spec_.work_class, load});
  attempt->state = State::kMayHaveRun;
  context_.retry_budget->OnSuccess();
  Reply({Outcome::kAnswered, CallReason::kNone});
  return TakeEffects();
}

CallEffects CallCoordinator::OnBroken(CallTime now, const CallId& id) {
  return OnUnknown(now, id, CallReason::kAnswerBroken);
}

CallEffects CallCoordinator::OnNotRun(CallTime now, const CallId& id, CallReason reason,
                                      const std::optional<LoadReport>& load) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr) return TakeEffects();
  // The refusal of a duplicate does not tell whether the first copy ran.
  if (!ProvesNotRun(reason)) return TakeEffects();
  // A refusal after the response head is a protocol violation.
  if (attempt->state == State::kStreaming) return OnBroken(now, id);
  Settle(now, attempt, State::kNotRun, AttemptEndOfRefusal(reason), reason, load);
  ContinueOrReply(now, reason);
  return TakeEffects();
}

CallEffects CallCoordinator::OnUnknown(CallTime now, const CallId& id, CallReason reason) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr) return TakeEffects();
  Settle(now, attempt, State::kMayHaveRun, AttemptEnd::kFailed, reason);
  ContinueOrReply(now, reason);
  return TakeEffects();
}

CallEffects CallCoordinator::OnConnectionLost(CallTime now, const CallId& id, bool sent) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr) return TakeEffects();
  if (attempt->state == State::kStreaming) return OnBroken(now, id);
  if (!sent) return OnNotRun(now, id, CallReason::kConnectFailed, std::nullopt);
  if (spec_.idempotent && spec_.depth == 0) {
    return OnUnknown(now, id, CallReason::kConnectionLost);
  }
  attempt->connection = ConnectionState::kLost;
  Resolve(attempt);
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnSilent(CallTime now, const CallId& id) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr || attempt->connection != ConnectionState::kHealthy) return TakeEffects();
  if (attempt->state == State::kStreaming) return OnBroken(now, id);
  attempt->connection = ConnectionState::kSilent;
  last_reason_ = CallReason::kSilent;
  const bool sent_again = spec_.idempotent && SendAgain(now, CallReason::kSilent);
  // `SendAgain` may have reallocated `attempts_`, so `attempt` is looked up again.
  if (!sent_again) Resolve(FindLive(id));
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnResolved(CallTime now, const CallId& id, ResolveState state) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr || attempt->state == State::kStreaming) return TakeEffects();
  attempt->resolving = false;
  if (state == ResolveState::kVoided) {
    return OnNotRun(now, id, CallReason::kVoided, std::nullopt);
  }
  const bool may_respond =
      attempt->connection == ConnectionState::kHealthy ||
      (attempt->connection == ConnectionState::kSilent && state != ResolveState::kUnknown);
  if (!may_respond) {
    const bool lost = state == ResolveState::kFinished;
    return OnUnknown(now, id, lost ? CallReason::kAnswerLost : CallReason::kConnectionLost);
  }
  if (attempt->connection == ConnectionState::kSilent) {
    if (state == ResolveState::kFinished) {
      attempt->give_up_at = now + kLateResponseGrace;
    } else {
      attempt->next_resolve = now + kLateResponseGrace;
    }
  }
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnResolveFailed(CallTime now, const CallId& id) {
  Attempt* attempt = FindLive(id);
  if (attempt == nullptr || !attempt->resolving) return TakeEffects();
  if (attempt->state == State::kStreaming) return TakeEffects();
  attempt->resolving = false;
  ++attempt->failed_resolves;
  if (attempt->failed_resolves < kMaxResolves) {
    attempt->next_resolve = now + kResolveRetryDelay;
  } else if (attempt->connection != ConnectionState::kHealthy) {
    return OnUnknown(now, id, CallReason::kConnectionLost);
  }
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnTimer(CallTime now) {
  timer_at_ = CallTime{};
  if (done_) return TakeEffects();
  if (head_sent_) {
    FailIfStalled(now);
    UpdateTimer();
    return TakeEffects();
  }
  if (spec_.deadline.Expired(now)) {
    CancelLive(now, nullptr);
    ReplyNotRunOrUnknown(CallReason::kDeadline);
    return TakeEffects();
  }
  if (!withdrawn_ && now >= withdraw_at_) WithdrawAll();
  if (hedge_at_ && now >= *hedge_at_) OnHedgeDelay(now);
  RunAttemptTimers(now);
  UpdateTimer();
  return TakeEffects();
}

CallEffects CallCoordinator::OnCallerAbandoned(CallTime now) {
  if (done_) return TakeEffects();
  CancelLive(now, nullptr);
  done_ = true;
  return TakeEffects();
}

CallCoordinator::Attempt* CallCoordinator::FindLive(const CallId& id) {
  if (done_) return nullptr;
  for (Attempt& it : attempts_) {
    if (it.id == id && it.live()) return &it;
  }
  return nullptr;
}

bool CallCoordinator::AnyLive() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& it) { return it.live(); });
}

bool CallCoordinator::AllNotRun() const {
  return std::all_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& it) { return it.state == State::kNotRun; });
}

bool CallCoordinator::MayRetry(CallTime now) const {
  if (done_ || head_sent_ || spec_.depth != 0) return false;
  if (attempts_.size() >= kMaxAttempts || now >= withdraw_at_) return false;
  if (spec_.deadline.NextHopTimeout(now).count() <= 0) return false;
  return spec_.idempotent || AllNotRun();
}

std::optional<CallEndpoint> CallCoordinator::PickEndpoint(CallTime now, bool allow_tried) {
  std::vector<CallEndpoint> tried;
  for (const Attempt& it : attempts_) tried.push_back(it.endpoint);
  if (spec_.pinned) {
    const auto endpoint = context_.balancer->Find(spec_.service, *spec_.pinned);
    const bool again = endpoint && std::find(tried.begin(), tried.end(), *endpoint) != tried.end();
    return again && !allow_tried ? std::nullopt : endpoint;
  }
  auto endpoint = context_.balancer->Pick(spec_.service, now, *context_.rng, tried);
  if (!endpoint && allow_tried) {
    endpoint = context_.balancer->Pick(spec_.service, now, *context_.rng, {});
  }
  return endpoint;
}

void CallCoordinator::Send(CallTime now, const CallEndpoint& endpoint) {
  Attempt attempt;
  attempt.id = context_.next_id();
  attempt.endpoint = endpoint;
  attempt.sent_at = now;
  attempts_.push_back(attempt);
  context_.balancer->OnSent(endpoint, now);
  effects_.emplace_back(SendAttempt{attempt.id, endpoint, spec_.deadline.NextHopTimeout(now)});
}

bool CallCoordinator::SendAgain(CallTime now, CallReason reason) {
  if (!MayRetry(now)) return false;
  const auto endpoint = PickEndpoint(now, MayReuseEndpoint(reason));
  if (!endpoint) return false;
  if (!IsExemptFromRetryBudget(reason) && !context_.retry_budget->TryTake()) return false;
  Send(now, *endpoint);
  return true;
}

void CallCoordinator::Settle(CallTime now, Attempt* attempt, State state, AttemptEnd end,
                             CallReason reason, const std::optional<LoadReport>& load) {
  attempt->state = state;
  last_reason_ = reason;
  context_.balancer->OnResult(attempt->endpoint, now,
                              {end, now - attempt->sent_at, spec_.work_class, load});
}

void CallCoordinator::ContinueOrReply(CallTime now, CallReason reason) {
  if (head_sent_) {
    // Only the attempt whose response is being streamed can still be live.
    if (!AnyLive()) Reply({Outcome::kUnknown, reason});
    return;
  }
  const bool live = AnyLive();
  const bool any_healthy = std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& it) {
    return it.live() && it.connection == ConnectionState::kHealthy;
  });
  // If all live attempts are silent, an idempotent call may still succeed at another upstream.
  const bool wants_attempt = !live || (!any_healthy && spec_.idempotent);
  const bool sent = wants_attempt && SendAgain(now, reason);
  if (!live && !sent) {
    ReplyNotRunOrUnknown(reason);
    return;
  }
  UpdateTimer();
}

void CallCoordinator::ReplyNotRunOrUnknown(CallReason reason) {
  Reply({AllNotRun() ? Outcome::kNotRun : Outcome::kUnknown, reason});
}

void CallCoordinator::Resolve(Attempt* attempt) {
  attempt->next_resolve.reset();
  if (attempt->resolving) return;
  attempt->resolving = true;
  effects_.emplace_back(ResolveAttempt{attempt->id, attempt->endpoint});
}

void CallCoordinator::OnHedgeDelay(CallTime now) {
  hedge_at_.reset();
  if (!MayHedgeOrMove(now)) return;
  const auto endpoint = PickEndpoint(now, false);
  if (!endpoint) return;
  if (spec_.idempotent) {
    // Every long call exceeds the quantile, and hedging would duplicate the most expensive work.
    const bool may_hedge = spec_.hedge && spec_.work_class == WorkClass::kShort;
    if (may_hedge && context_.hedge->TryTake()) Send(now, *endpoint);
    return;
  }
  if (attempts_.back().resolving || !context_.hedge->TryTake()) return;
  // If the call is still queued, resolving withdraws it and it is sent to another upstream.
  Resolve(&attempts_.back());
}

bool CallCoordinator::MayHedgeOrMove(CallTime now) const {
  if (spec_.depth != 0 || attempts_.size() >= kMaxAttempts || now >= withdraw_at_) return false;
  const auto live = std::count_if(attempts_.begin(), attempts_.end(),
                                  [](const Attempt& it) { return it.live(); });
  return live == 1 && attempts_.back().live();
}

void CallCoordinator::WithdrawAll() {
  withdrawn_ = true;
  hedge_at_.reset();
  for (Attempt& it : attempts_) {
    if (it.live()) Resolve(&it);
  }
}

void CallCoordinator::RunAttemptTimers(CallTime now) {
  // Iterates by index because settling an attempt may append a new one.
  for (size_t i = 0; i < attempts_.size() && !done_; ++i) {
    Attempt& it = attempts_[i];
    if (!it.live()) continue;
    if (it.give_up_at && now >= *it.give_up_at) {
      Settle(now, &it, State::kMayHaveRun, AttemptEnd::kFailed, CallReason::kAnswerLost);
      ContinueOrReply(now, CallReason::kAnswerLost);
    } else if (it.next_resolve && now >= *it.next_resolve) {
      Resolve(&it);
    }
  }
}

void CallCoordinator::CancelLive(CallTime now, const Attempt* except) {
  for (Attempt& it : attempts_) {
    if (!it.live() || &it == except) continue;
    it.state = State::kMayHaveRun;
    context_.balancer->OnResult(
        it.endpoint, now,
        {AttemptEnd::kAbandoned, now - it.sent_at, spec_.work_class, std::nullopt});
    effects_.emplace_back(CancelAttempt{it.id, it.endpoint});
  }
}

void CallCoordinator::FailIfStalled(CallTime now) {
  if (now - last_progress_ < kStreamIdleTimeout) return;
  CancelLive(now, nullptr);
  Reply({Outcome::kUnknown, CallReason::kAnswerBroken});
}

void CallCoordinator::Reply(CallOutcome result) {
  done_ = true;
  effects_.emplace_back(ReplyOutcome{result, head_sent_});
}

void CallCoordinator::UpdateTimer() {
  if (done_) return;
  if (head_sent_) {
    if (timer_at_ > last_progress_) return;
    timer_at_ = last_progress_ + kStreamIdleTimeout;
    effects_.emplace_back(SetTimer{timer_at_});
    return;
  }
  CallTime at = withdrawn_ ? spec_.deadline.at() : withdraw_at_;
  if (hedge_at_) at = std::min(at, *hedge_at_);
  for (const Attempt& it : attempts_) {
    if (!it.live()) continue;
    if (it.next_resolve) at = std::min(at, *it.next_resolve);
    if (it.give_up_at) at = std::min(at, *it.give_up_at);
  }
  if (at == timer_at_) return;
  timer_at_ = at;
  effects_.emplace_back(SetTimer{at});
}

CallEffects CallCoordinator::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace camphorhoist
