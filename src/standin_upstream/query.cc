#include "standin_upstream/query.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "libcaller/http_headers.h"

namespace camphorhoist {

std::optional<std::string> QueryText(const std::string& target, const std::string& name) {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return std::nullopt;
  evkeyvalq arguments{};
  if (evhttp_parse_query_str(target.c_str() + mark + 1, &arguments) != 0) return std::nullopt;
  const char* value = evhttp_find_header(&arguments, name.c_str());
  std::optional<std::string> result;
  if (value != nullptr) result = value;
  evhttp_clear_headers(&arguments);
  return result;
}

std::optional<int64_t> QueryNumber(const std::string& target, const std::string& name) {
  const std::optional<std::string> text = QueryText(target, name);
  return text ? ParseDecimal(*text) : std::nullopt;
}

}  // namespace camphorhoist
