#include "camphorhoist/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

void ConcurrencyLimit::Mean::Add(CallTime now, double sample,
                                 std::chrono::milliseconds time_constant) {
  if (micros == 0) {
    micros = sample;
    at = now;
    return;
  }
  // A call moves the mean at least a little even when many finish at the same instant.
  constexpr double kLeastShare = 0.01;
  const double elapsed = std::chrono::duration<double>(now - at).count();
  const double constant = std::chrono::duration<double>(time_constant).count();
  const double share = std::max(1 - std::exp(-elapsed / constant), kLeastShare);
  micros += share * (sample - micros);
  at = now;
}

void ConcurrencyLimit::OnFinish(CallTime now, WorkClass work_class, CallDuration service_time,
                                bool shed) {
  const double micros = std::chrono::duration<double, std::micro>(service_time).count();
  if (shed) {
    shed_ = true;
  } else if (work_class == WorkClass::kLong) {
    long_work_.Add(now, micros, kRecent);
  } else {
    recent_.Add(now, micros, kRecent);
  }
  Adapt(now);
}

void ConcurrencyLimit::Adapt(CallTime now) {
  if (now - adapted_at_ < kWindow) return;
  adapted_at_ = now;
  const bool slow = baseline_.micros > 0 && recent_.micros > kSlowFactor * baseline_.micros;
  if (slow || shed_) {
    const double floor = std::max(1.0, std::ceil(slots_ * kFloorShare));
    limit_ = std::max(limit_ * kDecrease, floor);
  } else {
    limit_ = std::min(limit_ + kIncrease, static_cast<double>(slots_));
  }
  shed_ = false;
  if (recent_.micros == 0) return;
  // Falls at once: a faster upstream shows what it can do without load.
  if (baseline_.micros == 0 || recent_.micros < baseline_.micros) {
    baseline_.micros = recent_.micros;
    baseline_.at = now;
    return;
  }
  const double elapsed = std::chrono::duration<double>(now - baseline_.at).count();
  const double constant = std::chrono::duration<double>(kBaseline).count();
  baseline_.micros += (1 - std::exp(-elapsed / constant)) * (recent_.micros - baseline_.micros);
  baseline_.at = now;
}

CallDuration ConcurrencyLimit::MeanService(WorkClass work_class) const {
  const bool is_long = work_class == WorkClass::kLong && long_work_.micros > 0;
  const double micros = is_long ? long_work_.micros : recent_.micros;
  return std::chrono::duration_cast<CallDuration>(
      std::chrono::duration<double, std::micro>(micros));
}

}  // namespace camphorhoist
