#include "camphorhoist_load/settings.h"

#include <cstdlib>
#include <sstream>

#include "libbase/flag_parser.h"

namespace camphorhoist {

namespace {

struct RawSettings {
  char* target = nullptr;
  char* mix = nullptr;
  char* steps = nullptr;
  char* results = nullptr;
  char* json = nullptr;
  char* ledgers = nullptr;
  double rate = 100;
  double duration_s = 10;
  int max_outstanding = 2000;
  int timeout_ms = 5000;
  int drain_ms = 30000;
  int settle_ms = 1000;
  long long seed = 1;  // NOLINT(google-runtime-int): popt's type

  ~RawSettings() {
    for (char* it : {target, mix, steps, results, json, ledgers}) std::free(it);
  }
};

std::vector<std::string> Split(const char* text) {
  std::vector<std::string> parts;
  std::istringstream in(text == nullptr ? "" : text);
  for (std::string it; std::getline(in, it, ',');) parts.push_back(it);
  return parts;
}

void CheckAtLeast(const char* flag, int value, int min_value, Findings* findings) {
  if (value < min_value) findings->Add(flag, "is below " + std::to_string(min_value));
}

std::vector<RateStep> ReadSteps(const RawSettings& raw, Findings* findings) {
  if (raw.steps != nullptr) return ParseSteps(raw.steps, "--steps", findings);
  std::ostringstream text;
  text << raw.rate << ":" << raw.duration_s;
  return ParseSteps(text.str(), "--rate, --duration-s", findings);
}

LoadSettings Convert(const RawSettings& raw, Findings* findings) {
  LoadSettings settings;
  for (const std::string& it : Split(raw.target)) {
    const auto address = NetAddress::Parse(it);
    if (address) settings.targets.push_back(*address);
    if (!address) findings->Add("--target", "\"" + it + "\" is not IP:PORT");
  }
  if (raw.target == nullptr) findings->Add("--target", "is missing");
  settings.steps = ReadSteps(raw, findings);
  settings.mix = raw.mix == nullptr ? std::vector<RequestShape>(1) : ReadMix(raw.mix, findings);
  CheckAtLeast("--max-outstanding", raw.max_outstanding, 1, findings);
  CheckAtLeast("--timeout-ms", raw.timeout_ms, 1, findings);
  CheckAtLeast("--drain-ms", raw.drain_ms, 0, findings);
  CheckAtLeast("--settle-ms", raw.settle_ms, 0, findings);
  settings.seed = static_cast<uint64_t>(raw.seed);
  settings.max_outstanding = static_cast<size_t>(raw.max_outstanding);
  settings.timeout = std::chrono::milliseconds(raw.timeout_ms);
  settings.drain_timeout = std::chrono::milliseconds(raw.drain_ms);
  settings.settle_delay = std::chrono::milliseconds(raw.settle_ms);
  if (raw.results != nullptr) settings.results_file = raw.results;
  if (raw.json != nullptr) settings.json_file = raw.json;
  settings.ledgers = Split(raw.ledgers);
  return settings;
}

}  // namespace

std::optional<LoadSettings> ReadLoadSettings(int argc, const char** argv, Findings* findings) {
  RawSettings raw;
  const poptOption options[] = {
      {"target", 0, POPT_ARG_STRING, &raw.target, 0, "addresses to send requests to",
       "IP:PORT[,...]"},
      {"rate", 0, POPT_ARG_DOUBLE, &raw.rate, 0, "requests per second", "N"},
      {"duration-s", 0, POPT_ARG_DOUBLE, &raw.duration_s, 0, "length of the run", "S"},
      {"steps", 0, POPT_ARG_STRING, &raw.steps, 0, "rate steps, replace --rate and --duration-s",
       "RATE:SECONDS,..."},
      {"seed", 0, POPT_ARG_LONGLONG, &raw.seed, 0, "seed for arrival times and mix", "N"},
      {"mix", 0, POPT_ARG_STRING, &raw.mix, 0, "request shapes, as a file or a JSON array", "MIX"},
      {"max-outstanding", 0, POPT_ARG_INT, &raw.max_outstanding, 0, "limit of requests in flight",
       "N"},
      {"timeout-ms", 0, POPT_ARG_INT, &raw.timeout_ms, 0, "time limit for the start of a response",
       "MS"},
      {"drain-ms", 0, POPT_ARG_INT, &raw.drain_ms, 0, "longest wait for the last responses", "MS"},
      {"settle-ms", 0, POPT_ARG_INT, &raw.settle_ms, 0, "delay before reading the ledgers", "MS"},
      {"results", 0, POPT_ARG_STRING, &raw.results, 0, "file with one line per request", "FILE"},
      {"json", 0, POPT_ARG_STRING, &raw.json, 0, "file for the JSON report", "FILE"},
      {"check-ledger", 0, POPT_ARG_STRING, &raw.ledgers, 0, "ledgers to compare with",
       "URL|file:PATH,..."},
      POPT_TABLEEND};
  if (!ParseFlags("camphorhoist_load", argc, argv, options, findings)) return std::nullopt;
  return Convert(raw, findings);
}

}  // namespace camphorhoist
