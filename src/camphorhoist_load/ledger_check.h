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

/// How often each request key was run, over all ledgers.
using RunCounts = std::map<std::string, size_t>;

/// Counts runs; one that several sources hold is counted once.
class RunCounter {
 public:
  /// Adds one run of a ledger: {"instance","sequence","key"}. Returns false if it lacks a field.
  bool Add(const nlohmann::json& run);
  const RunCounts& counts() const { return counts_; }

 private:
  RunCounts counts_;
  std::set<std::pair<std::string, uint64_t>> seen_;
};

/// Compares what callers were told with what was run. Each finding is one violation, with the key
/// as its place: a request other than GET and HEAD that was run more than once, one told not-run
/// that was run, one answered that was never run.
Findings FindViolations(const std::vector<RequestResult>& results, const RunCounts& runs);

/// Reads ledgers over HTTP ("ip:port", "http://ip:port"), in pages, and from the files of upstreams
/// that have ended ("file:PATH").
///
/// Thread safety: none; use on the thread of the event loop.
class LedgerReader {
 public:
  static constexpr size_t kPageRuns = 5000;
  static constexpr std::chrono::milliseconds kTimeout{10000};

  /// `done` runs when all sources are read; `errors()` then tells which could not be.
  LedgerReader(event_base* base, std::vector<std::string> sources, std::function<void()> done);

  void Start() { ReadNext(); }
  const RunCounts& runs() const { return counter_.counts(); }
  const Findings& errors() const { return errors_; }

 private:
  void ReadNext();
  void ReadPage(const NetAddress& server, size_t after);
  void TakePage(const NetAddress& server, size_t after, const HttpResponse& response);
  void ReadFile(const std::string& name);

  std::vector<std::string> sources_;
  size_t source_ = 0;
  std::function<void()> done_;
  RunCounter counter_;
  Findings errors_;
  HttpClient client_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_LEDGER_CHECK_H_
