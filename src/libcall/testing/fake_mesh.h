#ifndef CAMPHORHOIST_LIBCALL_TESTING_FAKE_MESH_H_
#define CAMPHORHOIST_LIBCALL_TESTING_FAKE_MESH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/balancer.h"
#include "camphorhoist/call_coordinator.h"
#include "camphorhoist/upstream_gate.h"
#include "libcall/testing/trace_check.h"

namespace camphorhoist {

/// Messages between the sender and an upstream's node. Faults are injected at these steps.
enum class Step : uint8_t {
  kCall,
  kHead,
  kChunk,
  kEnd,
  kNotRun,
  kFailed,
  kResolve,
  kResolveReply,
  kCancel,
};
constexpr int kSteps = 9;

/// The faults up to `kCrossed` affect a single message, the others its node or connection.
enum class Fault : uint8_t {
  kLost,
  kDelayed,
  kDuplicated,
  kReordered,
  kCrossed,
  kCrash,
  kRestart,
  kPause,
  kSilent,
  kPartition,
  kDrain,
  kSlow,
  kShed,
  kBreak,
};
constexpr int kFaults = 14;

const char* ToText(Step step);
const char* ToText(Fault fault);

/// Injects a fault at the n-th message (counted from 0) of a step.
struct Injection {
  Fault fault = Fault::kLost;
  Step step = Step::kCall;
  int nth = 0;
};

struct MeshScenario {
  uint64_t seed = 1;
  bool idempotent = false;
  uint32_t depth = 0;
  int calls = 4;
  int nodes = 3;
  /// The first upstream is slow from the start, so that calls are hedged, moved and withdrawn.
  bool slow_first = false;
  /// Index of the call that its caller abandons.
  std::optional<int> abandon_call;
  std::vector<Injection> injections;
};

/// The complete response of the fake upstream to a call.
std::string MeshResponse(uint64_t call);

/// Discrete-event simulation of one sender and several upstream nodes that exchange messages in
/// memory. Connections deliver messages in order unless an injected fault changes that.
class FakeMesh {
 public:
  static constexpr std::chrono::milliseconds kTimeout{1000};

  explicit FakeMesh(const MeshScenario& scenario);
  ~FakeMesh();
  /// Runs until no events are left, and returns the trace.
  const Trace& Run();
  /// Whether every fault was injected, that is, whether its message was sent.
  bool all_injected() const;

 private:
  struct Message {
    Step step = Step::kCall;
    size_t call = 0;
    CallId attempt;
    size_t node = 0;
    uint64_t connection = 0;
    uint64_t incarnation = 0;
    std::chrono::milliseconds timeout{};
    CallReason reason = CallReason::kNone;
    ResolveState state = ResolveState::kUnknown;
    /// Part of the response (head or chunk) and its position.
    std::string part;
    int position = 0;
  };
  struct Node {
    std::optional<UpstreamGate> gate;
    CallEndpoint endpoint;
    bool up = true;
    bool draining = false;
    bool slow = false;
    bool shed_next = false;
    bool break_next = false;
    bool tick_pending = false;
    CallTime paused_until{};
    CallTime partitioned_until{};
    /// Current connection for new attempts.
    uint64_t connection = 0;
    /// Connections that went silent, and since when.
    std::map<uint64_t, CallTime> silent_since;
    /// Time of the last delivery to the node (0) and to the sender (1), by connection.
    std::map<uint64_t, CallTime> last_delivery[2];
    /// Received calls by attempt, for routing messages back to the sender.
    std::map<CallId, Message> requests;
  };
  struct Call {
    std::unique_ptr<CallCoordinator> coordinator;
    std::optional<CallId> streamed_attempt;
    int next_position = 0;
    std::map<CallId, Message> sent_requests;
    bool replied = false;
    /// Number of the current timer; earlier ones are ignored.
    int latest_timer = 0;
  };
  struct PendingInjection {
    Injection injection;
    /// Messages of the step to let pass before the fault is injected.
    int remaining = 0;
    bool done = false;
  };
  struct Event {
    CallTime at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void RunAt(CallTime at, std::function<void()> run);
  void AddNote(size_t call, const CallId& attempt, const std::string& text);
  void StartNode(size_t node);
  void PublishCandidates();
  void BeginCall(size_t call);
  static bool IsToNode(Step step);

  void Send(const Message& message);
  void Schedule(const Message& message, CallDuration extra, bool in_order);
  void Deliver(const Message& message);
  void DeliverToNode(const Message& message);
  void DeliverToSender(const Message& message);
  bool ApplyMessageFault(Fault fault, const Message& message);
  void ApplyNodeFault(Fault fault, size_t node, uint64_t connection);
  void Crash(size_t node);
  void ReportLostConnections(size_t node);

  void Apply(size_t call, const CallEffects& effects);
  void ApplyEffect(size_t call, const SendAttempt& effect);
  void ApplyEffect(size_t call, const ResolveAttempt& effect);
  void ApplyEffect(size_t call, const CancelAttempt& effect);
  void ApplyEffect(size_t call, const StreamResponse& effect);
  void ApplyEffect(size_t call, const ReplyOutcome& effect);
  void ApplyEffect(size_t call, const SetTimer& effect);
  void CheckConnection(size_t call, const CallId& attempt);
  void OnResponsePart(size_t call, const Message& message);

  void Apply(size_t node, const GateEffects& effects);
  void ApplyEffect(size_t node, const StartCall& effect);
  void ApplyEffect(size_t node, const Queued& effect);
  void ApplyEffect(size_t node, const Refuse& effect);
  void ApplyEffect(size_t node, const CancelRunning& effect);
  void SendBack(size_t node, const CallId& attempt, Step step, Message message);
  void FinishCall(size_t node, uint64_t incarnation, const CallId& attempt, CallDuration time,
                  FinishKind kind);
  void ScheduleTick(size_t node);
  size_t NodeOf(const CallEndpoint& endpoint) const;

  MeshScenario scenario_;
  std::mt19937_64 rng_;
  CallTime now_{std::chrono::hours(1)};
  uint64_t order_ = 0;
  uint64_t next_id_ = 0;
  std::priority_queue<Event> events_;
  Balancer balancer_;
  RetryBudget retry_budget_;
  HedgePolicy hedge_;
  std::vector<Node> nodes_;
  std::vector<Call> calls_;
  std::vector<PendingInjection> pending_injections_;
  Trace trace_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALL_TESTING_FAKE_MESH_H_
