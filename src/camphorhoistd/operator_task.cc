#include "camphorhoistd/operator_task.h"

#include <map>
#include <utility>

#include "camphorhoist/error.h"
#include "camphorhoistd/change_request.h"
#include "camphorhoistd/change_result.h"

namespace camphorhoist {

namespace {

/// Returns the state of a member as shown to operators: "unreachable" instead of the last known
/// state if its data centre is unreachable.
std::string StateName(const MemberView& view) {
  if (!view.reachable) return "unreachable";
  if (IsLive(view.state) && view.entry.draining) return "draining";
  return ToString(view.state);
}

/// True if the member counts as a node of its data centre.
bool IsPresent(const MemberView& view) {
  return view.state != MemberState::kDead && view.state != MemberState::kLeft;
}

}  // namespace

void OperatorTask::Apply(ChangeRequest request, std::function<void(ChangeResult)> callback) {
  Findings findings;
  auto change_set = ParseChangeRequest(request.body, &findings);
  if (!change_set) {
    ChangeResult result;
    result.outcome = ChangeOutcome::kRejected;
    result.id = request.id;
    result.version = sources_.config->replica().current()->version();
    result.findings = findings;
    return callback(result);
  }
  sources_.config->CommitChangeSet(std::move(*change_set),
                                   [callback = std::move(callback)](const AcceptOutcome& outcome) {
                                     callback(ToChangeResult(outcome));
                                   });
}

void OperatorTask::ChangeSetOutcome(const std::string& id,
                                    std::function<void(ChangeResult)> callback) {
  sources_.config->FindChangeSet(id, [id, callback = std::move(callback)](
                                         std::error_code ec, std::optional<ConfigVersion> version) {
    ChangeResult result;
    result.id = id;
    result.error = ec;
    if (!ec && !version) result.error = Errc::kNotFound;
    if (version) {
      result.outcome = ChangeOutcome::kAccepted;
      result.version = *version;
    }
    callback(result);
  });
}

void OperatorTask::Records(const RecordsRequest& request,
                           std::function<void(RecordsResult)> callback) {
  const Snapshot::Ptr snapshot = sources_.config->replica().current();
  RecordsResult result;
  result.version = snapshot->version();
  for (const StoredRecord& it : snapshot->records()) {
    if (!request.kind.empty() && request.kind != ToString(it.record.kind())) continue;
    if (!request.name.empty() && request.name != it.record.name()) continue;
    result.records.push_back({it.version, it.record.body()});
  }
  callback(std::move(result));
}

void OperatorTask::Status(std::function<void(StatusResult)> callback) {
  const auto now = std::chrono::steady_clock::now();
  StatusResult result;
  result.node = sources_.identity->address.ToString();
  result.version = sources_.config->replica().current()->version();
  std::map<std::string, DataCentreStatus> centres;
  for (const MemberView& it : sources_.member->membership().Members()) {
    const MemberEntry& entry = it.entry;
    const bool self = entry.address == sources_.identity->address;
    const auto age =
        self ? std::chrono::milliseconds(0)
             : std::chrono::duration_cast<std::chrono::milliseconds>(now - it.last_changed);
    result.members.push_back({entry.address.ToString(), entry.data_centre, entry.version,
                              age.count(), StateName(it), entry.refusal});
    if (!IsPresent(it)) continue;
    DataCentreStatus& centre = centres[entry.data_centre];
    centre.name = entry.data_centre;
    ++centre.nodes;
    ++centre.versions[entry.version];
  }
  for (auto& it : centres) result.data_centres.push_back(std::move(it.second));
  callback(std::move(result));
}

void OperatorTask::Dump(std::function<void(DumpResult)> callback) {
  DumpResult result;
  result.dump = DumpToJson(sources_);
  callback(std::move(result));
}

void OperatorTask::Drain(std::function<void(DrainResult)> callback) {
  sources_.drain();
  DrainResult result;
  result.draining = true;
  result.in_flight = sources_.calls->calls() + sources_.upstreams->calls();
  callback(result);
}

}  // namespace camphorhoist
