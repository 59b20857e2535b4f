#ifndef CAMPHORHOIST_WORK_CLASSIFIER_H_
#define CAMPHORHOIST_WORK_CLASSIFIER_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Classifies each route as short or long work, from the service time and response size of its
/// finished calls.
///
/// Thread safety: none; use from one thread.
class WorkClassifier {
 public:
  /// A route is long if its mean service time exceeds the typical one by this factor...
  static constexpr double kLongServiceFactor = 8;
  /// ...or if its mean response is larger than this.
  static constexpr double kLongResponseBytes = 256 * 1024;
  /// A long route becomes short again when both means are below this share of their bounds.
  static constexpr double kShortAgainShare = 0.5;
  /// Maximum number of tracked routes; all others count as short.
  static constexpr size_t kMaxRoutes = 4096;

  WorkClass Classify(const std::string& route) const;
  /// Records a finished call with a response body of `bytes` bytes.
  void OnFinished(const std::string& route, CallDuration service_time, size_t bytes);

 private:
  struct Route {
    double micros = 0;
    double bytes = 0;
    double samples = 0;
    WorkClass work_class = WorkClass::kShort;
  };

  std::unordered_map<std::string, Route> routes_;
  // Mean of the logarithm of all service times. A few long calls hardly change the geometric mean.
  double typical_log_micros_ = 0;
  double samples_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_WORK_CLASSIFIER_H_
