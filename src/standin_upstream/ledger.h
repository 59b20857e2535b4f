#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorhoist {

/// One execution of a request.
struct LedgerRun {
  /// Number within this process run, from 1.
  uint64_t sequence = 0;
  std::string call_id;
  std::string method;
  std::string target;
  /// The caller's own X-Request-Key.
  std::string key;
  /// Milliseconds since the Unix epoch; 0 while running.
  int64_t start_ms = 0;
  int64_t end_ms = 0;
  /// "running", "done", "abandoned" (done, but the answer could not be delivered), "broken" (on
  /// demand), "deadline" or "cancelled".
  std::string state = "running";
};

/// All executions since the start, in memory and as JSON lines in a file.
///
/// Thread safety: none.
class Ledger {
 public:
  /// Appends to `file`; an empty name keeps the ledger in memory only.
  Ledger(const std::string& file, std::string instance);

  /// False if the file could not be opened.
  bool ok() const { return !has_file_ || file_.good(); }

  /// Adds a run and returns its sequence number.
  uint64_t Start(LedgerRun run);
  void End(uint64_t sequence, const std::string& state);

  const LedgerRun& run(uint64_t sequence) const { return runs_[sequence - 1]; }
  size_t size() const { return runs_.size(); }

  /// At most `count` runs with sequence numbers above `after`, as a JSON array.
  nlohmann::json Runs(uint64_t after, size_t count) const;

 private:
  void WriteLine(const LedgerRun& run);

  nlohmann::json ToJson(const LedgerRun& run) const;

  bool has_file_;
  std::string instance_;
  std::ofstream file_;
  std::vector<LedgerRun> runs_;
};

/// Milliseconds since the Unix epoch.
int64_t WallClockMs();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_
