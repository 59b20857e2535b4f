#ifndef CAMPHORHOIST_WORK_CLASSIFIER_H_
#define CAMPHORHOIST_WORK_CLASSIFIER_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Learns per route whether its calls are short or long, from service time and response size.
///
/// Thread safety: none; use from one thread.
class WorkClassifier {
 public:
  /// A route is long when its mean service time is this many times the typical one...
  static constexpr double kLongServiceFactor = 8;
  /// ...or its mean response is larger than this.
  static constexpr double kLongResponseBytes = 256 * 1024;
  /// A long route becomes short again below this share of either bound.
  static constexpr double kShortAgainShare = 0.5;
  /// Routes remembered; further ones count as short.
  static constexpr size_t kMaxRoutes = 4096;

  WorkClass Classify(const std::string& route) const;
  /// Records a finished call. `bytes` is the size of the response body.
  void OnFinished(const std::string& route, CallDuration service_time, size_t bytes);

 private:
  struct Route {
    double micros = 0;
    double bytes = 0;
    double samples = 0;
    WorkClass work_class = WorkClass::kShort;
  };

  std::unordered_map<std::string, Route> routes_;
  // Mean of the logarithm of service times; the geometric mean is hardly moved by a few long calls.
  double typical_log_micros_ = 0;
  double samples_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_WORK_CLASSIFIER_H_
