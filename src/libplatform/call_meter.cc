#include "libplatform/call_meter.h"

namespace camphorhoist {

namespace {

constexpr double kLatencyQuantile = 0.99;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

}  // namespace

const char* StoreCallName(StoreCall call) {
  static constexpr const char* kNames[kStoreCallKinds] = {"get", "put", "watch", "list", "delete"};
  return kNames[static_cast<size_t>(call)];
}

StoreCallMeter::Entry::Entry()
    : latency_ms(boost::accumulators::quantile_probability = kLatencyQuantile) {}

void StoreCallMeter::RecordResult(StoreCall call, bool failed, std::chrono::microseconds latency) {
  Entry& entry = At(call);
  if (failed) ++entry.failures;
  entry.latency_ms(static_cast<double>(latency.count()) / kMicrosecondsPerMillisecond);
}

StoreCallStats StoreCallMeter::Stats(StoreCall call) const {
  const Entry& entry = entries_[static_cast<size_t>(call)];
  StoreCallStats stats;
  stats.calls = entry.calls;
  stats.failures = entry.failures;
  stats.refused = entry.refused;
  if (boost::accumulators::count(entry.latency_ms) == 0) return stats;
  stats.mean_ms = boost::accumulators::mean(entry.latency_ms);
  stats.p99_ms = boost::accumulators::p_square_quantile(entry.latency_ms);
  stats.max_ms = boost::accumulators::max(entry.latency_ms);
  return stats;
}

}  // namespace camphorhoist
