#include "camphorhoistd/call_transport.h"

#include <chrono>
#include <functional>
#include <utility>

namespace camphorhoist {

namespace {

/// Timeout of a resolve request, including the connection set-up.
constexpr std::chrono::milliseconds kResolveTimeout{500};

}  // namespace

/// Passes the response of a call within this process to its handler. All callbacks run from the
/// mailbox, in order, so that none runs from inside `CallTransport::Call`.
class CallTransport::LocalCall final : public ResponseWriter,
                                       public std::enable_shared_from_this<LocalCall> {
 public:
  LocalCall(Mailbox<std::function<void()>>* deferred, ResponseHandler* handler)
      : deferred_(deferred), handler_(handler) {}

  void SendHead(int status, HttpHeaders headers) override {
    Defer([this, status, headers = std::move(headers)] { handler_->OnHead(status, headers); });
  }

  void SendChunk(std::string data) override {
    if (handler_ == nullptr) return;
    buffered_bytes_ += data.size();
    Defer([this, data = std::move(data)] {
      const size_t size = data.size();
      handler_->OnChunk(data, [self = shared_from_this(), size] { self->OnConsumed(size); });
    });
  }

  void EndBody() override {
    Defer([this] { handler_->OnEnd(); });
  }

  void Finish(NodeCallResult result) override {
    Defer([this, result = std::move(result)] {
      ResponseHandler* handler = handler_;
      Detach();
      if (on_done_) on_done_();
      handler->OnDone(PeerCallStatus::kResult, result);
    });
  }

  size_t buffered_bytes() const override { return buffered_bytes_; }
  void SetOnWritable(std::function<void()> callback) override {
    on_writable_ = std::move(callback);
  }
  void SetOnCancelled(std::function<void()> callback) override {
    on_cancelled_ = std::move(callback);
  }
  void SetOnDone(std::function<void()> callback) { on_done_ = std::move(callback); }

  /// Runs no further callback of the handler and notifies the upstream side.
  void Cancel() {
    const auto callback = std::move(on_cancelled_);
    Detach();
    if (callback) callback();
  }

 private:
  void Detach() {
    handler_ = nullptr;
    on_cancelled_ = nullptr;
    on_writable_ = nullptr;
  }

  void Defer(std::function<void()> action) {
    deferred_->Post([self = shared_from_this(), action = std::move(action)] {
      if (self->handler_ != nullptr) action();
    });
  }

  void OnConsumed(size_t size) {
    buffered_bytes_ -= size;
    if (buffered_bytes_ == 0 && on_writable_) on_writable_();
  }

  Mailbox<std::function<void()>>* deferred_;
  ResponseHandler* handler_;
  size_t buffered_bytes_ = 0;
  std::function<void()> on_writable_;
  std::function<void()> on_cancelled_;
  std::function<void()> on_done_;
};

CallTransport::CallTransport(event_base* base, NetAddress self, PeerPool* peers,
                             NodeService* local_service)
    : self_(std::move(self)),
      peers_(peers),
      local_service_(local_service),
      deferred_(base, [](const std::function<void()>& action) { action(); }) {}

CallTransport::~CallTransport() = default;

CallTransport::Handle CallTransport::Call(const NetAddress& node, bool bulk,
                                          const NodeCallRequest& request,
                                          ResponseHandler* handler) {
  const Handle handle = next_handle_++;
  Entry& entry = calls_[handle];
  if (node != self_) {
    entry.remote = peers_->Call(node, bulk, request, handler);
    return handle;
  }
  auto local = std::make_shared<LocalCall>(&deferred_, handler);
  local->SetOnDone([this, handle] { calls_.erase(handle); });
  entry.local = local;
  local_service_->OnCall(request, local);
  return handle;
}

void CallTransport::Cancel(Handle handle) {
  const auto it = calls_.find(handle);
  if (it == calls_.end()) return;
  const Entry entry = std::move(it->second);
  calls_.erase(it);
  if (entry.local) {
    entry.local->Cancel();
  } else {
    peers_->Cancel(entry.remote);
  }
}

void CallTransport::Resolve(const NetAddress& node, const CallId& id, uint64_t target_incarnation,
                            PeerPool::ResolveCallback callback) {
  if (node != self_) {
    peers_->Resolve(node, id, target_incarnation, kResolveTimeout, std::move(callback));
    return;
  }
  deferred_.Post([this, id, target_incarnation, callback = std::move(callback)] {
    callback({}, local_service_->OnResolve(id, target_incarnation));
  });
}

}  // namespace camphorhoist
