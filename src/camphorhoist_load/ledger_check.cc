#include "camphorhoist_load/ledger_check.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr char kHttpScheme[] = "http://";
constexpr char kFileScheme[] = "file:";

bool StartsWith(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

// Returns the address in "ip:port" or "http://ip:port/anything".
std::optional<NetAddress> ParseLedgerAddress(std::string text) {
  if (StartsWith(text, kHttpScheme)) text.erase(0, sizeof(kHttpScheme) - 1);
  return NetAddress::Parse(text.substr(0, text.find('/')));
}

}  // namespace

Findings FindViolations(const std::vector<RequestResult>& results, const RunCounts& runs) {
  Findings violations;
  for (const RequestResult& it : results) {
    const auto found = runs.find(it.key);
    const size_t count = found == runs.end() ? 0 : found->second;
    const bool at_most_once = it.method != "GET" && it.method != "HEAD";
    if (at_most_once && count > 1) {
      violations.Add(it.key, it.method + " was executed " + std::to_string(count) + " times");
    }
    if (it.ReportedNotRun() && count > 0) {
      violations.Add(it.key, it.method + " was reported as " + it.outcome + " but was executed");
    }
    if (it.Answered() && count == 0) {
      violations.Add(it.key, it.method + " was answered but is in no ledger");
    }
  }
  return violations;
}

bool RunCounter::Add(const json& run) {
  const bool valid = run.is_object() && run.contains("instance") && run["instance"].is_string() &&
                     run.contains("sequence") && run["sequence"].is_number_unsigned() &&
                     run.contains("key") && run["key"].is_string();
  if (!valid) return false;
  const bool inserted = seen_.emplace(run["instance"], run["sequence"]).second;
  if (inserted) ++counts_[run["key"].get<std::string>()];
  return true;
}

LedgerReader::LedgerReader(event_base* base, std::vector<std::string> sources,
                           std::function<void()> done)
    : sources_(std::move(sources)), done_(std::move(done)), client_(base) {}

void LedgerReader::ReadNext() {
  while (next_source_ < sources_.size()) {
    const std::string source = sources_[next_source_++];
    if (StartsWith(source, kFileScheme)) {
      ReadFile(source.substr(sizeof(kFileScheme) - 1));
      continue;
    }
    const std::optional<NetAddress> server = ParseLedgerAddress(source);
    if (server) {
      ReadPage(*server, 0);
      return;
    }
    errors_.Add(source, "is not [http://]ip:port or file:PATH");
  }
  done_();
}

void LedgerReader::ReadPage(const NetAddress& server, size_t after) {
  HttpRequest request;
  request.target =
      "/ledger?after=" + std::to_string(after) + "&count=" + std::to_string(kRunsPerPage);
  client_.Send(
      server, std::move(request), kTimeout,
      [this, server, after](const HttpResponse& response) { OnPage(server, after, response); });
}

void LedgerReader::OnPage(const NetAddress& server, size_t after, const HttpResponse& response) {
  const json page = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (response.error || response.status != 200 || !page.is_object() || !page.contains("runs") ||
      !page["runs"].is_array()) {
    errors_.Add(server.ToString(), "cannot read the ledger: " + response.error.message() +
                                       ", status " + std::to_string(response.status));
    ReadNext();
    return;
  }
  for (const json& it : page["runs"]) {
    if (!counter_.Add(it)) errors_.Add(server.ToString(), "an entry of the ledger lacks a field");
  }
  if (page["runs"].empty()) {
    ReadNext();
  } else {
    ReadPage(server, after + page["runs"].size());
  }
}

// A run has two lines in the file: one written at its start and one at its end.
void LedgerReader::ReadFile(const std::string& name) {
  std::ifstream in(name);
  if (!in) errors_.Add(name, "cannot be read");
  size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const json run = json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!counter_.Add(run)) {
      errors_.Add(name + ":" + std::to_string(number), "is not a ledger entry");
    }
  }
}

}  // namespace camphorhoist
