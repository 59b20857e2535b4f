#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_

#include <cstdint>
#include <string>

#include "camphorhoist_load/mix.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Compares a response, while it is received, with the one expected from the stand-in upstream for
/// this request key. Every byte of a streamed body is known in advance.
///
/// Thread safety: none.
class BodyCheck {
 public:
  BodyCheck(const RequestShape& shape, const std::string& key);

  void OnHead(int status, const HttpHeaders& headers);
  void OnData(const std::string& data);
  /// Returns the first mismatch of a complete response, or an empty string. Only the echoed key is
  /// checked unless `answered` says that the upstream executed the request.
  std::string Finish(bool answered) const;

 private:
  std::string key_;
  std::string pattern_;
  bool head_only_;
  bool streamed_;
  int64_t expected_bytes_;
  int64_t received_bytes_ = 0;
  bool wrong_key_ = false;
  bool wrong_byte_ = false;
  std::string json_text_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_
