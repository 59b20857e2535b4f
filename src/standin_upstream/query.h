#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_

#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

/// Header with the caller's own id for a request; the load tool sets a unique one for each request.
inline constexpr char kRequestKeyHeader[] = "X-Request-Key";

/// Returns the value of the first query argument `name` in a request target, if there is one.
std::optional<std::string> QueryText(const std::string& target, const std::string& name);
/// Like `QueryText`, parsed as a non-negative decimal number. Returns nothing if it is not one.
std::optional<int64_t> QueryNumber(const std::string& target, const std::string& name);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_QUERY_H_
