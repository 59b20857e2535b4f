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

namespace camphorhoist {

using ProxyTime = std::chrono::steady_clock::time_point;
using ProxyDuration = std::chrono::microseconds;

/// What the queue of a server has to know of a call.
struct PendingCall {
  uint64_t key = 0;
  /// After this no response is of use.
  ProxyTime deadline{};
  /// A response up to this time meets the latency objective.
  ProxyTime objective{};
  /// Calls with the same profile are expected to take equally long.
  uint64_t profile = 0;
  /// 0 is the most urgent.
  int priority = 0;
  /// Made by a server while it runs another call, which waits for it.
  bool nested = false;
  /// When it was offered to this server.
  ProxyTime offered_at{};
  /// Time that the response waits for the link of the VM, and that it needs on it.
  ProxyDuration delivery_wait{};
  ProxyDuration delivery_time{};

  ProxyDuration delivery() const { return delivery_wait + delivery_time; }
};

/// Occupancy of a server as its queue sees it.
struct ServerLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;
  /// Mean time that a call holds a slot.
  ProxyDuration service_time{};
  /// Wait that a call of ordinary rank offered now would have.
  ProxyDuration expected_wait{};
  /// Wait of a large response for the link of the server's VM.
  ProxyDuration delivery_wait{};
};

/// Admits, orders and withdraws the calls of one server. The sidecar beside a server is the only
/// sender to it, so that no call waits inside the server, where it could be neither reordered nor
/// withdrawn.
///
/// Answers surges above capacity: a call is refused on arrival when its predicted completion misses
/// the bound it was offered with, so that work waits no longer than it is worth, and a free slot
/// goes to a call that can still meet its objective before one that cannot.
///
/// No sockets and no clock. Thread safety: none; use from one thread.
class ServerQueue {
 public:
  /// Service time assumed before the first observation.
  static constexpr ProxyDuration kInitialServiceTime{50000};
  /// Weight of a new observation in the moving averages.
  static constexpr double kServiceTimeGain = 0.1;
  /// Bound on waiting calls per slot, for memory.
  static constexpr size_t kMaxQueuePerSlot = 64;
  /// Share of the expected service time that must remain before the deadline for a start.
  static constexpr double kMinUsefulShare = 0.5;

  /// Share of its time that a nested call waits at one server. Its parent fails with it, and
  /// another server may still run it in time.
  static constexpr double kMaxNestedWaitShare = 0.3;

  /// Bounds on a reported slowdown, against reports that make no sense.
  static constexpr double kMinSlowdown = 0.2;
  static constexpr double kMaxSlowdown = 20;

  explicit ServerQueue(uint32_t slots) : slots_(slots) {}

  /// Predicted times are multiplied by this before they are held against an objective: the mean
  /// says nothing of stragglers and of neighbours that slow the server down.
  static constexpr double kPredictionMargin = 1.5;
  /// A late call waits on only if the timely work before it takes at most this share of the time
  /// that it has left.
  static constexpr double kMaxLateWaitShare = 0.1;

  enum class Verdict : uint8_t {
    kStart,
    kQueued,
    /// Predicted to wait longer than the sender accepts.
    kBusy,
    /// Predicted to miss its objective or deadline.
    kWouldMissDeadline,
  };
  struct Admission {
    Verdict verdict = Verdict::kBusy;
    ProxyDuration expected_wait{};
  };

  /// `max_wait`: longest predicted wait that the sender accepts. After `kStart` the call counts as
  /// running until `OnFinish`.
  Admission Offer(ProxyTime now, const PendingCall& call, ProxyDuration max_wait);

  struct DequeuedCall {
    uint64_t key = 0;
    /// True to start the call now, false if it can no longer be served and was dropped.
    bool start = false;
  };
  /// Fills free slots from the queue and drops calls that can no longer be served.
  std::vector<DequeuedCall> DispatchQueued(ProxyTime now);

  /// The call has its whole response.
  void OnFinish(uint64_t key, ProxyDuration service_time);
  /// The call was given up, or its response was lost. It would have taken at least as long as it
  /// has: without this, a server that turns so slow that all its callers leave would be known by
  /// its better times.
  void OnAbort(ProxyTime now, uint64_t key);
  /// Removes a waiting call. Returns false if it is not waiting.
  bool RemoveQueued(uint64_t key);
  /// Removes and returns all waiting calls.
  std::vector<uint64_t> RemoveAllQueued();

  void set_slots(uint32_t slots) { slots_ = slots; }
  /// How long work takes on the server's VM now, relative to normal, as the server reports it.
  /// Service times are learned without it, so that predictions follow it at once. Values outside of
  /// `kMinSlowdown` and `kMaxSlowdown` are limited to them.
  void SetSlowdown(double slowdown);
  uint32_t slots() const { return slots_; }
  size_t running() const { return running_.size(); }
  size_t queued() const { return waiting_.size(); }
  ServerLoad load(ProxyTime now) const;
  ProxyDuration ExpectedServiceTime(uint64_t profile) const;
  /// Earliest time at which `DispatchQueued` may drop a waiting call.
  std::optional<ProxyTime> NextExpiry() const;

 private:
  struct Running {
    ProxyTime since{};
    uint64_t profile = 0;
    double slowdown = 1;
  };

  void Start(ProxyTime now, const PendingCall& call);
  void Observe(const Running& call, double us);
  double MeanServiceTime(ProxyTime now) const;
  ProxyDuration ExpectedWait(ProxyTime now, const PendingCall& call) const;
  ProxyTime LatestStart(const PendingCall& call) const;
  bool LinkIsFull(ProxyTime now, const PendingCall& call) const;
  bool Late(ProxyTime now, const PendingCall& call) const;
  bool Displaced(ProxyTime now, const PendingCall& call, double timely_us) const;
  bool GoesBefore(ProxyTime now, const PendingCall& a, const PendingCall& b) const;

  uint32_t slots_;
  double slowdown_ = 1;
  /// Without the slowdown at the time, as are those of the profiles.
  double mean_us_ = kInitialServiceTime.count();
  std::unordered_map<uint64_t, double> profile_us_;
  std::map<uint64_t, Running> running_;
  std::vector<PendingCall> waiting_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SERVER_QUEUE_H_
