#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorhoist {

/// One execution of a request, called a run.
struct LedgerRun {
  /// Numbered from 1 within this process.
  uint64_t sequence = 0;
  std::string call_id;
  std::string method;
  std::string target;
  /// The caller's X-Request-Key; empty if none was sent.
  std::string key;
  /// Milliseconds since the Unix epoch.
  int64_t start_ms = 0;
  /// Milliseconds since the Unix epoch; 0 while running.
  int64_t end_ms = 0;
  /// "running", "done", "abandoned" (done, but the caller disconnected before the end of the
  /// response), "broken" (connection closed because of `break_after`), "deadline" or "cancelled".
  std::string state = "running";
};

/// Records all runs of the process, in memory and as JSON lines in a file.
///
/// Thread safety: none.
class Ledger {
 public:
  /// Appends to `file`; if the name is empty, the ledger is kept in memory only.
  Ledger(const std::string& file, std::string instance);

  /// False if the file could not be opened or written.
  bool ok() const { return !has_file_ || file_.good(); }

  /// Adds a run and returns its sequence number. Writes a line to the file.
  uint64_t Start(LedgerRun run);
  /// Sets the end time and the final state of a run and writes a second line for it.
  void End(uint64_t sequence, const std::string& state);

  const LedgerRun& run(uint64_t sequence) const { return runs_[sequence - 1]; }
  size_t size() const { return runs_.size(); }

  /// Returns at most `count` runs with sequence numbers greater than `after`, as a JSON array.
  nlohmann::json Runs(uint64_t after, size_t count) const;

 private:
  void WriteLine(const LedgerRun& run);

  nlohmann::json ToJson(const LedgerRun& run) const;

  bool has_file_;
  std::string instance_;
  std::ofstream file_;
  std::vector<LedgerRun> runs_;
};

/// Returns the current time in milliseconds since the Unix epoch.
int64_t WallClockMs();

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_LEDGER_H_
