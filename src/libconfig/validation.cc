#include "libconfig/validation.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorhoist {

namespace {

std::string PlaceOf(const Record& record, const std::string& field) {
  return record.key().ToString() + "." + field;
}

/// True if a request can match the methods of both routes and neither takes precedence by them.
bool MethodsOverlap(const RouteSettings& a, const RouteSettings& b) {
  // A route that names methods takes precedence over one that does not, so that the two are not
  // ambiguous.
  if (a.methods.empty() || b.methods.empty()) return a.methods.empty() && b.methods.empty();
  return std::any_of(a.methods.begin(), a.methods.end(), [&b](const std::string& it) {
    return std::binary_search(b.methods.begin(), b.methods.end(), it);
  });
}

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

/// Path prefix, host and priority of a route.
using Match = std::tuple<std::string_view, std::string_view, int64_t>;
/// Service, IP address and port of an endpoint.
using Address = std::tuple<std::string_view, std::string_view, uint16_t>;

struct MatchHash {
  size_t operator()(const Match& it) const {
    return Hash(std::get<0>(it), Hash(std::get<1>(it), static_cast<uint64_t>(std::get<2>(it))));
  }
};

struct AddressHash {
  size_t operator()(const Address& it) const {
    return Hash(std::get<0>(it), Hash(std::get<1>(it), std::get<2>(it)));
  }
};

/// Checks one record set in the given order. The order determines the order of the findings and
/// which of several conflicting records are reported, but not whether there are findings.
/// Precondition: the records outlive the validator.
class Validator {
 public:
  Validator(const std::vector<const Record*>& records, Findings* findings)
      : findings_(findings), records_(records) {}

  void Run() {
    CheckUniqueKeys();
    for (const Record* it : records_) {
      if (it->kind() == RecordKind::kEndpoint) CheckEndpoint(*it);
    }
    for (const Record* it : records_) {
      if (it->kind() == RecordKind::kRoute) CheckRoute(*it);
    }
  }

 private:
  void CheckUniqueKeys() {
    for (const Record* it : records_) {
      const std::string_view name = it->name();
      bool inserted = true;
      if (it->kind() == RecordKind::kService) inserted = service_names_.insert(name).second;
      if (it->kind() == RecordKind::kEndpoint) inserted = endpoints_.emplace(name, it).second;
      if (it->kind() == RecordKind::kRoute) inserted = route_names_.insert(name).second;
      if (!inserted) findings_->Add(it->key().ToString(), "occurs more than once");
    }
  }

  void CheckServiceExists(const Record& record, const std::string& field,
                          const std::string& service) {
    if (service_names_.count(service) > 0) return;
    findings_->Add(PlaceOf(record, field), "service \"" + service + "\" does not exist");
  }

  void CheckEndpoint(const Record& record) {
    const EndpointSettings& endpoint = record.endpoint();
    CheckServiceExists(record, "service", endpoint.service);
    const Address address(endpoint.service, endpoint.address.ip(), endpoint.address.port());
    const auto [it, inserted] = endpoints_by_address_.emplace(address, &record);
    if (inserted) return;
    findings_->Add(PlaceOf(record, "address"),
                   "is the address of " + it->second->key().ToString() + " of the same service");
  }

  void CheckRoute(const Record& record) {
    const std::vector<Destination>& destinations = record.route().destinations;
    for (size_t n = 0; n < destinations.size(); ++n) {
      const std::string field =
          record.schema() == 1 ? std::string() : "destinations[" + std::to_string(n) + "].";
      CheckServiceExists(record, field + "service", destinations[n].service);
      if (!destinations[n].endpoint.empty()) {
        CheckPinnedEndpoint(record, field + "endpoint", destinations[n]);
      }
      CheckDuplicateDestination(record, field, n);
    }
    CheckAmbiguousMatch(record);
  }

  void CheckPinnedEndpoint(const Record& record, const std::string& field,
                           const Destination& destination) {
    const std::string name = "endpoint \"" + destination.endpoint + "\"";
    const auto it = endpoints_.find(destination.endpoint);
    if (it == endpoints_.end()) {
      findings_->Add(PlaceOf(record, field), name + " does not exist");
    } else if (it->second->endpoint().service != destination.service) {
      findings_->Add(PlaceOf(record, field), name + " belongs to service \"" +
                                                 it->second->endpoint().service + "\", not \"" +
                                                 destination.service + "\"");
    }
  }

  void CheckDuplicateDestination(const Record& record, const std::string& field, size_t n) {
    const std::vector<Destination>& destinations = record.route().destinations;
    for (size_t i = 0; i < n; ++i) {
      if (destinations[i].service != destinations[n].service) continue;
      if (destinations[i].endpoint != destinations[n].endpoint) continue;
      findings_->Add(PlaceOf(record, field + "service"),
                     "repeats destinations[" + std::to_string(i) + "]");
      return;
    }
  }

  // Reports each route once, against the first route that it is ambiguous with, so that a large set
  // of equal routes does not produce a finding per pair.
  void CheckAmbiguousMatch(const Record& record) {
    const RouteSettings& route = record.route();
    std::vector<const Record*>& same_match =
        routes_by_match_[Match(route.path_prefix, route.host, route.priority)];
    for (const Record* it : same_match) {
      if (!MethodsOverlap(it->route(), route)) continue;
      findings_->Add(PlaceOf(record, "match"),
                     "has the same match and priority as " + it->key().ToString());
      break;
    }
    same_match.push_back(&record);
  }

  Findings* findings_;
  const std::vector<const Record*>& records_;
  std::unordered_set<std::string_view> service_names_;
  std::unordered_set<std::string_view> route_names_;
  std::unordered_map<std::string_view, const Record*> endpoints_;
  std::unordered_map<Address, const Record*, AddressHash> endpoints_by_address_;
  std::unordered_map<Match, std::vector<const Record*>, MatchHash> routes_by_match_;
};

}  // namespace

void ValidateRecords(std::vector<const Record*> records, Findings* findings) {
  Findings unordered_findings;
  Validator(records, &unordered_findings).Run();
  if (unordered_findings.empty()) return;
  // Sorts only an invalid set, to report its findings in a stable order. Sorting takes most of the
  // time of a check.
  std::stable_sort(records.begin(), records.end(),
                   [](const Record* a, const Record* b) { return a->key() < b->key(); });
  Validator(records, findings).Run();
}

void Validate(const std::vector<Record>& records, Findings* findings) {
  std::vector<const Record*> pointers;
  pointers.reserve(records.size());
  for (const Record& it : records) pointers.push_back(&it);
  ValidateRecords(std::move(pointers), findings);
}

}  // namespace camphorhoist
