#include "camphorhoist/cli_args.h"

#include <popt.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <sstream>

#include "camphorhoist/operator_api.h"
#include "libplatform/object_key.h"
#include "platform/config_codec.h"

namespace camphorhoist {

namespace {

constexpr uint64_t kMaxTimeoutMs = 600000;
constexpr uint64_t kMaxWaitSeconds = 3600;
constexpr size_t kMaxNameBytes = 128;

enum Option {
  kFile = 1,
  kRemove,
  kId,
  kWaitSeconds,
  kAllowNewerSchema,
  kNode,
  kOutput,
  kTimeoutMs,
  kAgainst,
  kStore,
  kJson,
  kHelp
};

const poptOption kOptions[] = {
    {"file", 'f', POPT_ARG_STRING, nullptr, kFile, "records file, - for standard input", "FILE"},
    {"remove", 0, POPT_ARG_STRING, nullptr, kRemove, "record to remove; repeatable", "KIND/NAME"},
    {"id", 0, POPT_ARG_STRING, nullptr, kId, "change set id; random by default", "ID"},
    {"wait-seconds", 0, POPT_ARG_STRING, nullptr, kWaitSeconds,
     "wait until the change is in force on every node", "N"},
    {"allow-newer-schema", 0, POPT_ARG_NONE, nullptr, kAllowNewerSchema,
     "accept records whose schema some nodes do not support yet", nullptr},
    {"node", 0, POPT_ARG_STRING, nullptr, kNode,
     "operator addresses of nodes, separated by commas; default: CAMPHORHOIST_NODE",
     "IP:PORT[,...]"},
    {"output", 0, POPT_ARG_STRING, nullptr, kOutput, "human (default) or json", "FORMAT"},
    {"timeout-ms", 0, POPT_ARG_STRING, nullptr, kTimeoutMs, "time limit, default 10000", "MS"},
    {"against", 0, POPT_ARG_STRING, nullptr, kAgainst,
     "configuration to compare with: a file, or a version of the store such as r12", "VERSION"},
    {"store", 0, POPT_ARG_STRING, nullptr, kStore, "store that has the version of --against",
     "IP:PORT"},
    {"json", 0, POPT_ARG_NONE, nullptr, kJson, "the same as --output json, for check", nullptr},
    {"help", 'h', POPT_ARG_NONE, nullptr, kHelp, "print this text", nullptr},
    POPT_TABLEEND};

const char kCommandHelp[] = R"(
Commands:
  apply -f FILE [--remove KIND/NAME] [--id ID] [--wait-seconds N] [--allow-newer-schema]
                      write records as one change set
  get [KIND[/NAME]]   print the records in force
  diff -f FILE        compare a file with the records in force
  status              print the versions in force by data centre and node
  dump                print the state of the node
  outcome ID          print the outcome of an earlier change set
  drain               start a graceful shutdown of the node
  check FILE [--against VERSION] [--store IP:PORT] [--json]
                      check a configuration of the mesh before it is sent; needs no node

Exit codes:
  0  success
  1  the input has findings, the change was rejected, nothing was found, or the file differs
  2  the command line is invalid, a file cannot be read, or `check` has nothing to compare with
  3  conflict: a record has changed since it was read; nothing was applied
  4  the outcome is unknown; run the same command with the same --id, or `outcome ID`
  5  no node was available; nothing was applied
  6  the change was accepted but is not in force everywhere after --wait-seconds
)";

/// Name of a command and the arguments and options that it accepts.
struct CommandSpec {
  const char* name;
  CliCommand command;
  size_t min_operands;
  size_t max_operands;
  bool accepts_file;
  bool accepts_change_options;
  /// Reads a configuration of the mesh instead of calling a node.
  bool checks_config;
};

constexpr CommandSpec kCommands[] = {
    {"apply", CliCommand::kApply, 0, 0, true, true, false},
    {"get", CliCommand::kGet, 0, 1, false, false, false},
    {"diff", CliCommand::kDiff, 0, 0, true, false, false},
    {"status", CliCommand::kStatus, 0, 0, false, false, false},
    {"dump", CliCommand::kDump, 0, 0, false, false, false},
    {"outcome", CliCommand::kOutcome, 1, 1, false, false, false},
    {"drain", CliCommand::kDrain, 0, 0, false, false, false},
    {"check", CliCommand::kCheck, 1, 1, false, false, true},
};

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptPtr = std::unique_ptr<poptContext_s, PoptDeleter>;

bool IsNamePart(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  });
}

std::optional<RecordName> ParseRecordName(const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos) return std::nullopt;
  RecordName parsed{text.substr(0, slash), text.substr(slash + 1)};
  if (!IsNamePart(parsed.kind) || !IsNamePart(parsed.name)) return std::nullopt;
  return parsed;
}

