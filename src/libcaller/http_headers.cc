#include "libcaller/http_headers.h"

#include <strings.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace camphorhoist {

namespace {

constexpr std::string_view kHopByHop[] = {"Connection",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade"};

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> Tokens(const HttpHeaders& headers, std::string_view name) {
  std::vector<std::string> tokens;
  for (const auto& it : headers) {
    if (!HeaderNameEquals(it.first, name)) continue;
    std::string_view rest = it.second;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      tokens.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return tokens;
}

bool IsTokenCharacter(char c) {
  const bool alphanumeric =
      (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  return alphanumeric ||
         (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

}  // namespace

bool HeaderNameEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string> FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& it : headers) {
    if (HeaderNameEquals(it.first, name)) return it.second;
  }
  return std::nullopt;
}

bool HasHeaderToken(const HttpHeaders& headers, std::string_view name, std::string_view token) {
  for (const std::string& it : Tokens(headers, name)) {
    if (HeaderNameEquals(it, token)) return true;
  }
  return false;
}

HttpHeaders WithoutHopByHop(const HttpHeaders& headers) {
  std::vector<std::string> removed = Tokens(headers, "Connection");
  removed.insert(removed.end(), std::begin(kHopByHop), std::end(kHopByHop));
  HttpHeaders kept;
  for (const auto& it : headers) {
    const bool hop = std::any_of(removed.begin(), removed.end(), [&it](const std::string& name) {
      return HeaderNameEquals(it.first, name);
    });
    if (!hop) kept.push_back(it);
  }
  return kept;
}

HttpHeaders WithoutHeader(const HttpHeaders& headers, std::string_view name) {
  HttpHeaders kept;
  for (const auto& it : headers) {
    if (!HeaderNameEquals(it.first, name)) kept.push_back(it);
  }
  return kept;
}

bool IsValidHeader(std::string_view name, std::string_view value) {
  return !name.empty() && std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         std::all_of(value.begin(), value.end(), IsValueCharacter);
}

std::optional<int64_t> ParseDecimal(std::string_view text) {
  if (text.empty()) return std::nullopt;
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  int64_t value = 0;
  for (char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    const int digit = c - '0';
    if (value > (kMax - digit) / 10) return std::nullopt;
    value = value * 10 + digit;
  }
  return value;
}

ContentLength ReadContentLength(const HttpHeaders& headers) {
  ContentLength result;
  for (const auto& it : headers) {
    if (!HeaderNameEquals(it.first, "Content-Length")) continue;
    const std::optional<int64_t> value = ParseDecimal(Trim(it.second));
    if (!value || (result.value && result.value != value)) return {false, std::nullopt};
    result.value = value;
  }
  return result;
}

}  // namespace camphorhoist
