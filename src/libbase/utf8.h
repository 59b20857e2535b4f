#ifndef CAMPHORHOIST_LIBBASE_UTF8_H_
#define CAMPHORHOIST_LIBBASE_UTF8_H_

#include <boost/locale/utf.hpp>
#include <string_view>

namespace camphorhoist {

/// Returns whether `text` is valid UTF-8. Thread safety: safe from any thread.
inline bool IsUtf8(std::string_view text) {
  for (auto it = text.begin(); it != text.end();) {
    const boost::locale::utf::code_point point =
        boost::locale::utf::utf_traits<char>::decode(it, text.end());
    if (!boost::locale::utf::is_valid_codepoint(point)) return false;
  }
  return true;
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_UTF8_H_
