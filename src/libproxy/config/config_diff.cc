#include "camphorhoist/config_diff.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

#include "libproxy/config/config_text.h"

namespace camphorhoist {

namespace {

std::string Text(const std::string& value) { return value; }
std::string Text(bool value) { return value ? "true" : "false"; }
std::string Text(int value) { return std::to_string(value); }
std::string Text(uint32_t value) { return std::to_string(value); }
std::string Text(size_t value) { return std::to_string(value); }
std::string Text(double value) { return FormatNumber(value); }
std::string Text(std::chrono::microseconds value) { return FormatSeconds(value); }

std::string Text(std::optional<int> value) { return value ? std::to_string(*value) : "none"; }

std::string Text(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non-idempotent";
    case RequestKind::kBulk:
      return "bulk";
  }
  return "";
}

std::string Text(const std::vector<WeightedService>& destinations) {
  std::string text;
  for (const WeightedService& it : destinations) {
    if (!text.empty()) text += ", ";
    text += it.service + " with weight " + FormatNumber(it.weight);
  }
  return text;
}

/// How a field of `Row` is compared and formatted.
template <typename Row>
struct FieldSpec {
  ConfigField field;
  bool (*same)(const Row& a, const Row& b);
  std::string (*text)(const Row& row);
  /// Formats the value in `after` of a changed row; `text` is used if this is null.
  std::string (*changed_text)(const Row& before, const Row& after);
};

template <typename Row, size_t kSize>
using FieldSpecs = FieldSpec<Row>[kSize];

template <auto kMember, typename Row>
bool SameMember(const Row& a, const Row& b) {
  return a.*kMember == b.*kMember;
}

template <auto kMember, typename Row>
std::string MemberText(const Row& row) {
  return Text(row.*kMember);
}

template <auto kMember, typename Row>
constexpr FieldSpec<Row> Member(ConfigField field) {
  return {field, &SameMember<kMember, Row>, &MemberText<kMember, Row>, nullptr};
}

std::vector<std::string_view> SortedKeys(const MeshOrganisation& organisation) {
  std::vector<std::string_view> keys(organisation.keys.begin(), organisation.keys.end());
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

bool SameKeys(const MeshOrganisation& a, const MeshOrganisation& b) {
  return SortedKeys(a) == SortedKeys(b);
}

std::string CountKeys(size_t n) { return std::to_string(n) + (n == 1 ? " key" : " keys"); }

std::string KeysText(const MeshOrganisation& organisation) {
  return CountKeys(SortedKeys(organisation).size());
}

// States how many keys were added and removed, since their total may be unchanged.
std::string ChangedKeysText(const MeshOrganisation& before, const MeshOrganisation& after) {
  const std::vector<std::string_view> old_keys = SortedKeys(before);
  const std::vector<std::string_view> new_keys = SortedKeys(after);
  std::vector<std::string_view> kept;
  std::set_intersection(old_keys.begin(), old_keys.end(), new_keys.begin(), new_keys.end(),
                        std::back_inserter(kept));
  return CountKeys(new_keys.size()) + " (" + std::to_string(new_keys.size() - kept.size()) +
         " added, " + std::to_string(old_keys.size() - kept.size()) + " removed)";
}

constexpr FieldSpec<MeshRoute> kRouteFields[] = {
    Member<&MeshRoute::host, MeshRoute>(ConfigField::kHost),
    Member<&MeshRoute::path_prefix, MeshRoute>(ConfigField::kPathPrefix),
    Member<&MeshRoute::kind, MeshRoute>(ConfigField::kKind),
    Member<&MeshRoute::timeout, MeshRoute>(ConfigField::kTimeout),
    Member<&MeshRoute::objective, MeshRoute>(ConfigField::kObjective),
    Member<&MeshRoute::priority, MeshRoute>(ConfigField::kPriority),
    Member<&MeshRoute::max_servers, MeshRoute>(ConfigField::kMaxServers),
    Member<&MeshRoute::destinations, MeshRoute>(ConfigField::kDestinations),
    Member<&MeshRoute::is_public, MeshRoute>(ConfigField::kIsPublic),
};

constexpr FieldSpec<MeshService> kServiceFields[] = {
    Member<&MeshService::health_path, MeshService>(ConfigField::kHealthPath),
    Member<&MeshService::max_connections, MeshService>(ConfigField::kMaxConnections),
};

constexpr FieldSpec<MeshOrganisation> kOrganisationFields[] = {
    {ConfigField::kKeys, &SameKeys, &KeysText, &ChangedKeysText},
    Member<&MeshOrganisation::priority, MeshOrganisation>(ConfigField::kPriority),
    Member<&MeshOrganisation::requests_per_second, MeshOrganisation>(
        ConfigField::kRequestsPerSecond),
    Member<&MeshOrganisation::burst, MeshOrganisation>(ConfigField::kBurst),
};

constexpr FieldSpec<CallerLimits> kLimitFields[] = {
    Member<&CallerLimits::max_header_bytes, CallerLimits>(ConfigField::kMaxHeaderBytes),
    Member<&CallerLimits::max_body_bytes, CallerLimits>(ConfigField::kMaxBodyBytes),
    Member<&CallerLimits::header_timeout, CallerLimits>(ConfigField::kHeaderTimeout),
    Member<&CallerLimits::idle_timeout, CallerLimits>(ConfigField::kIdleTimeout),
};

/// Compares the fields of a row. At most one of `before` and `after` is null, if only the other
/// version has the row.
template <typename Row, size_t kSize>
std::vector<ConfigFieldDifference> CompareFields(const FieldSpecs<Row, kSize>& specs,
                                                 const Row* before, const Row* after) {
  std::vector<ConfigFieldDifference> fields;
  for (const FieldSpec<Row>& it : specs) {
    if (before == nullptr) {
      fields.push_back({it.field, {}, it.text(*after)});
    } else if (after == nullptr) {
      fields.push_back({it.field, it.text(*before), {}});
    } else if (!it.same(*before, *after)) {
      fields.push_back(
          {it.field, it.text(*before),
           it.changed_text == nullptr ? it.text(*after) : it.changed_text(*before, *after)});
    }
  }
  return fields;
}

/// Rows by name and by their order among the rows with this name.
template <typename Row>
using RowIndex = std::map<std::pair<std::string_view, size_t>, const Row*>;

/// Calls `handle` with the identity of each row and the row.
template <typename Row, typename Handle>
void ForEachRow(const std::vector<Row>& rows, Handle handle) {
  std::map<std::string_view, size_t> count;
  for (const Row& it : rows) {
    const std::string_view name = it.name;
    handle(std::make_pair(name, count[name]++), it);
  }
}

template <typename Row>
RowIndex<Row> IndexRows(const std::vector<Row>& rows) {
  RowIndex<Row> index;
  ForEachRow(rows, [&index](const auto& id, const Row& row) { index[id] = &row; });
  return index;
}

template <typename Row, size_t kSize>
void CompareRows(ConfigTable table, const FieldSpecs<Row, kSize>& specs,
                 const std::vector<Row>& before, const std::vector<Row>& after,
                 std::vector<ConfigDifference>* differences) {
  const RowIndex<Row> old_rows = IndexRows(before);
  const RowIndex<Row> new_rows = IndexRows(after);
  ForEachRow(after, [&](const auto& id, const Row& row) {
    const auto old_row = old_rows.find(id);
    if (old_row == old_rows.end()) {
      differences->push_back(
          {table, row.name, ConfigChange::kAdded, CompareFields<Row>(specs, nullptr, &row)});
      return;
    }
    std::vector<ConfigFieldDifference> fields = CompareFields(specs, old_row->second, &row);
    if (fields.empty()) return;
    differences->push_back({table, row.name, ConfigChange::kChanged, std::move(fields)});
  });
  ForEachRow(before, [&](const auto& id, const Row& row) {
    if (new_rows.count(id) != 0) return;
    differences->push_back(
        {table, row.name, ConfigChange::kRemoved, CompareFields<Row>(specs, &row, nullptr)});
  });
}

}  // namespace

std::vector<ConfigDifference> ConfigDiff::Compare(const MeshConfig& before,
                                                  const MeshConfig& after) {
  std::vector<ConfigDifference> differences;
  CompareRows(ConfigTable::kRoutes, kRouteFields, before.routes(), after.routes(), &differences);
  CompareRows(ConfigTable::kServices, kServiceFields, before.services(), after.services(),
              &differences);
  CompareRows(ConfigTable::kOrganisations, kOrganisationFields, before.organisations(),
              after.organisations(), &differences);
  std::vector<ConfigFieldDifference> limits =
      CompareFields(kLimitFields, &before.limits(), &after.limits());
  if (!limits.empty()) {
    differences.push_back({ConfigTable::kLimits, "", ConfigChange::kChanged, std::move(limits)});
  }
  return differences;
}

}  // namespace camphorhoist
