#ifndef CAMPHORHOIST_CONFIG_DIFF_H_
#define CAMPHORHOIST_CONFIG_DIFF_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "camphorhoist/config_location.h"
#include "camphorhoist/mesh_config.h"

namespace camphorhoist {

/// A field whose values differ. The values are formatted with their unit. Keys of an organisation
/// are only counted.
struct ConfigFieldDifference {
  ConfigField field = ConfigField::kName;
  /// Empty if the row was added.
  std::optional<std::string> before;
  /// Empty if the row was removed.
  std::optional<std::string> after;

  friend bool operator==(const ConfigFieldDifference& a, const ConfigFieldDifference& b) {
    return std::tie(a.field, a.before, a.after) == std::tie(b.field, b.before, b.after);
  }
  friend bool operator!=(const ConfigFieldDifference& a, const ConfigFieldDifference& b) {
    return !(a == b);
  }
};

enum class ConfigChange : uint8_t { kAdded, kRemoved, kChanged };

/// A route, service or organisation that was added, removed or changed, or changed limits.
struct ConfigDifference {
  ConfigTable table = ConfigTable::kRoutes;
  /// Name of the row; empty for the limits.
  std::string name;
  ConfigChange change = ConfigChange::kChanged;
  /// All fields of a row that was added or removed; only the changed ones otherwise.
  std::vector<ConfigFieldDifference> fields;

  friend bool operator==(const ConfigDifference& a, const ConfigDifference& b) {
    return std::tie(a.table, a.name, a.change, a.fields) ==
           std::tie(b.table, b.name, b.change, b.fields);
  }
  friend bool operator!=(const ConfigDifference& a, const ConfigDifference& b) { return !(a == b); }
};

/// Compares two versions of a configuration, without their version numbers.
///
/// Rows are identified by their names, and rows with the same name by their order. The order of
/// rows, and of the keys of an organisation, is not a difference.
class ConfigDiff {
 public:
  /// Returns the differences by table: first the added and changed rows in the order of `after`,
  /// then the removed ones in the order of `before`. Thread safety: safe to call from any thread.
  static std::vector<ConfigDifference> Compare(const MeshConfig& before, const MeshConfig& after);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_DIFF_H_
