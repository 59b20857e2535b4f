#ifndef CAMPHORHOIST_LIBCALL_TESTING_TRACE_CHECK_H_
#define CAMPHORHOIST_LIBCALL_TESTING_TRACE_CHECK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/call_id.h"
#include "camphorhoist/call_types.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/outcome.h"

namespace camphorhoist {

/// Kinds of events of a call trace, which is ordered by time. Traces are recorded by fakes and
/// checked by the functions below. P4 to P7 are the ids of the checked guarantees.
enum class TraceKind : uint8_t {
  /// The caller started `call`; `idempotent` is set.
  kCallStarted,
  /// `upstream` began to run `call`.
  kRunStarted,
  /// An upstream finished running `call`.
  kRunFinished,
  /// The response part `text` was forwarded to the caller of `call`.
  kPartForwarded,
  /// The caller of `call` got the final `outcome`.
  kReplied,
  /// The caller closed its connection and expects no outcome.
  kAbandoned,
  /// `upstream` began to drain.
  kDrainStarted,
  /// Any other step; only used in golden files.
  kNote,
};

struct TraceEvent {
  CallTime at{};
  TraceKind kind = TraceKind::kNote;
  uint64_t call = 0;
  CallId attempt{};
  std::string upstream{};
  std::string text{};
  bool idempotent = false;
  Outcome outcome = Outcome::kUnknown;
};
using Trace = std::vector<TraceEvent>;

/// Returns the complete response that `call` must get, as the concatenation of its parts.
using ExpectedResponse = std::string (*)(uint64_t call);

inline std::string CallLabel(uint64_t call) { return "call " + std::to_string(call); }

/// P6: a non-idempotent call runs at most once.
inline void CheckRunsAtMostOnce(const Trace& trace, Findings* findings) {
  std::set<uint64_t> idempotent;
  std::map<uint64_t, int> runs;
  for (const TraceEvent& it : trace) {
    if (it.kind == TraceKind::kCallStarted && it.idempotent) idempotent.insert(it.call);
    if (it.kind != TraceKind::kRunStarted || idempotent.count(it.call) > 0) continue;
    if (++runs[it.call] == 2) findings->Add(CallLabel(it.call), "ran twice");
  }
}

/// P5: a call reported as not run has not run before the report and does not run after it.
inline void CheckNotRunReports(const Trace& trace, Findings* findings) {
  std::set<uint64_t> ran;
  std::set<uint64_t> not_run;
  for (const TraceEvent& it : trace) {
    if (it.kind == TraceKind::kRunStarted) ran.insert(it.call);
    const bool reply = it.kind == TraceKind::kReplied;
    if (reply && it.outcome == Outcome::kNotRun) not_run.insert(it.call);
  }
  for (uint64_t call : not_run) {
    if (ran.count(call) > 0) findings->Add(CallLabel(call), "reported not run, but ran");
  }
}

/// P4: the data forwarded to a caller is a prefix of its own response, and the complete response if
/// the outcome is `answered`. Nothing is forwarded if the outcome is `not_run`, or after the
/// outcome.
inline void CheckResponsesComplete(const Trace& trace, ExpectedResponse expected,
                                   Findings* findings) {
  std::map<uint64_t, std::string> forwarded;
  std::set<uint64_t> replied;
  for (const TraceEvent& it : trace) {
    std::string& body = forwarded[it.call];
    if (it.kind == TraceKind::kPartForwarded) {
      if (replied.count(it.call) > 0) {
        findings->Add(CallLabel(it.call), "got a response part after its outcome");
      }
      body += it.text;
      const bool matches = expected(it.call).compare(0, body.size(), body) == 0;
      if (!matches) {
        findings->Add(CallLabel(it.call),
                      "got an unexpected or repeated response part: " + it.text);
      }
    }
    if (it.kind != TraceKind::kReplied) continue;
    replied.insert(it.call);
    const bool complete = body == expected(it.call);
    if (it.outcome == Outcome::kAnswered && !complete) {
      findings->Add(CallLabel(it.call), "partial response reported as complete: " + body);
    }
    if (it.outcome == Outcome::kNotRun && !body.empty()) {
      findings->Add(CallLabel(it.call), "reported not run after a response part was forwarded");
    }
  }
}

/// Each call gets exactly one outcome, no later than `limit` after its start, unless its caller
/// abandoned it.
inline void CheckOneReplyInTime(const Trace& trace, CallDuration limit, Findings* findings) {
  std::map<uint64_t, CallTime> started;
  std::map<uint64_t, int> replies;
  for (const TraceEvent& it : trace) {
    if (it.kind == TraceKind::kCallStarted) started[it.call] = it.at;
    if (it.kind == TraceKind::kAbandoned) started.erase(it.call);
    if (it.kind != TraceKind::kReplied) continue;
    if (++replies[it.call] > 1) findings->Add(CallLabel(it.call), "got two outcomes");
    const auto start = started.find(it.call);
    const bool late = start != started.end() && it.at - start->second > limit;
    if (late) findings->Add(CallLabel(it.call), "got its outcome too late");
  }
  for (const auto& it : started) {
    if (replies[it.first] == 0) findings->Add(CallLabel(it.first), "got no outcome");
  }
}

/// P7: no call starts on an upstream later than `bound` after it began to drain.
inline void CheckDrainingUpstreamGetsNoWork(const Trace& trace, CallDuration bound,
                                            Findings* findings) {
  std::map<std::string, CallTime> drain_started;
  for (const TraceEvent& it : trace) {
    if (it.kind == TraceKind::kDrainStarted) drain_started.emplace(it.upstream, it.at);
    if (it.kind != TraceKind::kRunStarted) continue;
    const auto drain = drain_started.find(it.upstream);
    if (drain != drain_started.end() && it.at > drain->second + bound) {
      findings->Add(CallLabel(it.call), "started on " + it.upstream + " after it began to drain");
    }
  }
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALL_TESTING_TRACE_CHECK_H_
