#ifndef CAMPHORHOIST_CALL_COORDINATOR_H_
#define CAMPHORHOIST_CALL_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "camphorhoist/balancer.h"
#include "camphorhoist/call_budget.h"
#include "camphorhoist/call_id.h"
#include "camphorhoist/call_types.h"
#include "camphorhoist/deadline.h"
#include "camphorhoist/outcome.h"

namespace camphorhoist {

/// State of a call on the upstream side, as a resolve request reports it.
enum class ResolveState : uint8_t {
  /// Never started there and cannot start any more.
  kVoided,
  /// Started and still running.
  kStarted,
  /// Finished; its response went to the sink of its request.
  kFinished,
  /// The node cannot tell.
  kUnknown,
};

/// Sends a new attempt. `timeout` is what the next hop gets.
struct SendAttempt {
  CallId attempt;
  CallEndpoint endpoint;
  std::chrono::milliseconds timeout{};
};
/// Asks the node of the attempt, over a new connection, what became of it; a queued attempt is
/// withdrawn by the question. Answered by `OnResolved` or `OnResolveFailed`.
struct ResolveAttempt {
  CallId attempt;
  CallEndpoint endpoint;
};
/// Asks the node of the attempt to withdraw or abort it, and drops its response. No event is
/// expected.
struct CancelAttempt {
  CallId attempt;
  CallEndpoint endpoint;
};
/// Passes the response of this attempt, from the head on, to the caller. Emitted at most once.
struct StreamResponse {
  CallId attempt;
};
/// Ends the call; the last effect of each call that was not abandoned, and emitted once. After
/// `StreamResponse` (`head_sent`), `answered` finishes the caller's response and any other outcome
/// breaks it, closing the connection without the final chunk.
struct ReplyOutcome {
  CallOutcome result;
  bool head_sent = false;
};
/// Asks for `OnTimer` at `at`; replaces the timer set before.
struct SetTimer {
  CallTime at;
};

using CallEffect = std::variant<SendAttempt, ResolveAttempt, CancelAttempt, StreamResponse,
                                ReplyOutcome, SetTimer>;
using CallEffects = std::vector<CallEffect>;

/// What is known of a request when it starts.
struct CallSpec {
  std::string service;
  /// Set when the route binds the call to one upstream.
  std::optional<NetAddress> pinned;
  bool idempotent = false;
  WorkClass work_class = WorkClass::kShort;
  /// Hops above this one; only depth 0 retries, hedges and moves calls.
  uint32_t depth = 0;
  Deadline deadline{CallTime{}};
  /// The service allows hedging.
  bool hedge = false;
};

/// Shared state of all calls of a node. Precondition: the pointers outlive the coordinators.
struct CallContext {
  Balancer* balancer = nullptr;
  RetryBudget* retry_budget = nullptr;
  /// Policy of the service of the call.
  HedgePolicy* hedge = nullptr;
  std::mt19937_64* rng = nullptr;
  /// Returns an id that was never used before in the mesh.
  std::function<CallId()> next_id;
};

/// Caller side of ONE call: decides on attempts, confirmation, retries, hedges and the outcome.
/// Pure state machine; each event returns the effects to carry out, in order. Events of unknown or
/// settled attempts, and all events after the end, are ignored.
///
/// Guarantees: a non-idempotent call is sent again only after every earlier attempt is known not
/// to have run; `not_run` is reported only when that holds for all attempts; the response of one
/// attempt at most is passed on, and it is reported `answered` only when it was whole.
///
/// Thread safety: none; use from one thread.
class CallCoordinator {
 public:
  static constexpr int kMaxAttempts = 4;
  static constexpr int kMaxResolves = 3;
  static constexpr std::chrono::milliseconds kResolveRetryDelay{100};
  /// A call that has finished over a silent connection waits this long for its response.
  static constexpr std::chrono::milliseconds kLateResponseGrace{300};
  /// Attempts without a head are withdrawn this long before the deadline (at most a quarter of the
  /// timeout), so that the caller still learns `not_run` in time.
  static constexpr std::chrono::milliseconds kWithdrawMargin{50};
  static constexpr std::chrono::milliseconds kStreamIdleTimeout{10000};

