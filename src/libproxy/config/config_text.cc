#include "libproxy/config/config_text.h"

#include <array>
#include <charconv>
#include <cmath>

namespace camphorhoist {

std::string FormatNumber(double value) {
  // Larger numbers would have up to 309 digits without an exponent.
  constexpr double kMaxFixed = 1e15;
  std::array<char, 64> buf{};
  char* const end = buf.data() + buf.size();
  const auto result = std::abs(value) < kMaxFixed && std::abs(value) >= 1e-6
                          ? std::to_chars(buf.data(), end, value, std::chars_format::fixed)
                          : std::to_chars(buf.data(), end, value);
  return {buf.data(), result.ptr};
}

std::string FormatSeconds(std::chrono::microseconds value) {
  return FormatNumber(std::chrono::duration<double>(value).count()) + " s";
}

}  // namespace camphorhoist
