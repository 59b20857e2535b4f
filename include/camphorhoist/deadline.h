#ifndef CAMPHORHOIST_DEADLINE_H_
#define CAMPHORHOIST_DEADLINE_H_

#include <algorithm>
#include <chrono>

#include "camphorhoist/call_types.h"

namespace camphorhoist {

/// Time by which the response head of a call must have arrived. It follows from the timeout in the
/// caller's header or that of the route or service, whichever is earlier.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Deadline {
 public:
  /// Subtracted at each hop, so that the next hop gives up before this one does.
  static constexpr std::chrono::milliseconds kHopMargin{2};

  explicit Deadline(CallTime at) : at_(at) {}
  static Deadline After(CallTime now, std::chrono::milliseconds timeout) {
    return Deadline(now + timeout);
  }
  static Deadline Earlier(const Deadline& a, const Deadline& b) {
    return Deadline(std::min(a.at_, b.at_));
  }

  CallTime at() const { return at_; }
  bool Expired(CallTime now) const { return now >= at_; }
  /// Remaining time, rounded down; never negative.
  std::chrono::milliseconds Remaining(CallTime now) const {
    if (Expired(now)) return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(at_ - now);
  }
  /// Timeout to send to the next hop: the remaining time minus `kHopMargin`; never negative.
  std::chrono::milliseconds NextHopTimeout(CallTime now) const {
    return std::max(Remaining(now) - kHopMargin, std::chrono::milliseconds(0));
  }

  friend bool operator==(const Deadline& a, const Deadline& b) { return a.at_ == b.at_; }
  friend bool operator<(const Deadline& a, const Deadline& b) { return a.at_ < b.at_; }

 private:
  CallTime at_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_DEADLINE_H_
