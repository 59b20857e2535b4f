#include "camphorhoist_load/report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace camphorhoist {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

struct Quantile {
  const char* name;
  double fraction;
  double GroupSummary::*member;
};

constexpr Quantile kQuantiles[] = {{"p50_ms", 0.5, &GroupSummary::p50_ms},
                                   {"p90_ms", 0.9, &GroupSummary::p90_ms},
                                   {"p99_ms", 0.99, &GroupSummary::p99_ms},
                                   {"p99.9_ms", 0.999, &GroupSummary::p999_ms},
                                   {"max_ms", 1, &GroupSummary::max_ms}};

// Exact nearest-rank quantile, since every latency of a run is kept anyway.
double QuantileMs(const std::vector<microseconds>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const double position = std::ceil(fraction * static_cast<double>(sorted.size()));
  const size_t index = std::max<size_t>(static_cast<size_t>(position), 1) - 1;
  return static_cast<double>(sorted[index].count()) / 1000;
}

GroupSummary SummarizeGroup(const std::string& name, const std::vector<RequestResult>& results,
                            const std::function<bool(const RequestResult&)>& belongs) {
  GroupSummary group;
  group.name = name;
  std::vector<microseconds> latencies;
  for (const RequestResult& it : results) {
    if (!belongs(it)) continue;
    ++group.requests;
    ++group.outcomes[it.outcome + " " + std::to_string(it.status)];
    if (!it.reason.empty()) ++group.reasons[it.outcome + " " + it.reason];
    if (it.Answered()) latencies.push_back(it.latency);
  }
  group.answered = latencies.size();
  std::sort(latencies.begin(), latencies.end());
  for (const Quantile& it : kQuantiles) group.*it.member = QuantileMs(latencies, it.fraction);
  return group;
}

std::string StepName(const RateStep& step) {
  std::ostringstream name;
  name << step.rate << "/s for " << step.seconds << " s";
  return name.str();
}

void WriteGroupRow(const GroupSummary& group, std::ostream& out) {
  out << std::left << std::setw(20) << group.name << std::right << std::setw(9) << group.requests
      << std::setw(9) << group.answered << std::fixed << std::setprecision(2);
  for (const Quantile& it : kQuantiles) out << std::setw(10) << group.*it.member;
  out << "\n";
}

json ToJson(const GroupSummary& group) {
  json object = {{"name", group.name},
                 {"requests", group.requests},
                 {"answered", group.answered},
                 {"outcomes", group.outcomes},
                 {"reasons", group.reasons}};
  for (const Quantile& it : kQuantiles) object[it.name] = group.*it.member;
  return object;
}

json ToJson(const std::vector<GroupSummary>& groups) {
  json list = json::array();
  for (const GroupSummary& it : groups) list.push_back(ToJson(it));
  return list;
}

}  // namespace

LoadReport Summarize(const LoadSettings& settings, const std::vector<RequestResult>& results,
                     microseconds elapsed) {
  LoadReport report;
  report.elapsed = elapsed;
  report.total = SummarizeGroup("total", results, [](const RequestResult&) { return true; });
  for (size_t i = 0; i < settings.mix.size(); ++i) {
    report.shapes.push_back(SummarizeGroup(settings.mix[i].name, results,
                                           [i](const RequestResult& it) { return it.shape == i; }));
  }
  for (size_t i = 0; i < settings.steps.size(); ++i) {
    report.steps.push_back(SummarizeGroup(StepName(settings.steps[i]), results,
                                          [i](const RequestResult& it) { return it.step == i; }));
  }
  for (const RequestResult& it : results) {
    if (!it.mismatch.empty()) report.mismatches.push_back(it.key + ": " + it.mismatch);
  }
  return report;
}

void WriteText(const LoadReport& report, std::ostream& out) {
  const double seconds = static_cast<double>(report.elapsed.count()) / 1e6;
  out << std::fixed << std::setprecision(2) << "elapsed " << seconds << " s, answered "
      << static_cast<double>(report.total.answered) / std::max(seconds, 1e-6) << "/s\n";
  out << std::left << std::setw(20) << "group" << std::right << std::setw(9) << "requests"
      << std::setw(9) << "answered";
  for (const Quantile& it : kQuantiles) out << std::setw(10) << it.name;
  out << "\n";
  WriteGroupRow(report.total, out);
  for (const GroupSummary& it : report.shapes) WriteGroupRow(it, out);
  if (report.steps.size() > 1) {
    for (const GroupSummary& it : report.steps) WriteGroupRow(it, out);
  }
  for (const auto& it : report.total.outcomes) {
    out << "outcome " << it.first << ": " << it.second << "\n";
  }
  for (const auto& it : report.total.reasons) {
    out << "reason " << it.first << ": " << it.second << "\n";
  }
  for (const std::string& it : report.mismatches) out << "wrong response " << it << "\n";
}

std::string ToJson(const LoadReport& report, const LoadSettings& settings,
                   const std::vector<std::string>& violations) {
  return json{{"seed", settings.seed},
              {"elapsed_s", static_cast<double>(report.elapsed.count()) / 1e6},
              {"total", ToJson(report.total)},
              {"shapes", ToJson(report.shapes)},
              {"steps", ToJson(report.steps)},
              {"wrong_answers", report.mismatches},
              {"violations", violations}}
      .dump(2, ' ', false, json::error_handler_t::replace);
}

void WriteResults(const LoadSettings& settings, const std::vector<RequestResult>& results,
                  std::ostream& out) {
  out << "key,method,outcome,status,latency_us,shape\n";
  for (const RequestResult& it : results) {
    out << it.key << ',' << it.method << ',' << it.outcome << ',' << it.status << ','
        << it.latency.count() << ',' << settings.mix[it.shape].name << '\n';
  }
}

}  // namespace camphorhoist
