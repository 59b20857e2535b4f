#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// One kind of request in a mix.
struct RequestShape {
  std::string name = "default";
  double weight = 1;
  std::string method = "GET";
  std::string path = "/";
  /// Passed on as the query argument "ms", the service time.
  std::optional<int64_t> service_ms;
  /// Passed on as the query argument "bytes", the length of the answer's body.
  std::optional<int64_t> answer_bytes;
  /// Length of the request's body.
  int64_t body_bytes = 0;
  /// Overrides `--timeout-ms`.
  std::optional<int64_t> timeout_ms;

  std::string Target() const;
};

/// Reads a JSON array of `{"name","weight","method","path","ms","bytes","body_bytes","timeout_ms"}`
/// from `text`, or from the file that it names if it does not start with "[". All fields but "path"
/// have defaults. Adds all faults to `findings`.
std::vector<RequestShape> ReadMix(const std::string& text, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_
