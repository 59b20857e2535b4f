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

/// Messages between the sender and the upstream side: the steps at which faults are injected.
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

/// A fault at the n-th message (from 0) of a step.
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
  /// The first upstream is slow from the start, so that calls are moved, hedged and withdrawn.
  bool slow_first = false;
  std::optional<int> abandon_call;
  std::vector<Injection> injections;
};

/// The response that the fake upstream gives to a call.
std::string MeshResponse(uint64_t call);

/// One sender and a few upstream nodes that exchange messages in memory, on a manual clock.
/// Connections keep order; faults break what they are told to break.
class FakeMesh {
 public:
  static constexpr std::chrono::milliseconds kTimeout{1000};

  explicit FakeMesh(const MeshScenario& scenario);
  ~FakeMesh();
  /// Runs until nothing is left to do and returns what happened.
  const Trace& Run();
  /// True if every injection met its message.
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
    /// Part of the response (head and chunks) and its position.
    std::string part;
    int position = 0;
  };
  struct Node {
    std::optional<UpstreamGate> gate;
    CallEndpoint endpoint;
    bool up = true;
    bool draining = false;
    bool slow = false;
    bool shed = false;
    bool break_next = false;
    bool tick_pending = false;
    CallTime paused_until{};
    CallTime partitioned_until{};
    uint64_t connection = 0;
    /// When the current connection last became unresponsive.
    std::map<uint64_t, CallTime> silent_since;
    std::map<uint64_t, CallTime> last_delivery[2];
    /// Calls by attempt, for the messages back.
    std::map<CallId, Message> requests;
  };
  struct Call {
    std::unique_ptr<CallCoordinator> coordinator;
    std::optional<CallId> streaming;
    int next_position = 0;
    std::map<CallId, Message> sent;
    bool replied = false;
    int timers = 0;
  };
  struct PendingInjection {
    Injection injection;
    int left = 0;
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
  void DeliverToCaller(const Message& message);
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
  void Reply(size_t node, const CallId& attempt, Step step, Message message);
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
