#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// One kind of request in the request mix of a run.
struct RequestShape {
  std::string name = "default";
  double weight = 1;
  std::string method = "GET";
  std::string path = "/";
  /// Service time in milliseconds, sent as the query argument "ms".
  std::optional<int64_t> service_ms;
  /// Length of the response body, sent as the query argument "bytes".
  std::optional<int64_t> response_bytes;
  /// Length of the request body.
  int64_t body_bytes = 0;
  /// Overrides `--timeout-ms`.
  std::optional<int64_t> timeout_ms;

  /// Returns the path with the query arguments added.
  std::string Target() const;
};

/// Reads a JSON array of `{"name","weight","method","path","ms","bytes","body_bytes","timeout_ms"}`
/// from `text` if it starts with "[", and otherwise from the file named `text`. All fields have
/// defaults. Adds all errors to `findings`.
std::vector<RequestShape> ReadMix(const std::string& text, Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_MIX_H_
