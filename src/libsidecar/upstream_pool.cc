#include "libsidecar/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "libbase/socket_address.h"
#include "libbase/socket_options.h"
#include "libcaller/http_headers.h"
#include "libsidecar/http_text.h"
#include "libupstream/answer_parser.h"

namespace camphorhoist {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// One request on one connection.
class UpstreamPool::Exchange {
 public:
  Exchange(UpstreamPool* pool, Handle handle, UpstreamCall call, Callback callback)
      : pool_(pool),
        handle_(handle),
        call_(std::move(call)),
        callback_(std::move(callback)),
        parser_(call_.method == "HEAD", AnswerParser::Unframed::kUntilClose),
        finish_(pool->base_, [this] { pool_->Finish(handle_, std::move(outcome_)); }) {}

  void Start() {
    bufev_ = pool_->TakeIdle(call_.idempotent);
    const bool fresh = bufev_ == nullptr;
    if (fresh) Connect();
    bufferevent_setcb(bufev_.get(), &Exchange::OnRead, nullptr, &Exchange::OnEvent, this);
    bufferevent_enable(bufev_.get(), EV_READ | EV_WRITE);
    if (!fresh) Write();
  }

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
      TuneSocket(bufferevent_getfd(bufev), kSilence);
      return self->Write();
    }
    if (!self->outcome_.sent) {
      return self->Fail(ResultKind::kNotRun, ResultReason::kUpstreamUnreachable);
    }
    if ((what & BEV_EVENT_EOF) != 0 && self->parser_.OnClose()) return self->Complete();
    self->Fail(ResultKind::kUnknown, ResultReason::kConnectionLost);
  }

  void Read() {
    evbuffer* input = bufferevent_get_input(bufev_.get());
    while (true) {
      switch (parser_.Next(input)) {
        case AnswerParser::Step::kNeedMore:
          return;
        case AnswerParser::Step::kHead:
          if (!TakeHead()) return;
          break;
        case AnswerParser::Step::kData:
          if (foreign_) break;
          if (outcome_.body.size() + parser_.data().size() > kMaxResponseBytes) {
            return Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
          }
          outcome_.body += parser_.data();
          break;
        case AnswerParser::Step::kWhole:
          if (!foreign_) return Complete();
          // The rest of another request's response was skipped; the own one follows.
          foreign_ = false;
          reusable_ = false;
          parser_ = AnswerParser(call_.method == "HEAD", AnswerParser::Unframed::kUntilClose);
          break;
        case AnswerParser::Step::kBroken:
          return Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
      }
    }
  }

  // Returns false if the exchange has ended.
  bool TakeHead() {
    const platform::UpstreamHeaders decoded =
        platform::DecodeUpstreamHeaders(parser_.status(), parser_.headers());
    if (decoded.request_id != call_.request_id && !decoded.request_id.empty()) {
      foreign_ = true;
      return true;
    }
    if (decoded.request_id.empty() && !decoded.not_run) {
      Fail(ResultKind::kUnknown, ResultReason::kBrokenResponse);
      return false;
    }
    outcome_.decoded = decoded;
    outcome_.status = parser_.status();
    if (parser_.content_length()) {
      const auto length = static_cast<size_t>(*parser_.content_length());
      outcome_.body.reserve(std::min(length, kMaxResponseBytes));
    }
    return true;
  }

  void Complete() {
    outcome_.headers = WithoutHopByHop(parser_.headers());
    outcome_.kind = outcome_.decoded.not_run ? ResultKind::kNotRun : ResultKind::kResponse;
    if (outcome_.decoded.not_run) outcome_.reason = ResultReason::kUpstreamRefused;
    const bool clean = evbuffer_get_length(bufferevent_get_input(bufev_.get())) == 0 &&
                       evbuffer_get_length(bufferevent_get_output(bufev_.get())) == 0;
    if (reusable_ && clean && parser_.keep_alive()) {
      milliseconds limit = kMaxIdle;
      if (outcome_.decoded.idle_timeout) {
        limit = std::max(milliseconds(0), *outcome_.decoded.idle_timeout - kIdleMargin);
      }
      pool_->Keep(std::move(bufev_), limit);
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
    finish_.StartOnce(std::chrono::microseconds(0));
  }

  static constexpr milliseconds kSilence{1000};

  UpstreamPool* pool_;
  Handle handle_;
  UpstreamCall call_;
  Callback callback_;
  UpstreamOutcome outcome_;
  AnswerParser parser_;
  /// The response being read belongs to another request.
  bool foreign_ = false;
  bool reusable_ = true;
  Timer finish_;
  BuffereventPtr bufev_;
};

UpstreamPool::UpstreamPool(event_base* base, NetAddress upstream)
    : base_(base), upstream_(std::move(upstream)) {}

UpstreamPool::~UpstreamPool() = default;

UpstreamPool::Handle UpstreamPool::Start(UpstreamCall call, Callback callback) {
  const Handle handle = next_++;
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

BuffereventPtr UpstreamPool::TakeIdle(bool idempotent) {
  const auto now = steady_clock::now();
  const auto expired = [now](const Idle& it) { return now - it.since >= it.limit; };
  idle_.erase(std::remove_if(idle_.begin(), idle_.end(), expired), idle_.end());
  // The last one was used most recently.
  if (idle_.empty()) return nullptr;
  if (!idempotent && now - idle_.back().since > kMaxIdleNonIdempotent) return nullptr;
  BuffereventPtr bufev = std::move(idle_.back().bufev);
  idle_.pop_back();
  return bufev;
}

void UpstreamPool::Keep(BuffereventPtr bufev, milliseconds limit) {
  bufferevent_setcb(bufev.get(), &UpstreamPool::OnIdleRead, nullptr, &UpstreamPool::OnIdleEvent,
                    this);
  idle_.push_back({std::move(bufev), steady_clock::now(), limit});
}

void UpstreamPool::Drop(bufferevent* bufev) {
  const auto it = std::find_if(idle_.begin(), idle_.end(),
                               [bufev](const Idle& idle) { return idle.bufev.get() == bufev; });
  if (it != idle_.end()) idle_.erase(it);
}

void UpstreamPool::OnIdleEvent(bufferevent* bufev, short,  // NOLINT(google-runtime-int): libevent
                               void* arg) {
  static_cast<UpstreamPool*>(arg)->Drop(bufev);
}

// Bytes that no request asked for: the connection cannot be trusted any more.
void UpstreamPool::OnIdleRead(bufferevent* bufev, void* arg) {
  static_cast<UpstreamPool*>(arg)->Drop(bufev);
}

void UpstreamPool::CloseIdle() { idle_.clear(); }

}  // namespace camphorhoist
