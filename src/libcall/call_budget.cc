#include "camphorhoist/call_budget.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

void RetryBudget::OnSuccess() { tokens_ = std::min(tokens_ + ratio_, kMaxTokens); }

bool RetryBudget::TryTake() {
  // Ten additions of 0.1 result in slightly less than 1.
  constexpr double kRoundingTolerance = 1e-9;
  if (tokens_ + kRoundingTolerance < 1) return false;
  tokens_ -= 1;
  return true;
}

void HedgePolicy::OnLatency(CallDuration latency) {
  const double micros = std::chrono::duration<double, std::micro>(latency).count();
  const double octaves = std::log2(std::max(micros / kFirstBucketMicros, 1.0));
  const auto bucket = static_cast<size_t>(octaves * kBucketsPerOctave);
  buckets_[std::min(bucket, kBucketCount - 1)] += 1;
  weight_ += 1;
  budget_.OnSuccess();
  if (weight_ < kHalvingWeight) return;
  for (double& it : buckets_) it /= 2;
  weight_ /= 2;
}

CallDuration HedgePolicy::Delay() const {
  double below = 0;
  size_t bucket = 0;
  while (bucket + 1 < kBucketCount && below + buckets_[bucket] < kDelayQuantile * weight_) {
    below += buckets_[bucket];
    ++bucket;
  }
  // Uses the upper bound of the bucket, so that the delay is not below the quantile.
  const double micros =
      kFirstBucketMicros * std::exp2(static_cast<double>(bucket + 1) / kBucketsPerOctave);
  const auto delay =
      std::chrono::duration_cast<CallDuration>(std::chrono::duration<double, std::micro>(micros));
  return std::max<CallDuration>(delay, kMinDelay);
}

}  // namespace camphorhoist
