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

/// Bounds of a `Committer`.
struct CommitterLimits {
  /// Change sets that wait or run at most; further ones are refused as unknown without any write.
  size_t max_pending = 64;
  /// Time for one change set, from `Commit` to the outcome and including the wait in the queue, so
  /// that an operator gets an answer while the platform is down.
  std::chrono::milliseconds time_limit{10000};
  /// Delay before the second and later tries of one operation.
  std::chrono::milliseconds retry_delay{200};
};

/// Runs acceptances against the platform, one change set at a time and in order.
///
/// Thread safety: none; use on the loop's thread.
class Committer {
 public:
  /// Gets the outcome, and the accepted configuration if this committer built it (else null).
  using Callback = std::function<void(const AcceptOutcome&, const Snapshot::Ptr&)>;

  /// Precondition: `base` and `store` outlive the committer.
  Committer(event_base* base, ObjectStore* store, CommitterLimits limits = {});
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// Commits `change_set`; `callback` runs exactly once and never from inside the call, unless the
  /// committer is destroyed first. The committer may be destroyed from inside the callback.
  /// `base` is the configuration that this node holds, and `fleet_schema` the highest record schema
  /// that every live node understands.
  void Commit(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema, Callback callback);

  /// Change sets that wait or run.
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
  /// Refuses a change set that nothing was done for.
  void Refuse(const std::string& id, const char* reason, Callback callback);
  void DeliverRefusals();
  void Carry(AcceptEffect effect);
  /// Executes `effect` after the retry delay. A call that the budget of this node refused was not
  /// sent, so that it does not count as an attempt.
  void Delay(AcceptEffect effect);
  void Execute(const AcceptEffect& effect);
  void Finish(const AcceptOutcome& outcome);

  ObjectStore* store_;
  CommitterLimits limits_;
  /// The front is the running one.
  std::deque<Job> queue_;
  std::optional<Acceptance> acceptance_;
  /// Raised at the end of each acceptance, so that late results are ignored.
  uint64_t run_ = 0;
  std::optional<AcceptEffect> delayed_;
  /// The newest configuration that this committer put in force; saves reading its pages again.
  Snapshot::Ptr newest_;
  std::deque<Refusal> refusals_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer limit_;
  Timer delay_;
  Timer next_;
  Timer refuse_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_COMMITTER_H_
