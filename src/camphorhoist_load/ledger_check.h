#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_LEDGER_CHECK_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_LEDGER_CHECK_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist_load/result.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Number of executions (runs) by request key, over all ledgers.
using RunCounts = std::map<std::string, size_t>;

/// Counts runs. A run that is listed by several sources is counted once.
class RunCounter {
 public:
  /// Adds a ledger entry with the fields "instance", "sequence" and "key". Returns false if a field
  /// is missing or has the wrong type.
  bool Add(const nlohmann::json& run);
  const RunCounts& counts() const { return counts_; }

 private:
  RunCounts counts_;
  std::set<std::pair<std::string, uint64_t>> seen_;
};

/// Compares the reported outcomes with the executions in the ledgers. Each finding is one
/// violation, with the request key as its place: a request other than GET or HEAD that ran more
/// than once, a request reported as not run that did run, or an answered request that never ran.
Findings FindViolations(const std::vector<RequestResult>& results, const RunCounts& runs);

/// Reads the ledgers of running upstreams over HTTP in pages ("ip:port" or "http://ip:port") and
/// those of terminated upstreams from files ("file:PATH").
///
/// Thread safety: none; use on the thread of the event loop.
class LedgerReader {
 public:
  static constexpr size_t kRunsPerPage = 5000;
  static constexpr std::chrono::milliseconds kTimeout{10000};

  /// `done` is called when all sources have been read; `errors()` then lists those that failed.
  LedgerReader(event_base* base, std::vector<std::string> sources, std::function<void()> done);

  void Start() { ReadNext(); }
  const RunCounts& runs() const { return counter_.counts(); }
  const Findings& errors() const { return errors_; }

 private:
  void ReadNext();
  void ReadPage(const NetAddress& server, size_t after);
  void OnPage(const NetAddress& server, size_t after, const HttpResponse& response);
  void ReadFile(const std::string& name);

  std::vector<std::string> sources_;
  size_t next_source_ = 0;
  std::function<void()> done_;
  RunCounter counter_;
  Findings errors_;
  HttpClient client_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_LEDGER_CHECK_H_
