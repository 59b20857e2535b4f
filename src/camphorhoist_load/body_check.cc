#include "camphorhoist_load/body_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

// An answer without a given length is one JSON object of the stand-in.
constexpr size_t kMaxTextBytes = 64 << 10;

}  // namespace

BodyCheck::BodyCheck(const RequestShape& shape, const std::string& key)
    : key_(key),
      pattern_(key + "\n"),
      head_only_(shape.method == "HEAD"),
      streamed_(shape.answer_bytes.has_value()),
      expected_bytes_(shape.answer_bytes.value_or(0)) {}

void BodyCheck::TakeHead(int, const HttpHeaders& headers) {
  const auto echoed = FindHeader(headers, "X-Request-Key");
  wrong_key_ = echoed && *echoed != key_;
}

void BodyCheck::TakeData(const std::string& data) {
  if (!streamed_) {
    text_.append(data, 0, kMaxTextBytes - std::min(kMaxTextBytes, text_.size()));
    received_bytes_ += static_cast<int64_t>(data.size());
    return;
  }
  size_t at = static_cast<size_t>(received_bytes_) % pattern_.size();
  for (size_t done = 0; done < data.size();) {
    const size_t n = std::min(pattern_.size() - at, data.size() - done);
    if (data.compare(done, n, pattern_, at, n) != 0) wrong_byte_ = true;
    done += n;
    at = 0;
  }
  received_bytes_ += static_cast<int64_t>(data.size());
}

std::string BodyCheck::Finish(bool answered) const {
  if (wrong_key_) return "the answer carries the key of another request";
  if (!answered || head_only_) return {};
  if (streamed_) {
    if (received_bytes_ != expected_bytes_) {
      return "the body has " + std::to_string(received_bytes_) + " of " +
             std::to_string(expected_bytes_) + " bytes";
    }
    return wrong_byte_ ? "the body has wrong bytes" : "";
  }
  const auto body = nlohmann::json::parse(text_, nullptr, /*allow_exceptions=*/false);
  const bool same = body.is_object() && body.contains("key") && body["key"] == key_;
  return same ? "" : "the body does not carry the key";
}

}  // namespace camphorhoist
