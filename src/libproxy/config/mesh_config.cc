#include "camphorhoist/mesh_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace camphorhoist {

namespace {

std::string CanonicalHost(std::string_view host) {
  std::string text(host.substr(0, host.find(':')));
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace

MeshConfig::MeshConfig(uint64_t version, std::vector<MeshRoute> routes,
                       std::vector<MeshService> services, CallerLimits limits,
                       std::vector<MeshOrganisation> organisations)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits),
      organisations_(std::move(organisations)) {
  for (const MeshRoute& it : routes_) {
    by_host_[CanonicalHost(it.host)][it.path_prefix] = &it;
    longest_timeout_ = std::max(longest_timeout_, it.timeout);
  }
  for (const MeshOrganisation& it : organisations_) {
    for (const std::string& key : it.keys) by_key_.emplace(key, &it);
  }
}

const MeshRoute* MeshConfig::Match(std::string_view host, std::string_view target) const {
  const auto routes = by_host_.find(CanonicalHost(host));
  if (routes == by_host_.end()) return nullptr;
  std::string path(target.substr(0, target.find('?')));
  // Prefixes end with a slash, so only the parts of the path up to a slash can match.
  size_t slash = path.rfind('/');
  while (slash != std::string::npos) {
    path.resize(slash + 1);
    const auto it = routes->second.find(path);
    if (it != routes->second.end()) return it->second;
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const MeshService* MeshConfig::FindService(const std::string& name) const {
  const auto it = std::find_if(services_.begin(), services_.end(),
                               [&name](const MeshService& s) { return s.name == name; });
  return it == services_.end() ? nullptr : &*it;
}

const MeshOrganisation* MeshConfig::FindOrganisationByKey(std::string_view key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

}  // namespace camphorhoist
