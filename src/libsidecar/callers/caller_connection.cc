#include "libsidecar/callers/caller_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

CallerConnection* Self(http_parser* parser) { return static_cast<CallerConnection*>(parser->data); }

}  // namespace

CallerConnection::CallerConnection(CallerListener* owner, uint64_t id, evutil_socket_t fd)
    : owner_(owner),
      id_(id),
      timer_(owner->base(), [this] { OnTimeout(); }),
      bufev_(bufferevent_socket_new(owner->base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  bufferevent_set_max_single_read(bufev_.get(), kSocketReadBytes);
  bufferevent_setcb(bufev_.get(), &CallerConnection::OnRead, &CallerConnection::OnWritten,
                    &CallerConnection::OnEvent, this);
  bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
  ArmTimer();
}

CallerConnection::~CallerConnection() {
  if (call_ != 0) owner_->dispatcher()->Cancel(call_);
  if (paced_message_id_ != 0) owner_->pacer()->Drop(paced_message_id_);
}

bool CallerConnection::idle() const {
  return state_ == State::kReading && !request_started_ &&
         evbuffer_get_length(bufferevent_get_output(bufev_.get())) == 0;
}

void CallerConnection::Close() {
  if (call_ != 0) owner_->dispatcher()->Cancel(std::exchange(call_, 0));
  if (paced_message_id_ != 0) owner_->pacer()->Drop(std::exchange(paced_message_id_, 0));
  state_ = State::kClosing;
  timer_.Stop();
  bufferevent_disable(bufev_.get(), EV_READ | EV_WRITE);
  owner_->Release(id_);
}

void CallerConnection::OnRead(bufferevent* bufev, void* arg) {
  auto* self = static_cast<CallerConnection*>(arg);
  evbuffer* input = bufferevent_get_input(bufev);
  switch (self->state_) {
    case State::kReading:
      return self->Parse();
    case State::kCalling:
    case State::kResponding:
      // Keeps reading, to detect when the caller disconnects, but limits the buffered data.
      if (evbuffer_get_length(input) > kMaxReadAhead) bufferevent_disable(bufev, EV_READ);
      return;
    case State::kClosing:
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
  }
}

void CallerConnection::OnWritten(bufferevent*, void* arg) {
  auto* self = static_cast<CallerConnection*>(arg);
  if (self->state_ != State::kClosing || self->bufev_ == nullptr) return;
  // Half-closes first: closing a socket with unread data would reset the connection before the
  // caller has read the response.
  shutdown(bufferevent_getfd(self->bufev_.get()), SHUT_WR);
}

void CallerConnection::OnEvent(bufferevent*, short,  // NOLINT(google-runtime-int): libevent
                               void* arg) {
  static_cast<CallerConnection*>(arg)->Close();
}

void CallerConnection::OnTimeout() {
  if (state_ == State::kReading && request_started_) {
    owner_->metrics()->Count("callers_timed_out_total");
    return RejectRequest(kRequestTimeout);
  }
  Close();
}

void CallerConnection::ArmTimer() {
  const CallerLimits& limits = owner_->limits();
  timer_.StartOnce(request_started_ ? limits.header_timeout : limits.idle_timeout);
}

void CallerConnection::Parse() {
  evbuffer* input = bufferevent_get_input(bufev_.get());
  while (state_ == State::kReading && evbuffer_get_length(input) > 0) {
    evbuffer_iovec chunk{};
    evbuffer_peek(input, -1, nullptr, &chunk, 1);
    const bool request_was_started = request_started_;
    const size_t parsed = http_parser_execute(
        &parser_, ParserSettings(), static_cast<const char*>(chunk.iov_base), chunk.iov_len);
    evbuffer_drain(input, parsed);
    if (request_started_ && !request_was_started && !request_complete_) ArmTimer();
    if (reject_status_ != 0) return RejectRequest(reject_status_);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
    if (error != HPE_OK && error != HPE_PAUSED) {
      return RejectRequest(error == HPE_HEADER_OVERFLOW ? kHeadersTooLarge : kBadRequest);
    }
    if (parser_.upgrade != 0) return RejectRequest(kNotImplemented);
    if (request_complete_) BeginCall();
  }
}

void CallerConnection::RejectRequest(int status) {
  owner_->metrics()->Count("requests_rejected_total");
  LogEvent(LogLevel::kInfo, "caller", "rejected").Add("status", status);
  AppendResponse(status, {}, "", true, bufferevent_get_output(bufev_.get()));
  CloseAfterWrite();
}

void CallerConnection::CloseAfterWrite() {
  state_ = State::kClosing;
  timer_.StartOnce(kLingerTimeout);
  bufferevent_enable(bufev_.get(), EV_READ);
}

void CallerConnection::BeginCall() {
  state_ = State::kCalling;
  timer_.Stop();
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  request_complete_ = false;
  request_started_ = false;
  const bool with_body = request_.method != "HEAD";
  const Dispatcher::Handle call = owner_->dispatcher()->Start(
      std::exchange(request_, CallerRequest()), [this, with_body](CallerResponse response) {
        call_ = 0;
        if (!with_body) response.body.clear();
        Respond(response);
      });
  // The callback may have run already.
  if (state_ == State::kCalling) call_ = call;
}

void CallerConnection::Respond(const CallerResponse& response) {
  const bool close = !keep_alive_ || !owner_->keep_alive();
  if (owner_->pacer()->enabled() && response.body.size() >= LinkPacer::kLargeMessageBytes) {
    EvbufferPtr bytes(evbuffer_new());
    AppendResponse(response.status, response.headers, response.body, close, bytes.get());
    return SendPaced(std::move(bytes), close);
  }
  AppendResponse(response.status, response.headers, response.body, close,
                 bufferevent_get_output(bufev_.get()));
  EndCall(close);
}

void CallerConnection::SendPaced(EvbufferPtr response, bool close) {
  state_ = State::kResponding;
  paced_message_id_ =
      owner_->pacer()->Send(std::move(response), [this, close](evbuffer* part, bool last) {
        evbuffer_add_buffer(bufferevent_get_output(bufev_.get()), part);
        if (!last) return;
        paced_message_id_ = 0;
        EndCall(close);
      });
}

void CallerConnection::EndCall(bool close) {
  if (close) return CloseAfterWrite();
  state_ = State::kReading;
  ArmTimer();
  bufferevent_enable(bufev_.get(), EV_READ);
  // Parses pipelined data in a later iteration of the event loop, so that the stack does not grow.
  if (evbuffer_get_length(bufferevent_get_input(bufev_.get())) > 0) {
    bufferevent_trigger(bufev_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

int CallerConnection::OnMessageBegin(http_parser* parser) {
  CallerConnection* self = Self(parser);
  self->request_started_ = true;
  self->head_bytes_ = 0;
  self->last_was_value_ = false;
  self->request_ = CallerRequest();
  return 0;
}

int CallerConnection::CountHeadBytes(size_t size) {
  head_bytes_ += size;
  if (head_bytes_ <= owner_->limits().max_header_bytes) return 0;
  reject_status_ = kHeadersTooLarge;
  return 1;
}

int CallerConnection::OnUrl(http_parser* parser, const char* at, size_t size) {
  CallerConnection* self = Self(parser);
  self->request_.target.append(at, size);
  return self->CountHeadBytes(size);
}

int CallerConnection::OnHeaderField(http_parser* parser, const char* at, size_t size) {
  CallerConnection* self = Self(parser);
  HttpHeaders& headers = self->request_.headers;
  if (headers.empty() || self->last_was_value_) headers.emplace_back();
  self->last_was_value_ = false;
  headers.back().first.append(at, size);
  return self->CountHeadBytes(size);
}

int CallerConnection::OnHeaderValue(http_parser* parser, const char* at, size_t size) {
  CallerConnection* self = Self(parser);
  self->request_.headers.back().second.append(at, size);
  self->last_was_value_ = true;
  return self->CountHeadBytes(size);
}

int CallerConnection::OnHeadersComplete(http_parser* parser) {
  CallerConnection* self = Self(parser);
  const CallerLimits& limits = self->owner_->limits();
  const HttpHeaders& headers = self->request_.headers;
  if (parser->content_length != UINT64_MAX && parser->content_length > limits.max_body_bytes) {
    self->reject_status_ = kPayloadTooLarge;
    return -1;
  }
  // Rejects ambiguous framing, which would allow request smuggling.
  const std::optional<std::string> encoding = FindHeader(headers, "Transfer-Encoding");
  if (encoding &&
      (!HeaderNameEquals(*encoding, "chunked") || FindHeader(headers, "Content-Length"))) {
    self->reject_status_ = kBadRequest;
    return -1;
  }
  if (HasHeaderToken(headers, "Expect", "100-continue")) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(self->bufev_.get(), interim.data(), interim.size());
  }
  return 0;
}

int CallerConnection::OnBody(http_parser* parser, const char* at, size_t size) {
  CallerConnection* self = Self(parser);
  if (self->request_.body.size() + size > self->owner_->limits().max_body_bytes) {
    self->reject_status_ = kPayloadTooLarge;
    return 1;
  }
  self->request_.body.append(at, size);
  return 0;
}

int CallerConnection::OnMessageComplete(http_parser* parser) {
  Self(parser)->request_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings* CallerConnection::ParserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &CallerConnection::OnMessageBegin;
    settings.on_url = &CallerConnection::OnUrl;
    settings.on_header_field = &CallerConnection::OnHeaderField;
    settings.on_header_value = &CallerConnection::OnHeaderValue;
    settings.on_headers_complete = &CallerConnection::OnHeadersComplete;
    settings.on_body = &CallerConnection::OnBody;
    settings.on_message_complete = &CallerConnection::OnMessageComplete;
    return settings;
  }();
  return &kSettings;
}

}  // namespace camphorhoist
