#ifndef CAMPHORHOIST_LOCALITY_H_
#define CAMPHORHOIST_LOCALITY_H_

#include <cstddef>
#include <cstdint>

namespace camphorhoist {

/// Distance of an upstream from this node, nearest first.
enum class LocalityTier : uint8_t { kSameDataCentre = 0, kSameRegion = 1, kOtherRegion = 2 };
constexpr size_t kLocalityTiers = 3;

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LOCALITY_H_
