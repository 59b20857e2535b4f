#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_

#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

/// A caller's own name for a request, unique per run of the load tool.
inline constexpr char kRequestKeyHeader[] = "X-Request-Key";

/// Value of the first query argument with this name in a target, if there is one.
std::optional<std::string> QueryText(const std::string& target, const std::string& name);
/// As a decimal number of 0 or above; nothing if it has another form.
std::optional<int64_t> QueryNumber(const std::string& target, const std::string& name);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_
