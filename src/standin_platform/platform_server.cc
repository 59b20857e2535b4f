#include "standin_platform/platform_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "camphorhoist/error.h"
#include "libplatform/http_object_store.h"
#include "libplatform/object_key.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

// Above the object size limit, so that an oversized body gets a 413 response with a reason.
constexpr size_t kMaxRequestBytes = 4 * kMaxObjectBytes;
constexpr uint64_t kMaxWatchMs = 60000;
constexpr std::chrono::milliseconds kStopPollPeriod{5};
const char kObjectsPath[] = "/objects/";
const char kWatchPath[] = "/watch/";

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool IsWatch(const ServerRequest& request) { return HasPrefix(request.path, kWatchPath); }
bool IsList(const ServerRequest& request) { return request.path == "/objects"; }

std::string RequestedKey(const ServerRequest& request) {
  if (IsList(request)) return request.Query("prefix");
  const size_t skip = IsWatch(request) ? sizeof(kWatchPath) - 1 : sizeof(kObjectsPath) - 1;
  return request.path.size() > skip ? request.path.substr(skip) : std::string();
}

ServerReply JsonReply(int status, const Json& json) {
  ServerReply reply;
  reply.status = status;
  reply.headers.emplace_back("Content-Type", "application/json");
  reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return reply;
}

ServerReply ErrorReply(int status, const std::string& message) {
  return JsonReply(status, {{"error", message}});
}

ServerReply WithVersion(ServerReply reply, ObjectVersion version) {
  reply.headers.emplace_back(kObjectVersionHeader, std::to_string(version));
  return reply;
}

ServerReply ObjectReply(const StoredObject& object) {
  ServerReply reply;
  reply.headers.emplace_back("Content-Type", "application/octet-stream");
  reply.body = object.body;
  return WithVersion(std::move(reply), object.version);
}

// Response to a write that the object map rejected.
ServerReply WriteErrorReply(const std::error_code& error, ObjectVersion current) {
  if (error == Errc::kConflict) {
    return WithVersion(ErrorReply(412, "the object is at another version"), current);
  }
  if (error == Errc::kNotFound) return ErrorReply(404, "no such object");
  return ErrorReply(413, "the body is above " + std::to_string(kMaxObjectBytes) + " bytes");
}

}  // namespace

PlatformServer::PlatformServer(event_base* base)
    : base_(base),
      stop_timer_(base, [this] { CheckStopped(); }),
      listener_(base, kMaxRequestBytes,
                [this](RequestId id, const ServerRequest& request) { OnRequest(id, request); }) {}

void PlatformServer::Stop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  stop_deadline_ = std::chrono::steady_clock::now() + kStopLimit;
  listener_.StopListening();
  while (!watches_.empty()) {
    ServerReply reply;
    reply.status = 304;
    FinishWatch(watches_.begin()->first, std::move(reply));
  }
  stop_timer_.StartPeriodic(kStopPollPeriod);
}

void PlatformServer::CheckStopped() {
  const bool idle = listener_.pending_requests() == 0 && listener_.unsent_replies() == 0;
  if (!idle && std::chrono::steady_clock::now() < stop_deadline_) return;
  stop_timer_.Stop();
  const std::function<void()> done = std::move(on_stopped_);
  done();
}

void PlatformServer::OnRequest(RequestId id, const ServerRequest& request) {
  if (request.path == "/meter") {
    const bool get = request.method == "GET";
    listener_.Reply(id, get ? Meter() : ErrorReply(405, "use GET"));
  } else if (request.path == "/faults") {
    const bool post = request.method == "POST";
    listener_.Reply(id, post ? SetFaults(request.body) : ErrorReply(405, "use POST"));
  } else if (IsList(request) || IsWatch(request) || HasPrefix(request.path, kObjectsPath)) {
    OnObjectRequest(id, request);
  } else {
    listener_.Reply(id, ErrorReply(404, "unknown path"));
  }
}

void PlatformServer::OnObjectRequest(RequestId id, const ServerRequest& request) {
  CountRequest(request);
  const FaultRule rule = faults_.Match(request.method, RequestedKey(request));
  switch (rule.mode) {
    case FaultMode::kDown:
    case FaultMode::kDropBefore:
      return listener_.Close(id);
    case FaultMode::kSlow:
      return Delay(id, request, rule.delay);
    case FaultMode::kLostAnswer:
      return Process(id, request, true);
    case FaultMode::kNone:
      return Process(id, request, false);
  }
}

void PlatformServer::CountRequest(const ServerRequest& request) {
  meter_.bytes_in += request.body.size();
  if (request.method == "PUT") {
    ++meter_.put;
  } else if (request.method == "DELETE") {
    ++meter_.del;
  } else if (IsList(request)) {
    ++meter_.list;
  } else if (IsWatch(request)) {
    ++meter_.watch;
  } else {
    ++meter_.get;
  }
}

void PlatformServer::Delay(RequestId id, ServerRequest request, std::chrono::milliseconds delay) {
  auto timer = std::make_unique<Timer>(base_, [this, id, request = std::move(request)] {
    delayed_.erase(id);
    Process(id, request, false);
  });
  timer->StartOnce(delay);
  delayed_.emplace(id, std::move(timer));
}

