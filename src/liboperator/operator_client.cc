#include "liboperator/operator_client.h"

#include <optional>
#include <utility>

#include "camphorhoist/error.h"
#include "liboperator/operator_json.h"
#include "libplatform/object_key.h"

namespace camphorhoist {

namespace {

bool IsUnavailable(const HttpResponse& response) {
  return response.error == Errc::kUnavailable || (!response.error && response.status == 503);
}

// The error of a response to a query.
std::error_code QueryError(const HttpResponse& response) {
  if (response.error) return Errc::kUnavailable;
  if (response.status == 200) return {};
  if (response.status == 404) return Errc::kNotFound;
  if (response.status >= 400 && response.status < 500) return Errc::kInvalidInput;
  return Errc::kUnavailable;
}

template <typename Result>
std::function<Result(const HttpResponse&)> MakeDecoder(
    std::optional<Result> (*decode)(const std::string&)) {
  return [decode](const HttpResponse& response) {
    Result failed;
    failed.error = QueryError(response);
    if (failed.error) return failed;
    std::optional<Result> result = decode(response.body);
    if (result) return std::move(*result);
    failed.error = Errc::kUnavailable;
    return failed;
  };
}

// True for the HTTP statuses whose body is the outcome of a change set.
bool IsOutcomeStatus(int status) {
  return status == 200 || status == 409 || status == 422 || status == 504;
}

ChangeResult MakeChangeError(const std::error_code& error, const HttpResponse& response) {
  ChangeResult result;
  result.error = error;
  result.findings = DecodeError(response.body, "request");
  return result;
}

ChangeResult ToApplyResult(const HttpResponse& response, const std::string& id) {
  ChangeResult unknown;
  unknown.id = id;
  if (IsUnavailable(response)) return MakeChangeError(Errc::kUnavailable, response);
  if (response.error) return unknown;
  if (IsOutcomeStatus(response.status)) return DecodeChangeResult(response.body).value_or(unknown);
  const bool refused = response.status >= 400 && response.status < 500;
  return refused ? MakeChangeError(Errc::kInvalidInput, response) : unknown;
}

ChangeResult ToOutcomeResult(const HttpResponse& response) {
  if (!response.error && IsOutcomeStatus(response.status)) {
    const auto result = DecodeChangeResult(response.body);
    if (result) return *result;
  }
  std::error_code error = QueryError(response);
  if (!error) error = Errc::kUnavailable;
  return MakeChangeError(error, response);
}

DumpResult ToDumpResult(const HttpResponse& response) {
  DumpResult result;
  result.error = QueryError(response);
  if (!result.error) result.dump = response.body;
  return result;
}

}  // namespace

OperatorClient::OperatorClient(event_base* base, std::vector<NetAddress> nodes)
    : nodes_(std::move(nodes)), http_(base) {}

void OperatorClient::MoveToNextNode() { current_index_ = (current_index_ + 1) % nodes_.size(); }

void OperatorClient::Send(const HttpRequest& request, std::chrono::milliseconds timeout,
                          size_t attempts_left, Callback callback) {
  http_.Send(nodes_[current_index_], request, timeout,
             [this, request, timeout, attempts_left,
              callback = std::move(callback)](const HttpResponse& response) {
               const bool is_query = request.method == "GET";
               const bool fail_over = IsUnavailable(response) || (is_query && response.error);
               if (!fail_over || attempts_left <= 1) return callback(response);
               MoveToNextNode();
               Send(request, timeout, attempts_left - 1, callback);
             });
}

template <typename Result>
void OperatorClient::Query(const std::string& target, std::chrono::milliseconds timeout,
                           std::function<Result(const HttpResponse&)> decode,
                           std::function<void(Result)> callback) {
  HttpRequest request;
  request.target = target;
  Send(request, timeout, nodes_.size(),
       [decode = std::move(decode), callback = std::move(callback)](const HttpResponse& response) {
         callback(decode(response));
       });
}

void OperatorClient::Apply(const ChangeRequest& request, std::chrono::milliseconds timeout,
                           std::function<void(ChangeResult)> callback) {
  HttpRequest http;
  http.method = "POST";
  http.target = "/v1/changes";
  http.headers.emplace_back("Content-Type", "application/json");
  http.body = request.body;
  Send(http, timeout, nodes_.size(),
       [id = request.id, callback = std::move(callback)](const HttpResponse& response) {
         callback(ToApplyResult(response, id));
       });
}

void OperatorClient::ChangeSetOutcome(const std::string& id, std::chrono::milliseconds timeout,
                                      std::function<void(ChangeResult)> callback) {
  Query<ChangeResult>("/v1/changes/" + PercentEncode(id, false), timeout, &ToOutcomeResult,
                      std::move(callback));
}

void OperatorClient::Records(const RecordsRequest& request, std::chrono::milliseconds timeout,
                             std::function<void(RecordsResult)> callback) {
  const std::string target = "/v1/records?kind=" + PercentEncode(request.kind, false) +
                             "&name=" + PercentEncode(request.name, false);
  Query<RecordsResult>(target, timeout, MakeDecoder<RecordsResult>(&DecodeRecords),
                       std::move(callback));
}

void OperatorClient::Status(std::chrono::milliseconds timeout,
                            std::function<void(StatusResult)> callback) {
  Query<StatusResult>("/v1/status", timeout, MakeDecoder<StatusResult>(&DecodeStatus),
                      std::move(callback));
}

void OperatorClient::Dump(std::chrono::milliseconds timeout,
                          std::function<void(DumpResult)> callback) {
  Query<DumpResult>("/v1/dump", timeout, &ToDumpResult, std::move(callback));
}

void OperatorClient::Drain(std::chrono::milliseconds timeout,
                           std::function<void(DrainResult)> callback) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/drain";
  http_.Send(nodes_.front(), request, timeout,
             [callback = std::move(callback)](const HttpResponse& response) {
               DrainResult result = MakeDecoder<DrainResult>(&DecodeDrain)(response);
               if (response.error == Errc::kUnknownEffect) result.error = Errc::kUnknownEffect;
               callback(result);
             });
}

}  // namespace camphorhoist
