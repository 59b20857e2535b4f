#ifndef CAMPHORHOIST_FAILURE_SHARE_H_
#define CAMPHORHOIST_FAILURE_SHARE_H_

#include <chrono>

namespace camphorhoist {

/// Moving average of the share of calls to a server that it failed. Fades while there are no calls,
/// so that a server which is avoided because of its failures is tried again.
///
/// Reads no clock. Thread safety: none; use from one thread.
class FailureShare {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// After this time without calls the share has fallen to about a third (1/e).
  static constexpr std::chrono::milliseconds kDecayTime{3000};

  /// `weight`: weight of a new outcome, above 0 and at most 1.
  explicit FailureShare(double weight) : weight_(weight) {}

  void Record(Time now, bool failed);
  /// Returns the share, 0 to 1.
  double Get(Time now) const;

 private:
  double weight_;
  double share_ = 0;
  Time updated_at_{};
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_FAILURE_SHARE_H_
