#include "libplatform/budgeted_object_store.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/error.h"

namespace camphorhoist {

namespace {

bool IsFailure(const std::error_code& error) {
  return error == Errc::kUnavailable || error == Errc::kUnknownEffect;
}

}  // namespace

TokenBucket::TokenBucket(double per_second, double burst, TimePoint now)
    : per_second_(per_second), burst_(burst), tokens_(burst), last_refill_(now) {}

bool TokenBucket::TryTake(TimePoint now) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  tokens_ = std::min(burst_, tokens_ + elapsed.count() * per_second_);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

BudgetedObjectStore::BudgetedObjectStore(event_base* base, ObjectStore* inner,
                                         const StoreBudget& budget, Clock clock)
    : inner_(inner),
      budget_(budget),
      clock_(std::move(clock)),
      reads_(budget.reads_per_second, budget.read_burst, clock_()),
      writes_(budget.writes_per_second, budget.write_burst, clock_()),
      deferred_(base, [](const std::function<void()>& callback) { callback(); }) {}

bool BudgetedObjectStore::Admit(StoreCall call, TokenBucket* bucket) {
  if (!bucket->TryTake(clock_())) {
    meter_.CountRefusal(call);
    return false;
  }
  meter_.CountCall(call);
  return true;
}

template <typename Result>
void BudgetedObjectStore::Refuse(std::function<void(Result)> callback) {
  deferred_.Post([callback = std::move(callback)] {
    Result result;
    result.error = Errc::kBudgetExhausted;
    callback(std::move(result));
  });
}

template <typename Result>
std::function<void(Result)> BudgetedObjectStore::WithMetering(
    StoreCall call, std::function<void(Result)> callback) {
  const auto start = clock_();
  std::weak_ptr<bool> alive = alive_;
  return [this, call, start, alive, callback = std::move(callback)](Result result) {
    if (alive.expired()) return;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(clock_() - start);
    meter_.RecordResult(call, IsFailure(result.error), latency);
    callback(std::move(result));
  };
}

void BudgetedObjectStore::Get(const std::string& key, GetCallback callback) {
  if (!Admit(StoreCall::kGet, &reads_)) return Refuse<GetResult>(std::move(callback));
  GetWithRetry(key, budget_.read_attempts, std::move(callback));
}

void BudgetedObjectStore::GetWithRetry(const std::string& key, int attempts_left,
                                       GetCallback callback) {
  GetCallback on_result = [this, key, attempts_left,
                           callback = std::move(callback)](GetResult result) {
    const bool retry = IsFailure(result.error) && attempts_left > 1;
    if (!retry || !Admit(StoreCall::kGet, &reads_)) return callback(std::move(result));
    GetWithRetry(key, attempts_left - 1, callback);
  };
  inner_->Get(key, WithMetering<GetResult>(StoreCall::kGet, std::move(on_result)));
}

void BudgetedObjectStore::Put(const std::string& key, std::string body,
                              ObjectVersion expected_version, PutCallback callback) {
  if (!Admit(StoreCall::kPut, &writes_)) return Refuse<PutResult>(std::move(callback));
  inner_->Put(key, std::move(body), expected_version,
              WithMetering<PutResult>(StoreCall::kPut, std::move(callback)));
}

void BudgetedObjectStore::Watch(const std::string& key, ObjectVersion after_version,
                                std::chrono::milliseconds timeout, WatchCallback callback) {
  if (!Admit(StoreCall::kWatch, &reads_)) return Refuse<WatchResult>(std::move(callback));
  inner_->Watch(key, after_version, timeout,
                WithMetering<WatchResult>(StoreCall::kWatch, std::move(callback)));
}

void BudgetedObjectStore::List(const std::string& prefix, ListCallback callback) {
  if (!Admit(StoreCall::kList, &reads_)) return Refuse<ListResult>(std::move(callback));
  ListWithRetry(prefix, budget_.read_attempts, std::move(callback));
}

void BudgetedObjectStore::ListWithRetry(const std::string& prefix, int attempts_left,
                                        ListCallback callback) {
  ListCallback on_result = [this, prefix, attempts_left,
                            callback = std::move(callback)](ListResult result) {
    const bool retry = IsFailure(result.error) && attempts_left > 1;
    if (!retry || !Admit(StoreCall::kList, &reads_)) return callback(std::move(result));
    ListWithRetry(prefix, attempts_left - 1, callback);
  };
  inner_->List(prefix, WithMetering<ListResult>(StoreCall::kList, std::move(on_result)));
}

void BudgetedObjectStore::Delete(const std::string& key, ObjectVersion expected_version,
                                 DeleteCallback callback) {
  if (!Admit(StoreCall::kDelete, &writes_)) return Refuse<DeleteResult>(std::move(callback));
  inner_->Delete(key, expected_version,
                 WithMetering<DeleteResult>(StoreCall::kDelete, std::move(callback)));
}

}  // namespace camphorhoist
