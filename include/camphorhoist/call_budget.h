#ifndef CAMPHORHOIST_CALL_BUDGET_H_
#define CAMPHORHOIST_CALL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Token bucket for retries or hedges: each success adds a fraction of a token, each extra attempt
/// takes one token. Prevents extra attempts from multiplying the load when upstreams fail.
///
/// Thread safety: none; use from one thread.
class RetryBudget {
 public:
  /// Tokens added per success, for retries and for hedges.
  static constexpr double kRetryRatio = 0.10;
  static constexpr double kHedgeRatio = 0.05;
  /// Initial tokens, so that a node can retry before its first successes.
  static constexpr double kInitialTokens = 5;
  /// Maximum number of tokens; limits the burst of retries after a long time without any.
  static constexpr double kMaxTokens = 100;

  explicit RetryBudget(double ratio = kRetryRatio) : ratio_(ratio) {}

  void OnSuccess();
  /// Takes one token. Returns false and takes nothing if less than one is left.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double tokens_ = kInitialTokens;
};

/// Decides when a call of one service may be hedged: once it has waited longer than a high quantile
/// of the service's latency, and while the hedge budget lasts.
///
/// Thread safety: none; use from one thread.
class HedgePolicy {
 public:
  /// Latency quantile after which a call is hedged. At 0.95 the slowest 5% of ordinary calls would
  /// use up the whole budget of 5% and leave nothing for slow upstreams.
  static constexpr double kDelayQuantile = 0.98;
  /// Minimum weight of the samples for hedging; a quantile of fewer samples is meaningless.
  static constexpr double kMinSamples = 50;
  /// Total weight at which the weight of all samples is halved, so that old samples lose influence.
  static constexpr double kHalvingWeight = 2000;
  static constexpr std::chrono::milliseconds kMinDelay{2};

  /// Records the time from sending to the response head, and adds to the hedge budget.
  void OnLatency(CallDuration latency);
  /// Whether there are enough samples for `Delay`.
  bool Ready() const { return weight_ >= kMinSamples; }
  /// Time without a response head after which a call may be hedged; at least `kMinDelay`.
  CallDuration Delay() const;
  /// Takes one hedge from the budget; false if it is used up.
  bool TryTake() { return budget_.TryTake(); }

 private:
  // Histogram buckets grow by a factor of 2^(1/4) from 16 us; 96 buckets cover more than 4 minutes.
  static constexpr size_t kBucketCount = 96;
  static constexpr double kBucketsPerOctave = 4;
  static constexpr double kFirstBucketMicros = 16;

  std::array<double, kBucketCount> buckets_{};
  double weight_ = 0;
  RetryBudget budget_{RetryBudget::kHedgeRatio};
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_BUDGET_H_
