#include "standin_upstream/ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorhoist {

using nlohmann::json;

json Ledger::ToJson(const LedgerRun& run) const {
  return {{"instance", instance_},    {"sequence", run.sequence}, {"call_id", run.call_id},
          {"method", run.method},     {"target", run.target},     {"key", run.key},
          {"start_ms", run.start_ms}, {"end_ms", run.end_ms},     {"state", run.state}};
}

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Ledger::Ledger(const std::string& file, std::string instance)
    : has_file_(!file.empty()), instance_(std::move(instance)) {
  if (has_file_) file_.open(file, std::ios::app);
}

uint64_t Ledger::Start(LedgerRun run) {
  run.sequence = runs_.size() + 1;
  run.start_ms = WallClockMs();
  WriteLine(run);
  runs_.push_back(std::move(run));
  return runs_.size();
}

void Ledger::End(uint64_t sequence, const std::string& state) {
  LedgerRun& run = runs_[sequence - 1];
  run.end_ms = WallClockMs();
  run.state = state;
  WriteLine(run);
}

json Ledger::Runs(uint64_t after, size_t count) const {
  json list = json::array();
  const size_t first = std::min<size_t>(after, runs_.size());
  const size_t last = first + std::min(count, runs_.size() - first);
  for (size_t i = first; i < last; ++i) list.push_back(ToJson(runs_[i]));
  return list;
}

// Flushes after each line, so that the file is complete even if the process is killed.
void Ledger::WriteLine(const LedgerRun& run) {
  if (!has_file_) return;
  file_ << ToJson(run).dump(-1, ' ', false, json::error_handler_t::replace) << '\n' << std::flush;
}

}  // namespace camphorhoist
