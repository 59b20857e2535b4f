#include "libsidecar/servers/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "libbase/socket_address.h"
#include "libbase/socket_options.h"
#include "libcaller/http_headers.h"
#include "libsidecar/http_text.h"
#include "libupstream/response_parser.h"

namespace camphorhoist {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// One request and its response on one connection.
class UpstreamPool::Exchange {
 public:
  Exchange(UpstreamPool* pool, Handle handle, UpstreamCall call, Callback callback)
      : pool_(pool),
        handle_(handle),
        call_(std::move(call)),
        callback_(std::move(callback)),
        parser_(call_.method == "HEAD", ResponseParser::Unframed::kUntilClose),
        finish_timer_(pool->base_, [this] { pool_->Finish(handle_, std::move(outcome_)); }) {}

  void Start() {
    IdleConnection idle = pool_->TakeIdle(call_.idempotent);
    bufev_ = std::move(idle.bufev);
    refused_ = idle.refused;
    const bool new_connection = bufev_ == nullptr;
    if (new_connection) Connect();
    bufferevent_setcb(bufev_.get(), &Exchange::OnRead, nullptr, &Exchange::OnEvent, this);
    bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
    if (!new_connection) Write();
  }

  ~Exchange() { pool_->buffered_bytes_ -= buffered_bytes_; }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  Callback TakeCallback() { return std::move(callback_); }

 private:
  void Connect() {
    ++pool_->connections_opened_;
    bufev_.reset(
        bufferevent_socket_new(pool_->base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_set_max_single_read(bufev_.get(), kSocketReadBytes);
    const timeval tv = ToTimeval(kConnectTimeout);
    bufferevent_set_timeouts(bufev_.get(), nullptr, &tv);
    sockaddr_in name = ToSockaddr(pool_->upstream_);
    bufferevent_socket_connect(bufev_.get(), reinterpret_cast<sockaddr*>(&name), sizeof(name));
  }

  void Write() {
    outcome_.sent = true;
    AppendRequest(call_.method, call_.target, call_.headers, call_.body,
                  bufferevent_get_output(bufev_.get()));
  }

  static void OnRead(bufferevent*, void* arg) { static_cast<Exchange*>(arg)->Read(); }

  static void OnEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                      void* arg) {
    auto* self = static_cast<Exchange*>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      bufferevent_set_timeouts(bufev, nullptr, nullptr);
      TuneSocket(bufferevent_getfd(bufev), kUnackedTimeout);
      return self->Write();
    }
    if (!self->outcome_.sent) {
      return self->Fail(ResultKind::kNotRun, ResultReason::kUpstreamUnreachable);
    }
    // libevent may report a failed write and the end of the stream in one callback.
    const bool orderly_close = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == BEV_EVENT_EOF;
    if (orderly_close && self->RequestDelivered() && self->parser_.OnClose()) {
      return self->Complete();
    }
    self->Fail(ResultKind::kUnknown, ResultReason::kConnectionLost);
  }

  // A server that ends the stream while it is still receiving the request may reset the connection
  // afterwards, so that the end of a response without a length is not known.
  bool RequestDelivered() const {
    return evbuffer_get_length(bufferevent_get_output(bufev_.get())) == 0 &&
           UnacknowledgedBytes(bufferevent_getfd(bufev_.get())) == 0;
  }

  void Read() {
    evbuffer* input = bufferevent_get_input(bufev_.get());
    while (true) {
      switch (parser_.Next(input)) {
        case ResponseParser::Step::kNeedMore:
          return;
        case ResponseParser::Step::kHead:
          if (!ProcessHead()) return;
          break;
        case ResponseParser::Step::kBodyData:
          if (mismatched_response_) break;
          if (!HasRoomFor(parser_.data().size())) {
            return Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
          }
          buffered_bytes_ += parser_.data().size();
          pool_->buffered_bytes_ += parser_.data().size();
          AppendToBody(parser_.data());
          break;
        case ResponseParser::Step::kComplete:
          if (!mismatched_response_) return Complete();
          // The response to another request has been skipped; the response to this request follows.
          mismatched_response_ = false;
          reusable_ = false;
          parser_ = ResponseParser(call_.method == "HEAD", ResponseParser::Unframed::kUntilClose);
          break;
        case ResponseParser::Step::kMalformed:
          return Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
      }
    }
  }

  // An upstream may send bytes without end. The process must not exceed its memory for them.
  bool HasRoomFor(size_t bytes) const {
    const size_t size = outcome_.body.size() + bytes;
    if (size > kMaxResponseBytes) return false;
    return size <= kMinLargeBytes || pool_->buffered_bytes_ + bytes <= kMaxBufferedBytes;
  }

  // A large body of unknown length gets room for the longest one at once: memory that is not
  // written is not resident, whereas growing by copies would need half as much again for a moment.
  void AppendToBody(const std::string& data) {
    const size_t size = outcome_.body.size() + data.size();
    if (size > outcome_.body.capacity() && size > kMinLargeBytes) {
      outcome_.body.reserve(kMaxResponseBytes);
    }
    outcome_.body += data;
  }

