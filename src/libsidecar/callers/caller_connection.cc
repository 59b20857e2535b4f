#include "libsidecar/callers/caller_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
/// Bytes per read without a large body. It bounds what is buffered beyond the read-ahead limit.
constexpr size_t kShortReadBytes = 16 << 10;
/// Bodies from this size are read with `kSocketReadBytes`.
constexpr size_t kLargeBodyBytes = 64 << 10;

CallerConnection* Self(http_parser* parser) { return static_cast<CallerConnection*>(parser->data); }

size_t SizeOf(const CallerResponse& response) {
  size_t bytes = response.body.size();
  for (const auto& it : response.headers) bytes += sizeof(it) + it.first.size() + it.second.size();
  return bytes;
}

}  // namespace

CallerConnection::CallerConnection(CallerListener* owner, uint64_t id,
                                   MemoryBudget::ConnectionId budget_id, evutil_socket_t fd)
    : owner_(owner),
      id_(id),
      memory_(owner->budget(), budget_id),
      timer_(owner->base(), [this] { OnTimeout(); }),
      disconnect_timer_(owner->base(), [this] { CheckDisconnect(); }),
      bufev_(bufferevent_socket_new(owner->base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  SetReadSize(kShortReadBytes);
  evbuffer_add_cb(bufferevent_get_output(bufev_.get()), &CallerConnection::OnOutputChanged, this);
  bufferevent_setcb(bufev_.get(), &CallerConnection::OnRead, &CallerConnection::OnWritten,
                    &CallerConnection::OnEvent, this);
  bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
  ArmTimer();
}

CallerConnection::~CallerConnection() { CancelCalls(); }

bool CallerConnection::idle() const {
  return !closing_ && pipeline_.empty() && !request_started_ && unsent_bytes() == 0;
}

size_t CallerConnection::unsent_bytes() const {
  return evbuffer_get_length(bufferevent_get_output(bufev_.get()));
}

void CallerConnection::SetReadSize(size_t bytes) {
  bufferevent_set_max_single_read(bufev_.get(), bytes);
}

void CallerConnection::Evict(MemoryBudget::Reason reason) {
  memory_.OnEvicted();
  const bool rejects = reason == MemoryBudget::Reason::kMemory && !closing_ && request_started_ &&
                       !request_complete_;
  if (rejects) return RejectRequest(kRequestTimeout);
  Close();
}

void CallerConnection::OnOutputChanged(evbuffer*, const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<CallerConnection*>(arg);
  if (info->n_deleted > 0) self->memory_.OnTransfer(info->n_deleted);
}

bool CallerConnection::ReserveOutput() {
  return memory_.SetOutput(unsent_bytes() + paced_bytes_ + pipeline_.buffered_bytes());
}

void CallerConnection::CancelCalls() {
  for (auto& it : pending_) {
    if (it.second.call != 0) owner_->dispatcher()->Cancel(std::exchange(it.second.call, 0));
  }
  pending_.clear();
  if (paced_message_id_ != 0) owner_->pacer()->Drop(std::exchange(paced_message_id_, 0));
}

void CallerConnection::Close() {
  CancelCalls();
  closing_ = true;
  timer_.Stop();
  disconnect_timer_.Stop();
  bufferevent_disable(bufev_.get(), EV_READ | EV_WRITE);
  CloseSocket(bufev_.get());
  memory_.Close();
  owner_->Release(id_);
}

RequestPipeline::Connection CallerConnection::PipelineInput() const {
  return {owner_->keep_alive(), unsent_bytes()};
}

void CallerConnection::OnRead(bufferevent* bufev, void* arg) {
  auto* self = static_cast<CallerConnection*>(arg);
  if (!self->closing_) return self->Parse();
  evbuffer* input = bufferevent_get_input(bufev);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void CallerConnection::OnWritten(bufferevent*, void* arg) {
  auto* self = static_cast<CallerConnection*>(arg);
  if (self->bufev_ == nullptr) return;
  self->ReserveOutput();
  // A request may have waited until the caller has read earlier responses.
  if (!self->closing_) return self->ParseLater();
  // Half-closes first: closing a socket with unread data would reset the connection before the
  // caller has read the response.
  shutdown(bufferevent_getfd(self->bufev_.get()), SHUT_WR);
}

void CallerConnection::OnEvent(bufferevent*, short,  // NOLINT(google-runtime-int): libevent
                               void* arg) {
  static_cast<CallerConnection*>(arg)->Close();
}

void CallerConnection::OnTimeout() {
  if (!closing_ && request_started_ && !request_complete_) {
    owner_->metrics()->Count("callers_timed_out_total");
    return RejectRequest(kRequestTimeout);
  }
  Close();
}

void CallerConnection::ArmTimer() {
  const CallerLimits& limits = owner_->limits();
  const bool reading = request_started_ && !request_complete_;
  timer_.StartOnce(reading ? limits.header_timeout : limits.idle_timeout);
}

void CallerConnection::Parse() {
  evbuffer* input = bufferevent_get_input(bufev_.get());
  while (!closing_) {
    if (request_complete_ && !BeginCall()) break;
    if (evbuffer_get_length(input) == 0) break;
    if (!request_started_ && !IsPermitted(pipeline_.ReadDelay(PipelineInput()))) break;
    evbuffer_iovec chunk{};
    evbuffer_peek(input, -1, nullptr, &chunk, 1);
    const bool request_was_started = request_started_;
    const size_t parsed = http_parser_execute(
        &parser_, ParserSettings(), static_cast<const char*>(chunk.iov_base), chunk.iov_len);
    evbuffer_drain(input, parsed);
    memory_.OnTransfer(parsed);
    if (request_started_ && !request_was_started && !request_complete_) ArmTimer();
    if (reject_status_ != 0) {
      RejectRequest(reject_status_);
      break;
    }
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
    if (error != HPE_OK && error != HPE_PAUSED) {
      RejectRequest(error == HPE_HEADER_OVERFLOW ? kHeadersTooLarge : kBadRequest);
      break;
    }
    if (parser_.upgrade != 0) {
      RejectRequest(kNotImplemented);
      break;
    }
    if (request_complete_ && pipeline_.empty()) {
      ArmTimer();
    } else if (request_complete_ || interim_response_due_) {
      // The caller is not slow: it has sent the request, or waits for the interim response.
      timer_.Stop();
    }
  }
  LimitReadAhead();
}

bool CallerConnection::IsPermitted(RequestPipeline::Delay delay) {
  if (delay == RequestPipeline::Delay::kNone) {
    delay_ = delay;
    return true;
  }
  if (delay == delay_ || delay == RequestPipeline::Delay::kClosing) return false;
  delay_ = delay;
  owner_->metrics()->Count("requests_delayed_total", ToString(delay));
  LogEvent(LogLevel::kInfo, "caller", "delayed")
      .Add("connection", id_)
      .Add("reason", ToString(delay))
      .Add("pending", pending_.size())
      .Add("buffered_bytes", pipeline_.buffered_bytes());
  return false;
}

bool CallerConnection::BeginCall() {
  const std::shared_ptr<const MeshConfig>& config = owner_->dispatcher()->config();
  const std::string host = FindHeader(request_.headers, "Host").value_or("");
  const MeshRoute* route = config == nullptr ? nullptr : config->Match(host, request_.target);
  const bool idempotent = route != nullptr && route->idempotent();
  if (!IsPermitted(pipeline_.DelayOf(idempotent, PipelineInput()))) return false;
  timer_.Stop();
  memory_.StopWaiting();
  SetReadSize(kShortReadBytes);
  if (!pipeline_.empty()) owner_->metrics()->Count("requests_pipelined_total");
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  request_complete_ = false;
  request_started_ = false;
  const RequestPipeline::RequestId id =
      pipeline_.Start(idempotent, http_should_keep_alive(&parser_) == 0);
  pending_[id].with_body = request_.method != "HEAD";
  pending_[id].request_bytes = memory_.BeginCall();
  const Dispatcher::Handle call = owner_->dispatcher()->Start(
      std::exchange(request_, CallerRequest()),
      [this, id](CallerResponse response) { OnResponse(id, std::move(response)); });
  // The callback may have run already.
  const auto it = pending_.find(id);
  if (it != pending_.end() && !it->second.response) it->second.call = call;
  return true;
}

void CallerConnection::RejectRequest(int status) {
  owner_->metrics()->Count("requests_rejected_total");
  LogEvent(LogLevel::kInfo, "caller", "rejected").Add("status", status);
  timer_.Stop();
  DiscardRequest();
  request_started_ = false;
  request_complete_ = false;
  interim_response_due_ = false;
  CallerResponse response;
  response.status = status;
  const std::optional<RequestPipeline::RequestId> id = pipeline_.Reject();
  if (!id) return;
  pending_.emplace(*id, PendingRequest());
  OnResponse(*id, std::move(response));
}

void CallerConnection::DiscardRequest() {
  // Assigning an empty string would keep the memory of the body.
  const CallerRequest discarded = std::exchange(request_, CallerRequest());
  memory_.SetRequest(0);
}

void CallerConnection::OnResponse(RequestPipeline::RequestId id, CallerResponse response) {
  PendingRequest& pending = pending_.at(id);
  pending.call = 0;
  if (!pending.with_body) response.body.clear();
  memory_.EndCall(std::exchange(pending.request_bytes, 0));
  pipeline_.OnResponse(id, SizeOf(response));
  if (!ReserveOutput()) {
    owner_->metrics()->Count("responses_over_budget_total");
    LogEvent(LogLevel::kWarn, "caller", "response_over_budget")
        .Add("status", response.status)
        .Add("bytes", response.body.size());
    return Close();
  }
  pending.response = std::move(response);
  SendResponses();
}

void CallerConnection::SendResponses() {
  while (const auto next = pipeline_.NextResponse(owner_->keep_alive())) {
    const auto it = pending_.find(next->id);
    const CallerResponse response = std::move(*it->second.response);
    pending_.erase(it);
    if (owner_->pacer()->enabled() && response.body.size() >= LinkPacer::kLargeMessageBytes) {
      EvbufferPtr bytes(evbuffer_new());
      AppendResponse(response.status, response.headers, response.body, next->closes, bytes.get());
      return SendPaced(std::move(bytes), next->closes);
    }
    evbuffer* output = bufferevent_get_output(bufev_.get());
    const size_t unsent = evbuffer_get_length(output);
    AppendResponse(response.status, response.headers, response.body, next->closes, output);
    owner_->pacer()->OnShortMessage(evbuffer_get_length(output) - unsent);
    OnResponseSent(next->closes);
  }
}

void CallerConnection::SendPaced(EvbufferPtr response, bool close) {
  paced_bytes_ = evbuffer_get_length(response.get());
  paced_message_id_ =
      owner_->pacer()->Send(std::move(response), [this, close](evbuffer* part, bool last) {
        evbuffer_add_buffer(bufferevent_get_output(bufev_.get()), part);
        if (!last) return;
        paced_message_id_ = 0;
        paced_bytes_ = 0;
        OnResponseSent(close);
        SendResponses();
      });
}

void CallerConnection::OnResponseSent(bool close) {
  pipeline_.OnSent();
  if (close) return CloseAfterWrite();
  if (pipeline_.empty()) {
    memory_.StartWaiting();
    const bool interim = interim_response_due_;
    if (interim) SendInterimResponse();
    // Otherwise the time limit of the request that is being read is already running.
    if (interim || !request_started_ || request_complete_) ArmTimer();
  }
  ParseLater();
}

void CallerConnection::SendInterimResponse() {
  interim_response_due_ = false;
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  bufferevent_write(bufev_.get(), interim.data(), interim.size());
}

void CallerConnection::CloseAfterWrite() {
  evbuffer* input = bufferevent_get_input(bufev_.get());
  if (request_started_ || evbuffer_get_length(input) > 0) {
    owner_->metrics()->Count("requests_unread_total");
    LogEvent(LogLevel::kInfo, "caller", "unread")
        .Add("connection", id_)
        .Add("bytes", evbuffer_get_length(input));
  }
  closing_ = true;
  DiscardRequest();
  memory_.SetReadAhead(0);
  memory_.StartWaiting();
  disconnect_timer_.Stop();
  timer_.StartOnce(kLingerTimeout);
  bufferevent_enable(bufev_.get(), EV_READ);
}

void CallerConnection::ParseLater() {
  if (!request_complete_ && evbuffer_get_length(bufferevent_get_input(bufev_.get())) == 0) return;
  bufferevent_trigger(bufev_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void CallerConnection::LimitReadAhead() {
  if (closing_) return;
  const size_t buffered = evbuffer_get_length(bufferevent_get_input(bufev_.get()));
  const bool read = memory_.SetReadAhead(buffered) && buffered <= kMaxReadAhead;
  const bool reads = (bufferevent_get_enabled(bufev_.get()) & EV_READ) != 0;
  if (read == reads) return;
  if (read) {
    disconnect_timer_.Stop();
    bufferevent_enable(bufev_.get(), EV_READ);
  } else {
    bufferevent_disable(bufev_.get(), EV_READ);
    disconnect_timer_.StartPeriodic(kDisconnectCheckInterval);
  }
}

void CallerConnection::CheckDisconnect() {
  pollfd socket{bufferevent_getfd(bufev_.get()), POLLRDHUP, 0};
  if (poll(&socket, 1, 0) == 1) Close();
}

int CallerConnection::OnMessageBegin(http_parser* parser) {
  CallerConnection* self = Self(parser);
  self->request_started_ = true;
  self->head_bytes_ = 0;
  self->last_was_value_ = false;
  self->DiscardRequest();
  if (self->pipeline_.empty()) self->memory_.StartWaiting();
  return 0;
}

int CallerConnection::CountHeadBytes(size_t size) {
  head_bytes_ += size;
  if (head_bytes_ <= owner_->limits().max_header_bytes) return ReserveRequest(0, 0);
  reject_status_ = kHeadersTooLarge;
  return 1;
}

int CallerConnection::ReserveRequest(size_t body_bytes, size_t body_capacity) {
  const size_t head = CallerMemory::kBodyCopies * head_bytes_ +
                      MemoryBudget::kHeaderFieldBytes * request_.headers.size();
  const size_t bytes = head + (CallerMemory::kBodyCopies - 1) * body_bytes + body_capacity;
  if (memory_.SetRequest(bytes)) return 0;
  const int too_large = body_bytes > 0 ? kPayloadTooLarge : kHeadersTooLarge;
  reject_status_ = memory_.CanEverFit(bytes) ? kServiceUnavailable : too_large;
  owner_->metrics()->Count("requests_over_budget_total");
  LogEvent(LogLevel::kWarn, "caller", "request_over_budget")
      .Add("status", reject_status_)
      .Add("bytes", bytes);
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
  if (parser->content_length != UINT64_MAX) {
    const auto length = static_cast<size_t>(parser->content_length);
    if (self->ReserveRequest(length, length) != 0) return -1;
    self->request_.body.reserve(length);
    if (length >= kLargeBodyBytes) self->SetReadSize(kSocketReadBytes);
  }
  if (HasHeaderToken(headers, "Expect", "100-continue")) {
    self->interim_response_due_ = true;
    if (self->pipeline_.empty()) self->SendInterimResponse();
  }
  return 0;
}

int CallerConnection::OnBody(http_parser* parser, const char* at, size_t size) {
  CallerConnection* self = Self(parser);
  if (self->request_.body.size() + size > self->owner_->limits().max_body_bytes) {
    self->reject_status_ = kPayloadTooLarge;
    return 1;
  }
  std::string& body = self->request_.body;
  const size_t wanted = body.size() + size;
  if (wanted > body.capacity()) {
    // Grows by a quarter: a string that doubles may need twice the memory of the body.
    const size_t capacity = std::max(wanted, body.capacity() + body.capacity() / 4);
    if (self->ReserveRequest(wanted, capacity) != 0) return 1;
    // `std::string::reserve` at least doubles the capacity of a string with content.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body.swap(larger);
    if (capacity >= kLargeBodyBytes) self->SetReadSize(kSocketReadBytes);
  }
  body.append(at, size);
  return 0;
}

int CallerConnection::OnMessageComplete(http_parser* parser) {
  CallerConnection* self = Self(parser);
  self->request_complete_ = true;
  self->interim_response_due_ = false;
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
