#ifndef CAMPHORHOIST_TESTING_MATRIX_SAMPLER_H_
#define CAMPHORHOIST_TESTING_MATRIX_SAMPLER_H_

#include <cstdint>
#include <cstdlib>

namespace camphorhoist {

/// Selects the cells of a large fault matrix to run: all of them, or every n-th if the environment
/// variable CAMPHORHOIST_MATRIX_STRIDE is n. The selection is deterministic.
class MatrixSampler {
 public:
  MatrixSampler() {
    const char* text = std::getenv("CAMPHORHOIST_MATRIX_STRIDE");
    const int stride = text == nullptr ? 1 : std::atoi(text);
    if (stride > 1) stride_ = static_cast<uint64_t>(stride);
  }

  /// Whether the next cell runs; call once per cell.
  bool SelectsNext() { return next_++ % stride_ == 0; }

 private:
  uint64_t stride_ = 1;
  uint64_t next_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_TESTING_MATRIX_SAMPLER_H_
