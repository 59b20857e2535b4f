#ifndef CAMPHORHOIST_CONFIG_VERSION_H_
#define CAMPHORHOIST_CONFIG_VERSION_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace camphorhoist {

/// Version of the whole configuration. Versions are totally ordered, first by epoch, then by
/// number. Each accepted change set increments the number. The default value is lower than every
/// accepted version.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class ConfigVersion {
 public:
  ConfigVersion() = default;
  ConfigVersion(uint64_t epoch, uint64_t number) : epoch_(epoch), number_(number) {}

  uint64_t epoch() const { return epoch_; }
  uint64_t number() const { return number_; }
  /// True for the default value, which means that no version is known.
  bool none() const { return epoch_ == 0 && number_ == 0; }
  /// Formats as "epoch.number".
  std::string ToString() const { return std::to_string(epoch_) + "." + std::to_string(number_); }

  friend bool operator==(const ConfigVersion& a, const ConfigVersion& b) {
    return std::tie(a.epoch_, a.number_) == std::tie(b.epoch_, b.number_);
  }
  friend bool operator!=(const ConfigVersion& a, const ConfigVersion& b) { return !(a == b); }
  friend bool operator<(const ConfigVersion& a, const ConfigVersion& b) {
    return std::tie(a.epoch_, a.number_) < std::tie(b.epoch_, b.number_);
  }
  friend bool operator>(const ConfigVersion& a, const ConfigVersion& b) { return b < a; }
  friend bool operator<=(const ConfigVersion& a, const ConfigVersion& b) { return !(b < a); }
  friend bool operator>=(const ConfigVersion& a, const ConfigVersion& b) { return !(a < b); }

 private:
  uint64_t epoch_ = 0;
  uint64_t number_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_VERSION_H_
