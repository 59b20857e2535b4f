#ifndef CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_
#define CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_

#include <cstdint>
#include <optional>
#include <string>

namespace camphorhoist {

/// Percent-encodes every byte outside `[A-Za-z0-9._~-]`; `keep_slashes` also leaves `/` as it is.
std::string PercentEncode(const std::string& text, bool keep_slashes);

/// Parses an unsigned decimal number. Returns nothing if the text is empty, if it has any other
/// character, such as a sign or a space, or if the value exceeds 64 bits.
std::optional<uint64_t> ParseUnsigned(const std::string& text);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_OBJECT_KEY_H_
