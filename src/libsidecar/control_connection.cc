#include "libsidecar/control_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "libbase/log.h"
#include "libcaller/http_headers.h"
#include "libsidecar/http_text.h"

namespace camphorhoist {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kServiceUnavailable = 503;
/// Largest amount that is read at once. It bounds the data of a connection that is not accounted.
constexpr size_t kReadBytes = 4 << 10;
/// Length of a header name that is kept. Longer names are none that the server handles.
constexpr size_t kMaxNameBytes = 16;

ControlConnection* Self(http_parser* parser) {
  return static_cast<ControlConnection*>(parser->data);
}

}  // namespace

ControlConnection::ControlConnection(ControlServer* owner, uint64_t id,
                                     MemoryBudget::ConnectionId budget_id, evutil_socket_t fd)
    : owner_(owner),
      id_(id),
      budget_id_(budget_id),
      timer_(owner->base(), [this] { OnTimeout(); }),
      bufev_(bufferevent_socket_new(owner->base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  bufferevent_set_max_single_read(bufev_.get(), kReadBytes);
  bufferevent_setwatermark(bufev_.get(), EV_READ, 0, kReadBytes);
  bufferevent_setcb(bufev_.get(), &ControlConnection::OnRead, &ControlConnection::OnWritten,
                    &ControlConnection::OnEvent, this);
  bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
  timer_.StartOnce(ControlServer::kIdleTimeout);
}

ControlConnection::~ControlConnection() { owner_->budget()->Close(budget_id_); }

void ControlConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  timer_.Stop();
  owner_->budget()->Close(budget_id_);
  CloseSocket(bufev_.get());
  bufev_.reset();
  owner_->Release(id_);
}

bool ControlConnection::Reserve(size_t bytes) {
  return owner_->budget()->Reserve(budget_id_, bytes, std::chrono::steady_clock::now());
}

