#ifndef CAMPHORHOIST_SERVER_QUEUE_H_
#define CAMPHORHOIST_SERVER_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphorhoist/rate_limit.h"

namespace camphorhoist {

using ProxyTime = std::chrono::steady_clock::time_point;
using ProxyDuration = std::chrono::microseconds;

/// A call as the queue of a server sees it.
struct PendingCall {
  uint64_t key = 0;
  /// The caller has no use for a response after this time.
  ProxyTime deadline{};
  /// Time until which a response meets the latency objective.
  ProxyTime objective{};
  /// Latency objective of such a call, from the first attempt of its caller. A call whose expected
  /// service time exceeds it is late by nature; any other late call has lost its time by waiting.
  ProxyDuration objective_time{};
  /// Calls of one profile share an estimate of the service time.
  uint64_t profile = 0;
  /// 0 is the most urgent.
  int priority = 0;
  /// True if a server makes this call on behalf of another call that it is running. That call, the
  /// parent, waits for the response.
  bool nested = false;
  /// Time at which the call was offered to this server.
  ProxyTime offered_at{};
  /// Expected time that the response waits for the network link of the VM.
  ProxyDuration delivery_wait{};
  /// Expected time to transmit the response over that link.
  ProxyDuration delivery_time{};
  /// Mean service time of such calls at all servers of the service, as the sender has observed it;
  /// 0 if unknown.
  ProxyDuration typical_service_time{};

  ProxyDuration delivery() const { return delivery_wait + delivery_time; }
};

/// Load of a server as measured by its queue.
struct ServerLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Number of slots: calls that the server runs concurrently.
  uint32_t limit = 0;
  /// Mean time for which a call occupies a slot.
  ProxyDuration service_time{};
  /// Predicted queueing delay of a call that is offered now, has the lowest priority and can still
  /// meet its objective.
  ProxyDuration expected_wait{};
  /// Expected time that a large response waits for the network link of the server's VM.
  ProxyDuration delivery_wait{};
  /// Time between two requests at the rate that the server has named; 0 without such a rate.
  ProxyDuration request_interval{};
  /// Time until the rate permits a call that is offered now, behind all queued calls.
  ProxyDuration permit_wait{};
  /// Service times of this server relative to those of the same kinds of calls at all servers. The
  /// mean service time does not compare servers, since it depends on the kinds of calls they run.
  double relative_service_time = 1;
  /// Share of recent calls that the server refused or failed, 0 to 1.
  double failure_share = 0;
};

/// Admission control and priority queue for the calls to one server, i.e. one upstream. The sidecar
/// on the server's VM is the only client of the server and sends it no more calls than it has
/// slots. Calls therefore wait in this queue, where they can be reordered and removed, and not
/// inside the server.
///
/// Protects against load above capacity: a call is rejected on arrival if it is predicted to miss
/// its objective or deadline or to wait longer than the sender accepts, and free slots go first to
/// calls that can still meet their objective. A call that has lost the time for its objective by
/// waiting gets only a slot that no timely call needs: late calls in the queue would make timely
/// ones wait, and would sustain the overload that made them late.
///
/// Does no I/O and reads no clock. Thread safety: none; use from one thread.
class ServerQueue {
 public:
  /// Service time assumed before the first call has finished.
  static constexpr ProxyDuration kInitialServiceTime{50000};
  /// Weight of a new sample in the moving averages of the service time.
  static constexpr double kServiceTimeEwmaWeight = 0.1;
  /// Maximum number of queued calls per slot; bounds memory.
  static constexpr size_t kMaxQueuePerSlot = 64;
  /// A call is started only if at least this share of its expected service time remains before its
  /// deadline. It is below 1, so that a server whose calls were all aborted at their deadline,
  /// which raises its expected service time up to the deadline, still gets calls that show its
  /// recovery.
  static constexpr double kMinRemainingServiceShare = 0.75;

  /// Maximum queueing delay of a nested call, as a share of the time from its offer to its
  /// deadline. The rest lets another server run it in time; if it fails, its parent fails too.
  static constexpr double kMaxNestedWaitShare = 0.3;

  /// Weight of a new sample in the relative service time. The service times of single calls vary
  /// by a multiple of their mean.
  static constexpr double kRelativeServiceTimeEwmaWeight = 0.05;
  /// Bounds on the relative service time, against implausible reports.
  static constexpr double kMinRelativeServiceTime = 0.1;
  static constexpr double kMaxRelativeServiceTime = 20;
  /// Bounds on a reported slowdown, against implausible reports.
  static constexpr double kMinSlowdown = 0.2;
  static constexpr double kMaxSlowdown = 20;

  explicit ServerQueue(uint32_t slots) : slots_(slots) {}

  /// Factor on predicted waits before they are compared with an objective. Predictions are based on
  /// the mean, which accounts neither for stragglers nor for noisy neighbours on the host. The
  /// service time has no margin: otherwise a service whose mean exceeds the objective divided by
  /// the margin would queue only calls that are late already.
  static constexpr double kPredictionMargin = 1.5;
  /// A call that will miss its objective stays queued only while the queued calls that can still
  /// meet theirs take at most this share of the time left to start it. It is admitted only while
  /// the wait for the network link takes at most this share of the time left to its deadline.
  static constexpr double kMaxLateWaitShare = 0.1;
  /// A call is admitted only while its response waits for the network link for at most this share
  /// of the latency objective. The link is as busy as with longer waits, and the retry of a
  /// rejected call, whose objective counts from the first attempt, still has time for such a wait.
  static constexpr double kMaxLinkWaitShare = 0.6;