/// Parses the command line into `CliArguments` and collects all errors as findings.
class Parser {
 public:
  Parser(const std::string& node_setting, Findings* findings)
      : node_setting_(node_setting), findings_(findings) {}

  CliArguments Parse(const std::vector<std::string>& args) {
    std::vector<const char*> argv = {"camphorhoist"};
    for (const std::string& it : args) argv.push_back(it.c_str());
    const auto argc = static_cast<int>(argv.size());
    argv.push_back(nullptr);
    const PoptPtr context(poptGetContext("camphorhoist", argc, argv.data(), kOptions, 0));
    ReadOptions(context.get(), argc);
    std::vector<std::string> operands;
    const char** rest = poptGetArgs(context.get());
    for (; rest != nullptr && *rest != nullptr; ++rest) operands.emplace_back(*rest);
    if (result_.help) return result_;
    ReadCommand(operands);
    if (result_.command != CliCommand::kCheck) ReadNodes();
    return result_;
  }

 private:
  void ReadOptions(poptContext context, int argc) {
    // Each iteration consumes an argument, including an invalid one. The bound prevents an endless
    // loop if popt reports an error without advancing.
    for (int i = 0; i <= 2 * argc; ++i) {
      const int option = poptGetNextOpt(context);
      if (option == -1) return;
      if (option < -1) {
        findings_->Add(poptBadOption(context, 0), poptStrerror(option));
        continue;
      }
      char* raw = poptGetOptArg(context);
      const std::string value = raw == nullptr ? "" : raw;
      std::free(raw);  // NOLINT(cppcoreguidelines-no-malloc): allocated by popt
      HandleOption(option, value);
    }
  }

  void HandleOption(int option, const std::string& value) {
    switch (option) {
      case kFile:
        return SetFile(value);
      case kRemove:
        return AddRemoval(value);
      case kId:
        return SetId(value, "--id");
      case kWaitSeconds:
        result_.wait = std::chrono::seconds(ReadNumber("--wait-seconds", value, kMaxWaitSeconds));
        return AddChangeOption("--wait-seconds");
      case kAllowNewerSchema:
        result_.allow_newer_schema = true;
        return AddChangeOption("--allow-newer-schema");
      case kNode:
        node_option_ = value;
        node_options_.emplace_back("--node");
        return;
      case kOutput:
        return SetOutput(value);
      case kTimeoutMs:
        result_.timeout =
            std::chrono::milliseconds(ReadNumber("--timeout-ms", value, kMaxTimeoutMs));
        node_options_.emplace_back("--timeout-ms");
        return;
      case kAgainst:
        return SetAgainst(value);
      case kStore:
        return SetStore(value);
      case kJson:
        json_option_ = true;
        check_options_.emplace_back("--json");
        return;
      default:
        result_.help = true;
    }
  }

  void AddChangeOption(const char* name) { change_options_.emplace_back(name); }

  void SetFile(const std::string& value) {
    if (value.empty()) findings_->Add("--file", "must not be empty");
    if (!result_.file.empty()) findings_->Add("--file", "is given twice");
    result_.file = value;
  }

  void AddRemoval(const std::string& value) {
    AddChangeOption("--remove");
    const auto name = ParseRecordName(value);
    if (!name) return findings_->Add("--remove", "must be KIND/NAME, is \"" + value + "\"");
    result_.remove.push_back(*name);
  }

  void SetId(const std::string& value, const char* place) {
    if (std::string(place) == "--id") AddChangeOption(place);
    result_.id = value;
    if (IsValidOperatorChangeId(value)) return;
    findings_->Add(place, "must be 1-128 characters of [A-Za-z0-9._:-]");
  }

  void SetAgainst(const std::string& value) {
    check_options_.emplace_back("--against");
    if (value.empty()) findings_->Add("--against", "must not be empty");
    if (!result_.against.empty()) findings_->Add("--against", "is given twice");
    result_.against = value;
  }

  void SetStore(const std::string& value) {
    check_options_.emplace_back("--store");
    if (result_.store) findings_->Add("--store", "is given twice");
    result_.store = NetAddress::Parse(value);
    if (result_.store && result_.store->port() > 0) return;
    findings_->Add("--store", "must be IP:PORT, is \"" + value + "\"");
  }

  uint64_t ReadNumber(const char* place, const std::string& value, uint64_t max) {
    const auto number = ParseUnsigned(value);
    if (number && *number > 0 && *number <= max) return *number;
    findings_->Add(place, "must be a whole number from 1 to " + std::to_string(max) + ", is \"" +
                              value + "\"");
    return 1;
  }

  void SetOutput(const std::string& value) {
    result_.json = value == "json";
    if (value == "json" || value == "human") return;
    findings_->Add("--output", "must be human or json, is \"" + value + "\"");
  }

