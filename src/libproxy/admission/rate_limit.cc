#include "camphorhoist/rate_limit.h"

#include <algorithm>

namespace camphorhoist {

double RateLimit::Capacity() const { return std::max(1.0, kBurstSeconds * *per_second_); }

double RateLimit::PermitsAt(Time now) const {
  const double seconds = std::chrono::duration<double>(now - updated_at_).count();
  return std::min(Capacity(), permits_ + seconds * *per_second_);
}

void RateLimit::Set(Time now, std::optional<double> per_second) {
  if (!per_second) {
    per_second_.reset();
    return;
  }
  const double rate = std::max(*per_second, kMinPerSecond);
  if (per_second_ == rate) return;
  const bool first = !per_second_;
  const double permits = first ? 0 : PermitsAt(now);
  per_second_ = rate;
  permits_ = first ? Capacity() : std::min(permits, Capacity());
  updated_at_ = now;
}

RateLimit::Duration RateLimit::interval() const {
  if (!per_second_) return Duration(0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / *per_second_));
}

bool RateLimit::HasPermit(Time now) const { return !per_second_ || PermitsAt(now) >= 1; }

void RateLimit::Take(Time now) {
  if (!per_second_) return;
  permits_ = PermitsAt(now) - 1;
  updated_at_ = now;
}

RateLimit::Duration RateLimit::Wait(Time now, size_t ahead) const {
  if (!per_second_) return Duration(0);
  const double missing = static_cast<double>(ahead) + 1 - PermitsAt(now);
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(std::max(0.0, missing) / *per_second_));
}

}  // namespace camphorhoist
