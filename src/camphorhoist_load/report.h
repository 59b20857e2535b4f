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

/// Figures of one group of requests.
struct GroupSummary {
  std::string name;
  size_t requests = 0;
  size_t answered = 0;
  /// Count by "outcome status".
  std::map<std::string, size_t> outcomes;
  /// Latencies of answered requests in milliseconds, from the intended start; 0 if there are none.
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

/// Figures of a run: all requests, by shape and by rate step.
struct LoadReport {
  std::chrono::microseconds elapsed{0};
  GroupSummary total;
  std::vector<GroupSummary> shapes;
  std::vector<GroupSummary> steps;
  /// Whole answers that were not the ones asked for.
  std::vector<std::string> faults;
};

LoadReport Summarize(const LoadSettings& settings, const std::vector<RequestResult>& results,
                     std::chrono::microseconds elapsed);

void WriteText(const LoadReport& report, std::ostream& out);
std::string ToJson(const LoadReport& report, const LoadSettings& settings,
                   const std::vector<std::string>& violations);
/// One line per request: key, method, outcome, status, latency in microseconds, shape.
void WriteResults(const LoadSettings& settings, const std::vector<RequestResult>& results,
                  std::ostream& out);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_REPORT_H_
