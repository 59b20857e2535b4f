#ifndef CAMPHORHOIST_CAMPHORHOISTD_UPSTREAM_TASK_H_
#define CAMPHORHOIST_CAMPHORHOISTD_UPSTREAM_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "camphorhoist/call_ledger.h"
#include "camphorhoist/member.h"
#include "camphorhoist/upstream_gate.h"
#include "camphorhoistd/incarnation_range.h"
#include "libbase/event_ptr.h"
#include "libbase/mailbox.h"
#include "libnode/node_server.h"
#include "libupstream/announcement_server.h"
#include "libupstream/upstream_client.h"

namespace camphorhoist {

/// Owns the upstreams that announced themselves to this node: announcements, admission,
/// connections. It is the only sender to them.
///
/// Thread safety: none; use on the loop's thread.
class UpstreamTask {
 public:
  struct Options {
    /// First incarnation of the process run.
    uint64_t incarnation = 0;
    /// Name of the admission policy, see `UpstreamGate`.
    std::string admission = "default";
  };
  /// Returns the incarnation under which the members know this node at present.
  using CurrentIncarnation = std::function<uint64_t()>;
  using EndpointListener = std::function<void(std::vector<EndpointInfo>)>;

  /// Precondition: `base` outlives the task. `listener` gets the endpoints after each change.
  UpstreamTask(event_base* base, Options options, CurrentIncarnation current_incarnation,
               EndpointListener listener);
  ~UpstreamTask();
  UpstreamTask(const UpstreamTask&) = delete;
  UpstreamTask& operator=(const UpstreamTask&) = delete;

  /// Starts to listen for announcements.
  std::error_code Listen(const NetAddress& address) { return announcements_.Listen(address); }
  const NetAddress& address() const { return announcements_.address(); }

  /// See `NodeService`.
  void OnCall(NodeCallRequest request, const std::shared_ptr<ResponseWriter>& writer);
  ResolveReply OnResolve(const CallId& id, uint64_t target_incarnation);

  /// Refuses new calls as not run; calls that wait or run go on.
  void StartDraining();
  /// Calls that wait or run.
  size_t calls() const { return calls_.size(); }

  /// State of one upstream, for the dump.
  struct View {
    Announcement announcement;
    size_t running = 0;
    size_t queued = 0;
    uint32_t limit = 0;
    size_t connections = 0;
    uint64_t connections_opened = 0;
    size_t ledger_entries = 0;
  };
  std::vector<View> Views() const;

  struct Counters {
    uint64_t offered = 0;
    uint64_t refused = 0;
    uint64_t started = 0;
    uint64_t answered = 0;
    uint64_t broken = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  class Upstream;
  class Call;
  /// At most 2.3 MB; silent connections void a few calls each.
  static constexpr size_t kMaxVoided = 20000;
  using UpstreamPtr = std::shared_ptr<Upstream>;

  void OnAnnouncement(const UpstreamMessage& message);
  void Announced(const Announcement& announcement);
  void Draining(const Announcement& announcement);
  void Left(const Announcement& announcement);
  /// True if a call for this incarnation was meant for this process run.
  bool IsForThisRun(uint64_t target_incarnation);
  void Retire(UpstreamPtr upstream);
  /// True if the call was already seen by an upstream that has left.
  bool SeenByFormer(const CallId& id) const;
  void Publish();
  void Carry(Upstream* upstream, const GateEffects& effects);
  void StartOnUpstream(const CallId& id);
  void Refuse(Upstream* upstream, const Refuse& refuse);
  void CancelOnUpstream(const CallId& id);
  void Finish(Call* call, FinishKind kind, NodeCallResult result);
  void Remove(const CallId& id);
  void Tick();

  event_base* base_;
  Options options_;
  CurrentIncarnation current_incarnation_;
  IncarnationRange incarnations_;
  EndpointListener listener_;
  Counters counters_;
  bool draining_ = false;
  Mailbox<UpstreamMessage> inbox_;
  AnnouncementServer announcements_;
  /// An upstream that has left, kept while its calls run and its ledger can still tell what became
  /// of a call.
  struct Former {
    UpstreamPtr upstream;
    CallTime since;
  };

  std::map<NetAddress, UpstreamPtr> upstreams_;
  std::vector<Former> former_;
  /// Ids voided on this node, whatever upstream they were meant for.
  CallLedger voided_{kMaxVoided};
  std::map<CallId, std::unique_ptr<Call>> calls_;
  /// Calls that ended in this turn; freed later because they may still be on the stack.
  std::vector<std::unique_ptr<Call>> ended_;
  Timer free_;
  Timer tick_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_UPSTREAM_TASK_H_
