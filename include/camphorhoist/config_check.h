#ifndef CAMPHORHOIST_CONFIG_CHECK_H_
#define CAMPHORHOIST_CONFIG_CHECK_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/config_location.h"
#include "camphorhoist/mesh_config.h"

namespace camphorhoist {

enum class ConfigSeverity : uint8_t {
  /// Sidecars reject the configuration as a whole.
  kError,
  /// Sidecars apply the configuration, but a part of it has no effect or contradicts another.
  kWarning,
};

/// One finding of a `ConfigCheck`. The message contains no key of an organisation.
struct ConfigFinding {
  ConfigSeverity severity = ConfigSeverity::kWarning;
  ConfigLocation location;
  std::string message;

  friend bool operator==(const ConfigFinding& a, const ConfigFinding& b) {
    return std::tie(a.severity, a.location, a.message) ==
           std::tie(b.severity, b.location, b.message);
  }
  friend bool operator!=(const ConfigFinding& a, const ConfigFinding& b) { return !(a == b); }
};

/// Checks a configuration before it is sent to the sidecars.
///
/// Reports routes that no request can match, routes to services that the configuration does not
/// contain, services without a route, and limits that contradict each other. Errors that prevent a
/// document from being decoded, such as a duplicate key, are reported by the decoder.
class ConfigCheck {
 public:
  /// Returns the findings in the order of tables and rows. Takes time linear in the size of the
  /// configuration on average. Thread safety: safe to call from any thread.
  static std::vector<ConfigFinding> Run(const MeshConfig& config);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_CHECK_H_
