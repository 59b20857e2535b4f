#ifndef CAMPHORHOIST_CALL_ID_H_
#define CAMPHORHOIST_CALL_ID_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>

namespace camphorhoist {

/// Mesh-wide unique id of one attempt of a call: a random part, chosen once per process start, and
/// a counter.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class CallId {
 public:
  CallId() = default;
  CallId(uint64_t origin, uint64_t counter) : origin_(origin), counter_(counter) {}

  /// Parses the format of `ToString`. Returns nothing if `text` is malformed.
  static std::optional<CallId> Parse(const std::string& text);

  uint64_t origin() const { return origin_; }
  uint64_t counter() const { return counter_; }
  /// Formats the id as 16 hexadecimal digits, a dash and 16 hexadecimal digits.
  std::string ToString() const;

  friend bool operator==(const CallId& a, const CallId& b) {
    return std::tie(a.origin_, a.counter_) == std::tie(b.origin_, b.counter_);
  }
  friend bool operator!=(const CallId& a, const CallId& b) { return !(a == b); }
  friend bool operator<(const CallId& a, const CallId& b) {
    return std::tie(a.origin_, a.counter_) < std::tie(b.origin_, b.counter_);
  }

 private:
  uint64_t origin_ = 0;
  uint64_t counter_ = 0;
};

}  // namespace camphorhoist

namespace std {
template <>
struct hash<camphorhoist::CallId> {
  size_t operator()(const camphorhoist::CallId& id) const noexcept {
    return static_cast<size_t>(id.origin() ^ (id.counter() * 0x9e3779b97f4a7c15ULL));
  }
};
}  // namespace std

#endif  // CAMPHORHOIST_CALL_ID_H_
