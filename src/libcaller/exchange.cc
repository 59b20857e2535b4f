#include "libcaller/exchange.h"

#include <event2/http_struct.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "libbase/log.h"
#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

// Resets the connection. A body without length or chunks ends with the close of the connection, so
// after a normal close the response would look complete. SO_LINGER has no effect here, since evhttp
// shuts the socket down before closing it.
void ResetConnection(bufferevent* bufev) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (connect(bufferevent_getfd(bufev), &none, sizeof(none)) != 0) {
    LogEvent(LogLevel::kWarn, "caller", "reset_failed").Add("errno", errno);
  }
}

// Writes as much as the socket accepts at once. A bufferevent writes only in a later turn of the
// loop, so the caller would otherwise not even receive the head of a response that is aborted in
// the turn in which it was started.
void FlushOutput(bufferevent* bufev) {
  evbuffer* out = bufferevent_get_output(bufev);
  // A bufferevent freezes the start of its output buffer, so that nothing else can drain it.
  evbuffer_unfreeze(out, 1);
  evbuffer_write(out, bufferevent_getfd(bufev));
  evbuffer_freeze(out, 1);
}

}  // namespace

CallerServer::Exchange::Exchange(CallerServer* server, evhttp_request* req)
    : server_(server),
      req_(req),
      connection_(evhttp_request_get_connection(req)),
      bufev_(evhttp_connection_get_bufferevent(connection_)) {
  evhttp_request_set_on_complete_cb(req_, &Exchange::OnComplete, this);
  PrepareConnection();
}

