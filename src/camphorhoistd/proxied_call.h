#ifndef CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_
#define CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoistd/call_task.h"

namespace camphorhoist {

/// One call of a caller: executes the effects of its coordinator and passes the answer on.
///
/// Thread safety: none; use on the loop's thread.
class ProxiedCall {
 public:
  struct Parts {
    CallRequest request;
    std::shared_ptr<CallReply> reply;
    CallSpec facts;
    std::string route;
    uint32_t max_queue_ms = 0;
    /// Keeps the configuration with which the call began.
    Snapshot::Ptr snapshot;
  };

  ProxiedCall(CallTask* owner, Parts parts);
  ~ProxiedCall();
  ProxiedCall(const ProxiedCall&) = delete;
  ProxiedCall& operator=(const ProxiedCall&) = delete;

  void Start();
  size_t buffered_bytes() const { return parts_.reply->buffered_bytes(); }

 private:
  class Attempt;

  void Carry(const CallEffects& effects);
  void OnTimer();
  void Send(const SendAttempt& send);
  void Resolve(const ResolveAttempt& resolve);
  void Cancel(const CallId& attempt);
  void Stream(const CallId& attempt);
  void Reply(const ReplyOutcome& outcome);
  void SendHead(int status, HttpHeaders headers);
  void PassChunk(const std::string& data, std::function<void()> ready);
  void OnWritable();
  void OnAttemptDone(Attempt* attempt, PeerCallStatus status, const NodeCallResult& result);
  void OnResult(Attempt* attempt, const NodeCallResult& result);
  void OnAnswer(Attempt* attempt, const NodeCallResult& result);
  void Learn(const NodeCallResult& result);
  void End();

  CallTask* owner_;
  Parts parts_;
  CallCoordinator coordinator_;
  std::map<CallId, std::unique_ptr<Attempt>> attempts_;
  std::vector<std::function<void()>> held_;
  /// The attempt whose answer is passed on.
  CallId streamed_;
  size_t body_bytes_ = 0;
  bool ended_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer timer_;
};

/// Tells the caller the outcome of a call without an answer.
void SendOutcome(CallReply* reply, const CallOutcome& outcome);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_PROXIED_CALL_H_
