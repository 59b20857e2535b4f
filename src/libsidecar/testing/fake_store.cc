#include "libsidecar/testing/fake_store.h"

#include <arpa/inet.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kServiceUnavailable = 503;

std::string Query(const evkeyvalq& query, const char* name) {
  const char* value = evhttp_find_header(&query, name);
  return value == nullptr ? "" : value;
}

}  // namespace

FakeStore::FakeStore(event_base* base, uint16_t port) : base_(base), http_(evhttp_new(base)) {
  evhttp_set_gencb(http_.get(), &FakeStore::OnRequest, this);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", port);
  if (bound == nullptr) return;
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&name), &size);
  address_ = NetAddress("127.0.0.1", ntohs(name.sin_port));
}

void FakeStore::set_fault(Fault fault) {
  fault_ = fault;
  if (fault == Fault::kUnresponsive) watches_.clear();
}

void FakeStore::OnRequest(evhttp_request* req, void* arg) {
  static_cast<FakeStore*>(arg)->Handle(req);
}

void FakeStore::Reply(evhttp_request* req, const Response& response) const {
  std::string text = response.body.dump();
  for (const auto& [placeholder, spec] : texts_) {
    const size_t at = text.find(placeholder);
    if (at != std::string::npos) text.replace(at, placeholder.size(), spec);
  }
  evbuffer_add(evhttp_request_get_output_buffer(req), text.data(), text.size());
  evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era",
                    std::to_string(era_).c_str());
  evhttp_send_reply(req, response.status, nullptr, nullptr);
}

void FakeStore::Handle(evhttp_request* req) {
  if (fault_ == Fault::kUnresponsive) return;
  if (++calls_ > max_calls_) return;
  if (fault_ == Fault::kBusy) return Reply(req, {kServiceUnavailable, nullptr});
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(req);
  const std::string path = evhttp_uri_get_path(uri);
  constexpr size_t kPrefix = sizeof("/objects/") - 1;
  if (path.compare(0, kPrefix, "/objects/") != 0) return Reply(req, {kNotFound, nullptr});
  const size_t slash = path.find('/', kPrefix);
  const std::string kind = path.substr(kPrefix, slash - kPrefix);
  const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  ++calls_by_kind_[kind];
  evkeyvalq query{};
  const char* text = evhttp_uri_get_query(uri);
  evhttp_parse_query_str(text == nullptr ? "" : text, &query);
  const std::string watch = Query(query, "watch");
  const std::string after = Query(query, "after");
  const int wait_ms = std::atoi(Query(query, "waitMs").c_str());
  evhttp_clear_headers(&query);
  const evhttp_cmd_type method = evhttp_request_get_command(req);
  if (method == EVHTTP_REQ_GET) {
    if (!watch.empty()) return StartWatch(req, kind, std::atoll(watch.c_str()), wait_ms);
    return Reply(req, Read(kind, name, after));
  }
  evbuffer* input = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  const Response response = Write(method, kind, name, json::parse(body, nullptr, false));
  if (fault_ == Fault::kLostResponses) {
    // Also frees the request.
    evhttp_connection_free(evhttp_request_get_connection(req));
    return;
  }
  Reply(req, response);
}

FakeStore::Response FakeStore::Read(const std::string& kind, const std::string& name,
                                    const std::string& after) const {
  const auto objects = kinds_.find(kind);
  if (!name.empty()) {
    if (objects == kinds_.end() || objects->second.count(name) == 0) return {kNotFound, nullptr};
    return {200, objects->second.at(name)};
  }
  json items = json::array();
  bool more = false;
  if (objects != kinds_.end()) {
    for (auto it = objects->second.upper_bound(after); it != objects->second.end(); ++it) {
      if (items.size() == page_size_) {
        more = true;
        break;
      }
      items.push_back(it->second);
    }
  }
  return {200, {{"items", items}, {"hasMore", more}, {"asOf", revision_}}};
}

FakeStore::Response FakeStore::Write(evhttp_cmd_type method, const std::string& kind,
                                     const std::string& name, const json& body) {
  constexpr char kStatus[] = "/status";
  const size_t status_at = name.find(kStatus);
  if (status_at != std::string::npos) return WriteStatus(kind, name.substr(0, status_at), body);
  auto& objects = kinds_[kind];
  if (method == EVHTTP_REQ_DELETE) {
    if (objects.count(name) == 0) return {kNotFound, nullptr};
    const json object = objects.at(name);
    Delete(kind, name);
    return {200, object};
  }
  const std::string target = method == EVHTTP_REQ_POST ? body["metadata"]["name"] : json(name);
  const bool exists = objects.count(target) != 0;
  if (method == EVHTTP_REQ_POST && exists) return {kConflict, objects.at(target)};
  if (method == EVHTTP_REQ_PUT && !exists) return {kNotFound, nullptr};
  if (body["metadata"].contains("revision") &&
      body["metadata"]["revision"] != objects.at(target)["metadata"]["revision"]) {
    return {kConflict, objects.at(target)};
  }
  Put(kind, target, body["spec"]);
  return {method == EVHTTP_REQ_POST ? kCreated : 200, objects.at(target)};
}

