#include "libcaller/caller_server.h"

#include <arpa/inet.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libbase/log.h"
#include "libcaller/exchange.h"
#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

struct Method {
  evhttp_cmd_type type;
  const char* name;
  /// If false, evhttp reads no body for this method and would parse one as the next request.
  bool reads_body;
};

constexpr Method kMethods[] = {
    {EVHTTP_REQ_GET, "GET", false},        {EVHTTP_REQ_HEAD, "HEAD", false},
    {EVHTTP_REQ_POST, "POST", true},       {EVHTTP_REQ_PUT, "PUT", true},
    {EVHTTP_REQ_PATCH, "PATCH", true},     {EVHTTP_REQ_DELETE, "DELETE", false},
    {EVHTTP_REQ_OPTIONS, "OPTIONS", false}};

const Method* FindMethod(evhttp_cmd_type type) {
  for (const Method& it : kMethods) {
    if (it.type == type) return &it;
  }
  return nullptr;
}

struct RequestError {
  int status;
  const char* message;
};

HttpHeaders ReadHeaders(evhttp_request* req) {
  HttpHeaders headers;
  const evkeyvalq* in = evhttp_request_get_input_headers(req);
  for (const evkeyval* it = in->tqh_first; it != nullptr; it = it->next.tqe_next) {
    headers.emplace_back(it->key, it->value);
  }
  return headers;
}

size_t HeadSize(evhttp_request* req, const HttpHeaders& headers) {
  constexpr size_t kSeparatorBytes = 4;  // colon, space, CR, LF
  size_t total = std::string_view(evhttp_request_get_uri(req)).size();
  for (const auto& it : headers) total += it.first.size() + it.second.size() + kSeparatorBytes;
  return total;
}

// Checks for errors that evhttp accepts. Most of them would let this hop and the next disagree on
// where a request ends (request smuggling).
std::optional<RequestError> FindRequestError(evhttp_request* req, const HttpHeaders& headers) {
  const Method* method = FindMethod(evhttp_request_get_command(req));
  if (method == nullptr) return RequestError{501, "the method is not supported"};
  if (HeadSize(req, headers) > CallerServer::kMaxHeadBytes) {
    return RequestError{431, "the request line and headers exceed 32768 bytes"};
  }
  for (const auto& it : headers) {
    // evhttp parses "Transfer-Encoding :" as an unknown header and the body as another request.
    if (!IsValidHeader(it.first, it.second)) return RequestError{400, "a header is malformed"};
  }
  const ContentLength length = ReadContentLength(headers);
  if (!length.valid) return RequestError{400, "Content-Length is not one decimal number"};
  const std::optional<std::string> encoding = FindHeader(headers, "Transfer-Encoding");
  if (encoding && length.value) {
    return RequestError{400, "Content-Length and Transfer-Encoding exclude each other"};
  }
  if (encoding && !HeaderNameEquals(*encoding, "chunked")) {
    return RequestError{400, "the only Transfer-Encoding allowed is chunked"};
  }
  if (!method->reads_body && (encoding || length.value.value_or(0) > 0)) {
    return RequestError{400, "a body is allowed with POST, PUT and PATCH only"};
  }
  return std::nullopt;
}

void SendError(evhttp_request* req, const RequestError& error) {
  evkeyvalq* out = evhttp_request_get_output_headers(req);
  evhttp_add_header(out, "Connection", "close");
  evhttp_add_header(out, "Content-Type", "text/plain");
  evhttp_add_header(out, kOutcomeHeader, "not-run");
  const EvbufferPtr body(evbuffer_new());
  evbuffer_add_printf(body.get(), "%s\n", error.message);
  evhttp_send_reply(req, error.status, nullptr, body.get());
}

std::string ReadTarget(evhttp_request* req) {
  std::string uri = evhttp_request_get_uri(req);
  if (!uri.empty() && uri[0] == '/') return uri;
  const evhttp_uri* parts = evhttp_request_get_evhttp_uri(req);
  if (parts == nullptr || evhttp_uri_get_host(parts) == nullptr) return {};
  const char* path = evhttp_uri_get_path(parts);
  const char* query = evhttp_uri_get_query(parts);
  std::string target = path == nullptr || *path == '\0' ? "/" : path;
  if (query != nullptr) target += std::string("?") + query;
  return target;
}

std::string ReadBody(evhttp_request* req) {
  evbuffer* in = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  return body;
}

bool HasUnreadInput(evhttp_connection* connection) {
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection);
  int pending = 0;
  ioctl(bufferevent_getfd(bufev), FIONREAD, &pending);
  return pending > 0 || evbuffer_get_length(bufferevent_get_input(bufev)) > 0;
}

// With Nagle's algorithm the end of a response can be delayed by up to 40 ms, until the caller
// sends its delayed acknowledgement.
void DisableNagle(evhttp_connection* connection) {
  const int on = 1;
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

uint16_t BoundPort(evhttp_bound_socket* socket) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&name), &size);
  return ntohs(name.sin_port);
}

}  // namespace

