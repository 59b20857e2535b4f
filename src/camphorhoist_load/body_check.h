#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_

#include <cstdint>
#include <string>

#include "camphorhoist_load/mix.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Compares an answer, while it arrives, with the one that the stand-in upstream gives to the
/// request with this key: every byte of a streamed body is known in advance.
///
/// Thread safety: none.
class BodyCheck {
 public:
  BodyCheck(const RequestShape& shape, const std::string& key);

  void TakeHead(int status, const HttpHeaders& headers);
  void TakeData(const std::string& data);
  /// The first fault of a whole answer, or an empty text. `answered`: the upstream ran the request;
  /// otherwise only the echoed key is compared.
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
  std::string text_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_BODY_CHECK_H_
