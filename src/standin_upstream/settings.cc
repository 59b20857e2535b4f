#include "standin_upstream/settings.h"

#include <cstdlib>
#include <sstream>

#include "libbase/flag_parser.h"

namespace camphorhoist {

namespace {

struct RawSettings {
  char* listen = nullptr;
  char* service = nullptr;
  char* node = nullptr;
  char* ledger = nullptr;
  char* log_level = nullptr;
  int slots = 6;
  int connections = 110;
  int service_ms = 5;
  double service_jitter = 0;
  int cold_start_ms = 0;
  long long seed = 1;  // NOLINT(google-runtime-int): popt's type

  ~RawSettings() {
    for (char* it : {listen, service, node, ledger, log_level}) std::free(it);
  }
};

void ReadText(const char* raw, std::string* value) {
  if (raw != nullptr) *value = raw;
}

std::optional<NetAddress> ReadAddress(const std::string& text, const char* flag,
                                      Findings* findings) {
  std::optional<NetAddress> address = NetAddress::Parse(text);
  if (!address) findings->Add(flag, "\"" + text + "\" is not IP:PORT");
  return address;
}

void CheckRange(const char* flag, double value, double min_value, double max_value,
                Findings* findings) {
  if (value >= min_value && value <= max_value) return;
  std::ostringstream message;
  message << "is not in the range from " << min_value << " to " << max_value;
  findings->Add(flag, message.str());
}

void CheckRanges(const RawSettings& raw, Findings* findings) {
  CheckRange("--slots", raw.slots, 1, 10000, findings);
  CheckRange("--connections", raw.connections, 1, 100000, findings);
  CheckRange("--service-ms", raw.service_ms, 0, 600000, findings);
  CheckRange("--service-jitter", raw.service_jitter, 0, 1, findings);
  CheckRange("--cold-start-ms", raw.cold_start_ms, 0, 600000, findings);
}

StandinSettings Convert(const RawSettings& raw, Findings* findings) {
  StandinSettings settings;
  if (raw.listen != nullptr) {
    settings.listen = ReadAddress(raw.listen, "--listen", findings).value_or(settings.listen);
  }
  std::istringstream nodes(raw.node == nullptr ? "" : raw.node);
  for (std::string it; std::getline(nodes, it, ',');) {
    const auto address = ReadAddress(it, "--node", findings);
    if (address) settings.nodes.push_back(*address);
  }
  ReadText(raw.service, &settings.service);
  ReadText(raw.ledger, &settings.ledger_file);
  ReadText(raw.log_level, &settings.log_level);
  CheckRanges(raw, findings);
  settings.slots = raw.slots;
  settings.connections = raw.connections;
  settings.service_time = std::chrono::milliseconds(raw.service_ms);
  settings.service_jitter = raw.service_jitter;
  settings.cold_start = std::chrono::milliseconds(raw.cold_start_ms);
  settings.seed = static_cast<uint64_t>(raw.seed);
  return settings;
}

}  // namespace

std::optional<StandinSettings> ReadStandinSettings(int argc, const char** argv,
                                                   Findings* findings) {
  RawSettings raw;
  const poptOption options[] = {
      {"listen", 0, POPT_ARG_STRING, &raw.listen, 0, "address to listen on", "IP:PORT"},
      {"service", 0, POPT_ARG_STRING, &raw.service, 0, "service to announce", "NAME"},
      {"node", 0, POPT_ARG_STRING, &raw.node, 0, "nodes to announce to", "IP:PORT[,IP:PORT...]"},
      {"slots", 0, POPT_ARG_INT, &raw.slots, 0, "limit of concurrent requests", "N"},
      {"connections", 0, POPT_ARG_INT, &raw.connections, 0, "connection limit to announce", "N"},
      {"service-ms", 0, POPT_ARG_INT, &raw.service_ms, 0, "service time", "MS"},
      {"service-jitter", 0, POPT_ARG_DOUBLE, &raw.service_jitter, 0,
       "share by which service times vary", "0-1"},
      {"cold-start-ms", 0, POPT_ARG_INT, &raw.cold_start_ms, 0, "duration of the cold start", "MS"},
      {"seed", 0, POPT_ARG_LONGLONG, &raw.seed, 0, "seed for the service time jitter", "N"},
      {"ledger", 0, POPT_ARG_STRING, &raw.ledger, 0, "file to append the ledger to", "FILE"},
      {"log-level", 0, POPT_ARG_STRING, &raw.log_level, 0, "debug, info, warn or error", "LEVEL"},
      POPT_TABLEEND};
  if (!ParseFlags("standin_upstream", argc, argv, options, findings)) return std::nullopt;
  return Convert(raw, findings);
}

}  // namespace camphorhoist
