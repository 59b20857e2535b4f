#ifndef CAMPHORHOIST_ENDPOINT_TABLE_H_
#define CAMPHORHOIST_ENDPOINT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/locality.h"
#include "camphorhoist/member.h"
#include "camphorhoist/membership.h"

namespace camphorhoist {

/// An endpoint that accepts new calls.
struct EndpointRef {
  MemberId node;
  /// Incarnation of the node; sent along with each call.
  uint64_t incarnation = 0;
  EndpointInfo info;
  LocalityTier tier = LocalityTier::kOtherRegion;
  std::string data_centre;
};

/// The serving endpoints of each service, sorted by tier, node and upstream address. Built from the
/// effects of `Membership`.
///
/// Thread safety: none; use from one thread.
class EndpointTable {
 public:
  using Endpoints = std::vector<EndpointRef>;
  /// Called after the endpoints of `service` changed.
  using Listener = std::function<void(const std::string& service)>;

  EndpointTable(std::string data_centre, std::string region);

  void SetListener(Listener listener) { listener_ = std::move(listener); }

  /// Applies an `EndpointChanged` or `DataCentreChanged` effect; ignores other effects.
  void Apply(const MemberEffect& effect);
  void Apply(const EndpointChanged& event);
  void Apply(const DataCentreChanged& event);

  /// The endpoints of a service, or an empty list; costs one map lookup. The list is immutable and
  /// stays valid while the table changes.
  std::shared_ptr<const Endpoints> Find(const std::string& service) const;
  /// All services with at least one serving endpoint, sorted.
  std::vector<std::string> Services() const;
  /// Incremented each time the endpoints of a service change.
  uint64_t generation() const { return generation_; }

 private:
  LocalityTier TierOf(const MemberEntry& entry) const;
  void Rebuild(const std::set<std::string>& services);
  bool Usable(const MemberEntry& entry) const;

  std::string data_centre_;
  std::string region_;
  std::map<MemberId, MemberEntry> members_;
  std::map<std::string, std::set<MemberId>> by_service_;
  std::map<std::string, std::shared_ptr<const Endpoints>> services_;
  std::set<std::string> unreachable_data_centres_;
  Listener listener_;
  uint64_t generation_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ENDPOINT_TABLE_H_
