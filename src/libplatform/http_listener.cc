#include "libplatform/http_listener.h"

#include <arpa/inet.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

namespace camphorhoist {

namespace {

constexpr int kConnectionTimeoutSeconds = 60;
constexpr size_t kMaxHeaderBytes = 16 << 10;

struct MethodName {
  evhttp_cmd_type type;
  const char* name;
};

constexpr MethodName kMethods[] = {
    {EVHTTP_REQ_GET, "GET"},     {EVHTTP_REQ_POST, "POST"},       {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},     {EVHTTP_REQ_DELETE, "DELETE"},   {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_TRACE, "TRACE"}, {EVHTTP_REQ_CONNECT, "CONNECT"}, {EVHTTP_REQ_PATCH, "PATCH"}};

ev_uint16_t AllMethods() {
  unsigned methods = 0;
  for (const MethodName& it : kMethods) methods |= static_cast<unsigned>(it.type);
  return static_cast<ev_uint16_t>(methods);
}

std::string MethodToString(evhttp_cmd_type type) {
  for (const MethodName& it : kMethods) {
    if (it.type == type) return it.name;
  }
  return "";
}

HttpHeaders CopyHeaders(const evkeyvalq* from) {
  HttpHeaders to;
  for (const evkeyval* it = from->tqh_first; it != nullptr; it = it->next.tqe_next) {
    to.emplace_back(it->key, it->value);
  }
  return to;
}

std::string DecodePath(const evhttp_uri* uri) {
  const char* raw = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (raw == nullptr) return "";
  size_t size = 0;
  char* decoded = evhttp_uridecode(raw, 0, &size);
  if (decoded == nullptr) return "";
  std::string path(decoded, size);
  std::free(decoded);  // NOLINT(cppcoreguidelines-no-malloc): allocated by evhttp
  return path;
}

HttpHeaders ParseQuery(const evhttp_uri* uri) {
  const char* raw = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  if (raw == nullptr) return {};
  evkeyvalq parsed;
  if (evhttp_parse_query_str(raw, &parsed) != 0) return {};
  HttpHeaders query = CopyHeaders(&parsed);
  evhttp_clear_headers(&parsed);
  return query;
}

ServerRequest ParseRequest(evhttp_request* req) {
  ServerRequest request;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(req);
  request.method = MethodToString(evhttp_request_get_command(req));
  request.path = DecodePath(uri);
  request.query = ParseQuery(uri);
  request.headers = CopyHeaders(evhttp_request_get_input_headers(req));
  evbuffer* body = evhttp_request_get_input_buffer(req);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  return request;
}

const std::string* FindValue(const HttpHeaders& pairs, const std::string& name) {
  const auto it = std::find_if(pairs.begin(), pairs.end(), [&name](const auto& pair) {
    return strcasecmp(pair.first.c_str(), name.c_str()) == 0;
  });
  return it == pairs.end() ? nullptr : &it->second;
}

NetAddress LocalAddress(evutil_socket_t fd) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size) != 0) return {};
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &name.sin_addr, text, sizeof(text));
  return NetAddress(text, ntohs(name.sin_port));
}

}  // namespace

std::string ServerRequest::Query(const std::string& name) const {
  const std::string* value = FindValue(query, name);
  return value == nullptr ? std::string() : *value;
}

bool ServerRequest::HasQuery(const std::string& name) const {
  return FindValue(query, name) != nullptr;
}

std::string ServerRequest::Header(const std::string& name) const {
  const std::string* value = FindValue(headers, name);
  return value == nullptr ? std::string() : *value;
}

HttpListener::HttpListener(event_base* base, size_t max_body_bytes, Handler handler)
    : handler_(std::move(handler)),
      server_(evhttp_new(base)),
      close_requests_(base, [this](RequestId id) { CloseConnection(id); }) {
  evhttp_set_allowed_methods(server_.get(), AllMethods());
  evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(max_body_bytes));
  evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
  evhttp_set_timeout(server_.get(), kConnectionTimeoutSeconds);
  evhttp_set_gencb(server_.get(), &HttpListener::OnRequest, this);
}

HttpListener::~HttpListener() {
  // evhttp frees the requests of open connections only. A request whose connection is closed is
  // freed by `evhttp_send_reply`.
  for (const auto& it : pending_requests_) {
    if (evhttp_request_get_connection(it.second) == nullptr) {
      evhttp_send_reply(it.second, HTTP_SERVUNAVAIL, nullptr, nullptr);
    }
  }
}

std::error_code HttpListener::Listen(const NetAddress& address) {
  errno = 0;
  listening_socket_ =
      evhttp_bind_socket_with_handle(server_.get(), address.ip().c_str(), address.port());
  if (listening_socket_ == nullptr) {
    return {errno != 0 ? errno : EADDRNOTAVAIL, std::generic_category()};
  }
  address_ = LocalAddress(evhttp_bound_socket_get_fd(listening_socket_));
  return {};
}

void HttpListener::StopListening() {
  if (listening_socket_ != nullptr) evhttp_del_accept_socket(server_.get(), listening_socket_);
  listening_socket_ = nullptr;
}

void HttpListener::Reply(RequestId id, ServerReply reply) {
  const auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return;
  evhttp_request* req = it->second;
  pending_requests_.erase(it);
  evkeyvalq* out = evhttp_request_get_output_headers(req);
  for (const auto& header : reply.headers) {
    evhttp_add_header(out, header.first.c_str(), header.second.c_str());
  }
  evhttp_connection* connection = evhttp_request_get_connection(req);
  if (connection != nullptr) {
    unsent_replies_.insert(connection);
    evhttp_request_set_on_complete_cb(req, &HttpListener::OnReplySent, this);
    evhttp_connection_set_closecb(connection, &HttpListener::OnConnectionClosed, this);
  }
  evbuffer_add(evhttp_request_get_output_buffer(req), reply.body.data(), reply.body.size());
  evhttp_send_reply(req, reply.status, nullptr, nullptr);
}

void HttpListener::Close(RequestId id) { close_requests_.Post(id); }

void HttpListener::OnRequest(evhttp_request* req, void* arg) {
  auto* self = static_cast<HttpListener*>(arg);
  const RequestId id = self->next_id_++;
  self->pending_requests_.emplace(id, req);
  self->handler_(id, ParseRequest(req));
}

void HttpListener::OnReplySent(evhttp_request* req, void* arg) {
  static_cast<HttpListener*>(arg)->unsent_replies_.erase(evhttp_request_get_connection(req));
}

void HttpListener::OnConnectionClosed(evhttp_connection* connection, void* arg) {
  static_cast<HttpListener*>(arg)->unsent_replies_.erase(connection);
}

void HttpListener::CloseConnection(RequestId id) {
  const auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return;
  evhttp_request* req = it->second;
  pending_requests_.erase(it);
  evhttp_connection* connection = evhttp_request_get_connection(req);
  if (connection != nullptr) {
    evhttp_connection_free(connection);  // also frees the request
  } else {
    evhttp_send_reply(req, HTTP_SERVUNAVAIL, nullptr, nullptr);  // only frees the request
  }
}

}  // namespace camphorhoist
