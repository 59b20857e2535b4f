#include "camphorhoist/work_classifier.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

/// Number of samples after which an arithmetic mean becomes an exponential moving average: per
/// route, and for the typical service time of all calls.
constexpr double kRouteSampleCap = 50;
constexpr double kTypicalSampleCap = 2000;

}  // namespace

WorkClass WorkClassifier::Classify(const std::string& route) const {
  const auto it = routes_.find(route);
  return it == routes_.end() ? WorkClass::kShort : it->second.work_class;
}

void WorkClassifier::OnFinished(const std::string& route, CallDuration service_time, size_t bytes) {
  const double micros =
      std::max(std::chrono::duration<double, std::micro>(service_time).count(), 1.0);
  samples_ = std::min(samples_ + 1, kTypicalSampleCap);
  typical_log_micros_ += (std::log(micros) - typical_log_micros_) / samples_;

  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) return;
  Route& it = routes_[route];
  it.samples = std::min(it.samples + 1, kRouteSampleCap);
  it.micros += (micros - it.micros) / it.samples;
  it.bytes += (static_cast<double>(bytes) - it.bytes) / it.samples;

  const double share = it.work_class == WorkClass::kLong ? kShortAgainShare : 1.0;
  const double long_micros = kLongServiceFactor * std::exp(typical_log_micros_);
  const bool is_long = it.micros > share * long_micros || it.bytes > share * kLongResponseBytes;
  it.work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
}

}  // namespace camphorhoist
