#ifndef CAMPHORHOIST_LIBSIDECAR_SIDECAR_METRICS_H_
#define CAMPHORHOIST_LIBSIDECAR_SIDECAR_METRICS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace camphorhoist {

/// Counters and a latency histogram of one sidecar, in the Prometheus text format. Label values are
/// constants in the code, so that their number is bounded.
///
/// Thread safety: none; use from one thread.
class SidecarMetrics {
 public:
  /// Adds `n` to the counter `name` with the label `reason` (empty for none).
  void Count(const char* name, const char* reason = "", uint64_t n = 1) {
    counters_[{name, reason}] += n;
  }
  void Set(const char* name, double value) { gauges_[name] = value; }
  /// Time from the arrival of a request to its response.
  void ObserveLatency(std::chrono::microseconds latency);

  std::string ToText() const;

 private:
  /// Upper bounds of the buckets, in ms.
  static constexpr std::array<int, 12> kBucketsMs = {5,   10,  25,  50,   100,  150,
                                                     250, 400, 600, 1000, 1500, 3000};

  std::map<std::pair<std::string, std::string>, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::array<uint64_t, kBucketsMs.size() + 1> buckets_{};
  uint64_t latency_count_ = 0;
  double latency_sum_s_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_SIDECAR_METRICS_H_
