#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_ARRIVALS_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_ARRIVALS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// A period with a constant arrival rate.
struct RateStep {
  /// Requests per second.
  double rate = 0;
  double seconds = 0;
};

/// Parses "rate:seconds,rate:seconds,...". Adds errors to `findings` at `place`.
std::vector<RateStep> ParseSteps(const std::string& text, const std::string& place,
                                 Findings* findings);

struct Arrival {
  /// Time since the start of the run.
  std::chrono::microseconds at{0};
  /// Index of the rate step.
  size_t step = 0;
};

/// Generates Poisson arrivals over a series of rate steps. The same seed gives the same arrivals.
///
/// Thread safety: none.
class ArrivalSchedule {
 public:
  ArrivalSchedule(std::vector<RateStep> steps, uint64_t seed);

  /// Returns the next arrival, or nothing after the last step.
  std::optional<Arrival> Next();

 private:
  std::vector<RateStep> steps_;
  std::mt19937_64 random_;
  size_t step_ = 0;
  /// Both in seconds since the start of the run.
  double step_end_;
  double now_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_ARRIVALS_H_