  CallCoordinator(CallContext context, CallSpec spec);

  CallEffects Start(CallTime now);

  /// The head of the response of `attempt` arrived.
  CallEffects OnHead(CallTime now, const CallId& attempt);
  /// A further part of the response was passed on, or is held back because the caller reads slowly.
  /// Without progress for `kStreamIdleTimeout` the response counts as broken. The call's deadline
  /// bounds the time to the head only, since a download may rightly take longer.
  CallEffects OnProgress(CallTime now, const CallId& attempt);
  /// The response is whole: Content-Length and end of stream are checked.
  CallEffects OnFinished(CallTime now, const CallId& attempt,
                         const std::optional<LoadReport>& load);
  /// The response ended or failed before it was whole.
  CallEffects OnBroken(CallTime now, const CallId& attempt);
  /// The node refused or withdrew the attempt.
  CallEffects OnNotRun(CallTime now, const CallId& attempt, CallReason reason,
                       const std::optional<LoadReport>& load);
  /// The node cannot tell whether the attempt was run, for example because its upstream broke.
  CallEffects OnUnknown(CallTime now, const CallId& attempt, CallReason reason);
  /// The connection failed or was lost. `sent` is false only if no byte of the request was sent.
  CallEffects OnConnectionLost(CallTime now, const CallId& attempt, bool sent);
  /// The connection does not answer pings.
  CallEffects OnSilent(CallTime now, const CallId& attempt);
  CallEffects OnResolved(CallTime now, const CallId& attempt, ResolveState state);
  CallEffects OnResolveFailed(CallTime now, const CallId& attempt);
  CallEffects OnTimer(CallTime now);
  /// The caller closed its connection. No `ReplyOutcome` follows.
  CallEffects OnCallerAbandoned(CallTime now);

  bool done() const { return done_; }
  /// Number of attempts sent.
  size_t attempts() const { return attempts_.size(); }

 private:
  enum class State : uint8_t { kInFlight, kStreaming, kNotRun, kMayHaveRun };
  enum class ConnectionState : uint8_t { kHealthy, kSilent, kLost };
  struct Attempt {
    CallId id;
    CallEndpoint endpoint;
    CallTime sent_at;
    CallDuration head_latency{};
    State state = State::kInFlight;
    ConnectionState connection = ConnectionState::kHealthy;
    bool resolving = false;
    int failed_resolves = 0;
    std::optional<CallTime> next_resolve;
    std::optional<CallTime> give_up_at;

    bool live() const { return state == State::kInFlight || state == State::kStreaming; }
  };

  Attempt* FindLive(const CallId& id);
  bool AnyLive() const;
  bool AllNotRun() const;
  bool MayRetry(CallTime now) const;
  bool MayHedgeOrMove(CallTime now) const;
  std::optional<CallEndpoint> PickEndpoint(CallTime now, bool allow_tried);
  void Send(CallTime now, const CallEndpoint& endpoint);
  bool SendAgain(CallTime now, CallReason reason);
  void Settle(CallTime now, Attempt* attempt, State state, AttemptEnd end, CallReason reason,
              const std::optional<LoadReport>& load = std::nullopt);
  void ContinueOrReply(CallTime now, CallReason reason);
  void ReplyNotRunOrUnknown(CallReason reason);
  void Resolve(Attempt* attempt);
  void OnHedgeDelay(CallTime now);
  void WithdrawAll();
  void RunAttemptTimers(CallTime now);
  void CancelLive(CallTime now, const Attempt* except);
  void FailIfStalled(CallTime now);
  void Reply(CallOutcome result);
  void UpdateTimer();
  CallEffects TakeEffects();

  CallContext context_;
  CallSpec spec_;
  CallTime last_progress_{};
  std::vector<Attempt> attempts_;
  CallEffects effects_;
  CallReason last_reason_ = CallReason::kNone;
  std::optional<CallTime> hedge_at_;
  CallTime withdraw_at_{};
  CallTime timer_at_{};
  bool withdrawn_ = false;
  bool head_sent_ = false;
  bool done_ = false;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_COORDINATOR_H_
