#include "camphorhoist/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// Maximum sample count of an average. An average of fewer samples is not compared with the
/// baseline, and the weight of a new sample is at least the inverse of this.
constexpr double kAverageSamples = 100;
/// Except for the first samples, the weight of a new sample is at most the inverse of this, even
/// after a long time without samples.
constexpr double kMinWindowSamples = 10;

}  // namespace

void ConcurrencyLimit::MovingAverage::Add(CallTime now, double sample,
                                          std::chrono::milliseconds time_constant) {
  // The first samples form an arithmetic mean; later ones form an exponential average that no
  // single sample dominates, because service times vary widely from call to call.
  samples = std::min(samples + 1, kAverageSamples);
  const double elapsed = std::chrono::duration<double>(now - updated_at).count();
  const double constant = std::chrono::duration<double>(time_constant).count();
  const double share = std::min(1 - std::exp(-elapsed / constant), 1 / kMinWindowSamples);
  micros += std::max(share, 1 / samples) * (sample - micros);
  updated_at = now;
}

void ConcurrencyLimit::OnFinish(CallTime now, WorkClass work_class, CallDuration service_time,
                                bool shed) {
  const double micros = std::chrono::duration<double, std::micro>(service_time).count();
  busy_micros_ += micros;
  if (shed) {
    shed_ = true;
  } else if (work_class == WorkClass::kLong) {
    long_recent_.Add(now, micros, kRecentTimeConstant);
  } else {
    short_recent_.Add(now, micros, kRecentTimeConstant);
  }
  Adapt(now);
}

void ConcurrencyLimit::Adapt(CallTime now) {
  if (now - adapted_at_ < kAdaptInterval) return;
  // By Little's law, the service time completed per unit of time is the mean number of busy slots.
  const double window = std::chrono::duration<double, std::micro>(now - adapted_at_).count();
  const bool busy = busy_micros_ >= kMinUtilization * limit_ * window;
  busy_micros_ = 0;
  adapted_at_ = now;
  const bool has_average = short_recent_.samples >= kAverageSamples;
  const bool slow =
      has_average && baseline_.samples > 0 && short_recent_.micros > kSlowFactor * baseline_.micros;
  if ((slow && busy) || shed_) {
    const double floor = std::max(1.0, std::ceil(slots_ * kMinLimitShare));
    limit_ = std::max(limit_ * kDecreaseFactor, floor);
  } else {
    limit_ = std::min(limit_ + kIncreaseStep, static_cast<double>(slots_));
  }
  shed_ = false;
  if (!has_average) return;
  if (baseline_.samples == 0) baseline_ = short_recent_;
  // The baseline falls faster than it rises: a low service time shows what the upstream is capable
  // of, while a high one may be caused by load.
  const auto constant = short_recent_.micros < baseline_.micros ? kBaselineFallTimeConstant
                                                                : kBaselineRiseTimeConstant;
  const double elapsed = std::chrono::duration<double>(now - baseline_.updated_at).count();
  const double seconds = std::chrono::duration<double>(constant).count();
  baseline_.micros +=
      (1 - std::exp(-elapsed / seconds)) * (short_recent_.micros - baseline_.micros);
  baseline_.updated_at = now;
}

CallDuration ConcurrencyLimit::MeanServiceTime(WorkClass work_class) const {
  const bool is_long = work_class == WorkClass::kLong && long_recent_.micros > 0;
  const double micros = is_long ? long_recent_.micros : short_recent_.micros;
  return std::chrono::duration_cast<CallDuration>(
      std::chrono::duration<double, std::micro>(micros));
}

}  // namespace camphorhoist
