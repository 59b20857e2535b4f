#ifndef CAMPHORHOIST_LIBPLATFORM_BUDGETED_OBJECT_STORE_H_
#define CAMPHORHOIST_LIBPLATFORM_BUDGETED_OBJECT_STORE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "camphorhoist/object_store.h"
#include "libbase/mailbox.h"
#include "libplatform/call_meter.h"

namespace camphorhoist {

/// A bucket of tokens that refills at a steady rate. Thread safety: none.
class TokenBucket {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Starts full at `now`.
  TokenBucket(double per_second, double burst, TimePoint now);

  /// Takes one token; returns false and takes nothing if there is none.
  bool Take(TimePoint now);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  TimePoint last_;
};

/// Limits of the calls of one process to the platform.
struct StoreBudget {
  double reads_per_second = 20;
  double read_burst = 100;
  double writes_per_second = 10;
  double write_burst = 100;
  /// Attempts of a `Get` or `List` that finds the platform unavailable; each takes a token. A
  /// repeat follows at once, since it covers a connection that the platform closed while idle.
  int read_attempts = 2;
};

/// Decorator that keeps calls within a budget and measures them. A call beyond the budget fails
/// with `kBudgetExhausted` and is not sent. A watch takes one read token.
class BudgetedObjectStore : public ObjectStore {
 public:
  using Clock = std::function<std::chrono::steady_clock::time_point()>;

  /// Preconditions: `base` and `inner` outlive the store. `clock` is replaced in tests only.
  BudgetedObjectStore(event_base* base, ObjectStore* inner, const StoreBudget& budget,
                      Clock clock = std::chrono::steady_clock::now);

  void Get(const std::string& key, GetCallback callback) override;
  void Put(const std::string& key, std::string body, ObjectVersion expected_version,
           PutCallback callback) override;
  void Watch(const std::string& key, ObjectVersion after_version, std::chrono::milliseconds timeout,
             WatchCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  void Delete(const std::string& key, ObjectVersion expected_version,
              DeleteCallback callback) override;

  const StoreCallMeter& meter() const { return meter_; }

 private:
  bool Admit(StoreCall call, TokenBucket* bucket);
  /// Posts a `kBudgetExhausted` result.
  template <typename Result>
  void Refuse(std::function<void(Result)> callback);
  /// Wraps `callback` so that the result is measured; it is dropped after destruction.
  template <typename Result>
  std::function<void(Result)> Measured(StoreCall call, std::function<void(Result)> callback);
  void TryGet(const std::string& key, int attempts_left, GetCallback callback);
  void TryList(const std::string& prefix, int attempts_left, ListCallback callback);

  ObjectStore* inner_;
  StoreBudget budget_;
  Clock clock_;
  TokenBucket reads_;
  TokenBucket writes_;
  StoreCallMeter meter_;
  Mailbox<std::function<void()>> deferred_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_BUDGETED_OBJECT_STORE_H_
