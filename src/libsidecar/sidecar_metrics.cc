#include "libsidecar/sidecar_metrics.h"

#include <sstream>

namespace camphorhoist {

namespace {
constexpr char kPrefix[] = "camphorhoist_";
}  // namespace

void SidecarMetrics::ObserveLatency(std::chrono::microseconds latency) {
  size_t bucket = 0;
  while (bucket < kBucketsMs.size() && latency > std::chrono::milliseconds(kBucketsMs[bucket])) {
    ++bucket;
  }
  ++buckets_[bucket];
  ++latency_count_;
  latency_sum_s_ += std::chrono::duration<double>(latency).count();
}

std::string SidecarMetrics::ToText() const {
  std::ostringstream out;
  for (const auto& [key, value] : counters_) {
    out << kPrefix << key.first;
    if (!key.second.empty()) out << "{reason=\"" << key.second << "\"}";
    out << " " << value << "\n";
  }
  for (const auto& [name, value] : gauges_) out << kPrefix << name << " " << value << "\n";
  uint64_t total = 0;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    total += buckets_[i];
    out << kPrefix << "request_seconds_bucket{le=\"";
    if (i < kBucketsMs.size()) {
      out << kBucketsMs[i] / 1000.0;
    } else {
      out << "+Inf";
    }
    out << "\"} " << total << "\n";
  }
  out << kPrefix << "request_seconds_sum " << latency_sum_s_ << "\n";
  out << kPrefix << "request_seconds_count " << latency_count_ << "\n";
  return out.str();
}

}  // namespace camphorhoist