  // Returns false if the exchange has ended.
  bool ProcessHead() {
    const platform::UpstreamHeaders decoded =
        platform::DecodeUpstreamHeaders(parser_.status(), parser_.headers());
    if (decoded.request_id != call_.request_id && !decoded.request_id.empty()) {
      mismatched_response_ = true;
      refused_ = refused_ || decoded.not_run;
      return true;
    }
    // A refusal may lack the id, unless it might be an earlier one that was written once more.
    if (decoded.request_id.empty()) reusable_ = false;
    if (decoded.request_id.empty() && (!decoded.not_run || refused_)) {
      Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
      return false;
    }
    outcome_.decoded = decoded;
    outcome_.status = parser_.status();
    if (parser_.content_length() && call_.method != "HEAD") {
      const auto length = static_cast<size_t>(*parser_.content_length());
      if (length > kMaxResponseBytes) {
        Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
        return false;
      }
      outcome_.body.reserve(length);
    }
    return true;
  }

  void Complete() {
    outcome_.headers = WithoutHopByHop(parser_.headers());
    outcome_.kind = outcome_.decoded.not_run ? ResultKind::kNotRun : ResultKind::kResponse;
    if (outcome_.decoded.not_run) outcome_.reason = ResultReason::kUpstreamRefused;
    const bool drained = evbuffer_get_length(bufferevent_get_input(bufev_.get())) == 0 &&
                         evbuffer_get_length(bufferevent_get_output(bufev_.get())) == 0;
    if (reusable_ && drained && parser_.keep_alive()) {
      milliseconds limit = kMaxIdleTime;
      if (outcome_.decoded.idle_timeout) {
        limit = std::max(milliseconds(0), *outcome_.decoded.idle_timeout - kIdleMargin);
      }
      const bool refused = refused_ || outcome_.decoded.not_run;
      pool_->AddIdle({std::move(bufev_), steady_clock::now(), limit, refused});
    }
    End();
  }

  void Fail(ResultKind kind, ResultReason reason) {
    outcome_.kind = kind;
    outcome_.reason = reason;
    outcome_.body.clear();
    End();
  }

  void End() {
    bufev_.reset();
    finish_timer_.StartOnce(std::chrono::microseconds(0));
  }

  static constexpr milliseconds kUnackedTimeout{1000};

  UpstreamPool* pool_;
  Handle handle_;
  UpstreamCall call_;
  Callback callback_;
  UpstreamOutcome outcome_;
  ResponseParser parser_;
  size_t buffered_bytes_ = 0;
  /// The response being read belongs to another request.
  bool mismatched_response_ = false;
  bool reusable_ = true;
  /// The upstream has refused an earlier request on this connection.
  bool refused_ = false;
  Timer finish_timer_;
  BuffereventPtr bufev_;
};

UpstreamPool::UpstreamPool(event_base* base, NetAddress upstream)
    : base_(base), upstream_(std::move(upstream)) {}

UpstreamPool::~UpstreamPool() = default;

UpstreamPool::Handle UpstreamPool::Start(UpstreamCall call, Callback callback) {
  const Handle handle = next_handle_++;
  auto exchange = std::make_unique<Exchange>(this, handle, std::move(call), std::move(callback));
  Exchange* raw = exchange.get();
  exchanges_.emplace(handle, std::move(exchange));
  raw->Start();
  return handle;
}

void UpstreamPool::Cancel(Handle handle) { exchanges_.erase(handle); }

void UpstreamPool::Finish(Handle handle, UpstreamOutcome outcome) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return;
  const Callback callback = it->second->TakeCallback();
  exchanges_.erase(it);
  callback(std::move(outcome));
}

UpstreamPool::IdleConnection UpstreamPool::TakeIdle(bool idempotent) {
  const auto now = steady_clock::now();
  const auto expired = [now](const IdleConnection& it) { return now - it.since >= it.limit; };
  idle_connections_.erase(
      std::remove_if(idle_connections_.begin(), idle_connections_.end(), expired),
      idle_connections_.end());
  // The last element is the most recently used connection.
  if (idle_connections_.empty()) return {};
  if (!idempotent && now - idle_connections_.back().since > kMaxIdleTimeNonIdempotent) {
    return {};
  }
  IdleConnection connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

void UpstreamPool::AddIdle(IdleConnection connection) {
  bufferevent_setcb(connection.bufev.get(), &UpstreamPool::OnIdleRead, nullptr,
                    &UpstreamPool::OnIdleEvent, this);
  idle_connections_.push_back(std::move(connection));
}

void UpstreamPool::RemoveIdle(bufferevent* bufev) {
  const auto it =
      std::find_if(idle_connections_.begin(), idle_connections_.end(),
                   [bufev](const IdleConnection& idle) { return idle.bufev.get() == bufev; });
  if (it != idle_connections_.end()) idle_connections_.erase(it);
}

void UpstreamPool::OnIdleEvent(bufferevent* bufev, short,  // NOLINT(google-runtime-int): libevent
                               void* arg) {
  static_cast<UpstreamPool*>(arg)->RemoveIdle(bufev);
}

// Unsolicited data on an idle connection: the connection can no longer be trusted.
void UpstreamPool::OnIdleRead(bufferevent* bufev, void* arg) {
  static_cast<UpstreamPool*>(arg)->RemoveIdle(bufev);
}

void UpstreamPool::CloseIdle() { idle_connections_.clear(); }

}  // namespace camphorhoist
