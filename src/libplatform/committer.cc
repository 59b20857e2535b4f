#include "libplatform/committer.h"

#include <utility>

#include "camphorhoist/error.h"

namespace camphorhoist {

namespace {

ReadResult ToReadResult(const GetResult& result) {
  if (!result.error) return ObjectFound{result.version, result.body};
  if (result.error == Errc::kNotFound) return ObjectNotFound{};
  return OperationFailed{result.error.message()};
}

WriteResult ToWriteResult(const PutResult& result) {
  if (!result.error) return WriteDone{result.version};
  if (result.error == Errc::kConflict) return WriteConflict{};
  if (result.error == Errc::kUnknownEffect) return WriteUnknown{result.error.message()};
  return OperationFailed{result.error.message()};
}

int AttemptOf(const AcceptEffect& effect) {
  if (const auto* read = std::get_if<ReadObject>(&effect)) return read->attempt;
  if (const auto* write = std::get_if<WriteObject>(&effect)) return write->attempt;
  return 0;
}

}  // namespace

Committer::Committer(event_base* base, ObjectStore* store, CommitterLimits limits)
    : store_(store),
      limits_(limits),
      deadline_timer_(base, [this] { Finish(acceptance_->OnDeadline()); }),
      retry_timer_(base,
                   [this] {
                     const AcceptEffect effect = std::move(*delayed_effect_);
                     delayed_effect_.reset();
                     Execute(effect);
                   }),
      start_timer_(base, [this] { StartNext(); }),
      refusal_timer_(base, [this] { DeliverRefusals(); }) {}

Committer::~Committer() { *alive_ = false; }

void Committer::Commit(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema,
                       Callback callback) {
  if (queue_.size() >= limits_.max_pending) {
    return Refuse(change_set.id,
                  "too many change sets are queued on this node; nothing was written",
                  std::move(callback));
  }
  const auto deadline = std::chrono::steady_clock::now() + limits_.time_limit;
  queue_.push_back(
      {std::move(change_set), std::move(base), fleet_schema, std::move(callback), deadline});
  if (queue_.size() == 1) start_timer_.StartOnce(std::chrono::microseconds(0));
}

void Committer::Refuse(const std::string& id, const char* reason, Callback callback) {
  AcceptOutcome outcome;
  outcome.change_set_id = id;
  outcome.findings.Add(id, reason);
  refusals_.push_back({std::move(outcome), std::move(callback)});
  refusal_timer_.StartOnce(std::chrono::microseconds(0));
}

void Committer::DeliverRefusals() {
  std::deque<Refusal> refusals;
  refusals.swap(refusals_);
  const std::shared_ptr<bool> alive = alive_;
  for (const Refusal& it : refusals) {
    if (*alive) it.callback(it.outcome, nullptr);
  }
}

void Committer::StartNext() {
  using std::chrono::microseconds;
  if (queue_.empty() || acceptance_) return;
  Job& job = queue_.front();
  const auto remaining =
      std::chrono::duration_cast<microseconds>(job.deadline - std::chrono::steady_clock::now());
  if (remaining <= microseconds(0)) {
    Refuse(job.change_set.id,
           "the time limit passed while queued on this node; nothing was written",
           std::move(job.callback));
    queue_.pop_front();
    return start_timer_.StartOnce(microseconds(0));
  }
  const bool use_newest = newest_snapshot_ && job.base->version() < newest_snapshot_->version();
  acceptance_.emplace(job.change_set, use_newest ? newest_snapshot_ : job.base, job.fleet_schema);
  deadline_timer_.StartOnce(remaining);
  HandleEffect(acceptance_->Start());
}

void Committer::HandleEffect(AcceptEffect effect) {
  if (const auto* outcome = std::get_if<AcceptOutcome>(&effect)) return Finish(*outcome);
  if (AttemptOf(effect) == 0) return Execute(effect);
  ExecuteAfterDelay(std::move(effect));
}

void Committer::ExecuteAfterDelay(AcceptEffect effect) {
  delayed_effect_ = std::move(effect);
  retry_timer_.StartOnce(limits_.retry_delay);
}

void Committer::Execute(const AcceptEffect& effect) {
  const uint64_t acceptance_id = acceptance_id_;
  if (const auto* read = std::get_if<ReadObject>(&effect)) {
    store_->Get(read->key, [this, acceptance_id, effect, alive = alive_](const GetResult& result) {
      if (!*alive || acceptance_id != acceptance_id_) return;
      if (result.error == Errc::kBudgetExhausted) return ExecuteAfterDelay(effect);
      HandleEffect(acceptance_->OnRead(ToReadResult(result)));
    });
  } else if (const auto* write = std::get_if<WriteObject>(&effect)) {
    store_->Put(write->key, write->body, write->expected_version.value_or(0),
                [this, acceptance_id, effect, alive = alive_](const PutResult& result) {
                  if (!*alive || acceptance_id != acceptance_id_) return;
                  if (result.error == Errc::kBudgetExhausted) return ExecuteAfterDelay(effect);
                  HandleEffect(acceptance_->OnWrite(ToWriteResult(result)));
                });
  }
}

void Committer::Finish(const AcceptOutcome& outcome) {
  const Snapshot::Ptr snapshot = acceptance_->accepted_snapshot();
  if (snapshot) newest_snapshot_ = snapshot;
  const Callback callback = std::move(queue_.front().callback);
  queue_.pop_front();
  acceptance_.reset();
  delayed_effect_.reset();
  ++acceptance_id_;
  deadline_timer_.Stop();
  retry_timer_.Stop();
  if (!queue_.empty()) start_timer_.StartOnce(std::chrono::microseconds(0));
  callback(outcome, snapshot);
}

}  // namespace camphorhoist
