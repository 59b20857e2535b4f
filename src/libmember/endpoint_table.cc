#include "camphorhoist/endpoint_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorhoist {

namespace {

std::set<std::string> ServicesOf(const MemberEntry& entry) {
  std::set<std::string> services;
  for (const EndpointInfo& it : entry.endpoints) services.insert(it.service);
  return services;
}

bool Before(const EndpointRef& a, const EndpointRef& b) {
  return std::tie(a.tier, a.node, a.info.upstream) < std::tie(b.tier, b.node, b.info.upstream);
}

bool SameEndpoint(const EndpointRef& a, const EndpointRef& b) {
  return a.node == b.node && a.incarnation == b.incarnation && a.info == b.info && a.tier == b.tier;
}

}  // namespace

EndpointTable::EndpointTable(std::string data_centre, std::string region)
    : data_centre_(std::move(data_centre)), region_(std::move(region)) {}

void EndpointTable::Apply(const MemberEffect& effect) {
  if (const auto* it = std::get_if<EndpointChanged>(&effect)) Apply(*it);
  if (const auto* it = std::get_if<DataCentreChanged>(&effect)) Apply(*it);
}

void EndpointTable::Apply(const EndpointChanged& event) {
  std::set<std::string> services;
  const MemberId& id = event.entry.address;
  const auto old = members_.find(id);
  if (old != members_.end()) {
    services = ServicesOf(old->second);
    for (const std::string& it : services) by_service_[it].erase(id);
    members_.erase(old);
  }
  if (IsLive(event.state)) {
    for (const std::string& it : ServicesOf(event.entry)) {
      by_service_[it].insert(id);
      services.insert(it);
    }
    members_[id] = event.entry;
  }
  Rebuild(services);
}

void EndpointTable::Apply(const DataCentreChanged& event) {
  const bool changed = event.reachable ? unreachable_data_centres_.erase(event.data_centre) > 0
                                       : unreachable_data_centres_.insert(event.data_centre).second;
  if (!changed) return;
  std::set<std::string> services;
  for (const auto& [id, entry] : members_) {
    if (entry.data_centre != event.data_centre) continue;
    for (const EndpointInfo& it : entry.endpoints) services.insert(it.service);
  }
  Rebuild(services);
}

std::shared_ptr<const EndpointTable::Endpoints> EndpointTable::Find(
    const std::string& service) const {
  static const auto kNone = std::make_shared<const Endpoints>();
  const auto it = services_.find(service);
  return it == services_.end() ? kNone : it->second;
}

std::vector<std::string> EndpointTable::Services() const {
  std::vector<std::string> names;
  for (const auto& [name, endpoints] : services_) names.push_back(name);
  return names;
}

LocalityTier EndpointTable::TierOf(const MemberEntry& entry) const {
  if (entry.data_centre == data_centre_) return LocalityTier::kSameDataCentre;
  return entry.region == region_ ? LocalityTier::kSameRegion : LocalityTier::kOtherRegion;
}

bool EndpointTable::Usable(const MemberEntry& entry) const {
  return !entry.draining && unreachable_data_centres_.count(entry.data_centre) == 0;
}

void EndpointTable::Rebuild(const std::set<std::string>& services) {
  for (const std::string& service : services) {
    auto rebuilt = std::make_shared<Endpoints>();
    for (const MemberId& id : by_service_[service]) {
      const MemberEntry& entry = members_.at(id);
      if (!Usable(entry)) continue;
      for (const EndpointInfo& it : entry.endpoints) {
        if (it.service != service || it.state != EndpointState::kServing) continue;
        rebuilt->push_back({id, entry.incarnation, it, TierOf(entry), entry.data_centre});
      }
    }
    if (by_service_[service].empty()) by_service_.erase(service);
    std::sort(rebuilt->begin(), rebuilt->end(), Before);
    const auto old = Find(service);
    if (std::equal(old->begin(), old->end(), rebuilt->begin(), rebuilt->end(), SameEndpoint)) {
      continue;
    }
    if (rebuilt->empty()) {
      services_.erase(service);
    } else {
      services_[service] = std::move(rebuilt);
    }
    ++generation_;
    if (listener_) listener_(service);
  }
}

}  // namespace camphorhoist
