#ifndef CAMPHORHOIST_CAMPHORHOISTD_CALL_TASK_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CALL_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/balancer.h"
#include "camphorhoist/call_budget.h"
#include "camphorhoist/call_coordinator.h"
#include "camphorhoist/endpoint_table.h"
#include "camphorhoist/snapshot.h"
#include "camphorhoist/work_classifier.h"
#include "camphorhoistd/call_transport.h"
#include "libbase/event_ptr.h"
#include "libcaller/call_handler.h"

namespace camphorhoist {

class ProxiedCall;

/// Caller side of the node: matches requests to routes and runs each call to its outcome.
///
/// Thread safety: none; use on the loop's thread.
class CallTask : public CallHandler {
 public:
  struct Options {
    std::string balancer = "p2c";
    bool hedging = true;
    uint32_t max_calls = 4096;
    uint64_t max_buffered_bytes = 64ULL << 20;
  };

  /// Preconditions: the pointers outlive the task; `options.balancer` is a known name.
  CallTask(event_base* base, Options options, std::mt19937_64* rng, CallTransport* transport,
           const EndpointTable* endpoints);
  ~CallTask() override;

  void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) override;

  /// New calls use `snapshot`; calls in flight keep theirs. Null means that this node has no
  /// configuration that it may serve.
  void SetSnapshot(Snapshot::Ptr snapshot);
  /// The endpoint table changed.
  void OnEndpointsChanged() { candidates_stale_ = true; }
  /// Answers every new call as not run.
  void StartDraining() { draining_ = true; }

  size_t calls() const { return calls_.size(); }
  const Balancer& balancer() const { return balancer_; }

  struct Counters {
    uint64_t received = 0;
    uint64_t answered = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    uint64_t abandoned = 0;
    uint64_t attempts = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  friend class ProxiedCall;

  CallReason RefusalOfNewCall() const;
  void MeasureBuffers();
  void RefreshCandidates();
  const Destination& ChooseDestination(const std::vector<Destination>& destinations);
  CallSpec MakeFacts(const CallRequest& request, const RouteMatch& match,
                     const Destination& destination);
  CallId NextId() { return CallId(origin_, ++next_id_); }
  HedgePolicy* HedgeOf(const std::string& service) { return &hedges_[service]; }
  void Remove(ProxiedCall* call);

  event_base* base_;
  Options options_;
  std::mt19937_64* rng_;
  CallTransport* transport_;
  const EndpointTable* endpoints_;
  Snapshot::Ptr snapshot_;
  Balancer balancer_;
  RetryBudget retry_budget_;
  std::map<std::string, HedgePolicy> hedges_;
  WorkClassifier classifier_;
  Counters counters_;
  uint64_t origin_;
  uint64_t next_id_ = 0;
  bool candidates_stale_ = true;
  bool draining_ = false;
  std::map<ProxiedCall*, std::unique_ptr<ProxiedCall>> calls_;
  std::vector<std::unique_ptr<ProxiedCall>> ended_;
  uint64_t buffered_bytes_ = 0;
  Timer free_;
  Timer measure_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CALL_TASK_H_
