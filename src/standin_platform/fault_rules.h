#ifndef CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_
#define CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

enum class FaultMode {
  kNone,
  /// Closes the connection without an answer and without an effect. A rule without filters also
  /// closes the waiting watches when it is set.
  kDown,
  /// Waits before the request is applied, so that a write may take effect after its sender has
  /// given up.
  kSlow,
  /// Applies the request and closes the connection without an answer.
  kLostAnswer,
  /// Closes the connection of matching requests without an effect; leaves waiting watches alone.
  kDropBefore,
};

struct FaultRule {
  FaultMode mode = FaultMode::kNone;
  /// Number of requests that the rule still affects; 0 means no limit.
  uint64_t count = 0;
  std::chrono::milliseconds delay{0};
  std::string key_prefix;
  /// Empty: all methods.
  std::vector<std::string> methods;
};

/// The faults to inject; the first matching rule decides. Thread safety: none.
class FaultRules {
 public:
  /// Replaces all rules by those in `json` (one object or an array). Adds a finding per fault and
  /// changes nothing if there is any.
  void Set(const std::string& json, Findings* findings);
  void Set(std::vector<FaultRule> rules) { rules_ = std::move(rules); }

  /// The rule for one request, with its count reduced; mode `kNone` if none matches.
  FaultRule Match(const std::string& method, const std::string& key);

  /// True if a rule closes every connection.
  bool everything_down() const;
  /// Number of requests affected since the start.
  uint64_t injected() const { return injected_; }

 private:
  std::vector<FaultRule> rules_;
  uint64_t injected_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_
