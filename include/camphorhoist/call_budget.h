#ifndef CAMPHORHOIST_CALL_BUDGET_H_
#define CAMPHORHOIST_CALL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Token budget of extra attempts: each success earns a fraction of a token, each extra attempt
/// costs one. Keeps retries from multiplying the load when upstreams fail.
///
/// Thread safety: none; use from one thread.
class RetryBudget {
 public:
  /// Extra attempts per success.
  static constexpr double kRetryRatio = 0.10;
  static constexpr double kHedgeRatio = 0.05;
  /// Tokens at the start, so that a node without traffic yet may retry.
  static constexpr double kInitialTokens = 5;
  /// Upper bound of saved tokens; limits the burst after a long quiet time.
  static constexpr double kMaxTokens = 100;

  explicit RetryBudget(double ratio = kRetryRatio) : ratio_(ratio) {}

  void OnSuccess();
  /// Takes one token; returns false, and takes nothing, if there is less than one.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double tokens_ = kInitialTokens;
};

/// Latency quantile of one service and the budget of hedges. A hedge is due once a call has waited
/// longer than the quantile.
///
/// Thread safety: none; use from one thread.
class HedgePolicy {
 public:
  /// At 0.95 ordinary slow calls alone use up a budget of 5% and leave nothing for slow upstreams.
  static constexpr double kDelayQuantile = 0.98;
  /// No hedge before this many samples: a quantile of fewer means nothing.
  static constexpr double kMinSamples = 50;
  /// The weight of all samples is halved once it reaches this number, so that old ones fade.
  static constexpr double kHalvingWeight = 2000;
  static constexpr std::chrono::milliseconds kMinDelay{2};

  /// Records the time from sending to the head of the response, and earns hedge budget.
  void OnLatency(CallDuration latency);
  /// True if there are enough samples for `Delay`.
  bool Ready() const { return weight_ >= kMinSamples; }
  /// Time after which a call without a head is slow; at least `kMinDelay`.
  CallDuration Delay() const;
  /// Takes the cost of one hedge from the budget; false if it is used up.
  bool TryTake() { return budget_.TryTake(); }

 private:
  // Buckets grow by a factor of 2^(1/4) from 16 us; 96 of them reach over 4 minutes.
  static constexpr size_t kBucketCount = 96;
  static constexpr double kBucketsPerOctave = 4;
  static constexpr double kFirstBucketMicros = 16;

  std::array<double, kBucketCount> buckets_{};
  double weight_ = 0;
  RetryBudget budget_{RetryBudget::kHedgeRatio};
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_BUDGET_H_
