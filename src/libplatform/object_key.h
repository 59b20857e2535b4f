#ifndef CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_
#define CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_

#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

/// Percent-encodes every byte outside `[A-Za-z0-9._~-]` and, if `keep_slashes`, `/`.
std::string PercentEncode(const std::string& text, bool keep_slashes);

/// Parses a decimal number without sign, blanks or excess digits.
std::optional<uint64_t> ParseUnsigned(const std::string& text);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_
