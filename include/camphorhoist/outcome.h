#ifndef CAMPHORHOIST_OUTCOME_H_
#define CAMPHORHOIST_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

namespace camphorhoist {

/// Outcome of a request as reported to the caller.
enum class Outcome : uint8_t {
  /// The request was run; its complete response follows.
  kAnswered,
  /// The request was definitely not run.
  kNotRun,
  /// The request may or may not have been run.
  kUnknown,
};

/// Reason why a call was not run, or why its outcome is unknown.
enum class CallReason : uint8_t {
  kNone,
  kNoRoute,
  kNoEndpoint,
  kNoConfiguration,
  kConnectFailed,
  kDraining,
  kQueueFull,
  kQueueTimeout,
  kDeadline,
  kOverloaded,
  kShed,
  kWrongIncarnation,
  kUnknownUpstream,
  kLedgerFull,
  kVoided,
  kCancelled,
  kDuplicateId,
  kConnectionLost,
  kSilent,
  kAnswerBroken,
  kAnswerLost,
  kUpstreamFailed,
};

/// Text of a reason as used in RPC results and response bodies, for example "queue-full".
std::string_view ToText(CallReason reason);
/// Inverse of `ToText`. Returns nothing for an unknown text.
std::optional<CallReason> ParseCallReason(std::string_view text);

/// Whether a refusal for this reason proves that the call was not run. The refusal of a duplicate
/// id does not: the first copy may be running.
bool ProvesNotRun(CallReason reason);

/// Value of the header `X-Camphorhoist-Outcome`: "answered", "not-run" or "unknown".
std::string_view OutcomeHeaderValue(Outcome outcome);
inline constexpr std::string_view kOutcomeHeader = "X-Camphorhoist-Outcome";

/// Final result of a call.
///
/// Value type. Thread safety: distinct objects may be used from distinct threads.
struct CallOutcome {
  Outcome outcome = Outcome::kUnknown;
  CallReason reason = CallReason::kNone;

  /// HTTP status for the caller: 503 for not run (404 if no route matches), 502 for unknown, and 0
  /// for an answered call, which gets the upstream's status.
  int http_status() const;
  std::string_view header_value() const { return OutcomeHeaderValue(outcome); }

  friend bool operator==(const CallOutcome& a, const CallOutcome& b) {
    return std::tie(a.outcome, a.reason) == std::tie(b.outcome, b.reason);
  }
  friend bool operator!=(const CallOutcome& a, const CallOutcome& b) { return !(a == b); }
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_OUTCOME_H_
