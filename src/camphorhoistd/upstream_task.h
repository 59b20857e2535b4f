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

/// Manages the upstreams that announced themselves to this node: their announcements, admission
/// control and connections. All calls to these upstreams go through this task.
///
/// Thread safety: none; use on the loop's thread.
class UpstreamTask {
 public:
  struct Options {
    /// First incarnation of this run of the process.
    uint64_t incarnation = 0;
    /// Name of the admission policy, see `UpstreamGate`.
    std::string admission = "default";
  };
  /// Returns the incarnation that this node currently has in the membership.
  using CurrentIncarnation = std::function<uint64_t()>;
  using EndpointListener = std::function<void(std::vector<EndpointInfo>)>;

  /// Precondition: `base` outlives the task. `listener` is called with all endpoints after each
  /// change.
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

  /// Refuses new calls as not run; queued and running calls continue.
  void StartDraining();
  /// Number of queued and running calls.
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
    /// Started calls that ended without a complete response, also if they were never sent, shed or
    /// cancelled.
    uint64_t broken = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  class Upstream;
  class Call;
  /// Limits the memory to 2.3 MB. Sufficient because a silent connection voids only a few calls.
  static constexpr size_t kMaxVoidedCalls = 20000;
  using UpstreamPtr = std::shared_ptr<Upstream>;

  void OnMessage(const UpstreamMessage& message);
  void OnAnnounced(const Announcement& announcement);
  void OnDraining(const Announcement& announcement);
  void OnLeft(const Announcement& announcement);
  /// True if a call with this target incarnation was meant for this run of the process.
  bool IsForThisRun(uint64_t target_incarnation);
  /// Drains an upstream that left or was replaced, and keeps it as a `RetiredUpstream`.
  void Retire(UpstreamPtr upstream);
  /// True if the ledger of a retired upstream contains the call.
  bool KnownToRetired(const CallId& id) const;
  void PublishEndpoints();
  void Execute(Upstream* upstream, const GateEffects& effects);
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
  /// An upstream that left or was replaced. Kept until its calls have ended and the retention time
  /// of its ledger is over, so that calls can still be resolved.
  struct RetiredUpstream {
    UpstreamPtr upstream;
    CallTime retired_at;
  };

  std::map<NetAddress, UpstreamPtr> upstreams_;
  std::vector<RetiredUpstream> retired_;
  /// Ids of calls voided on this node, regardless of their upstream.
  CallLedger voided_{kMaxVoidedCalls};
  std::map<CallId, std::unique_ptr<Call>> calls_;
  /// Calls that ended; destroyed in a later turn of the loop because they may still be on the
  /// stack.
  std::vector<std::unique_ptr<Call>> finished_calls_;
  Timer free_timer_;
  Timer tick_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_UPSTREAM_TASK_H_
