#ifndef CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_
#define CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoistd/call_task.h"

namespace camphorhoist {

/// One call received from a caller. Executes the effects of its `CallCoordinator` and forwards the
/// response to the caller.
///
/// Thread safety: none; use on the loop's thread.
class ProxiedCall {
 public:
  struct Params {
    CallRequest request;
    std::shared_ptr<CallReply> reply;
    CallSpec spec;
    std::string route;
    uint32_t max_queue_ms = 0;
    /// The configuration that was current when the call started.
    Snapshot::Ptr snapshot;
  };

  ProxiedCall(CallTask* owner, Params params);
  ~ProxiedCall();
  ProxiedCall(const ProxiedCall&) = delete;
  ProxiedCall& operator=(const ProxiedCall&) = delete;

  void Start();
  size_t buffered_bytes() const { return params_.reply->buffered_bytes(); }

 private:
  class Attempt;

  void Execute(const CallEffects& effects);
  void OnTimer();
  void Send(const SendAttempt& send);
  void Resolve(const ResolveAttempt& resolve);
  void Cancel(const CallId& attempt);
  void StreamFrom(const CallId& attempt);
  void Reply(const ReplyOutcome& outcome);
  void SendHead(int status, HttpHeaders headers);
  void ForwardChunk(const std::string& data, std::function<void()> ready);
  void OnWritable();
  void OnAttemptDone(Attempt* attempt, PeerCallStatus status, const NodeCallResult& result);
  void OnResult(Attempt* attempt, const NodeCallResult& result);
  void OnAnswered(Attempt* attempt, const NodeCallResult& result);
  /// Records service time and response size for the classification of later calls of the route.
  void UpdateClassifier(const NodeCallResult& result);
  void End();

  CallTask* owner_;
  Params params_;
  CallCoordinator coordinator_;
  std::map<CallId, std::unique_ptr<Attempt>> attempts_;
  /// `ready` callbacks of forwarded chunks, held back until the caller's connection is writable.
  std::vector<std::function<void()>> deferred_ready_;
  /// The attempt whose response is forwarded to the caller.
  CallId streamed_attempt_;
  size_t body_bytes_ = 0;
  bool ended_ = false;
  /// Set to false by the destructor; pending callbacks check it before they use the call.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer timer_;
};

/// Sends the outcome of a call that has no upstream response to the caller.
void SendOutcome(CallReply* reply, const CallOutcome& outcome);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_
