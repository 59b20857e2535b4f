#include "libsidecar/control_server.h"

#include <utility>

#include "libbase/log.h"
#include "libsidecar/control_connection.h"

namespace camphorhoist {

ControlServer::ControlServer(event_base* base, ListenAddress kind, MemoryBudget* budget,
                             SidecarMetrics* metrics, Handler handler)
    : base_(base),
      kind_(kind),
      budget_(budget),
      metrics_(metrics),
      handler_(std::move(handler)),
      cleanup_timer_(base, [this] { pending_deletion_.clear(); }) {}

ControlServer::~ControlServer() = default;

bool ControlServer::Start(const NetAddress& address) {
  std::error_code ec;
  listener_ = Listen(base_, address, &ControlServer::OnAccept, this, &ec);
  return listener_ != nullptr;
}

void ControlServer::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  auto* self = static_cast<ControlServer*>(arg);
  const uint64_t id = self->next_id_++;
  const auto budget_id = self->budget_->Open(
      self->kind_, std::chrono::steady_clock::now(), [self, id](MemoryBudget::Reason) {
        self->metrics_->Count("connections_evicted_total", "control");
        LogEvent(LogLevel::kInfo, "control", "evicted").Add("connection", id);
        const auto it = self->connections_.find(id);
        if (it != self->connections_.end()) it->second->Close();
      });
  if (!budget_id) {
    self->metrics_->Count("connections_refused_total", "control");
    LogEvent(LogLevel::kInfo, "control", "connection_refused").Add("connection", id);
    evutil_closesocket(fd);
    return;
  }
  self->connections_.emplace(id, std::make_unique<ControlConnection>(self, id, *budget_id, fd));
}

void ControlServer::Release(uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  pending_deletion_.push_back(std::move(it->second));
  connections_.erase(it);
  cleanup_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
