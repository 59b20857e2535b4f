#ifndef CAMPHORHOIST_CONFIG_LOCATION_H_
#define CAMPHORHOIST_CONFIG_LOCATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

namespace camphorhoist {

/// Parts of a `MeshConfig`. `kLimits` has a single row.
enum class ConfigTable : uint8_t { kRoutes, kServices, kOrganisations, kLimits };

/// Fields of the rows of a `MeshConfig`.
enum class ConfigField : uint8_t {
  kName,
  kHost,
  kPathPrefix,
  kKind,
  kTimeout,
  kObjective,
  kPriority,
  kMaxServers,
  kDestinations,
  /// Weight of one destination.
  kWeight,
  kIsPublic,
  kHealthPath,
  kMaxConnections,
  kKeys,
  kRequestsPerSecond,
  kBurst,
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

/// Position of a value in a `MeshConfig`.
struct ConfigLocation {
  ConfigTable table = ConfigTable::kRoutes;
  /// Index of the row in its table.
  size_t row = 0;
  ConfigField field = ConfigField::kName;
  /// Index of the destination if the value belongs to one destination of a route.
  std::optional<size_t> destination;

  friend bool operator==(const ConfigLocation& a, const ConfigLocation& b) {
    return std::tie(a.table, a.row, a.field, a.destination) ==
           std::tie(b.table, b.row, b.field, b.destination);
  }
  friend bool operator!=(const ConfigLocation& a, const ConfigLocation& b) { return !(a == b); }
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_LOCATION_H_
