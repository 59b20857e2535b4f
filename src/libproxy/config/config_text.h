#ifndef CAMPHORHOIST_LIBPROXY_CONFIG_CONFIG_TEXT_H_
#define CAMPHORHOIST_LIBPROXY_CONFIG_CONFIG_TEXT_H_

#include <chrono>
#include <string>

namespace camphorhoist {

/// Returns the shortest decimal number that is read back as `value`.
std::string FormatNumber(double value);
/// Formats a duration in seconds, such as "0.25 s".
std::string FormatSeconds(std::chrono::microseconds value);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPROXY_CONFIG_CONFIG_TEXT_H_
