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

/// State of an attempt at the upstream's node, as returned by a resolve request.
enum class ResolveState : uint8_t {
  /// Has not started and will be refused if it still arrives.
  kVoided,
  /// Running.
  kStarted,
  /// Finished; the response was sent over the connection of the original request.
  kFinished,
  /// The node cannot determine the state, for example after a restart.
  kUnknown,
};

/// Sends a new attempt. `timeout` is the timeout for the next hop.
struct SendAttempt {
  CallId attempt;
  CallEndpoint endpoint;
  std::chrono::milliseconds timeout{};
};
/// Queries the state of the attempt at its node, over a new connection. An attempt that is still
/// queued there is withdrawn by the query. Followed by `OnResolved` or `OnResolveFailed`.
struct ResolveAttempt {
  CallId attempt;
  CallEndpoint endpoint;
};
/// Requests the node of the attempt to withdraw or abort it, and discards its response. No event
/// follows.
struct CancelAttempt {
  CallId attempt;
  CallEndpoint endpoint;
};
/// Streams the response of this attempt to the caller, starting with the head. Emitted at most once
/// per call.
struct StreamResponse {
  CallId attempt;
};
/// Ends the call. Emitted exactly once, as the last effect, unless the caller abandoned the call.
/// If `head_sent` (after `StreamResponse`), `answered` completes the caller's response; any other
/// outcome truncates it: the connection is closed without the final chunk.
struct ReplyOutcome {
  CallOutcome result;
  bool head_sent = false;
};
/// Requests a call of `OnTimer` at `at`; replaces any earlier timer.
struct SetTimer {
  CallTime at;
};

using CallEffect = std::variant<SendAttempt, ResolveAttempt, CancelAttempt, StreamResponse,
                                ReplyOutcome, SetTimer>;
using CallEffects = std::vector<CallEffect>;

/// Properties of a call that are known when it starts.
struct CallSpec {
  std::string service;
  /// The only upstream that may be used; set when the route names a single endpoint.
  std::optional<NetAddress> pinned;
  bool idempotent = false;
  WorkClass work_class = WorkClass::kShort;
  /// Number of mesh hops before this one. Only calls at depth 0 are retried, hedged or moved.
  uint32_t depth = 0;
  Deadline deadline{CallTime{}};
  /// Whether the service allows hedging.
  bool hedge = false;
};

/// State that the calls of a node share. The pointees must outlive the coordinators.
struct CallContext {
  Balancer* balancer = nullptr;
  RetryBudget* retry_budget = nullptr;
  /// Hedge policy of the called service.
  HedgePolicy* hedge = nullptr;
  std::mt19937_64* rng = nullptr;
  /// Returns an id that is unique in the mesh.
  std::function<CallId()> next_id;
};

/// State machine of a single call at the sending node: starts attempts, retries, hedges or moves
/// them, resolves attempts whose state is uncertain, and determines the outcome. A slow idempotent
/// call is hedged; a slow non-idempotent one is moved, that is, withdrawn from the queue of its
/// upstream and sent to another.
///
/// Performs no I/O: each event returns the effects that the owner carries out, in order. An attempt
/// is live until it is settled, that is, known not to have run or not expected to respond any more.
/// Events for unknown or settled attempts, and events after the end of the call, are ignored.
///
/// Guarantees:
/// - A non-idempotent call is sent again only once every earlier attempt is known not to have run.
/// - `not_run` is reported only if no attempt has run.
/// - At most one attempt's response is streamed to the caller, and `answered` is reported only if
///   that response is complete.
///
/// Thread safety: none; use from one thread.
class CallCoordinator {
 public:
  static constexpr int kMaxAttempts = 4;
  /// Number of failed resolve requests after which an attempt without a healthy connection is given
  /// up.
  static constexpr int kMaxResolves = 3;
  static constexpr std::chrono::milliseconds kResolveRetryDelay{100};
  /// Time to wait for the response of an attempt that has finished but whose connection is silent.
  /// Also the delay before an attempt with a silent connection that is still running is resolved
  /// again.
  static constexpr std::chrono::milliseconds kLateResponseGrace{300};
  /// Attempts without a response head are withdrawn this long before the deadline (at most a
  /// quarter of the timeout), so that `not_run` can still be reported to the caller in time.
  static constexpr std::chrono::milliseconds kWithdrawMargin{50};
  static constexpr std::chrono::milliseconds kStreamIdleTimeout{10000};

  CallCoordinator(CallContext context, CallSpec spec);

  CallEffects Start(CallTime now);

  /// The head of the response of `attempt` arrived.
  CallEffects OnHead(CallTime now, const CallId& attempt);
  /// Another part of the response was forwarded, or is held back because the caller reads slowly.
  /// The response counts as broken after `kStreamIdleTimeout` without progress. The call's deadline
  /// applies only until the head arrives, because a large download may take longer.
  CallEffects OnProgress(CallTime now, const CallId& attempt);
  /// The response is complete; Content-Length and the end of the stream have been checked.
  CallEffects OnFinished(CallTime now, const CallId& attempt,
                         const std::optional<LoadReport>& load);
  /// The response ended or failed before it was complete.
  CallEffects OnBroken(CallTime now, const CallId& attempt);
  /// The node refused or withdrew the attempt.
  CallEffects OnNotRun(CallTime now, const CallId& attempt, CallReason reason,
                       const std::optional<LoadReport>& load);
  /// The node cannot tell whether the attempt ran, for example because its connection to the
  /// upstream failed.
  CallEffects OnUnknown(CallTime now, const CallId& attempt, CallReason reason);
  /// The connection could not be opened or was lost. `sent` is false only if no byte of the request
  /// was sent.
  CallEffects OnConnectionLost(CallTime now, const CallId& attempt, bool sent);
  /// The peer does not answer pings on the connection, which is still open.
  CallEffects OnSilent(CallTime now, const CallId& attempt);
  CallEffects OnResolved(CallTime now, const CallId& attempt, ResolveState state);
  CallEffects OnResolveFailed(CallTime now, const CallId& attempt);
  CallEffects OnTimer(CallTime now);
  /// The caller closed its connection. Cancels all attempts; no `ReplyOutcome` follows.
  CallEffects OnCallerAbandoned(CallTime now);

  bool done() const { return done_; }
  /// Number of attempts sent so far.
  size_t attempts() const { return attempts_.size(); }

 private:
  enum class State : uint8_t { kInFlight, kStreaming, kNotRun, kMayHaveRun };
  enum class ConnectionState : uint8_t { kHealthy, kSilent, kLost };
  struct Attempt {
    CallId id;
    CallEndpoint endpoint;
    CallTime sent_at;
    /// Time from sending to the response head.
    CallDuration head_latency{};
    State state = State::kInFlight;
    ConnectionState connection = ConnectionState::kHealthy;
    /// A resolve request is pending.
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
  /// Continues after an attempt was settled: sends another attempt, waits for the live ones or ends
  /// the call.
  void ContinueOrReply(CallTime now, CallReason reason);
  void ReplyNotRunOrUnknown(CallReason reason);
  void Resolve(Attempt* attempt);
  /// Hedges or moves the call, which has no response head after the hedge delay.
  void OnHedgeDelay(CallTime now);
  /// Resolves all live attempts shortly before the deadline.
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
