#ifndef CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_
#define CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Names of the headers that the mesh adds or reads.
inline constexpr char kCallIdHeader[] = "X-Camphorhoist-Call-Id";
inline constexpr char kTimeoutHeader[] = "X-Camphorhoist-Timeout-Ms";
inline constexpr char kDepthHeader[] = "X-Camphorhoist-Depth";
inline constexpr char kOutcomeHeader[] = "X-Camphorhoist-Outcome";
inline constexpr char kShedHeader[] = "X-Upstream-Shed";

/// Compares header names without regard to case.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// Value of the first header with this name, if there is one.
std::optional<std::string> FindHeader(const HttpHeaders& headers, std::string_view name);

/// True if one of the comma-separated tokens of the headers with this name equals `token`, without
/// regard to case.
bool HasHeaderToken(const HttpHeaders& headers, std::string_view name, std::string_view token);

/// The headers without those that concern one connection only: the fixed list of RFC 9110 section
/// 7.6.1 and those that a Connection header names.
HttpHeaders WithoutHopByHop(const HttpHeaders& headers);

/// The headers without those with this name.
HttpHeaders WithoutHeader(const HttpHeaders& headers, std::string_view name);

/// True if the name is a token and the value has no control character other than a tab, so that
/// the header cannot break the framing of a message.
bool IsValidHeader(std::string_view name, std::string_view value);

/// Parses a decimal number of digits only, without sign or spaces. Returns nothing for another form
/// or a value above 2^63-1.
std::optional<int64_t> ParseDecimal(std::string_view text);

/// Content-Length of a message. `valid` is false if the header is present more than once with
/// different values or is not a number.
struct ContentLength {
  bool valid = true;
  std::optional<int64_t> value;
};
ContentLength ReadContentLength(const HttpHeaders& headers);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_
