#include "camphorhoist/failure_share.h"

#include <cmath>

namespace camphorhoist {

double FailureShare::Get(Time now) const {
  const double age = std::chrono::duration<double>(now - updated_at_).count();
  return share_ * std::exp(-age / std::chrono::duration<double>(kDecayTime).count());
}

void FailureShare::Record(Time now, bool failed) {
  const double share = Get(now);
  share_ = share + weight_ * ((failed ? 1.0 : 0.0) - share);
  updated_at_ = now;
}

}  // namespace camphorhoist
