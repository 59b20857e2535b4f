#ifndef CAMPHORHOIST_CONCURRENCY_LIMIT_H_
#define CAMPHORHOIST_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Adaptive (AIMD) concurrency limit of one upstream. The limit grows additively up to the number
/// of slots. It shrinks multiplicatively if short calls take much longer than their long-term
/// baseline while most of the limit is in use, or if the upstream sheds calls.
///
/// Thread safety: none; use from one thread.
class ConcurrencyLimit {
 public:
  /// The upstream counts as slow if the recent service time exceeds the baseline by this factor.
  static constexpr double kSlowFactor = 2.0;
  /// Slow calls lower the limit only if at least this share of it was in use on average. At a lower
  /// utilization concurrency is not the cause of the delay, and a lower limit would only fill the
  /// queue.
  static constexpr double kMinUtilization = 0.75;
  static constexpr double kDecreaseFactor = 0.85;
  static constexpr double kIncreaseStep = 1.0;
  /// Minimum time between two changes of the limit.
  static constexpr std::chrono::milliseconds kAdaptInterval{100};
  /// Time constants of the recent average, and of the baseline when it rises and falls.
  static constexpr std::chrono::milliseconds kRecentTimeConstant{200};
  static constexpr std::chrono::milliseconds kBaselineRiseTimeConstant{30000};
  static constexpr std::chrono::milliseconds kBaselineFallTimeConstant{3000};
  /// Minimum limit as a share of the slots. An upstream that is slow for an external reason does
  /// not benefit from fewer calls, so the limit does not fall to one.
  static constexpr double kMinLimitShare = 0.5;

  explicit ConcurrencyLimit(uint32_t slots) : slots_(slots), limit_(slots) {}

  /// Records a finished call. `shed` is set if the upstream refused it because of its load.
  void OnFinish(CallTime now, WorkClass work_class, CallDuration service_time, bool shed);

  uint32_t limit() const { return static_cast<uint32_t>(limit_); }
  /// Recent mean service time of a class; that of short calls while no long call has finished, and
  /// 0 before the first sample.
  CallDuration MeanServiceTime(WorkClass work_class) const;

 private:
  struct MovingAverage {
    double micros = 0;
    double samples = 0;
    CallTime updated_at{};
    void Add(CallTime now, double sample, std::chrono::milliseconds time_constant);
  };
  void Adapt(CallTime now);

  uint32_t slots_;
  double limit_;
  MovingAverage short_recent_;
  MovingAverage baseline_;
  MovingAverage long_recent_;
  bool shed_ = false;
  /// Total service time of the calls that finished since the last adaptation.
  double busy_micros_ = 0;
  CallTime adapted_at_{};
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONCURRENCY_LIMIT_H_
