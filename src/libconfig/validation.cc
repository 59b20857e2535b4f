#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <vector>

#include "camphorhoist/record.h"

namespace camphorhoist {

namespace {

std::string PlaceOf(const Record& record, const std::string& field) {
  return record.key().ToString() + "." + field;
}

bool SharesMethod(const RouteSettings& a, const RouteSettings& b) {
  // A route that names methods is preferred over one that does not, so these two do not collide.
  if (a.methods.empty() || b.methods.empty()) return a.methods.empty() && b.methods.empty();
  return std::any_of(a.methods.begin(), a.methods.end(), [&b](const std::string& it) {
    return std::binary_search(b.methods.begin(), b.methods.end(), it);
  });
}

/// Checks one record set; records are visited in key order so that findings have a stable order.
class Validator {
 public:
  Validator(const std::vector<Record>& records, Findings* findings) : findings_(findings) {
    for (const Record& it : records) ordered_.push_back(&it);
    std::stable_sort(ordered_.begin(), ordered_.end(),
                     [](const Record* a, const Record* b) { return a->key() < b->key(); });
  }

  void Run() {
    CheckKeys();
    for (const Record* it : ordered_) {
      if (it->kind() == RecordKind::kEndpoint) CheckEndpoint(*it);
    }
    for (const Record* it : ordered_) {
      if (it->kind() == RecordKind::kRoute) CheckRoute(*it);
    }
  }

 private:
  using Match = std::tuple<std::string, std::string, int64_t>;

  void CheckKeys() {
    for (size_t n = 0; n < ordered_.size(); ++n) {
      const Record& record = *ordered_[n];
      if (n > 0 && ordered_[n - 1]->key() == record.key()) {
        findings_->Add(record.key().ToString(), "stands more than once");
      }
      if (record.kind() == RecordKind::kService) services_.insert(record.name());
      if (record.kind() == RecordKind::kEndpoint) endpoints_.emplace(record.name(), &record);
    }
  }

  void CheckService(const Record& record, const std::string& field, const std::string& service) {
    if (services_.count(service) > 0) return;
    findings_->Add(PlaceOf(record, field), "service \"" + service + "\" does not exist");
  }

  void CheckEndpoint(const Record& record) {
    const EndpointSettings& endpoint = record.endpoint();
    CheckService(record, "service", endpoint.service);
    const auto [it, inserted] =
        addresses_.emplace(endpoint.service + " " + endpoint.address.ToString(), &record);
    if (inserted) return;
    findings_->Add(PlaceOf(record, "address"),
                   "is the address of " + it->second->key().ToString() + " of the same service");
  }

  void CheckRoute(const Record& record) {
    const std::vector<Destination>& destinations = record.route().destinations;
    for (size_t n = 0; n < destinations.size(); ++n) {
      const std::string field =
          record.schema() == 1 ? std::string() : "destinations[" + std::to_string(n) + "].";
      CheckService(record, field + "service", destinations[n].service);
      if (!destinations[n].endpoint.empty()) {
        CheckPinnedEndpoint(record, field + "endpoint", destinations[n]);
      }
      CheckRepeatedDestination(record, field, n);
    }
    CheckMatch(record);
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

  void CheckRepeatedDestination(const Record& record, const std::string& field, size_t n) {
    const std::vector<Destination>& destinations = record.route().destinations;
    for (size_t i = 0; i < n; ++i) {
      if (destinations[i].service != destinations[n].service) continue;
      if (destinations[i].endpoint != destinations[n].endpoint) continue;
      findings_->Add(PlaceOf(record, field + "service"),
                     "repeats destinations[" + std::to_string(i) + "]");
      return;
    }
  }

  // Each route is reported once, against the first route it collides with, so that a large set of
  // equal routes does not produce a finding per pair.
  void CheckMatch(const Record& record) {
    const RouteSettings& route = record.route();
    std::vector<const Record*>& others =
        matches_[Match(route.path_prefix, route.host, route.priority)];
    for (const Record* it : others) {
      if (!SharesMethod(it->route(), route)) continue;
      findings_->Add(PlaceOf(record, "match"),
                     "has the same match and priority as " + it->key().ToString());
      break;
    }
    others.push_back(&record);
  }

  Findings* findings_;
  std::vector<const Record*> ordered_;
  std::unordered_set<std::string> services_;
  std::map<std::string, const Record*> endpoints_;
  std::map<std::string, const Record*> addresses_;
  std::map<Match, std::vector<const Record*>> matches_;
};

}  // namespace

void Validate(const std::vector<Record>& records, Findings* findings) {
  Validator(records, findings).Run();
}

}  // namespace camphorhoist
