#include <algorithm>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "camphorhoist/cli_session.h"
#include "camphorhoist/error.h"
#include "camphorhoist/record_file.h"
#include "liboperator/operator_json.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Limits one attempt, so that time is left to try another node when one does not respond.
constexpr milliseconds kMaxAttemptTime{5000};
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kStatusPollPeriod{250};

// State of a node that stopped gracefully. It no longer serves calls or receives versions.
const char kLeftState[] = "left";

std::string GenerateId() { return boost::uuids::to_string(boost::uuids::random_generator()()); }

milliseconds TimeLeft(SteadyClock::time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now());
  return std::max(left, milliseconds(1));
}

ChangeResult ApplyOnce(const CliSession& session, const ChangeRequest& request,
                       milliseconds timeout) {
  return session.Await<ChangeResult>([&](std::function<void(ChangeResult)> done) {
    session.client.Apply(request, timeout, std::move(done));
  });
}

// Retries the same change set while its outcome is unknown. After an attempt with an unknown
// outcome, `kUnavailable` from a later attempt does not prove that the change had no effect.
ChangeResult ApplyUntilOutcomeKnown(const CliSession& session, const ChangeRequest& request) {
  const auto deadline = SteadyClock::now() + session.arguments.timeout;
  ChangeResult unknown_result;
  unknown_result.id = request.id;
  bool maybe_applied = false;
  while (true) {
    ChangeResult result =
        ApplyOnce(session, request, std::min(TimeLeft(deadline), kMaxAttemptTime));
    const bool outcome_unknown = !result.error && result.outcome == ChangeOutcome::kUnknown;
    const bool unavailable = result.error == Errc::kUnavailable;
    maybe_applied = maybe_applied || outcome_unknown;
    if (!outcome_unknown && !(unavailable && maybe_applied)) return result;
    if (outcome_unknown) unknown_result = result;
    if (SteadyClock::now() + kRetryDelay >= deadline) return unknown_result;
    session.client.MoveToNextNode();
    session.Sleep(kRetryDelay);
  }
}

struct WaitResult {
  bool in_force = false;
  /// Nodes that did not have the version at the last status query, or why the query failed.
  std::vector<std::string> lagging;
};

WaitResult CheckStatus(const StatusResult& status, const ConfigVersion& version) {
  WaitResult result;
  if (status.error) {
    result.lagging.push_back("status: " + status.error.message());
    return result;
  }
  for (const MemberStatus& it : status.members) {
    if (it.version >= version || it.state == kLeftState) continue;
    std::string text = it.address + " has " + it.version.ToString();
    if (!it.reason.empty()) text += " (" + it.reason + ")";
    result.lagging.push_back(std::move(text));
  }
  if (status.members.empty()) result.lagging.emplace_back("status: the response lists no nodes");
  result.in_force = result.lagging.empty();
  return result;
}

WaitResult WaitUntilInForce(const CliSession& session, const ConfigVersion& version) {
  const auto deadline = SteadyClock::now() + session.arguments.wait;
  while (true) {
    const auto status = session.Await<StatusResult>([&](std::function<void(StatusResult)> done) {
      session.client.Status(std::min(TimeLeft(deadline), kMaxAttemptTime), std::move(done));
    });
    WaitResult result = CheckStatus(status, version);
    if (result.in_force || SteadyClock::now() + kStatusPollPeriod >= deadline) return result;
    session.Sleep(kStatusPollPeriod);
  }
}

void PrintText(const CliSession& session, const ChangeResult& result) {
  std::ostream& out = session.context.out;
  if (result.error) {
    session.context.err << result.error.message() << "\n";
  } else if (result.outcome == ChangeOutcome::kAccepted) {
    out << "accepted in version " << result.version.ToString() << "\n";
  } else {
    out << ChangeOutcomeName(result.outcome) << "\n";
  }
  for (const Finding& it : result.findings.items()) {
    // A response without findings repeats its error message as a finding.
    const bool repeated = result.error && it.message() == result.error.message();
    if (!repeated) session.context.err << it.ToString() << "\n";
  }
}

Json ChangeToJson(const ChangeResult& result) {
  Json json = Json::parse(EncodeChangeResult(result));
  if (result.error) json["error"] = result.error.message();
  if (result.error) json["outcome"] = "none";
  return json;
}

CliExit Report(const CliSession& session, const ChangeResult& result) {
  if (session.arguments.json) {
    session.context.out << ChangeToJson(result).dump() << "\n";
  } else {
    PrintText(session, result);
  }
  return ExitCodeFor(result);
}

CliExit ReportWithWait(const CliSession& session, const ChangeResult& result) {
  if (!session.arguments.json) PrintText(session, result);
  const WaitResult wait = WaitUntilInForce(session, result.version);
  if (session.arguments.json) {
    Json json = ChangeToJson(result);
    json["in_force"] = wait.in_force;
    json["lagging"] = wait.lagging;
    session.context.out << json.dump() << "\n";
  } else if (wait.in_force) {
    session.context.out << "in force on every node\n";
  } else {
    session.context.err << "not in force on every node:\n";
    for (const std::string& it : wait.lagging) session.context.err << "  " << it << "\n";
  }
  return wait.in_force ? CliExit::kOk : CliExit::kWaitTimedOut;
}

// Prints the id before sending anything, so that the operator can query the outcome if the program
// is interrupted. In JSON mode, the id goes to standard error because standard output holds a
// single document.
void PrintId(const CliSession& session, const std::string& id) {
  std::ostream& out = session.arguments.json ? session.context.err : session.context.out;
  out << "change set " << id << std::endl;
}

}  // namespace

CliExit RunApply(const CliSession& session) {
  const CliArguments& arguments = session.arguments;
  Findings findings;
  RecordFile file;
  if (!arguments.file.empty()) {
    file = ParseRecordFile(arguments.file, session.file_text, &findings);
  }
  ChangeRequest request;
  request.id = arguments.id.empty() ? GenerateId() : arguments.id;
  request.body = BuildChangeBody(request.id, file, arguments.remove, arguments.allow_newer_schema);
  if (request.body.size() > kMaxChangeBytes) {
    findings.Add(arguments.file, "makes a change set of " + std::to_string(request.body.size()) +
                                     " bytes; the limit is " + std::to_string(kMaxChangeBytes));
  }
  if (!findings.empty()) {
    session.context.err << findings.ToString() << "\n";
    return CliExit::kFindings;
  }
  PrintId(session, request.id);
  const ChangeResult result = ApplyUntilOutcomeKnown(session, request);
  const bool accepted = !result.error && result.outcome == ChangeOutcome::kAccepted;
  const bool wait = accepted && arguments.wait.count() > 0;
  return wait ? ReportWithWait(session, result) : Report(session, result);
}

CliExit RunOutcome(const CliSession& session) {
  const auto result = session.Await<ChangeResult>([&](std::function<void(ChangeResult)> done) {
    session.client.ChangeSetOutcome(session.arguments.id, session.arguments.timeout,
                                    std::move(done));
  });
  if (result.error == Errc::kNotFound && !session.arguments.json) {
    session.context.err << session.arguments.id
                        << ": is not among the recently accepted change sets\n";
    return CliExit::kFindings;
  }
  return Report(session, result);
}

}  // namespace camphorhoist
