#ifndef CAMPHORHOIST_CAMPHORHOISTD_OPERATOR_TASK_H_
#define CAMPHORHOIST_CAMPHORHOISTD_OPERATOR_TASK_H_

#include <functional>
#include <string>

#include "camphorhoist/operator_api.h"
#include "camphorhoistd/call_task.h"
#include "camphorhoistd/config_task.h"
#include "camphorhoistd/member_task.h"
#include "camphorhoistd/settings.h"
#include "camphorhoistd/upstream_task.h"
#include "libnode/event_loop.h"
#include "libnode/node_server.h"
#include "libplatform/budgeted_object_store.h"

namespace camphorhoist {

/// Handles the requests of operators, using the other tasks of the node.
///
/// Thread safety: none; use on the loop's thread.
class OperatorTask : public OperatorBackend {
 public:
  /// The objects that the task uses; all outlive it.
  struct Sources {
    const Settings* settings = nullptr;
    const NodeIdentity* identity = nullptr;
    ConfigTask* config = nullptr;
    const MemberTask* member = nullptr;
    const CallTask* calls = nullptr;
    const UpstreamTask* upstreams = nullptr;
    const NodeServer* server = nullptr;
    const PeerPool* peers = nullptr;
    const StreamTraffic* traffic = nullptr;
    const StoreCallMeter* platform = nullptr;
    /// Starts the graceful shutdown of the process.
    std::function<void()> drain;
    /// Returns true once the graceful shutdown has started.
    std::function<bool()> draining;
  };

  explicit OperatorTask(Sources sources) : sources_(std::move(sources)) {}

  void Apply(ChangeRequest request, std::function<void(ChangeResult)> callback) override;
  void ChangeSetOutcome(const std::string& id, std::function<void(ChangeResult)> callback) override;
  void Records(const RecordsRequest& request, std::function<void(RecordsResult)> callback) override;
  void Status(std::function<void(StatusResult)> callback) override;
  void Dump(std::function<void(DumpResult)> callback) override;
  void Drain(std::function<void(DrainResult)> callback) override;

 private:
  Sources sources_;
};

/// Returns the state of the process as JSON text.
std::string DumpToJson(const OperatorTask::Sources& sources);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_OPERATOR_TASK_H_
