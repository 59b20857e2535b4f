#ifndef CAMPHORHOIST_CAMPHORHOISTD_INCARNATION_RANGE_H_
#define CAMPHORHOIST_CAMPHORHOISTD_INCARNATION_RANGE_H_

#include <cstdint>

namespace camphorhoist {

/// The incarnations that this run of the process has had. The membership increments the incarnation
/// to refute a suspicion. If peers report a higher one, from an earlier run at the same address, it
/// raises the incarnation above that value. The target incarnation of a call for an earlier run is
/// not in the range.
///
/// Thread safety: none; use from one thread.
class IncarnationRange {
 public:
  /// Low bits that are zero in the first incarnation of a run. They leave room for refutations, so
  /// that the incarnations of a run stay below the first one of the next run.
  static constexpr int kRefutationBits = 16;

  /// First incarnation of a run that starts at `start_ms`, in milliseconds since 1970.
  static uint64_t FirstIncarnation(uint64_t start_ms) { return start_ms << kRefutationBits; }

  explicit IncarnationRange(uint64_t first) : low_(first), high_(first) {}

  /// Updates the range with the current incarnation. A step of one is a refutation by this run. A
  /// larger step resets the range to `current`, because the values in between may belong to an
  /// earlier run.
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
