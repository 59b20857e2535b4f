#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "camphorhoist/cli_session.h"
#include "camphorhoist/config_check.h"
#include "camphorhoist/config_diff.h"
#include "platform/config_codec.h"
#include "platform/object_client.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;
using ConfigPtr = std::shared_ptr<const MeshConfig>;

struct StoreObjects {
  std::error_code ec;
  platform::ObjectList list;
};

/// What the command prints about a configuration.
struct Report {
  /// Empty if the configuration has errors.
  std::string version;
  struct Item {
    ConfigSeverity severity;
    std::string place;
    std::string message;
  };
  std::vector<Item> findings;
  /// Version that the configuration was compared with; empty if it was not compared.
  std::string against;
  std::vector<ConfigDifference> differences;
};

const char* Name(ConfigSeverity severity) {
  return severity == ConfigSeverity::kError ? "error" : "warning";
}

const char* Name(ConfigChange change) {
  switch (change) {
    case ConfigChange::kAdded:
      return "added";
    case ConfigChange::kRemoved:
      return "removed";
    case ConfigChange::kChanged:
      return "changed";
  }
  return "";
}

std::string PlaceOf(const ConfigDifference& difference) {
  const std::string table = platform::ConfigTablePlace(difference.table);
  return difference.name.empty() ? table : table + "." + difference.name;
}

// Names in the document may contain any character; control characters would change the terminal.
std::string Printable(const std::string& text) {
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    result += byte < 0x20 || byte == 0x7f ? '?' : c;
  }
  return result;
}

std::string PrintableValue(const std::string& value) {
  return value.empty() ? "(empty)" : Printable(value);
}

void PrintDifference(const ConfigDifference& difference, std::ostream& out) {
  out << Name(difference.change) << " " << Printable(PlaceOf(difference)) << "\n";
  for (const ConfigFieldDifference& it : difference.fields) {
    out << "    " << platform::ConfigFieldName(it.field) << ": ";
    if (it.before) out << PrintableValue(*it.before);
    if (it.before && it.after) out << " -> ";
    if (it.after) out << PrintableValue(*it.after);
    out << "\n";
  }
}

void PrintText(const Report& report, std::ostream& out) {
  if (!report.version.empty()) out << "version " << report.version << "\n";
  for (const Report::Item& it : report.findings) {
    out << Name(it.severity) << " " << Printable(it.place) << ": " << Printable(it.message) << "\n";
  }
  if (report.findings.empty()) out << "no findings\n";
  if (report.against.empty()) return;
  out << (report.differences.empty() ? "no differences from " : "differences from ")
      << report.against << "\n";
  for (const ConfigDifference& it : report.differences) PrintDifference(it, out);
}

Json ValueToJson(const std::optional<std::string>& value) {
  return value ? Json(*value) : Json(nullptr);
}

Json DifferenceToJson(const ConfigDifference& difference) {
  Json fields = Json::array();
  for (const ConfigFieldDifference& it : difference.fields) {
    fields.push_back({{"field", platform::ConfigFieldName(it.field)},
                      {"before", ValueToJson(it.before)},
                      {"after", ValueToJson(it.after)}});
  }
  return {{"place", PlaceOf(difference)},
          {"change", Name(difference.change)},
          {"fields", std::move(fields)}};
}

void PrintJson(const Report& report, std::ostream& out) {
  Json json = {{"version", nullptr}, {"findings", Json::array()}, {"differences", nullptr}};
  if (!report.version.empty()) json["version"] = report.version;
  for (const Report::Item& it : report.findings) {
    json["findings"].push_back(
        {{"severity", Name(it.severity)}, {"place", it.place}, {"message", it.message}});
  }
  if (!report.against.empty()) {
    json["differences"] = Json::array();
    for (const ConfigDifference& it : report.differences) {
      json["differences"].push_back(DifferenceToJson(it));
    }
  }
  // A path, which is the place of a finding, need not be UTF-8.
  out << json.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
}

// Adds the errors of a version to compare with, which prevent the comparison.
ConfigPtr Require(const ConfigPtr& config, const std::string& name, const Findings& errors,
                  Findings* findings) {
  for (const Finding& it : errors.items()) findings->Add(name, it.ToString());
  return config;
}

ConfigPtr ReadFromStore(const CliContext& context, const CliArguments& arguments, uint64_t version,
                        Findings* findings) {
  const std::string place = arguments.store->ToString();
  platform::ObjectClient client(context.base, *arguments.store);
  const auto objects = AwaitResult<StoreObjects>(
      context.base, [&client](const std::function<void(StoreObjects)>& done) {
        client.List(platform::kConfigKind, platform::ObjectClient::Freshness::kLatest,
                    [done](std::error_code ec, const platform::ObjectList& list) {
                      done({ec, list});
                    });
      });
  if (objects.ec) {
    findings->Add(place, objects.ec.message());
    return nullptr;
  }
  const auto& list = objects.list.objects;
  const auto object = std::find_if(list.begin(), list.end(),
                                   [](const auto& it) { return it.name == platform::kConfigName; });
  if (object == list.end()) {
    findings->Add(place, "the store has no configuration");
    return nullptr;
  }
  Findings errors;
  ConfigPtr config =
      Require(platform::DecodeConfig(object->spec, &errors), place, errors, findings);
  if (config == nullptr || config->version() == version) return config;
  findings->Add(place, "the store has version " + platform::ConfigVersionName(config->version()) +
                           ", not " + arguments.against);
  return nullptr;
}

// Returns null and adds findings if the version to compare with cannot be read.
ConfigPtr ReadAgainst(const CliContext& context, const CliArguments& arguments,
                      Findings* findings) {
  const std::optional<uint64_t> version = platform::ParseConfigVersion(arguments.against);
  if (version) return ReadFromStore(context, arguments, *version, findings);
  const std::string text = ReadInputFile(arguments.against, context.in, findings);
  if (!findings->empty()) return nullptr;
  Findings errors;
  const ConfigPtr config = platform::DecodeConfigDocument("document", text, &errors);
  return Require(config, arguments.against, errors, findings);
}

}  // namespace

CliExit RunCheck(const CliContext& context, const CliArguments& arguments,
                 const std::string& text) {
  Report report;
  Findings errors;
  const ConfigPtr config = platform::DecodeConfigDocument(arguments.file, text, &errors);
  for (const Finding& it : errors.items()) {
    report.findings.push_back({ConfigSeverity::kError, it.place(), it.message()});
  }
  if (config != nullptr) {
    report.version = platform::ConfigVersionName(config->version());
    for (const ConfigFinding& it : ConfigCheck::Run(*config)) {
      report.findings.push_back({it.severity, platform::ConfigPlace(it.location), it.message});
    }
  }
  if (config != nullptr && !arguments.against.empty()) {
    Findings unreadable;
    const ConfigPtr before = ReadAgainst(context, arguments, &unreadable);
    if (before == nullptr) {
      for (const Finding& it : unreadable.items()) {
        context.err << Printable(it.ToString()) << "\n";
      }
      return CliExit::kUsage;
    }
    report.against = platform::ConfigVersionName(before->version());
    report.differences = ConfigDiff::Compare(*before, *config);
  }
  arguments.json ? PrintJson(report, context.out) : PrintText(report, context.out);
  return report.findings.empty() ? CliExit::kOk : CliExit::kFindings;
}

}  // namespace camphorhoist
