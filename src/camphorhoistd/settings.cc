#include "camphorhoistd/settings.h"

#include <popt.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

namespace camphorhoist {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr uint16_t kNoPort = 0;

/// Unparsed value of one setting, and the flag or variable that it was read from.
struct RawSetting {
  std::string place;
  std::string value;
};

using ApplyFunction = void (*)(const RawSetting& raw, Settings* settings, Findings* findings);

/// One setting: its flag, its help text, and the function that checks and stores its value.
struct Option {
  const char* flag;
  const char* argument;
  const char* help;
  bool required;
  ApplyFunction apply;
};

void AddInvalidValue(const RawSetting& raw, const std::string& allowed, Findings* findings) {
  findings->Add(raw.place, "invalid value \"" + raw.value + "\"; " + allowed);
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789._-") == std::string::npos;
}

template <std::string Settings::*kMember>
void ApplyName(const RawSetting& raw, Settings* settings, Findings* findings) {
  if (!IsValidName(raw.value)) {
    AddInvalidValue(raw, "use 1 to 64 characters of a-z, 0-9, '.', '_', '-'", findings);
  }
  settings->*kMember = raw.value;
}

template <NetAddress Settings::*kMember>
void ApplyAddress(const RawSetting& raw, Settings* settings, Findings* findings) {
  const auto address = NetAddress::Parse(raw.value);
  if (!address) return AddInvalidValue(raw, "use IP:PORT with a numeric IPv4 address", findings);
  settings->*kMember = *address;
}

void ApplyPlatform(const RawSetting& raw, Settings* settings, Findings* findings) {
  ApplyAddress<&Settings::platform>(raw, settings, findings);
  if (!settings->platform.empty() && settings->platform.port() == kNoPort) {
    AddInvalidValue(raw, "the port must not be 0", findings);
  }
}

void ApplySeeds(const RawSetting& raw, Settings* settings, Findings* findings) {
  size_t start = 0;
  while (start < raw.value.size()) {
    const size_t comma = std::min(raw.value.find(',', start), raw.value.size());
    const std::string item = raw.value.substr(start, comma - start);
    const auto address = NetAddress::Parse(item);
    if (!address || address->port() == kNoPort) {
      AddInvalidValue({raw.place, item}, "use IP:PORT[,IP:PORT...] with ports above 0", findings);
    } else {
      settings->seeds.push_back(*address);
    }
    start = comma + 1;
  }
}

std::optional<int64_t> ParseInteger(const std::string& text) {
  if (text.empty() || text.size() > 15) return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  return std::stoll(text);
}

std::optional<int64_t> ParseIntegerInRange(const RawSetting& raw, int64_t low, int64_t high,
                                           Findings* findings) {
  const auto value = ParseInteger(raw.value);
  if (value && *value >= low && *value <= high) return value;
  AddInvalidValue(raw, "use an integer from " + std::to_string(low) + " to " + std::to_string(high),
                  findings);
  return std::nullopt;
}

void ApplyDrainTimeout(const RawSetting& raw, Settings* settings, Findings* findings) {
  const auto value = ParseIntegerInRange(raw, 0, 3600000, findings);
  if (value) settings->drain_timeout = std::chrono::milliseconds(*value);
}

template <double Settings::*kMember>
void ApplyRate(const RawSetting& raw, Settings* settings, Findings* findings) {
  const auto value = ParseIntegerInRange(raw, 1, 1000, findings);
  if (value) settings->*kMember = static_cast<double>(*value);
}

void ApplyMaxCalls(const RawSetting& raw, Settings* settings, Findings* findings) {
  const auto value = ParseIntegerInRange(raw, 1, 100000, findings);
  if (value) settings->max_calls = static_cast<uint32_t>(*value);
}

void ApplyMaxBufferedBytes(const RawSetting& raw, Settings* settings, Findings* findings) {
  const auto value = ParseIntegerInRange(raw, 1, 4096, findings);
  if (value) settings->max_buffered_bytes = static_cast<uint64_t>(*value) << 20;
}

/// Checks that the value is one of `Allowed::kValues`.
template <std::string Settings::*kMember, typename Allowed>
void ApplyChoice(const RawSetting& raw, Settings* settings, Findings* findings) {
  std::string list;
  for (const char* it : Allowed::kValues) {
    if (raw.value == it) {
      settings->*kMember = raw.value;
      return;
    }
    list += list.empty() ? it : std::string(", ") + it;
  }
  AddInvalidValue(raw, "use one of " + list, findings);
}

struct LogLevels {
  static constexpr const char* kValues[] = {"debug", "info", "warn", "error"};
};
struct Balancers {
  static constexpr const char* kValues[] = {"p2c", "round_robin"};
};
struct AdmissionPolicies {
  static constexpr const char* kValues[] = {"default", "no_limit", "single_queue"};
};
struct WatchModes {
  static constexpr const char* kValues[] = {"elected", "all"};
};
struct ConfigTransferModes {
  static constexpr const char* kValues[] = {"delta", "full"};
};

void ApplyHedging(const RawSetting& raw, Settings* settings, Findings* findings) {
  if (raw.value != "on" && raw.value != "off") {
    return AddInvalidValue(raw, "use on or off", findings);
  }
  settings->hedging = raw.value == "on";
}

constexpr Option kOptions[] = {
    {"mesh", "NAME", "name of the mesh; nodes of another mesh are rejected", true,
     &ApplyName<&Settings::mesh>},
    {"data-centre", "NAME", "data centre of this VM", true, &ApplyName<&Settings::data_centre>},
    {"region", "NAME", "region of the data centre", true, &ApplyName<&Settings::region>},
    {"caller-listen", "IP:PORT", "listen address for callers (HTTP)", true,
     &ApplyAddress<&Settings::caller_listen>},
    {"node-listen", "IP:PORT", "listen address for other nodes (TCP and UDP)", true,
     &ApplyAddress<&Settings::node_listen>},
    {"upstream-listen", "IP:PORT", "listen address for announcements (default 127.0.0.1:0)", false,
     &ApplyAddress<&Settings::upstream_listen>},
    {"operator-listen", "IP:PORT", "listen address for operators (default 127.0.0.1:0)", false,
     &ApplyAddress<&Settings::operator_listen>},
    {"seeds", "IP:PORT[,...]", "node addresses to join through", false, &ApplySeeds},
    {"platform", "IP:PORT", "address of the platform's object API", true, &ApplyPlatform},
    {"log-level", "LEVEL", "debug, info, warn or error (default info)", false,
     &ApplyChoice<&Settings::log_level, LogLevels>},
    {"drain-timeout-ms", "MS", "time limit of a graceful shutdown (default 30000)", false,
     &ApplyDrainTimeout},
    {"platform-reads-per-second", "N", "rate limit of platform reads (default 5)", false,
     &ApplyRate<&Settings::platform_reads_per_second>},
    {"platform-writes-per-second", "N", "rate limit of platform writes (default 5)", false,
     &ApplyRate<&Settings::platform_writes_per_second>},
    {"max-calls", "N", "maximum number of concurrent calls (default 4096)", false, &ApplyMaxCalls},
    {"max-buffered-mb", "MB", "limit of buffered response data (default 64)", false,
     &ApplyMaxBufferedBytes},
    {"balancer", "NAME", "p2c (default), or round_robin as a baseline", false,
     &ApplyChoice<&Settings::balancer, Balancers>},
    {"admission", "NAME", "default, or no_limit or single_queue as baselines", false,
     &ApplyChoice<&Settings::admission, AdmissionPolicies>},
    {"hedging", "on|off", "hedging of idempotent calls (default on)", false, &ApplyHedging},
    {"watch", "NODES", "nodes that watch the platform: elected (default), or all as a baseline",
     false, &ApplyChoice<&Settings::watch, WatchModes>},
    {"config-transfer", "FORM", "transfer between peers: delta (default), or full as a baseline",
     false, &ApplyChoice<&Settings::config_transfer, ConfigTransferModes>},
};

constexpr int kHelpValue = 1;
constexpr int kVersionValue = 2;
constexpr int kCheckValue = 3;
constexpr int kFirstOptionValue = 100;

std::string EnvironmentVariable(const std::string& flag) {
  std::string name = "CAMPHORHOIST_";
  for (char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::string HelpText() {
  std::string text =
      "Usage: camphorhoistd [options]\n\nNode of a camphorhoist mesh. Each option can also be set "
      "by the environment\nvariable CAMPHORHOIST_ and its name, for example "
      "CAMPHORHOIST_DATA_CENTRE.\n\n";
  for (const Option& it : kOptions) {
    std::string line = std::string("  --") + it.flag + "=" + it.argument;
    line.resize(std::max<size_t>(line.size() + 1, 40), ' ');
    text += line + it.help + (it.required ? " (required)" : "") + "\n";
  }
  text +=
      "  --check                               check the settings and exit\n"
      "  --version                             print the version and exit\n"
      "  --help                                print this text and exit\n\n"
      "Exit codes: 0 graceful shutdown, 1 failed to start or calls were aborted, 2 invalid "
      "settings.\n";
  return text;
}

struct PoptDeleter {
  void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

/// Parses the flags into `raw_settings`, keyed by their index in `kOptions`.
SettingsAction ParseFlags(const std::vector<std::string>& args,
                          std::map<size_t, RawSetting>* raw_settings, Findings* findings) {
  std::vector<poptOption> table;
  for (size_t i = 0; i < std::size(kOptions); ++i) {
    table.push_back({kOptions[i].flag, 0, POPT_ARG_STRING, nullptr,
                     kFirstOptionValue + static_cast<int>(i), nullptr, nullptr});
  }
  table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelpValue, nullptr, nullptr});
  table.push_back({"version", 0, POPT_ARG_NONE, nullptr, kVersionValue, nullptr, nullptr});
  table.push_back({"check", 0, POPT_ARG_NONE, nullptr, kCheckValue, nullptr, nullptr});
  table.push_back(POPT_TABLEEND);

  std::vector<const char*> argv;
  argv.reserve(args.size() + 1);
  for (const std::string& it : args) argv.push_back(it.c_str());
  argv.push_back(nullptr);
  const std::unique_ptr<poptContext_s, PoptDeleter> context(
      poptGetContext("camphorhoistd", static_cast<int>(args.size()), argv.data(), table.data(), 0));

  SettingsAction action = SettingsAction::kRun;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) != -1) {
    if (value < 0) {
      findings->Add(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(value));
      if (value == POPT_ERROR_NOARG) break;
    } else if (value >= kFirstOptionValue) {
      const size_t index = static_cast<size_t>(value - kFirstOptionValue);
      char* text = poptGetOptArg(context.get());
      (*raw_settings)[index] = {std::string("--") + kOptions[index].flag, text};
      std::free(text);
    } else {
      action = value == kHelpValue      ? SettingsAction::kHelp
               : value == kVersionValue ? SettingsAction::kVersion
                                        : SettingsAction::kCheck;
    }
  }
  while (const char* extra = poptGetArg(context.get())) {
    findings->Add(extra, "unexpected argument; only options are allowed");
  }
  return action;
}

}  // namespace

ParsedSettings ParseSettings(const std::vector<std::string>& args, const Environment& environment,
                             Findings* findings) {
  ParsedSettings parsed;
  std::map<size_t, RawSetting> raw_settings;
  parsed.action = ParseFlags(args, &raw_settings, findings);
  if (parsed.action == SettingsAction::kHelp) parsed.help = HelpText();
  if (parsed.action == SettingsAction::kHelp || parsed.action == SettingsAction::kVersion) {
    return parsed;
  }
  for (size_t i = 0; i < std::size(kOptions); ++i) {
    const Option& option = kOptions[i];
    const std::string variable = EnvironmentVariable(option.flag);
    if (raw_settings.count(i) == 0) {
      if (const auto value = environment(variable)) raw_settings[i] = {variable, *value};
    }
    const auto it = raw_settings.find(i);
    if (it != raw_settings.end()) {
      option.apply(it->second, &parsed.settings, findings);
    } else if (option.required) {
      findings->Add(std::string("--") + option.flag,
                    "is required; set the flag or the variable " + variable);
    }
  }
  return parsed;
}

}  // namespace camphorhoist