FakeStore::Response FakeStore::WriteStatus(const std::string& kind, const std::string& name,
                                           const json& body) {
  auto& objects = kinds_[kind];
  const auto it = objects.find(name);
  if (it == objects.end()) return {kNotFound, nullptr};
  if (body["metadata"]["revision"] != it->second["metadata"]["revision"]) {
    return {kConflict, it->second};
  }
  it->second["status"] = body["status"];
  it->second["metadata"]["revision"] = ++revision_;
  statuses_.push_back(body["status"]);
  Record(kind, it->second, false);
  return {200, it->second};
}

json FakeStore::Status(const std::string& kind, const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end() || objects->second.count(name) == 0) return nullptr;
  return objects->second.at(name)["status"];
}

void FakeStore::Put(const std::string& kind, const std::string& name, const json& spec) {
  const auto known = kinds_[kind].find(name);
  if (known != kinds_[kind].end() && known->second["spec"] == spec) return;
  ++revision_;
  json object = {
      {"metadata", {{"name", name}, {"revision", revision_}}}, {"spec", spec}, {"status", nullptr}};
  kinds_[kind][name] = object;
  Record(kind, object, false);
}

void FakeStore::PutText(const std::string& kind, const std::string& name, const std::string& text) {
  const std::string placeholder = "text-" + std::to_string(texts_.size());
  texts_["\"" + placeholder + "\""] = text;
  Put(kind, name, placeholder);
}

void FakeStore::Delete(const std::string& kind, const std::string& name) {
  const auto it = kinds_[kind].find(name);
  if (it == kinds_[kind].end()) return;
  json object = it->second;
  kinds_[kind].erase(it);
  object["metadata"]["revision"] = ++revision_;
  Record(kind, object, true);
}

json FakeStore::Spec(const std::string& kind, const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end() || objects->second.count(name) == 0) return nullptr;
  return objects->second.at(name)["spec"];
}

void FakeStore::Record(const std::string& kind, const json& object, bool deleted) {
  history_.push_back({revision_, kind, object, deleted});
  NotifyWatches();
}

json FakeStore::Changes(const std::string& kind, int64_t from) const {
  json events = json::array();
  for (const Event& it : history_) {
    if (it.kind == kind && it.revision > from) {
      events.push_back({{"object", it.object}, {"deleted", it.deleted}});
    }
  }
  return events;
}

void FakeStore::StartWatch(evhttp_request* req, const std::string& kind, int64_t from,
                           int wait_ms) {
  if (from < history_start_ || from > revision_) return Reply(req, {kGone, nullptr});
  const json events = Changes(kind, from);
  if (!events.empty()) return Reply(req, {200, {{"events", events}, {"asOf", revision_}}});
  const auto it = watches_.insert(watches_.end(), Watch{req, kind, from, nullptr});
  evhttp_connection_set_closecb(evhttp_request_get_connection(req), &FakeStore::OnConnectionClosed,
                                this);
  it->timer = std::make_unique<Timer>(base_, [this, it] {
    Reply(it->req, {200, {{"events", json::array()}, {"asOf", revision_}}});
    watches_.erase(it);
  });
  it->timer->StartOnce(std::chrono::milliseconds(wait_ms));
}

void FakeStore::OnConnectionClosed(evhttp_connection* connection, void* arg) {
  static_cast<FakeStore*>(arg)->watches_.remove_if([connection](const Watch& it) {
    return evhttp_request_get_connection(it.req) == connection;
  });
}

// evhttp does not read from a connection whose request has no response yet, so that it does not
// notice that the client has closed it.
size_t FakeStore::watches() const {
  return static_cast<size_t>(std::count_if(watches_.begin(), watches_.end(), [](const Watch& it) {
    bufferevent* bufev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(it.req));
    char byte = 0;
    return recv(bufferevent_getfd(bufev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  }));
}

void FakeStore::NotifyWatches() {
  if (fault_ != Fault::kNone) return;
  for (auto it = watches_.begin(); it != watches_.end();) {
    const json events = Changes(it->kind, it->from);
    if (events.empty()) {
      ++it;
      continue;
    }
    Reply(it->req, {200, {{"events", events}, {"asOf", revision_}}});
    it = watches_.erase(it);
  }
}

void FakeStore::SaveCopy() {
  copied_kinds_ = kinds_;
  copied_revision_ = revision_;
}

void FakeStore::RestoreCopy() {
  ++era_;
  kinds_ = copied_kinds_;
  revision_ = copied_revision_;
  const auto lost = [this](const Event& it) { return it.revision > revision_; };
  history_.erase(std::remove_if(history_.begin(), history_.end(), lost), history_.end());
  watches_.clear();
}

void FakeStore::DropHistory() {
  history_.clear();
  history_start_ = ++revision_;
  for (const Watch& it : watches_) Reply(it.req, {kGone, nullptr});
  watches_.clear();
}

}  // namespace camphorhoist
