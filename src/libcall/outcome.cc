#include "camphorhoist/outcome.h"

#include <array>

namespace camphorhoist {

namespace {

struct ReasonText {
  CallReason reason;
  std::string_view text;
};

constexpr std::array<ReasonText, 22> kReasons = {{
    {CallReason::kNone, "none"},
    {CallReason::kNoRoute, "no-route"},
    {CallReason::kNoEndpoint, "no-endpoint"},
    {CallReason::kNoConfiguration, "no-configuration"},
    {CallReason::kConnectFailed, "connect-failed"},
    {CallReason::kDraining, "draining"},
    {CallReason::kQueueFull, "queue-full"},
    {CallReason::kQueueTimeout, "queue-timeout"},
    {CallReason::kDeadline, "deadline"},
    {CallReason::kOverloaded, "overloaded"},
    {CallReason::kShed, "shed"},
    {CallReason::kWrongIncarnation, "wrong-incarnation"},
    {CallReason::kUnknownUpstream, "unknown-upstream"},
    {CallReason::kLedgerFull, "ledger-full"},
    {CallReason::kVoided, "voided"},
    {CallReason::kCancelled, "cancelled"},
    {CallReason::kDuplicateId, "duplicate-id"},
    {CallReason::kConnectionLost, "connection-lost"},
    {CallReason::kSilent, "silent"},
    {CallReason::kAnswerBroken, "answer-broken"},
    {CallReason::kAnswerLost, "answer-lost"},
    {CallReason::kUpstreamFailed, "upstream-failed"},
}};

constexpr int kStatusNotFound = 404;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;

}  // namespace

std::string_view ToText(CallReason reason) {
  for (const ReasonText& it : kReasons) {
    if (it.reason == reason) return it.text;
  }
  return "none";
}

std::optional<CallReason> ParseCallReason(std::string_view text) {
  for (const ReasonText& it : kReasons) {
    if (it.text == text) return it.reason;
  }
  return std::nullopt;
}

bool ProvesNotRun(CallReason reason) { return reason != CallReason::kDuplicateId; }

std::string_view OutcomeHeaderValue(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int CallOutcome::http_status() const {
  if (outcome == Outcome::kAnswered) return 0;
  if (outcome == Outcome::kUnknown) return kStatusBadGateway;
  return reason == CallReason::kNoRoute ? kStatusNotFound : kStatusUnavailable;
}

}  // namespace camphorhoist
