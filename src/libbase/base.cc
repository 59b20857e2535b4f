#include <arpa/inet.h>
#include <openssl/sha.h>

#include <cstdio>
#include <string>

#include "camphorhoist/call_id.h"
#include "camphorhoist/content_hash.h"
#include "camphorhoist/error.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

namespace {

constexpr size_t kCallIdTextLength = 33;
constexpr size_t kCallIdDashPosition = 16;

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "camphorhoist"; }
  std::string message(int value) const override {
    switch (static_cast<Errc>(value)) {
      case Errc::kOk:
        return "success";
      case Errc::kConflict:
        return "version conflict";
      case Errc::kNotFound:
        return "not found";
      case Errc::kUnavailable:
        return "unavailable, no effect";
      case Errc::kUnknownEffect:
        return "no answer, effect unknown";
      case Errc::kInvalidInput:
        return "invalid input";
      case Errc::kBudgetExhausted:
        return "request budget exhausted";
      case Errc::kWrongMesh:
        return "peer belongs to another mesh";
      case Errc::kWrongIncarnation:
        return "peer is another incarnation";
      case Errc::kCancelled:
        return "cancelled";
      case Errc::kDeadlineExceeded:
        return "deadline exceeded";
    }
    return "unrecognized error";
  }
};

std::optional<uint64_t> ParseHex(const std::string& text) {
  uint64_t value = 0;
  for (char c : text) {
    value <<= 4;
    if (c >= '0' && c <= '9') {
      value |= static_cast<uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      value |= static_cast<uint64_t>(c - 'a' + 10);
    } else {
      return std::nullopt;
    }
  }
  return value;
}

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc errc) { return {static_cast<int>(errc), ErrorCategory()}; }

std::string Findings::ToString() const {
  std::string text;
  for (const Finding& it : items_) {
    if (!text.empty()) text += '\n';
    text += it.ToString();
  }
  return text;
}

std::optional<NetAddress> NetAddress::Parse(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string ip = text.substr(0, colon);
  const std::string port = text.substr(colon + 1);
  in_addr parsed;
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) return std::nullopt;
  if (port.empty() || port.size() > 5) return std::nullopt;
  if (port.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  const int value = std::stoi(port);
  if (value > 65535) return std::nullopt;
  return NetAddress(ip, static_cast<uint16_t>(value));
}

std::optional<CallId> CallId::Parse(const std::string& text) {
  if (text.size() != kCallIdTextLength || text[kCallIdDashPosition] != '-') return std::nullopt;
  const auto origin = ParseHex(text.substr(0, kCallIdDashPosition));
  const auto counter = ParseHex(text.substr(kCallIdDashPosition + 1));
  if (!origin || !counter) return std::nullopt;
  return CallId(*origin, *counter);
}

std::string CallId::ToString() const {
  char buf[kCallIdTextLength + 1];
  std::snprintf(buf, sizeof(buf), "%016llx-%016llx", static_cast<unsigned long long>(origin_),
                static_cast<unsigned long long>(counter_));
  return buf;
}

std::string ContentHash(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest);
  static const char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * sizeof(digest));
  for (unsigned char byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace camphorhoist
