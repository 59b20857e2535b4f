#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_REPORT_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_REPORT_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "camphorhoist_load/result.h"
#include "camphorhoist_load/settings.h"

namespace camphorhoist {

/// Statistics of one group of requests.
struct GroupSummary {
  std::string name;
  size_t requests = 0;
  size_t answered = 0;
  /// Number of requests by outcome and status, with keys such as "answered 200".
  std::map<std::string, size_t> outcomes;
  /// Number of requests without an answer by outcome and reason, with keys such as
  /// "not-run queue-full".
  std::map<std::string, size_t> reasons;
  /// Latencies of the answered requests, measured from the scheduled start; 0 if there are none.
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

/// Statistics of a run: over all requests, by request shape and by rate step.
struct LoadReport {
  std::chrono::microseconds elapsed{0};
  GroupSummary total;
  std::vector<GroupSummary> shapes;
  std::vector<GroupSummary> steps;
  /// Complete responses that differ from the expected ones, as "key: mismatch".
  std::vector<std::string> mismatches;
};

LoadReport Summarize(const LoadSettings& settings, const std::vector<RequestResult>& results,
                     std::chrono::microseconds elapsed);

void WriteText(const LoadReport& report, std::ostream& out);
std::string ToJson(const LoadReport& report, const LoadSettings& settings,
                   const std::vector<std::string>& violations);
/// Writes one CSV line per request: key, method, outcome, status, latency in microseconds, shape.
void WriteResults(const LoadSettings& settings, const std::vector<RequestResult>& results,
                  std::ostream& out);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_REPORT_H_
