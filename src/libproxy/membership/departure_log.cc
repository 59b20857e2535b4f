#include "camphorhoist/departure_log.h"

#include <algorithm>

namespace camphorhoist {

void DepartureLog::Record(const std::string& node, const UpstreamDeparture& departure) {
  NodeDepartures& known = nodes_[node];
  if (!AddDeparture(departure, &known.departures)) return;
  known.last = ++count_;
  if (nodes_.size() > kMaxNodes) DropOldestNode();
}

void DepartureLog::DropOldestNode() {
  nodes_.erase(std::min_element(nodes_.begin(), nodes_.end(), [](const auto& a, const auto& b) {
    return a.second.last < b.second.last;
  }));
}

bool DepartureLog::HasDeparted(const std::string& node,
                               const UpstreamDeparture& incarnation) const {
  const auto it = nodes_.find(node);
  if (it == nodes_.end() || !incarnation.started_ms) return false;
  const auto& known = it->second.departures;
  return std::find(known.begin(), known.end(), incarnation) != known.end();
}

std::vector<UpstreamDeparture> DepartureLog::departures(const std::string& node) const {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return {};
  return {it->second.departures.begin(), it->second.departures.end()};
}

}  // namespace camphorhoist
