#include "libupstream/upstream_exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "libbase/socket_address.h"
#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kReplacedHeaders[] = {"Content-Length", kCallIdHeader, kTimeoutHeader,
                                            kDepthHeader};

bool IsReplaced(const std::string& name) {
  return std::any_of(std::begin(kReplacedHeaders), std::end(kReplacedHeaders),
                     [&name](const char* it) { return HeaderNameEquals(name, it); });
}

void AppendHeader(std::string* text, const std::string& name, const std::string& value) {
  text->append(name).append(": ").append(value).append("\r\n");
}

std::string FormatHead(const UpstreamRequest& request, const NetAddress& upstream,
                       milliseconds remaining) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!FindHeader(request.headers, "Host")) AppendHeader(&text, "Host", upstream.ToString());
  for (const auto& it : WithoutHopByHop(request.headers)) {
    if (!IsReplaced(it.first)) AppendHeader(&text, it.first, it.second);
  }
  const bool may_have_body = request.method != "GET" && request.method != "HEAD";
  if (may_have_body || !request.body.empty()) {
    AppendHeader(&text, "Content-Length", std::to_string(request.body.size()));
  }
  if (request.call_id != CallId()) {
    AppendHeader(&text, kCallIdHeader, request.call_id.ToString());
    AppendHeader(&text, kDepthHeader, std::to_string(request.depth));
  }
  AppendHeader(&text, kTimeoutHeader, std::to_string(std::max<int64_t>(remaining.count(), 1)));
  return text + "\r\n";
}

}  // namespace

UpstreamClient::Exchange::Exchange(UpstreamClient* owner, Handle handle, UpstreamRequest request,
                                   ResponseSink* sink)
    : owner_(owner),
      handle_(handle),
      request_(std::move(request)),
      sink_(sink),
      started_(steady_clock::now()),
      parser_(request_.method == "HEAD"),
      deadline_timer_(owner->base_, [this] { OnDeadline(); }),
      continue_timer_(owner->base_, [this] { ProcessInput(); }) {}

void UpstreamClient::Exchange::Begin(BuffereventPtr idle) {
  deadline_timer_.StartOnce(request_.timeout);
  if (idle) {
    bufev_ = std::move(idle);
    bufferevent_setcb(bufev_.get(), &Exchange::OnRead, nullptr, &Exchange::OnEvent, this);
    WriteRequest();
  } else {
    Connect();
  }
}

void UpstreamClient::Exchange::ScheduleFailure(const std::string& detail) {
  failure_ = detail;
  continue_timer_.StartOnce(std::chrono::microseconds(0));
}