CallerServer::CallerServer(event_base* base, CallHandler* handler)
    : base_(base),
      handler_(handler),
      close_timer_(base, [this] { CloseScheduled(); }),
      drained_timer_(base, [this] { NotifyDrained(); }),
      http_(evhttp_new(base)) {
  uint16_t methods = 0;
  for (const Method& it : kMethods) methods = static_cast<uint16_t>(methods | it.type);
  const timeval idle = ToTimeval(kIdleTimeout);
  evhttp_set_allowed_methods(http_.get(), methods);
  evhttp_set_max_headers_size(http_.get(), kEvhttpMaxHeadBytes);
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
  evhttp_set_timeout_tv(http_.get(), &idle);
  evhttp_set_default_content_type(http_.get(), nullptr);
  // Without this, the reset caused by unread data can reach the caller before the 413 response.
  evhttp_set_flags(http_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_gencb(http_.get(), &CallerServer::OnRequest, this);
}

CallerServer::~CallerServer() {
  destroying_ = true;
  http_.reset();
}

std::error_code CallerServer::Listen(const NetAddress& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port());
  if (inet_pton(AF_INET, address.ip().c_str(), &name.sin_addr) != 1) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  // The listener that evhttp creates has a backlog of 128.
  constexpr unsigned kFlags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE;
  evconnlistener* listener =
      evconnlistener_new_bind(base_, nullptr, nullptr, kFlags, kListenBacklog,
                              reinterpret_cast<const sockaddr*>(&name), sizeof(name));
  if (listener == nullptr) return std::error_code(errno, std::system_category());
  socket_ = evhttp_bind_listener(http_.get(), listener);
  address_ = NetAddress(address.ip(), BoundPort(socket_));
  return {};
}

void CallerServer::OnRequest(evhttp_request* req, void* arg) {
  static_cast<CallerServer*>(arg)->HandleRequest(req);
}

void CallerServer::HandleRequest(evhttp_request* req) {
  const HttpHeaders headers = ReadHeaders(req);
  std::optional<RequestError> error = FindRequestError(req, headers);
  CallRequest request;
  request.target = ReadTarget(req);
  if (!error && request.target.empty()) {
    error = RequestError{400, "the request target is not a path"};
  }
  if (error) {
    LogEvent(LogLevel::kInfo, "caller", "refused")
        .Add("status", error->status)
        .Add("reason", error->message);
    SendError(req, *error);
    return;
  }
  request.method = FindMethod(evhttp_request_get_command(req))->name;
  request.path = request.target.substr(0, request.target.find('?'));
  const char* host = evhttp_request_get_host(req);
  if (host != nullptr) request.host = host;
  request.headers = WithoutHopByHop(headers);
  request.body = ReadBody(req);

  evhttp_connection* connection = evhttp_request_get_connection(req);
  if (connections_.count(connection) == 0) {
    evhttp_connection_set_closecb(connection, &CallerServer::OnConnectionClosed, this);
    DisableNagle(connection);
  }
  auto exchange = std::make_unique<Exchange>(this, req);
  Exchange* raw = exchange.get();
  exchanges_.emplace(raw, std::move(exchange));
  connections_[connection].exchange = raw;
  handler_->OnCall(std::move(request), std::make_shared<Reply>(raw));
}

void CallerServer::OnConnectionClosed(evhttp_connection* connection, void* arg) {
  auto* self = static_cast<CallerServer*>(arg);
  const auto it = self->connections_.find(connection);
  if (it == self->connections_.end()) return;
  Exchange* exchange = it->second.exchange;
  self->connections_.erase(it);
  if (exchange == nullptr) return;
  const std::function<void()> on_disconnect = exchange->Detach();
  self->Remove(exchange);
  if (on_disconnect && !self->destroying_) on_disconnect();
}

// Frees the connection from a timer, since this function may be called from one of evhttp's own
// callbacks for the connection.
void CallerServer::ScheduleClose(evhttp_connection* connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  it->second.close_scheduled = true;
  close_timer_.StartOnce(std::chrono::microseconds(0));
}

void CallerServer::CloseScheduled() {
  std::vector<evhttp_connection*> closing;
  for (auto& it : connections_) {
    if (!it.second.close_scheduled) continue;
    it.second.close_scheduled = false;
    // An idle connection may have received another request since the close was scheduled.
    const Exchange* exchange = it.second.exchange;
    const bool in_use = exchange == nullptr ? HasUnreadInput(it.first) : !exchange->aborted();
    if (!in_use) closing.push_back(it.first);
  }
  for (evhttp_connection* it : closing) evhttp_connection_free(it);
}

void CallerServer::Remove(Exchange* exchange) {
  const auto it = connections_.find(exchange->connection());
  if (it != connections_.end() && it->second.exchange == exchange) {
    it->second.exchange = nullptr;
    // The head may have been sent before the stop, that is, without "Connection: close".
    if (stopping_) ScheduleClose(exchange->connection());
  }
  exchanges_.erase(exchange);
  if (stopping_ && exchanges_.empty()) drained_timer_.StartOnce(std::chrono::microseconds(0));
}

void CallerServer::StopAccepting(std::function<void()> drained) {
  if (stopping_) return;
  stopping_ = true;
  drained_ = std::move(drained);
  if (socket_ != nullptr) evhttp_del_accept_socket(http_.get(), socket_);
  socket_ = nullptr;
  for (const auto& it : connections_) {
    // A request that has already arrived is answered before the connection is closed.
    if (it.second.exchange == nullptr && !HasUnreadInput(it.first)) ScheduleClose(it.first);
  }
  if (exchanges_.empty()) drained_timer_.StartOnce(std::chrono::microseconds(0));
}

void CallerServer::NotifyDrained() {
  if (!exchanges_.empty() || !drained_) return;
  const std::function<void()> callback = std::move(drained_);
  drained_ = nullptr;
  callback();
}

}  // namespace camphorhoist
