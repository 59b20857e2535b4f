#ifndef CAMPHORHOIST_CAMPHORHOISTD_DAEMON_H_
#define CAMPHORHOIST_CAMPHORHOISTD_DAEMON_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "camphorhoist/finding.h"
#include "camphorhoistd/call_task.h"
#include "camphorhoistd/call_transport.h"
#include "camphorhoistd/config_task.h"
#include "camphorhoistd/member_task.h"
#include "camphorhoistd/operator_task.h"
#include "camphorhoistd/settings.h"
#include "camphorhoistd/upstream_task.h"
#include "libcaller/caller_server.h"
#include "liboperator/operator_server.h"
#include "libplatform/http_object_store.h"

namespace camphorhoist {

/// One node of the mesh: creates and connects the tasks, and performs the graceful shutdown.
///
/// Thread safety: none; create, run and destroy on one thread.
class Daemon : private NodeService {
 public:
  /// `incarnation` is the first one of this run of the process, see
  /// `IncarnationRange::FirstIncarnation`.
  Daemon(Settings settings, uint64_t incarnation);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds all ports. Adds a finding for each port that cannot be bound, and then returns false
  /// without serving.
  bool Start(Findings* findings);
  /// Runs until the shutdown is complete. Returns the number of calls that were aborted by it.
  size_t Run();
  /// Starts the graceful shutdown, or ends it at once if it has already been started.
  void Stop();

  event_base* base() const { return loop_.base(); }

  /// Bound addresses; valid after `Start`.
  NetAddress caller_address() const { return caller_server_->address(); }
  NetAddress node_address() const { return identity_.address; }
  NetAddress operator_address() const { return operator_server_->address(); }
  NetAddress upstream_address() const { return upstreams_->address(); }

 private:
  void OnCall(NodeCallRequest request, std::shared_ptr<ResponseWriter> writer) override;
  ResolveReply OnResolve(const CallId& id, uint64_t target_incarnation) override;
  ConfigDeltaMessage OnPull(const ConfigVersion& version, const std::string& hash) override;
  FloorReply OnFloor(const std::string& address) override;

  void ListenForNodes(Findings* findings);
  void CreateTasks();
  void ConnectTasks();
  void Listen(Findings* findings);
  void StartDraining();
  void CheckDrained();
  void FinishStop();
  size_t InFlightCalls() const { return calls_->calls() + upstreams_->calls(); }

  const Settings settings_;
  NodeIdentity identity_;
  EventLoop loop_;
  std::mt19937_64 rng_;
  HttpObjectStore platform_;
  BudgetedObjectStore store_;
  std::unique_ptr<NodeServer> node_server_;
  std::unique_ptr<PeerPool> peers_;
  std::unique_ptr<ConfigTask> config_;
  std::unique_ptr<MemberTask> member_;
  std::unique_ptr<UpstreamTask> upstreams_;
  std::unique_ptr<CallTransport> transport_;
  std::unique_ptr<CallTask> calls_;
  std::unique_ptr<OperatorTask> operator_;
  std::unique_ptr<OperatorServer> operator_server_;
  std::unique_ptr<CallerServer> caller_server_;
  std::chrono::steady_clock::time_point drain_started_;
  bool draining_ = false;
  bool leaving_ = false;
  size_t aborted_calls_ = 0;
  Timer drain_check_timer_;
  Timer stop_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_DAEMON_H_
