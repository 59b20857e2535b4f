#include "liboperator/operator_server.h"

#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorhoist/error.h"
#include "libbase/log.h"
#include "liboperator/operator_json.h"

namespace camphorhoist {

namespace {

// Above `kMaxChangeBytes`, so that the server itself replies to an oversized change set, with the
// limit in the error.
constexpr size_t kMaxRequestBytes = 8 * kMaxChangeBytes;
const char kOutcomePathPrefix[] = "/v1/changes/";

bool MatchesPath(const char* route, const std::string& path) {
  // A route that ends with a slash matches every longer path with this prefix.
  const size_t size = std::strlen(route);
  if (route[size - 1] != '/') return path == route;
  return path.size() > size && path.compare(0, size, route) == 0;
}

int HttpStatusOf(const std::error_code& error) {
  if (error == Errc::kNotFound) return 404;
  if (error == Errc::kInvalidInput) return 400;
  if (error == Errc::kUnavailable || error == Errc::kBudgetExhausted) return 503;
  return 500;
}

int HttpStatusOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return 200;
    case ChangeOutcome::kConflict:
      return 409;
    case ChangeOutcome::kRejected:
      return 422;
    case ChangeOutcome::kUnknown:
      return 504;
  }
  return 500;
}

// Parses the id of a change set. The backend parses the rest of the body.
std::string ParseChangeId(const std::string& body, Findings* findings) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    findings->Add("body", "is not JSON");
    return "";
  }
  if (!json.is_object()) {
    findings->Add("body", "must be an object");
    return "";
  }
  const auto it = json.find("id");
  std::string id = it != json.end() && it->is_string() ? it->get<std::string>() : "";
  if (!IsValidOperatorChangeId(id)) {
    findings->Add("body.id", "must be a string of 1-" + std::to_string(kMaxChangeIdBytes) +
                                 " characters of [A-Za-z0-9._:-]");
  }
  return id;
}

}  // namespace

const OperatorServer::Route OperatorServer::kRoutes[] = {
    {"/v1/changes", "POST", &OperatorServer::OnApply},
    {kOutcomePathPrefix, "GET", &OperatorServer::OnOutcome},
    {"/v1/records", "GET", &OperatorServer::OnRecords},
    {"/v1/status", "GET", &OperatorServer::OnStatus},
    {"/v1/dump", "GET", &OperatorServer::OnDump},
    {"/v1/drain", "POST", &OperatorServer::OnDrain},
};

OperatorServer::OperatorServer(event_base* base, OperatorBackend* backend)
    : backend_(backend),
      listener_(base, kMaxRequestBytes,
                [this](RequestId id, const ServerRequest& request) { OnRequest(id, request); }) {}

void OperatorServer::OnRequest(RequestId id, const ServerRequest& request) {
  for (const Route& it : kRoutes) {
    if (!MatchesPath(it.path, request.path)) continue;
    if (request.method == it.method) return (this->*it.handler)(id, request);
    Findings findings;
    findings.Add("method", request.method + " is not allowed here, use " + it.method);
    return ReplyError(id, 405, "method not allowed", findings);
  }
  Findings findings;
  findings.Add("path", request.path + " is not known");
  ReplyError(id, 404, "unknown path", findings);
}

void OperatorServer::OnApply(RequestId id, const ServerRequest& request) {
  Findings findings;
  if (request.body.size() > kMaxChangeBytes) {
    findings.Add("body", "has " + std::to_string(request.body.size()) + " bytes, at most " +
                             std::to_string(kMaxChangeBytes) + " are allowed");
    return ReplyError(id, 413, "change set too large", findings);
  }
  ChangeRequest change;
  change.id = ParseChangeId(request.body, &findings);
  if (!findings.empty()) return ReplyError(id, 400, "malformed change set", findings);
  change.body = request.body;
  LogEvent(LogLevel::kInfo, "operator", "change_received")
      .Add("id", change.id)
      .Add("bytes", change.body.size());
  std::weak_ptr<bool> alive = alive_;
  backend_->Apply(std::move(change), [this, id, alive](const ChangeResult& result) {
    if (!alive.expired()) ReplyChangeResult(id, result);
  });
}

void OperatorServer::OnOutcome(RequestId id, const ServerRequest& request) {
  const std::string change_id = request.path.substr(sizeof(kOutcomePathPrefix) - 1);
  if (!IsValidOperatorChangeId(change_id)) {
    Findings findings;
    findings.Add("path", "has a malformed change set id");
    return ReplyError(id, 400, "malformed id", findings);
  }
  std::weak_ptr<bool> alive = alive_;
  backend_->ChangeSetOutcome(change_id, [this, id, alive](const ChangeResult& result) {
    if (!alive.expired()) ReplyChangeResult(id, result);
  });
}

void OperatorServer::OnRecords(RequestId id, const ServerRequest& request) {
  RecordsRequest records;
  records.kind = request.Query("kind");
  records.name = request.Query("name");
  if (records.kind.empty() && !records.name.empty()) {
    Findings findings;
    findings.Add("query.name", "needs a kind");
    return ReplyError(id, 400, "malformed query", findings);
  }
  backend_->Records(records, MakeReplyCallback<RecordsResult>(id, &EncodeRecords));
}

void OperatorServer::OnStatus(RequestId id, const ServerRequest&) {
  backend_->Status(MakeReplyCallback<StatusResult>(id, &EncodeStatus));
}

void OperatorServer::OnDump(RequestId id, const ServerRequest&) {
  backend_->Dump(MakeReplyCallback<DumpResult>(
      id, +[](const DumpResult& result) { return result.dump + "\n"; }));
}

void OperatorServer::OnDrain(RequestId id, const ServerRequest&) {
  backend_->Drain(MakeReplyCallback<DrainResult>(id, &EncodeDrain));
}

template <typename Result>
std::function<void(Result)> OperatorServer::MakeReplyCallback(
    RequestId id, std::string (*encode)(const Result&)) {
  std::weak_ptr<bool> alive = alive_;
  return [this, id, alive, encode](const Result& result) {
    if (alive.expired()) return;
    if (result.error) {
      return ReplyError(id, HttpStatusOf(result.error), result.error.message(), Findings());
    }
    ReplyJson(id, 200, encode(result));
  };
}

void OperatorServer::ReplyChangeResult(RequestId id, const ChangeResult& result) {
  if (result.error) {
    return ReplyError(id, HttpStatusOf(result.error), result.error.message(), result.findings);
  }
  ReplyJson(id, HttpStatusOf(result.outcome), EncodeChangeResult(result));
}

void OperatorServer::ReplyError(RequestId id, int status, const std::string& message,
                                const Findings& findings) {
  LogEvent(LogLevel::kWarn, "operator", "request_refused")
      .Add("status", status)
      .Add("reason", message);
  ReplyJson(id, status, EncodeError(message, findings));
}

void OperatorServer::ReplyJson(RequestId id, int status, std::string body) {
  ServerReply reply;
  reply.status = status;
  reply.headers.emplace_back("Content-Type", "application/json");
  reply.body = std::move(body);
  listener_.Reply(id, std::move(reply));
}

}  // namespace camphorhoist