  void ReadCommand(const std::vector<std::string>& operands) {
    if (operands.empty()) return findings_->Add("command", "is missing, see --help");
    const CommandSpec* spec = nullptr;
    for (const CommandSpec& it : kCommands) {
      if (operands[0] == it.name) spec = &it;
    }
    if (spec == nullptr) {
      return findings_->Add("command", "\"" + operands[0] + "\" is not a command, see --help");
    }
    result_.command = spec->command;
    CheckOptions(*spec);
    CheckOperands(*spec, operands);
  }

  void CheckOptions(const CommandSpec& spec) {
    const std::string not_accepted = std::string("is not accepted by ") + spec.name;
    if (!spec.accepts_file && !result_.file.empty()) findings_->Add("--file", not_accepted);
    if (!spec.accepts_change_options) {
      for (const std::string& it : change_options_) findings_->Add(it, not_accepted);
    }
    // The commands that call nodes do not check configurations, and the other way round.
    for (const std::string& it : spec.checks_config ? node_options_ : check_options_) {
      findings_->Add(it, not_accepted);
    }
    if (!spec.accepts_file || !result_.file.empty()) return;
    // A change set may consist of removals only.
    const bool has_removal = std::find(change_options_.begin(), change_options_.end(),
                                       "--remove") != change_options_.end();
    const bool optional = spec.accepts_change_options && has_removal;
    if (!optional) findings_->Add("--file", std::string("is required by ") + spec.name);
  }

  void CheckOperands(const CommandSpec& spec, const std::vector<std::string>& operands) {
    const size_t n = operands.size() - 1;
    if (n < spec.min_operands) {
      return findings_->Add(spec.name, spec.checks_config ? "needs a FILE" : "needs an ID");
    }
    for (size_t i = spec.max_operands + 1; i < operands.size(); ++i) {
      findings_->Add(operands[i], "is an unexpected argument");
    }
    if (n == 0 || spec.max_operands == 0) return;
    if (spec.command == CliCommand::kOutcome) return SetId(operands[1], "ID");
    if (spec.checks_config) return SetConfigFile(operands[1]);
    SetSelection(operands[1]);
  }

  void SetSelection(const std::string& text) {
    const auto name = ParseRecordName(text);
    if (name) {
      result_.selection = *name;
    } else if (IsNamePart(text)) {
      result_.selection.kind = text;
    } else {
      findings_->Add("get", "must be followed by KIND or KIND/NAME, is \"" + text + "\"");
    }
  }

  void SetConfigFile(const std::string& path) {
    if (path.empty()) findings_->Add("check", "needs a FILE");
    result_.file = path;
    result_.json = result_.json || json_option_;
    if (path == "-" && result_.against == "-") {
      findings_->Add("--against", "must not be standard input if the file is");
    }
    const bool from_store = platform::ParseConfigVersion(result_.against).has_value();
    const bool has_store =
        std::find(check_options_.begin(), check_options_.end(), "--store") != check_options_.end();
    if (from_store && !has_store) {
      findings_->Add("--store", "is required by --against " + result_.against);
    }
    if (!from_store && has_store) {
      findings_->Add("--store", "is only accepted if --against is the name of a version");
    }
  }

  void ReadNodes() {
    const bool from_option = node_option_.has_value();
    const char* place = from_option ? "--node" : "CAMPHORHOIST_NODE";
    const std::string text = from_option ? *node_option_ : node_setting_;
    if (text.empty()) {
      return findings_->Add("--node", "is required unless CAMPHORHOIST_NODE is set");
    }
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ',')) {
      const auto address = NetAddress::Parse(item);
      if (address && address->port() > 0) {
        result_.nodes.push_back(*address);
      } else {
        findings_->Add(place, "must be a list of IP:PORT, contains \"" + item + "\"");
      }
    }
  }

  const std::string& node_setting_;
  Findings* findings_;
  CliArguments result_;
  std::optional<std::string> node_option_;
  std::vector<std::string> change_options_;
  /// Given options about nodes, which `check` does not accept.
  std::vector<std::string> node_options_;
  /// Given options that only `check` accepts.
  std::vector<std::string> check_options_;
  bool json_option_ = false;
};

}  // namespace

CliArguments ParseCliArguments(const std::vector<std::string>& args,
                               const std::string& node_setting, Findings* findings) {
  return Parser(node_setting, findings).Parse(args);
}

std::string CliHelp() {
  const char* argv[] = {"camphorhoist", nullptr};
  const PoptPtr context(poptGetContext("camphorhoist", 1, argv, kOptions, 0));
  poptSetOtherOptionHelp(context.get(), "COMMAND [OPTION...]");
  char* text = nullptr;
  size_t size = 0;
  FILE* out = open_memstream(&text, &size);
  if (out == nullptr) return kCommandHelp;
  poptPrintHelp(context.get(), out, 0);
  std::fclose(out);
  std::string help = std::string(text, size) + kCommandHelp;
  std::free(text);  // NOLINT(cppcoreguidelines-no-malloc): allocated by open_memstream
  return help;
}

}  // namespace camphorhoist
