#ifndef CAMPHORHOIST_CALL_ESTIMATES_H_
#define CAMPHORHOIST_CALL_ESTIMATES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "camphorhoist/server_picker.h"

namespace camphorhoist {

/// Learns from responses what a sender has to expect of the calls of each profile: the size of the
/// response, and the service time over all servers that ran such calls.
///
/// Thread safety: none; use from one thread.
class CallEstimates {
 public:
  /// Weight of a new sample in the moving averages, once there are enough samples for it.
  static constexpr double kEwmaWeight = 0.05;
  /// All profiles are discarded when there are this many; bounds memory.
  static constexpr size_t kMaxProfiles = 1024;

  /// Returns the estimate for calls of `profile`; zeros without a response so far.
  CallEstimate Get(uint64_t profile) const;
  /// Records a response. `service_time`: time for which the call occupied a slot of its server; 0
  /// if unknown.
  void Record(uint64_t profile, size_t response_bytes, ProxyDuration service_time);

 private:
  /// The first samples have equal weights, so that none of them dominates the mean.
  struct Mean {
    double value = 0;
    double samples = 0;
    void Add(double sample);
  };
  struct Profile {
    Mean response_bytes;
    Mean service_us;
  };

  std::unordered_map<uint64_t, Profile> by_profile_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_ESTIMATES_H_
