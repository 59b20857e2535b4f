#include "camphorhoist/config_check.h"

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "libproxy/config/config_text.h"

namespace camphorhoist {

namespace {

std::string Quote(const std::string& name) { return "\"" + name + "\""; }

/// State of one check.
class Checker {
 public:
  explicit Checker(const MeshConfig& config) : config_(config) {
    for (const MeshService& it : config.services()) services_.insert(it.name);
    for (const MeshRoute& route : config.routes()) {
      for (const WeightedService& it : route.destinations) destinations_.insert(it.service);
    }
  }

  std::vector<ConfigFinding> Run() {
    CheckRows(ConfigTable::kRoutes, config_.routes(),
              {&Checker::CheckMatch, &Checker::CheckObjective, &Checker::CheckDestinations});
    CheckRows(ConfigTable::kServices, config_.services(), {&Checker::CheckHasRoute});
    CheckRows(ConfigTable::kOrganisations, config_.organisations(),
              {&Checker::CheckBurstHasRate, &Checker::CheckBurstAllowsRequest});
    return std::move(findings_);
  }

 private:
  template <typename Row>
  using Rule = void (Checker::*)(const Row&);

  template <typename Row>
  void CheckRows(ConfigTable table, const std::vector<Row>& rows,
                 std::initializer_list<Rule<Row>> rules) {
    location_.table = table;
    for (location_.row = 0; location_.row < rows.size(); ++location_.row) {
      for (const Rule<Row> rule : rules) (this->*rule)(rows[location_.row]);
    }
  }

  void Add(ConfigSeverity severity, ConfigField field, std::string message,
           std::optional<size_t> destination = {}) {
    ConfigLocation location = location_;
    location.field = field;
    location.destination = destination;
    findings_.push_back({severity, location, std::move(message)});
  }

  void Warn(ConfigField field, std::string message, std::optional<size_t> destination = {}) {
    Add(ConfigSeverity::kWarning, field, std::move(message), destination);
  }

  // The prefix itself is the path that longer prefixes cannot take over, so a route without this
  // request has none at all.
  void CheckMatch(const MeshRoute& route) {
    const MeshRoute* match = config_.Match(route.host, route.path_prefix);
    if (match == &route) return;
    const std::string text = "route " + Quote(route.name) + " never matches a request";
    if (match == nullptr) return Warn(ConfigField::kPathPrefix, text);
    Warn(ConfigField::kPathPrefix, text + ": route " + Quote(match->name) + " matches all of them");
  }

  void CheckObjective(const MeshRoute& route) {
    if (route.timeout >= route.objective) return;
    Warn(ConfigField::kTimeout,
         "route " + Quote(route.name) + " has a timeout of " + FormatSeconds(route.timeout) +
             ", below its latency objective of " + FormatSeconds(route.objective));
  }

  void CheckDestinations(const MeshRoute& route) {
    for (size_t i = 0; i < route.destinations.size(); ++i) {
      const WeightedService& it = route.destinations[i];
      const std::string text =
          "route " + Quote(route.name) + " has the destination " + Quote(it.service);
      if (services_.count(it.service) == 0) {
        Add(ConfigSeverity::kError, ConfigField::kDestinations,
            text + ", which this configuration does not contain", i);
      }
      if (it.weight <= 0 && route.destinations.size() > 1) {
        Warn(ConfigField::kWeight, text + " with weight 0, which gets no requests", i);
      }
    }
  }

  // Nested calls are routed like all others, so a service without a route gets none of them either.
  void CheckHasRoute(const MeshService& service) {
    if (destinations_.count(service.name) != 0) return;
    Warn(ConfigField::kName, "service " + Quote(service.name) + " is the destination of no route");
  }

  void CheckBurstHasRate(const MeshOrganisation& organisation) {
    if (organisation.burst <= 0 || organisation.requests_per_second > 0) return;
    Warn(ConfigField::kBurst, "organisation " + Quote(organisation.name) + " has a burst of " +
                                  FormatNumber(organisation.burst) +
                                  ", but no rate, so that it has no limit");
  }

  void CheckBurstAllowsRequest(const MeshOrganisation& organisation) {
    if (organisation.burst <= 0 || organisation.burst >= 1) return;
    Warn(ConfigField::kBurst, "organisation " + Quote(organisation.name) + " has a burst of " +
                                  FormatNumber(organisation.burst) +
                                  ", less than one request; a burst of 1 applies");
  }

  const MeshConfig& config_;
  std::unordered_set<std::string_view> services_;
  /// Services that are a destination of any route.
  std::unordered_set<std::string_view> destinations_;
  ConfigLocation location_;
  std::vector<ConfigFinding> findings_;
};

}  // namespace

std::vector<ConfigFinding> ConfigCheck::Run(const MeshConfig& config) {
  return Checker(config).Run();
}

}  // namespace camphorhoist