// evhttp stops reading while a request is handled, and would then not notice that the caller closes
// the connection. Reading therefore stays enabled, but without evhttp's read callback, which aborts
// the process on data in this state, and without a read timeout, since a caller sends nothing while
// it waits for the response.
void CallerServer::Exchange::PrepareConnection() {
  bufferevent_data_cb write_cb = nullptr;
  bufferevent_event_cb event_cb = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(bufev_, nullptr, &write_cb, &event_cb, &arg);
  bufferevent_setcb(bufev_, nullptr, write_cb, event_cb, arg);
  bufferevent_setwatermark(bufev_, EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_setwatermark(bufev_, EV_WRITE, CallReply::kLowWaterBytes, 0);
  const timeval write_timeout = ToTimeval(kWriteTimeout);
  bufferevent_set_timeouts(bufev_, nullptr, &write_timeout);
  bufferevent_enable(bufev_, EV_READ);
}

void CallerServer::Exchange::RestoreConnection() {
  const timeval idle = ToTimeval(kIdleTimeout);
  bufferevent_setwatermark(bufev_, EV_READ, 0, 0);
  bufferevent_set_timeouts(bufev_, &idle, &idle);
}

bool CallerServer::Exchange::HasBody() const {
  return status_ != 204 && status_ != 304 && status_ >= 200 &&
         evhttp_request_get_command(req_) != EVHTTP_REQ_HEAD;
}

void CallerServer::Exchange::SendHead(int status, const HttpHeaders& headers) {
  if (status_ != 0) return;
  status_ = status;
  evkeyvalq* out = evhttp_request_get_output_headers(req_);
  for (const auto& it : WithoutHeader(WithoutHopByHop(headers), "Content-Length")) {
    if (IsValidHeader(it.first, it.second)) {
      evhttp_add_header(out, it.first.c_str(), it.second.c_str());
    }
  }
  const ContentLength length = ReadContentLength(headers);
  if (length.valid) content_length_ = length.value;
  if (content_length_ && status != 204) {
    evhttp_add_header(out, "Content-Length", std::to_string(*content_length_).c_str());
  }
  const bool is_http_1_0 = req_->major == 1 && req_->minor == 0;
  if (is_http_1_0 && !content_length_ && HasBody()) {
    // Otherwise evhttp would add "Content-Length: 0" for a keep-alive request, before the body.
    evhttp_remove_header(evhttp_request_get_input_headers(req_), "Connection");
    close_delimited_ = true;
  }
  if (server_->stopping_ || close_delimited_) evhttp_add_header(out, "Connection", "close");
  evhttp_send_reply_start(req_, status, nullptr);
}

void CallerServer::Exchange::SendChunk(std::string_view data) {
  if (status_ == 0 || data.empty() || !HasBody()) return;
  sent_bytes_ += static_cast<int64_t>(data.size());
  if (content_length_ && sent_bytes_ > *content_length_) {
    Abort();
    return;
  }
  const EvbufferPtr buf(evbuffer_new());
  evbuffer_add(buf.get(), data.data(), data.size());
  evhttp_send_reply_chunk_with_cb(req_, buf.get(), &Exchange::OnWritten, this);
  if (buffered_bytes() >= CallReply::kHighWaterBytes) over_high_water_ = true;
}

void CallerServer::Exchange::OnWritten(evhttp_connection*, void* arg) {
  auto* self = static_cast<Exchange*>(arg);
  if (!self->over_high_water_ || self->finished_) return;
  self->over_high_water_ = false;
  const std::function<void()> callback =
      self->on_writable;  // copied: the callback may end the exchange
  if (callback) callback();
}

void CallerServer::Exchange::Finish() {
  const bool incomplete =
      status_ == 0 || (HasBody() && content_length_ && sent_bytes_ != *content_length_);
  if (incomplete) {
    Abort();
    return;
  }
  finished_ = true;
  ReleaseReply();
  // evhttp expects its write callback only once all data is sent, which requires a low-water mark
  // of zero.
  bufferevent_setwatermark(bufev_, EV_WRITE, 0, 0);
  evhttp_send_reply_end(req_);
}

void CallerServer::Exchange::Abort() {
  finished_ = true;
  aborted_ = true;
  ReleaseReply();
  FlushOutput(bufev_);
  if (close_delimited_) ResetConnection(bufev_);
  bufferevent_disable(bufev_, EV_READ | EV_WRITE);
  server_->ScheduleClose(connection_);
}

size_t CallerServer::Exchange::buffered_bytes() const {
  return evbuffer_get_length(bufferevent_get_output(bufev_));
}

void CallerServer::Exchange::ReleaseReply() {
  if (reply != nullptr) reply->Release();
  reply = nullptr;
}

std::function<void()> CallerServer::Exchange::Detach() {
  ReleaseReply();
  // When a connection is lost, evhttp detaches a request that is being answered and leaves it to
  // its user to free; in all other cases it frees the request with the connection.
  if (evhttp_request_get_connection(req_) == nullptr) evhttp_request_free(req_);
  return finished_ ? nullptr : std::move(on_disconnect);
}

void CallerServer::Exchange::OnComplete(evhttp_request*, void* arg) {
  auto* self = static_cast<Exchange*>(arg);
  self->RestoreConnection();
  self->server_->Remove(self);
}

CallerServer::Reply::~Reply() {
  if (exchange_ == nullptr) return;
  exchange_->Abort();
}

void CallerServer::Reply::SendHead(int status, const HttpHeaders& headers) {
  if (exchange_ != nullptr) exchange_->SendHead(status, headers);
}

void CallerServer::Reply::SendChunk(std::string_view data) {
  if (exchange_ != nullptr) exchange_->SendChunk(data);
}

void CallerServer::Reply::Finish() {
  if (exchange_ != nullptr) exchange_->Finish();
}

void CallerServer::Reply::Abort() {
  if (exchange_ != nullptr) exchange_->Abort();
}

size_t CallerServer::Reply::buffered_bytes() const {
  return exchange_ == nullptr ? 0 : exchange_->buffered_bytes();
}

void CallerServer::Reply::SetOnWritable(std::function<void()> callback) {
  if (exchange_ != nullptr) exchange_->on_writable = std::move(callback);
}

void CallerServer::Reply::SetOnDisconnect(std::function<void()> callback) {
  if (exchange_ != nullptr) exchange_->on_disconnect = std::move(callback);
}

void SendWholeReply(CallReply* reply, int status, HttpHeaders headers, std::string_view body) {
  headers = WithoutHeader(headers, "Content-Length");
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  reply->SendHead(status, headers);
  reply->SendChunk(body);
  reply->Finish();
}

}  // namespace camphorhoist
