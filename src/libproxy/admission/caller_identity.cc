#include "camphorhoist/caller_identity.h"

namespace camphorhoist {

std::optional<std::string_view> ParentRequestId(std::string_view request_id) {
  const size_t separator = request_id.find_last_of(".:/_-");
  if (separator == std::string_view::npos || separator == 0) return std::nullopt;
  return request_id.substr(0, separator);
}

CallerIdentity CallerIdentity::Decide(const MeshConfig& config, const MeshRoute& route,
                                      const Request& request, ProxyDuration since_start) {
  CallerIdentity accepted(Verdict::kAccepted, route.priority);
  if (config.organisations().empty()) return accepted;
  const MeshOrganisation* organisation =
      request.key.empty() ? nullptr : config.FindOrganisationByKey(request.key);
  if (organisation != nullptr) {
    accepted.organisation_ = organisation->name;
    accepted.priority_ = organisation->priority.value_or(route.priority);
    return accepted;
  }
  if (route.is_public) return accepted;
  if (!request.key.empty()) return {Verdict::kUnknownKey, route.priority};
  if (request.nested) return accepted;
  const bool parent_may_run =
      since_start < config.longest_timeout() && ParentRequestId(request.request_id).has_value();
  return {parent_may_run ? Verdict::kUnknownParent : Verdict::kMissingKey, route.priority};
}

const char* ToString(CallerIdentity::Verdict verdict) {
  switch (verdict) {
    case CallerIdentity::Verdict::kAccepted:
      return "accepted";
    case CallerIdentity::Verdict::kMissingKey:
      return "missing_key";
    case CallerIdentity::Verdict::kUnknownKey:
      return "unknown_key";
    case CallerIdentity::Verdict::kUnknownParent:
      return "unknown_parent";
  }
  return "accepted";
}

}  // namespace camphorhoist
