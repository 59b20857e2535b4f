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

/// Runs acceptances against the platform, one change set at a time and in order.
///
/// Thread safety: none; use on the loop's thread.
class Committer {
 public:
  /// Gets the outcome, and the accepted configuration if this committer built it (else null).
  using Callback = std::function<void(const AcceptOutcome&, const Snapshot::Ptr&)>;

  /// Change sets that wait at most; further ones are refused as unknown without any write.
  static constexpr size_t kMaxWaiting = 64;
  /// Bound of one change set, so that an operator gets an answer while the platform is down.
  static constexpr std::chrono::seconds kTimeLimit{10};
  /// Delay before the second and later tries of one operation.
  static constexpr std::chrono::milliseconds kRetryDelay{200};

  /// Precondition: `base` and `store` outlive the committer.
  Committer(event_base* base, ObjectStore* store);
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// Commits `change_set`; `callback` runs exactly once, unless the committer is destroyed first.
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
  };

  void StartNext();
  void Carry(AcceptEffect effect);
  void Execute(const AcceptEffect& effect);
  void Finish(const AcceptOutcome& outcome);

  ObjectStore* store_;
  /// The front is the running one.
  std::deque<Job> queue_;
  std::optional<Acceptance> acceptance_;
  /// Raised at the end of each acceptance, so that late results are ignored.
  uint64_t run_ = 0;
  std::optional<AcceptEffect> delayed_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Timer limit_;
  Timer delay_;
  Timer next_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_COMMITTER_H_
