#ifndef CAMPHORHOIST_CAMPHORHOISTD_INCARNATION_RANGE_H_
#define CAMPHORHOIST_CAMPHORHOISTD_INCARNATION_RANGE_H_

#include <cstdint>

namespace camphorhoist {

/// The incarnations under which this process run has been known. Membership raises the incarnation
/// by one to refute a suspicion, and above the value that peers report of an earlier run at the
/// same address. A call that was meant for an earlier run is not in the range.
///
/// Thread safety: none; use from one thread.
class IncarnationRange {
 public:
  /// Room between the start times of two runs, so that the refutations of one run stay below the
  /// incarnation of the next.
  static constexpr int kRefutationBits = 16;

  /// First incarnation of a run that starts at this time, in milliseconds since 1970.
  static uint64_t FirstOf(uint64_t start_ms) { return start_ms << kRefutationBits; }

  explicit IncarnationRange(uint64_t first) : low_(first), high_(first) {}

  /// Takes the current incarnation. A step of one is a refutation by this run; a larger step leaves
  /// values between that may belong to an earlier run, so the range starts anew.
  void Update(uint64_t current) {
    if (current > high_ + 1) low_ = current;
    if (current > high_) high_ = current;
  }

  bool Contains(uint64_t incarnation) const { return incarnation >= low_ && incarnation <= high_; }

 private:
  uint64_t low_;
  uint64_t high_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_INCARNATION_RANGE_H_
