#ifndef CAMPHORHOIST_LIBPLATFORM_COMMITTER_H_
#define CAMPHORHOIST_LIBPLATFORM_COMMITTER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/object_store.h"
#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Limits of a `Committer`.
struct CommitterLimits {
  /// Maximum number of change sets queued or running; a further one gets the outcome `kUnknown`
  /// without any write.
  size_t max_pending = 64;
  /// Time limit of one change set, from `Commit` to the outcome. It includes the time in the queue,
  /// so that an operator gets a result within this time even while the platform is down.
  std::chrono::milliseconds time_limit{10000};
  /// Delay before the second and later attempts of one operation.
  std::chrono::milliseconds retry_delay{200};
};

/// Driver of `Acceptance`: executes its reads and writes on the platform's object store and commits
/// one change set at a time, in the order of the calls.
///
/// Thread safety: none; use on the thread of the event loop.
class Committer {
 public:
  /// Receives the outcome, and the accepted configuration if this committer built it (otherwise
  /// null).
  using Callback = std::function<void(const AcceptOutcome&, const Snapshot::Ptr&)>;

  /// Precondition: `base` and `store` outlive the committer.
  Committer(event_base* base, ObjectStore* store, CommitterLimits limits = {});
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// Commits `change_set`. `callback` runs exactly once, never from inside this call; it does not
  /// run if the committer is destroyed first. The callback may destroy the committer.
  /// `base` is the configuration that this node holds, and `fleet_schema` the highest record schema
  /// that every live node understands.
  void Commit(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema, Callback callback);

  /// Number of change sets queued or running.
  size_t pending() const { return queue_.size(); }

 private:
  struct Job {
    ChangeSet change_set;
    Snapshot::Ptr base;
    int fleet_schema = 1;
    Callback callback;
    std::chrono::steady_clock::time_point deadline;
  };
  struct Refusal {
    AcceptOutcome outcome;
    Callback callback;
  };

  void StartNext();
  /// Posts the outcome `kUnknown` for a change set of which nothing was written. `reason` becomes
  /// its finding.
  void Refuse(const std::string& id, const char* reason, Callback callback);
  void DeliverRefusals();
  /// Ends the acceptance if `effect` is its outcome. Otherwise executes the operation, after the
  /// retry delay if it is not the first attempt.
  void HandleEffect(AcceptEffect effect);
  /// Executes `effect` after the retry delay. Also used for a call that exceeded the budget of this
  /// node: it was not sent and does not count as an attempt.
  void ExecuteAfterDelay(AcceptEffect effect);
  void Execute(const AcceptEffect& effect);
  void Finish(const AcceptOutcome& outcome);

  ObjectStore* store_;
  CommitterLimits limits_;
  /// The front is the change set being committed.
  std::deque<Job> queue_;
  std::optional<Acceptance> acceptance_;
  /// Incremented at the end of each acceptance; results of an earlier acceptance are ignored.
  uint64_t acceptance_id_ = 0;
  /// The effect to execute when `retry_timer_` fires.
  std::optional<AcceptEffect> delayed_effect_;
  /// The newest configuration that this committer put in force. The next acceptance starts from it
  /// instead of reading its pages again.
  Snapshot::Ptr newest_snapshot_;
  std::deque<Refusal> refusals_;
  /// False after destruction; shared with the callbacks of the object store.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer deadline_timer_;
  Timer retry_timer_;
  Timer start_timer_;
  Timer refusal_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_COMMITTER_H_
