#include "libsidecar/callers/caller_listener.h"

#include <utility>

#include "libbase/log.h"
#include "libsidecar/callers/caller_connection.h"

namespace camphorhoist {

CallerListener::CallerListener(event_base* base, Dispatcher* dispatcher, LinkPacer* pacer,
                               MemoryBudget* budget, SidecarMetrics* metrics)
    : base_(base),
      dispatcher_(dispatcher),
      pacer_(pacer),
      budget_(budget),
      metrics_(metrics),
      cleanup_timer_(base, [this] { pending_deletion_.clear(); }) {}

CallerListener::~CallerListener() = default;

bool CallerListener::Start(const NetAddress& address, std::error_code* ec) {
  listener_ = Listen(base_, address, &CallerListener::OnAccept, this, ec);
  return listener_ != nullptr;
}

const CallerLimits& CallerListener::limits() const {
  static const CallerLimits kDefaults;
  return dispatcher_->config() == nullptr ? kDefaults : dispatcher_->config()->limits();
}

void CallerListener::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  auto* self = static_cast<CallerListener*>(arg);
  const uint64_t id = self->next_id_++;
  const auto budget_id =
      self->budget_->Open(ListenAddress::kCallers, std::chrono::steady_clock::now(),
                          [self, id](MemoryBudget::Reason reason) { self->Evict(id, reason); });
  if (!budget_id) {
    self->metrics_->Count("connections_refused_total", "caller");
    LogEvent(LogLevel::kWarn, "caller", "connection_refused")
        .Add("connections", self->connections_.size());
    evutil_closesocket(fd);
    return;
  }
  self->connections_.emplace(id, std::make_unique<CallerConnection>(self, id, *budget_id, fd));
}

void CallerListener::Evict(uint64_t id, MemoryBudget::Reason reason) {
  metrics_->Count("connections_evicted_total", "caller");
  LogEvent(LogLevel::kWarn, "caller", "evicted")
      .Add("reason", reason == MemoryBudget::Reason::kMemory ? "memory" : "descriptors");
  const auto it = connections_.find(id);
  if (it != connections_.end()) it->second->Evict(reason);
}

void CallerListener::Release(uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  pending_deletion_.push_back(std::move(it->second));
  connections_.erase(it);
  cleanup_timer_.StartOnce(std::chrono::microseconds(0));
}

void CallerListener::Stop() {
  keep_alive_ = false;
  listener_.reset();
  std::vector<CallerConnection*> idle;
  for (const auto& it : connections_) {
    if (it.second->idle()) idle.push_back(it.second.get());
  }
  for (CallerConnection* it : idle) it->Close();
}

}  // namespace camphorhoist
