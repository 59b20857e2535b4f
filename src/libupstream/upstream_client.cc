#include "libupstream/upstream_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libbase/log.h"
#include "libcaller/http_headers.h"
#include "libupstream/upstream_exchange.h"

namespace camphorhoist {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kCancellationTimeout{1000};

bool IsSafe(const std::string& method) { return method == "GET" || method == "HEAD"; }

// Returns whether the connection is neither closed by the peer nor has unread data, which would
// belong to no request.
bool IsReusable(bufferevent* bufev) {
  if (evbuffer_get_length(bufferevent_get_input(bufev)) > 0) return false;
  char byte = 0;
  const ssize_t n = recv(bufferevent_getfd(bufev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns why the request would break the HTTP framing, or an empty string if it would not.
std::string FindRequestError(const UpstreamRequest& request) {
  if (!IsValidHeader(request.method, "")) return "the method is not a token";
  const bool printable = std::all_of(request.target.begin(), request.target.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
  });
  if (request.target.empty() || request.target[0] != '/' || !printable) {
    return "the target is not a path";
  }
  for (const auto& it : request.headers) {
    if (!IsValidHeader(it.first, it.second)) return "a header is malformed";
  }
  return {};
}

}  // namespace

const char* ToString(UpstreamResult result) {
  switch (result) {
    case UpstreamResult::kWhole:
      return "whole";
    case UpstreamResult::kNeverSent:
      return "never-sent";
    case UpstreamResult::kNoWholeAnswer:
      return "no-whole-answer";
    case UpstreamResult::kTimedOut:
      return "timed-out";
    case UpstreamResult::kShed:
      return "shed";
  }
  return "";
}

UpstreamClient::UpstreamClient(event_base* base, NetAddress upstream, size_t max_connections)
    : base_(base),
      upstream_(std::move(upstream)),
      max_connections_(max_connections),
      idle_timer_(base, [this] { CloseExpiredIdle(); }),
      cancellation_client_(base) {}

UpstreamClient::~UpstreamClient() = default;

// Each request counts as one connection.
size_t UpstreamClient::open_connections() const {
  return exchanges_.size() + idle_.size() + cancellation_client_.in_flight();
}

UpstreamClient::Handle UpstreamClient::Start(UpstreamRequest request, ResponseSink* sink) {
  const Handle handle = next_handle_++;
  std::string error = FindRequestError(request);
  BuffereventPtr idle;
  if (error.empty()) {
    idle = TakeIdle(request.method);
    // Close an idle connection that was not reusable for this request, to stay within the limit.
    if (!idle && open_connections() >= max_connections_ && !idle_.empty()) {
      idle_.erase(idle_.begin());
    }
    if (!idle && open_connections() >= max_connections_) error = "the connection limit is reached";
  }
  auto owned = std::make_unique<Exchange>(this, handle, std::move(request), sink);
  Exchange* exchange = owned.get();
  exchanges_.emplace(handle, std::move(owned));
  if (error.empty()) {
    exchange->Begin(std::move(idle));
  } else {
    exchange->ScheduleFailure(error);
  }
  return handle;
}

bool UpstreamClient::Cancel(Handle handle) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return false;
  const bool sent = it->second->Sent();
  const CallId call_id = it->second->call_id();
  exchanges_.erase(it);
  if (sent) SendCancellation(call_id);
  return !sent;
}

void UpstreamClient::Pause(Handle handle) {
  const auto it = exchanges_.find(handle);
  if (it != exchanges_.end()) it->second->Pause();
}

void UpstreamClient::Resume(Handle handle) {
  const auto it = exchanges_.find(handle);
  if (it != exchanges_.end()) it->second->Resume();
}

void UpstreamClient::Remove(Handle handle) { exchanges_.erase(handle); }

BuffereventPtr UpstreamClient::TakeIdle(const std::string& method) {
  const milliseconds limit = IsSafe(method) ? kMaxIdleTime : kMaxIdleTimeUnsafe;
  const auto oldest = steady_clock::now() - limit;
  // The most recently used connection is the least likely to have been closed.
  while (!idle_.empty() && idle_.back().since >= oldest) {
    BuffereventPtr bufev = std::move(idle_.back().bufev);
    idle_.pop_back();
    if (IsReusable(bufev.get())) return bufev;
  }
  return nullptr;
}

void UpstreamClient::AddIdle(BuffereventPtr bufev) {
  if (!IsReusable(bufev.get()) || evbuffer_get_length(bufferevent_get_output(bufev.get())) > 0) {
    return;
  }
  bufferevent_setcb(bufev.get(), &UpstreamClient::OnIdleRead, nullptr, &UpstreamClient::OnIdleEvent,
                    this);
  bufferevent_set_timeouts(bufev.get(), nullptr, nullptr);
  bufferevent_enable(bufev.get(), EV_READ);
  idle_.push_back({std::move(bufev), steady_clock::now()});
  if (!idle_timer_.pending()) idle_timer_.StartOnce(kMaxIdleTime);
}

void UpstreamClient::OnIdleRead(bufferevent* bufev, void* arg) {
  auto* self = static_cast<UpstreamClient*>(arg);
  LogEvent(LogLevel::kWarn, "upstream", "stray_data").Add("upstream", self->upstream_.ToString());
  self->CloseIdle(bufev);
}

void UpstreamClient::OnIdleEvent(bufferevent* bufev, short,  // NOLINT(google-runtime-int)
                                 void* arg) {
  static_cast<UpstreamClient*>(arg)->CloseIdle(bufev);
}

void UpstreamClient::CloseIdle(bufferevent* bufev) {
  const auto it = std::find_if(idle_.begin(), idle_.end(), [bufev](const IdleConnection& idle) {
    return idle.bufev.get() == bufev;
  });
  if (it != idle_.end()) idle_.erase(it);
}

void UpstreamClient::CloseExpiredIdle() {
  const auto oldest = steady_clock::now() - kMaxIdleTime;
  while (!idle_.empty() && idle_.front().since <= oldest) idle_.erase(idle_.begin());
  if (idle_.empty()) return;
  const auto left = idle_.front().since - oldest;
  idle_timer_.StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(left) +
                        milliseconds(1));
}

void UpstreamClient::SendCancellation(const CallId& call_id) {
  if (!accepts_cancel_ || call_id == CallId() || open_connections() >= max_connections_) return;
  HttpRequest request;
  request.method = "POST";
  request.target = "/cancel?id=" + call_id.ToString();
  cancellation_client_.Send(upstream_, std::move(request), kCancellationTimeout,
                            [](const HttpResponse&) {});
}

}  // namespace camphorhoist
