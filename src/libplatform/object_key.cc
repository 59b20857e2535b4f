#include "libplatform/object_key.h"

#include <charconv>

namespace camphorhoist {

namespace {

bool IsUnreserved(char c) {
  const bool alphanumeric =
      (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  return alphanumeric || c == '.' || c == '_' || c == '~' || c == '-';
}

}  // namespace

std::string PercentEncode(const std::string& text, bool keep_slashes) {
  static const char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    if (IsUnreserved(c) || (keep_slashes && c == '/')) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kHexDigits[byte >> 4];
    encoded += kHexDigits[byte & 15];
  }
  return encoded;
}

std::optional<uint64_t> ParseUnsigned(const std::string& text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace camphorhoist
