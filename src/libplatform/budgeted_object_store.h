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

/// Token bucket rate limiter. Thread safety: none.
class TokenBucket {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The bucket is full at `now` and gains `per_second` tokens a second, up to `burst` tokens.
  TokenBucket(double per_second, double burst, TimePoint now);

  /// Takes one token, or returns false if less than one token is left.
  bool TryTake(TimePoint now);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  TimePoint last_refill_;
};

/// Rate limits of the calls that one process makes to the platform.
struct StoreBudget {
  double reads_per_second = 20;
  double read_burst = 100;
  double writes_per_second = 10;
  double write_burst = 100;
  /// Maximum attempts of a `Get` or `List` while the platform is unavailable; each takes a token. A
  /// retry is sent without delay: its purpose is to replace an idle connection that the platform
  /// has closed.
  int read_attempts = 2;
};

/// Decorator of an `ObjectStore` that limits the rate of calls and measures them. A call that
/// exceeds the budget fails with `kBudgetExhausted` and is not sent. A watch takes one read token.
/// A `Get` or `List` that fails as unavailable is retried; watches and writes never are.
class BudgetedObjectStore : public ObjectStore {
 public:
  using Clock = std::function<std::chrono::steady_clock::time_point()>;

  /// Preconditions: `base` and `inner` outlive the store. Only tests replace `clock`.
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
  /// Takes a token and counts the call, or counts a refusal and returns false.
  bool Admit(StoreCall call, TokenBucket* bucket);
  /// Posts a `kBudgetExhausted` result to `callback`.
  template <typename Result>
  void Refuse(std::function<void(Result)> callback);
  /// Returns a callback that records the result and latency of the call in `meter_` before it runs
  /// `callback`. It does nothing after destruction of the store.
  template <typename Result>
  std::function<void(Result)> WithMetering(StoreCall call, std::function<void(Result)> callback);
  /// Sends the call, for which a token was taken, and retries it `attempts_left - 1` times at most.
  void GetWithRetry(const std::string& key, int attempts_left, GetCallback callback);
  void ListWithRetry(const std::string& prefix, int attempts_left, ListCallback callback);

  ObjectStore* inner_;
  StoreBudget budget_;
  Clock clock_;
  TokenBucket reads_;
  TokenBucket writes_;
  StoreCallMeter meter_;
  Mailbox<std::function<void()>> deferred_;
  /// Expires at destruction; the callbacks of `inner_` hold weak references.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_BUDGETED_OBJECT_STORE_H_
