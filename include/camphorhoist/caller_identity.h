#ifndef CAMPHORHOIST_CALLER_IDENTITY_H_
#define CAMPHORHOIST_CALLER_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphorhoist/mesh_config.h"
#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Returns the id of the call that a request with this id belongs to if it is a nested one, i.e. a
/// request that an upstream makes for a call that it is processing. Upstreams derive the id of such
/// a request from that of the call by appending a separator and a suffix. Returns nothing if the id
/// does not have this form. The result refers to `request_id`.
std::optional<std::string_view> ParentRequestId(std::string_view request_id);

/// Decides from its API key whether a request is served, and for which organisation.
///
/// Immutable value type without references to the configuration, which may be replaced while the
/// call runs. Thread safety: distinct objects may be used from distinct threads.
class CallerIdentity {
 public:
  enum class Verdict : uint8_t {
    kAccepted,
    /// The route requires a key and the request has none (401).
    kMissingKey,
    /// No organisation has this key (401).
    kUnknownKey,
    /// The request may be a nested one of a call that started before this process (503).
    kUnknownParent,
  };

  struct Request {
    /// Empty if the request has none.
    std::string_view key;
    std::string_view request_id;
    /// The request belongs to a call that the upstream on this VM is processing.
    bool nested = false;
  };

  /// Precondition: `route` belongs to `config`. `since_start`: time since the process started. A
  /// call that started before that has ended once the longest timeout of a route has passed. Nested
  /// requests carry no key; a request with a key is always checked by it.
  static CallerIdentity Decide(const MeshConfig& config, const MeshRoute& route,
                               const Request& request, ProxyDuration since_start);

  Verdict verdict() const { return verdict_; }
  /// Empty if the request is not accepted or belongs to no organisation.
  const std::string& organisation() const { return organisation_; }
  /// Priority of the organisation if it has one, otherwise that of the route.
  int priority() const { return priority_; }

 private:
  CallerIdentity(Verdict verdict, int priority) : verdict_(verdict), priority_(priority) {}

  Verdict verdict_;
  int priority_;
  std::string organisation_;
};

/// The names are stable, since they appear in logs and metrics.
const char* ToString(CallerIdentity::Verdict verdict);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALLER_IDENTITY_H_