void UpstreamClient::Exchange::Connect() {
  bufev_.reset(bufferevent_socket_new(owner_->base_, -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setwatermark(bufev_.get(), EV_READ, 0, kReadBufferBytes);
  bufferevent_setcb(bufev_.get(), &Exchange::OnRead, nullptr, &Exchange::OnEvent, this);
  const sockaddr_in name = ToSockaddr(owner_->upstream_);
  ++owner_->connections_opened_;
  if (bufferevent_socket_connect(bufev_.get(), reinterpret_cast<const sockaddr*>(&name),
                                 sizeof(name)) != 0) {
    ScheduleFailure("the connection could not be opened");
  }
}

void UpstreamClient::Exchange::WriteRequest() {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_);
  const std::string head = FormatHead(request_, owner_->upstream_, request_.timeout - elapsed);
  request_bytes_ = head.size() + request_.body.size();
  written_ = true;
  bufferevent_write(bufev_.get(), head.data(), head.size());
  bufferevent_write(bufev_.get(), request_.body.data(), request_.body.size());
  bufferevent_enable(bufev_.get(), EV_WRITE);
  if (!paused_) bufferevent_enable(bufev_.get(), EV_READ);
}

bool UpstreamClient::Exchange::Sent() const {
  if (!written_) return false;
  return evbuffer_get_length(bufferevent_get_output(bufev_.get())) < request_bytes_;
}

void UpstreamClient::Exchange::Pause() {
  paused_ = true;
  if (bufev_) bufferevent_disable(bufev_.get(), EV_READ);
}

void UpstreamClient::Exchange::Resume() {
  if (!paused_) return;
  paused_ = false;
  continue_timer_.StartOnce(std::chrono::microseconds(0));
}

void UpstreamClient::Exchange::OnRead(bufferevent*, void* arg) {
  static_cast<Exchange*>(arg)->ProcessInput();
}

// The functions of the sink may pause or cancel this exchange.
void UpstreamClient::Exchange::ProcessInput() {
  if (!failure_.empty()) {
    Finish(UpstreamResult::kNeverSent, failure_);
    return;
  }
  if (!bufev_) return;
  const UpstreamClient* owner = owner_;
  const Handle handle = handle_;
  evbuffer* input = bufferevent_get_input(bufev_.get());
  while (!paused_) {
    switch (parser_.Next(input)) {
      case ResponseParser::Step::kNeedMore:
        if (written_) bufferevent_enable(bufev_.get(), EV_READ);
        return;
      case ResponseParser::Step::kHead:
        DeliverHead();
        break;
      case ResponseParser::Step::kBodyData:
        if (!shed_) sink_->OnData(std::move(parser_.data()));
        break;
      case ResponseParser::Step::kComplete:
        Finish(shed_ ? UpstreamResult::kShed : UpstreamResult::kWhole, {});
        return;
      case ResponseParser::Step::kMalformed:
        HandleFailure(parser_.error());
        return;
    }
    if (owner->exchanges_.count(handle) == 0) return;
  }
}

void UpstreamClient::Exchange::DeliverHead() {
  head_received_ = true;
  deadline_timer_.Stop();
  const timeval stall = ToTimeval(kStallTimeout);
  bufferevent_set_timeouts(bufev_.get(), &stall, nullptr);
  shed_ = parser_.status() == 503 && FindHeader(parser_.headers(), kShedHeader) == "1";
  if (!shed_) sink_->OnHead(parser_.status(), WithoutHopByHop(parser_.headers()));
}

void UpstreamClient::Exchange::OnEvent(bufferevent*, short what,  // NOLINT(google-runtime-int)
                                       void* arg) {
  auto* self = static_cast<Exchange*>(arg);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    const int on = 1;
    setsockopt(bufferevent_getfd(self->bufev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    self->WriteRequest();
  } else if ((what & BEV_EVENT_TIMEOUT) != 0) {
    self->HandleFailure("no response data within the stall timeout");
  } else if ((what & BEV_EVENT_EOF) != 0) {
    self->HandleFailure(self->head_received_
                            ? "the connection closed before the end of the response"
                            : "the connection closed before the response");
  } else {
    self->HandleFailure(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  }
}

void UpstreamClient::Exchange::HandleFailure(const std::string& detail) {
  if (shed_) {
    Finish(UpstreamResult::kShed, {});
  } else {
    Finish(Sent() ? UpstreamResult::kNoWholeAnswer : UpstreamResult::kNeverSent, detail);
  }
}

void UpstreamClient::Exchange::OnDeadline() {
  if (!Sent()) {
    Finish(UpstreamResult::kNeverSent, "no connection within the timeout");
    return;
  }
  UpstreamClient* owner = owner_;
  const CallId call_id = request_.call_id;
  Finish(UpstreamResult::kTimedOut, "no response within the timeout");
  owner->SendCancellation(call_id);
}

void UpstreamClient::Exchange::Finish(UpstreamResult result, std::string detail) {
  UpstreamClient* owner = owner_;
  ResponseSink* sink = sink_;
  const bool reusable =
      bufev_ != nullptr && parser_.keep_alive() &&
      (result == UpstreamResult::kWhole ||
       (result == UpstreamResult::kShed &&
        parser_.Next(bufferevent_get_input(bufev_.get())) == ResponseParser::Step::kComplete));
  const std::string reason = std::move(detail);
  BuffereventPtr connection = std::move(bufev_);
  owner->Remove(handle_);
  if (reusable) owner->AddIdle(std::move(connection));
  connection.reset();
  sink->OnEnd(result, reason);
}

}  // namespace camphorhoist
