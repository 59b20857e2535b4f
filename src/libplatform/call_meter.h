#ifndef CAMPHORHOIST_LIBPLATFORM_CALL_METER_H_
#define CAMPHORHOIST_LIBPLATFORM_CALL_METER_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorhoist {

enum class StoreCall { kGet, kPut, kWatch, kList, kDelete };
constexpr size_t kStoreCallKinds = 5;

/// Lower-case name, as in the dump of a node.
const char* StoreCallName(StoreCall call);

/// Statistics of one kind of object store call. Latencies are in milliseconds, 0 before the first
/// result; the latency of a watch includes the time it waits for a change.
struct StoreCallStats {
  uint64_t calls = 0;
  /// Calls that ended with `kUnavailable` or `kUnknownEffect`.
  uint64_t failures = 0;
  /// Calls that exceeded the budget and were not sent; not counted in `calls`.
  uint64_t refused = 0;
  double mean_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
};

/// Counts object store calls by kind and measures their latency. Thread safety: none.
class StoreCallMeter {
 public:
  void CountCall(StoreCall call) { ++At(call).calls; }
  void CountRefusal(StoreCall call) { ++At(call).refused; }
  void RecordResult(StoreCall call, bool failed, std::chrono::microseconds latency);
  StoreCallStats Stats(StoreCall call) const;

 private:
  using LatencyStats = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count, boost::accumulators::tag::mean,
                  boost::accumulators::tag::max, boost::accumulators::tag::p_square_quantile>>;

  struct Entry {
    Entry();
    uint64_t calls = 0;
    uint64_t failures = 0;
    uint64_t refused = 0;
    LatencyStats latency_ms;
  };

  Entry& At(StoreCall call) { return entries_[static_cast<size_t>(call)]; }

  std::array<Entry, kStoreCallKinds> entries_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_CALL_METER_H_