void ControlConnection::OnRead(bufferevent* bufev, void* arg) {
  auto* self = static_cast<ControlConnection*>(arg);
  if (self->state_ == State::kReading) return self->Parse();
  if (self->state_ != State::kClosing) return;
  evbuffer* input = bufferevent_get_input(bufev);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void ControlConnection::OnWritten(bufferevent* bufev, void* arg) {
  auto* self = static_cast<ControlConnection*>(arg);
  if (self->state_ == State::kClosing) {
    if (self->client_done_) return self->Close();
    // Half-closes first: closing a socket with unread data would reset the connection before the
    // client has read the response.
    shutdown(bufferevent_getfd(bufev), SHUT_WR);
    return;
  }
  if (self->state_ != State::kWriting) return;
  if (self->client_done_) return self->Close();
  self->Reserve(0);
  self->owner_->budget()->StartWaiting(self->budget_id_, std::chrono::steady_clock::now());
  self->state_ = State::kReading;
  self->timer_.StartOnce(ControlServer::kIdleTimeout);
  bufferevent_enable(bufev, EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(bufev)) > 0) {
    bufferevent_trigger(bufev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void ControlConnection::OnEvent(bufferevent* bufev,
                                short what,  // NOLINT(google-runtime-int): libevent
                                void* arg) {
  auto* self = static_cast<ControlConnection*>(arg);
  const bool pending = evbuffer_get_length(bufferevent_get_output(bufev)) > 0;
  if ((what & BEV_EVENT_EOF) == 0 || (what & BEV_EVENT_ERROR) != 0 || !pending) {
    return self->Close();
  }
  // The client has only finished sending; it still gets the response.
  self->client_done_ = true;
  bufferevent_disable(bufev, EV_READ);
}

void ControlConnection::OnTimeout() {
  if (state_ == State::kReading && request_started_) return Reject(kRequestTimeout);
  Close();
}

void ControlConnection::Parse() {
  evbuffer* input = bufferevent_get_input(bufev_.get());
  while (state_ == State::kReading && evbuffer_get_length(input) > 0) {
    evbuffer_iovec chunk{};
    evbuffer_peek(input, -1, nullptr, &chunk, 1);
    const bool was_started = request_started_;
    const size_t parsed = http_parser_execute(
        &parser_, ParserSettings(), static_cast<const char*>(chunk.iov_base), chunk.iov_len);
    evbuffer_drain(input, parsed);
    owner_->budget()->OnTransfer(budget_id_, parsed);
    if (request_started_ && !was_started) timer_.StartOnce(ControlServer::kTransferTimeout);
    if (reject_status_ != 0) return Reject(reject_status_);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
    if (error != HPE_OK && error != HPE_PAUSED) {
      return Reject(error == HPE_HEADER_OVERFLOW ? kHeadersTooLarge : kBadRequest);
    }
    if (parser_.upgrade != 0) return Reject(kNotImplemented);
    if (request_complete_) Handle();
  }
}

void ControlConnection::Handle() {
  request_complete_ = false;
  request_started_ = false;
  const bool close = http_should_keep_alive(&parser_) == 0;
  const ControlResponse response = owner_->handler()(std::exchange(request_, ControlRequest()));
  Respond(response, close);
}

void ControlConnection::Respond(const ControlResponse& response, bool close) {
  HttpHeaders headers = {{"Content-Type", response.content_type}};
  if (!close && parser_.http_major == 1 && parser_.http_minor == 0) {
    headers.emplace_back("Connection", "keep-alive");
  }
  state_ = close ? State::kClosing : State::kWriting;
  timer_.StartOnce(ControlServer::kTransferTimeout);
  if (!close) bufferevent_disable(bufev_.get(), EV_READ);
  if (!Reserve(response.body.size())) return Close();
  AppendResponse(response.status, headers, response.body, close,
                 bufferevent_get_output(bufev_.get()));
}

void ControlConnection::Reject(int status) {
  owner_->metrics()->Count("control_requests_rejected_total");
  LogEvent(LogLevel::kInfo, "control", "rejected").Add("status", status);
  DiscardRequest();
  Respond({status, "text/plain", ""}, true);
}

void ControlConnection::DiscardRequest() {
  // Assigning an empty string would keep the memory of the body.
  const ControlRequest discarded = std::exchange(request_, ControlRequest());
  Reserve(0);
}

int ControlConnection::OnMessageBegin(http_parser* parser) {
  ControlConnection* self = Self(parser);
  self->request_started_ = true;
  self->head_bytes_ = 0;
  self->field_.clear();
  self->last_was_value_ = false;
  self->expects_interim_ = false;
  self->DiscardRequest();
  return 0;
}

int ControlConnection::CountHeadBytes(size_t size) {
  head_bytes_ += size;
  if (head_bytes_ <= ControlServer::kMaxHeadBytes) return 0;
  reject_status_ = kHeadersTooLarge;
  return 1;
}

int ControlConnection::OnUrl(http_parser* parser, const char* at, size_t size) {
  ControlConnection* self = Self(parser);
  const int result = self->CountHeadBytes(size);
  if (result == 0) self->request_.path.append(at, size);
  return result;
}

int ControlConnection::OnHeaderField(http_parser* parser, const char* at, size_t size) {
  ControlConnection* self = Self(parser);
  if (std::exchange(self->last_was_value_, false)) self->field_.clear();
  self->field_.append(at,
                      std::min(size, kMaxNameBytes - std::min(kMaxNameBytes, self->field_.size())));
  return self->CountHeadBytes(size);
}

int ControlConnection::OnHeaderValue(http_parser* parser, const char*, size_t size) {
  ControlConnection* self = Self(parser);
  self->last_was_value_ = true;
  // "100-continue" is the only value that HTTP defines.
  if (HeaderNameEquals(self->field_, "Expect")) self->expects_interim_ = true;
  return self->CountHeadBytes(size);
}

int ControlConnection::OnHeadersComplete(http_parser* parser) {
  ControlConnection* self = Self(parser);
  const auto method = static_cast<http_method>(parser->method);
  if (method != HTTP_GET && method != HTTP_POST) {
    self->reject_status_ = kNotImplemented;
    return -1;
  }
  self->request_.post = method == HTTP_POST;
  const bool sized = parser->content_length != UINT64_MAX;
  if (sized && parser->content_length > ControlServer::kMaxBodyBytes) {
    self->reject_status_ = kPayloadTooLarge;
    return -1;
  }
  const size_t body = sized ? static_cast<size_t>(parser->content_length) : 0;
  if (!self->Reserve(self->request_.path.size() + body)) {
    self->reject_status_ = kServiceUnavailable;
    return -1;
  }
  self->request_.body.reserve(body);
  if (self->expects_interim_) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(self->bufev_.get(), interim.data(), interim.size());
  }
  return 0;
}

int ControlConnection::OnBody(http_parser* parser, const char* at, size_t size) {
  ControlConnection* self = Self(parser);
  std::string& body = self->request_.body;
  if (body.size() + size > ControlServer::kMaxBodyBytes) {
    self->reject_status_ = kPayloadTooLarge;
    return 1;
  }
  // The capacity of the string at most doubles.
  const bool grows = body.size() + size > body.capacity();
  const size_t capacity = grows ? std::max(body.size() + size, 2 * body.capacity()) : 0;
  if (grows && !self->Reserve(self->request_.path.size() + capacity)) {
    self->reject_status_ = kServiceUnavailable;
    return 1;
  }
  body.append(at, size);
  return 0;
}

int ControlConnection::OnMessageComplete(http_parser* parser) {
  Self(parser)->request_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings* ControlConnection::ParserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &ControlConnection::OnMessageBegin;
    settings.on_url = &ControlConnection::OnUrl;
    settings.on_header_field = &ControlConnection::OnHeaderField;
    settings.on_header_value = &ControlConnection::OnHeaderValue;
    settings.on_headers_complete = &ControlConnection::OnHeadersComplete;
    settings.on_body = &ControlConnection::OnBody;
    settings.on_message_complete = &ControlConnection::OnMessageComplete;
    return settings;
  }();
  return &kSettings;
}

}  // namespace camphorhoist
