#ifndef CAMPHORHOIST_CONTENT_HASH_H_
#define CAMPHORHOIST_CONTENT_HASH_H_

#include <string>
#include <string_view>

namespace camphorhoist {

/// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits. Thread safety: safe from any
/// thread.
std::string ContentHash(std::string_view data);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONTENT_HASH_H_