  enum class Verdict : uint8_t {
    kStart,
    kQueued,
    /// Rejected: the queue is full, or the predicted wait is longer than the sender accepts.
    kBusy,
    /// Rejected: the call is predicted to miss its objective or deadline.
    kWouldMissDeadline,
  };
  struct Admission {
    Verdict verdict = Verdict::kBusy;
    ProxyDuration expected_wait{};
  };

  /// Decides whether `call` is started, queued or rejected. `max_wait`: longest predicted wait that
  /// the sender accepts. A started call occupies a slot until `OnFinish` or `OnAbort`.
  Admission Offer(ProxyTime now, const PendingCall& call, ProxyDuration max_wait);

  struct DequeuedCall {
    uint64_t key = 0;
    /// True if the call has to be started now, false if it was dropped.
    bool start = false;
  };
  /// Drops calls that can no longer be served in time and fills free slots from the queue. Returns
  /// the calls that left the queue.
  std::vector<DequeuedCall> DispatchQueued(ProxyTime now);

  /// Frees the slot of a call whose response is complete.
  void OnFinish(uint64_t key, ProxyDuration service_time);
  /// Frees the slot of a call that was aborted or whose response was lost. Its run time so far is a
  /// lower bound of its service time and is recorded if it exceeds the estimate. Otherwise the
  /// estimate would not rise for a server that is so slow that all its callers time out.
  void OnAbort(ProxyTime now, uint64_t key);
  /// Removes a queued call. Returns false if it is not queued.
  bool RemoveQueued(uint64_t key);
  /// Removes all queued calls and returns their keys.
  std::vector<uint64_t> RemoveAllQueued();

  void set_slots(uint32_t slots) { slots_ = slots; }
  /// Sets the current execution time of work on the server's VM relative to normal, as reported by
  /// the server. Service times are recorded with the slowdown divided out, so that predictions
  /// follow a change of it at once. The value is clamped to `kMinSlowdown` and `kMaxSlowdown`.
  void SetSlowdown(double slowdown);
  /// Sets the requests a second that the server accepts from all senders; nullopt if it has named
  /// no limit.
  void SetRateLimit(ProxyTime now, std::optional<double> per_second) {
    rate_limit_.Set(now, per_second);
  }
  /// Returns `value` within the bounds on a relative service time; 1 if it is not a number.
  static double ClampRelativeServiceTime(double value);
  uint32_t slots() const { return slots_; }
  size_t running() const { return running_.size(); }
  size_t queued() const { return queued_.size(); }
  ServerLoad load(ProxyTime now) const;
  ProxyDuration ExpectedServiceTime(uint64_t profile) const;
  /// Earliest time at which a queued call can no longer be started in time.
  std::optional<ProxyTime> NextExpiry() const;
  /// Earliest time at which `DispatchQueued` has to be called although no call ends: the next
  /// expiry, or the next permit of the rate limit.
  std::optional<ProxyTime> NextDispatch(ProxyTime now) const;

 private:
  struct Running {
    ProxyTime started_at{};
    uint64_t profile = 0;
    /// Slowdown of the server when the call was started.
    double slowdown = 1;
    ProxyDuration typical_service_time{};
  };

  bool CanStart(ProxyTime now) const;
  void Start(ProxyTime now, const PendingCall& call);
  void RecordServiceTime(const Running& call, double us);
  double OverdueFactor(ProxyTime now) const;
  bool HasLostItsObjective(ProxyTime now, const PendingCall& call) const;
  double MeanServiceTime(ProxyTime now) const;
  double MicrosUntilFreeSlot(ProxyTime now) const;
  ProxyDuration ExpectedWait(ProxyTime now, const PendingCall& call) const;
  ProxyTime LatestStart(const PendingCall& call) const;
  bool LinkIsCongested(ProxyTime now, const PendingCall& call) const;
  bool WillMissObjective(ProxyTime now, const PendingCall& call) const;
  bool ShouldDropLate(ProxyTime now, const PendingCall& call, double timely_work_us,
                      size_t timely_calls) const;
  bool HasPrecedence(ProxyTime now, const PendingCall& a, const PendingCall& b) const;

  uint32_t slots_;
  RateLimit rate_limit_;
  double slowdown_ = 1;
  /// Mean service times over all calls and by profile, with the slowdown divided out.
  double mean_us_ = kInitialServiceTime.count();
  std::unordered_map<uint64_t, double> profile_us_;
  /// Means over calls with a known typical service time: their service time with the slowdown
  /// divided out, and the typical one.
  double compared_us_ = kInitialServiceTime.count();
  double typical_us_ = kInitialServiceTime.count();
  std::map<uint64_t, Running> running_;
  std::vector<PendingCall> queued_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SERVER_QUEUE_H_