void PlatformServer::Process(RequestId id, const ServerRequest& request, bool lose_answer) {
  const std::string key = RequestedKey(request);
  if (IsList(request) && request.method == "GET") {
    Finish(id, List(key), lose_answer);
  } else if (!IsList(request) && (key.empty() || key.size() > kMaxObjectKeyBytes)) {
    Finish(id, ErrorReply(400, "the key is empty or too long"), lose_answer);
  } else if (IsWatch(request) && request.method == "GET") {
    StartWatch(id, request, lose_answer);
  } else if (IsList(request) || IsWatch(request)) {
    Finish(id, ErrorReply(405, "use GET"), lose_answer);
  } else if (request.method == "GET") {
    Finish(id, Get(key), lose_answer);
  } else if (request.method == "PUT") {
    Finish(id, Put(key, request), lose_answer);
  } else if (request.method == "DELETE") {
    Finish(id, Delete(key, request), lose_answer);
  } else {
    Finish(id, ErrorReply(405, "use GET, PUT or DELETE"), lose_answer);
  }
}

void PlatformServer::Finish(RequestId id, ServerReply reply, bool lose_answer) {
  if (lose_answer) return listener_.Close(id);
  meter_.bytes_out += reply.body.size();
  listener_.Reply(id, std::move(reply));
}

ServerReply PlatformServer::Get(const std::string& key) const {
  const StoredObject* object = objects_.Get(key);
  return object == nullptr ? ErrorReply(404, "no such object") : ObjectReply(*object);
}

ServerReply PlatformServer::Put(const std::string& key, const ServerRequest& request) {
  const auto expected = ParseUnsigned(request.Header("If-Match"));
  if (!expected) return ErrorReply(428, "If-Match must be a version, 0 to create");
  const PutResult result = objects_.Put(key, request.body, *expected);
  if (result.error) return WriteErrorReply(result.error, result.version);
  FinishReadyWatches(key);
  return WithVersion(JsonReply(200, {{"version", result.version}}), result.version);
}

ServerReply PlatformServer::Delete(const std::string& key, const ServerRequest& request) {
  const auto expected = ParseUnsigned(request.Header("If-Match"));
  if (!expected) return ErrorReply(428, "If-Match must be a version");
  const DeleteResult result = objects_.Delete(key, *expected);
  if (result.error) return WriteErrorReply(result.error, result.version);
  FinishReadyWatches(key);
  return JsonReply(200, Json::object());
}

ServerReply PlatformServer::List(const std::string& prefix) const {
  Json objects = Json::array();
  for (const ObjectEntry& it : objects_.List(prefix)) {
    objects.push_back({{"key", it.key}, {"version", it.version}});
  }
  return JsonReply(200, {{"objects", std::move(objects)}});
}

void PlatformServer::StartWatch(RequestId id, const ServerRequest& request, bool lose_answer) {
  const auto after = ParseUnsigned(request.Query("after"));
  const auto timeout_ms = ParseUnsigned(request.Query("timeout_ms"));
  if (!after || !timeout_ms) {
    return Finish(id, ErrorReply(400, "after and timeout_ms must be numbers"), lose_answer);
  }
  PendingWatch pending;
  pending.key = RequestedKey(request);
  pending.after_version = *after;
  pending.lose_answer = lose_answer;
  pending.timer = std::make_unique<Timer>(base_, [this, id] {
    ServerReply reply;
    reply.status = 304;
    FinishWatch(id, std::move(reply));
  });
  pending.timer->StartOnce(std::chrono::milliseconds(std::min(*timeout_ms, kMaxWatchMs)));
  const std::string key = pending.key;
  watches_.emplace(id, std::move(pending));
  FinishReadyWatches(key);
}

void PlatformServer::FinishReadyWatches(const std::string& key) {
  const StoredObject* object = objects_.Get(key);
  std::vector<RequestId> ready;
  for (const auto& it : watches_) {
    if (it.second.key != key) continue;
    const bool changed = object != nullptr && object->version > it.second.after_version;
    const bool deleted = object == nullptr && it.second.after_version > 0;
    if (changed || deleted) ready.push_back(it.first);
  }
  for (RequestId it : ready) FinishWatch(it, Get(key));
}

void PlatformServer::FinishWatch(RequestId id, ServerReply reply) {
  const auto it = watches_.find(id);
  if (it == watches_.end()) return;
  const bool lose_answer = it->second.lose_answer;
  watches_.erase(it);
  Finish(id, std::move(reply), lose_answer);
}

void PlatformServer::CloseWatches() {
  for (const auto& it : watches_) listener_.Close(it.first);
  watches_.clear();
}

ServerReply PlatformServer::SetFaults(const std::string& body) {
  Findings findings;
  faults_.Set(body, &findings);
  if (!findings.empty()) return ErrorReply(400, findings.ToString());
  if (faults_.closes_all_connections()) CloseWatches();
  return JsonReply(200, Json::object());
}

ServerReply PlatformServer::Meter() const {
  const Json calls = {{"get", meter_.get},
                      {"put", meter_.put},
                      {"delete", meter_.del},
                      {"list", meter_.list},
                      {"watch", meter_.watch}};
  return JsonReply(200, {{"calls", calls},
                         {"waiting_watches", watches_.size()},
                         {"objects", objects_.size()},
                         {"bytes", objects_.bytes()},
                         {"bytes_in", meter_.bytes_in},
                         {"bytes_out", meter_.bytes_out},
                         {"faults_injected", faults_.injected()}});
}

}  // namespace camphorhoist
