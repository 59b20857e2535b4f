#ifndef CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_
#define CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Names of the headers that the mesh sets or reads.
inline constexpr char kCallIdHeader[] = "X-Camphorhoist-Call-Id";
inline constexpr char kTimeoutHeader[] = "X-Camphorhoist-Timeout-Ms";
inline constexpr char kDepthHeader[] = "X-Camphorhoist-Depth";
inline constexpr char kOutcomeHeader[] = "X-Camphorhoist-Outcome";
inline constexpr char kShedHeader[] = "X-Upstream-Shed";

/// Compares header names, ignoring case.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// Returns the value of the first header with this name, if any.
std::optional<std::string> FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns true if one of the comma-separated tokens of the headers with this name equals `token`,
/// ignoring case.
bool HasHeaderToken(const HttpHeaders& headers, std::string_view name, std::string_view token);

/// Returns the headers without hop-by-hop headers: the fixed list of RFC 9110 section 7.6.1 and
/// those named by a Connection header.
HttpHeaders WithoutHopByHop(const HttpHeaders& headers);

/// Returns the headers without those that have this name.
HttpHeaders WithoutHeader(const HttpHeaders& headers, std::string_view name);

/// Returns true if the name is a token and the value has no control characters except tabs, so that
/// the header cannot break the framing of a message.
bool IsValidHeader(std::string_view name, std::string_view value);

/// Parses a decimal number that consists only of digits, without sign or spaces. Returns nothing
/// for any other format and for values above 2^63-1.
std::optional<int64_t> ParseDecimal(std::string_view text);

/// Content-Length of a message. `valid` is false if the header is not a number or is present
/// several times with different values.
struct ContentLength {
  bool valid = true;
  std::optional<int64_t> value;
};
ContentLength ReadContentLength(const HttpHeaders& headers);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_HTTP_HEADERS_H_
