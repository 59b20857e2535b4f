#include "camphorhoist_load/body_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

// Limit for the JSON object that the stand-in upstream returns if the request sets no response
// length.
constexpr size_t kMaxJsonBytes = 64 << 10;

}  // namespace

BodyCheck::BodyCheck(const RequestShape& shape, const std::string& key)
    : key_(key),
      pattern_(key + "\n"),
      head_only_(shape.method == "HEAD"),
      streamed_(shape.response_bytes.has_value()),
      expected_bytes_(shape.response_bytes.value_or(0)) {}

void BodyCheck::OnHead(int, const HttpHeaders& headers) {
  const auto echoed = FindHeader(headers, "X-Request-Key");
  wrong_key_ = echoed && *echoed != key_;
}

void BodyCheck::OnData(const std::string& data) {
  if (!streamed_) {
    json_text_.append(data, 0, kMaxJsonBytes - std::min(kMaxJsonBytes, json_text_.size()));
    received_bytes_ += static_cast<int64_t>(data.size());
    return;
  }
  size_t pattern_offset = static_cast<size_t>(received_bytes_) % pattern_.size();
  for (size_t checked = 0; checked < data.size();) {
    const size_t n = std::min(pattern_.size() - pattern_offset, data.size() - checked);
    if (data.compare(checked, n, pattern_, pattern_offset, n) != 0) wrong_byte_ = true;
    checked += n;
    pattern_offset = 0;
  }
  received_bytes_ += static_cast<int64_t>(data.size());
}

std::string BodyCheck::Finish(bool answered) const {
  if (wrong_key_) return "the response has the key of another request";
  if (!answered || head_only_) return {};
  if (streamed_) {
    if (received_bytes_ != expected_bytes_) {
      return "the body has " + std::to_string(received_bytes_) + " of " +
             std::to_string(expected_bytes_) + " bytes";
    }
    return wrong_byte_ ? "the body has unexpected bytes" : "";
  }
  const auto body = nlohmann::json::parse(json_text_, nullptr, /*allow_exceptions=*/false);
  const bool key_matches = body.is_object() && body.contains("key") && body["key"] == key_;
  return key_matches ? "" : "the body does not contain the request key";
}

}  // namespace camphorhoist
