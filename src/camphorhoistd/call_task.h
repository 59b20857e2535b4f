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

/// Caller side of the node: matches each request to a route and starts a `ProxiedCall` for it,
/// which determines the outcome.
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

  /// Preconditions: the pointers outlive the task; `options.balancer` is a name that
  /// `Balancer::Create` accepts.
  CallTask(event_base* base, Options options, std::mt19937_64* rng, CallTransport* transport,
           const EndpointTable* endpoints);
  ~CallTask() override;

  void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) override;

  /// Sets the configuration for new calls; calls in flight keep theirs. Null means that this node
  /// has no configuration that it may serve.
  void SetSnapshot(Snapshot::Ptr snapshot);
  /// To be called after each change of the endpoint table.
  void OnEndpointsChanged() { candidates_stale_ = true; }
  /// Refuses new calls as not run.
  void StartDraining() { draining_ = true; }

  /// Number of calls in flight.
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

  /// Reason to refuse a new call; kNone if it is admitted.
  CallReason AdmissionRefusal() const;
  void SumBufferedBytes();
  void RefreshCandidates();
  /// Chooses at random, in proportion to the weights.
  const Destination& ChooseDestination(const std::vector<Destination>& destinations);
  CallSpec MakeCallSpec(const CallRequest& request, const RouteMatch& match,
                        const Destination& destination);
  CallId NextCallId() { return CallId(id_origin_, ++id_counter_); }
  HedgePolicy* HedgePolicyFor(const std::string& service) { return &hedges_[service]; }
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
  /// Random origin of the call ids of this process; see `CallId`.
  uint64_t id_origin_;
  uint64_t id_counter_ = 0;
  bool candidates_stale_ = true;
  bool draining_ = false;
  std::map<ProxiedCall*, std::unique_ptr<ProxiedCall>> calls_;
  /// Calls that ended; destroyed in a later turn of the loop because they may still be on the
  /// stack.
  std::vector<std::unique_ptr<ProxiedCall>> finished_calls_;
  /// Response bytes buffered by all calls, as of the last `SumBufferedBytes`.
  uint64_t buffered_bytes_ = 0;
  Timer free_timer_;
  Timer buffer_sum_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CALL_TASK_H_
