#ifndef CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_
#define CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// How a fault rule treats the requests that it matches.
enum class FaultMode {
  kNone,
  /// Closes the connection without a response; the request has no effect. Setting a rule without
  /// filters also closes the pending watches.
  kDown,
  /// Applies the request after a delay, so that a write may take effect after its sender has given
  /// up.
  kSlow,
  /// Applies the request, then closes the connection without a response.
  kLostAnswer,
  /// Like `kDown`, but pending watches stay open.
  kDropBefore,
};

struct FaultRule {
  FaultMode mode = FaultMode::kNone;
  /// Remaining number of requests that the rule affects; 0 means no limit.
  uint64_t count = 0;
  std::chrono::milliseconds delay{0};
  /// Object keys that the rule applies to; empty matches all keys.
  std::string key_prefix;
  /// HTTP methods that the rule applies to; empty matches all methods.
  std::vector<std::string> methods;
};

/// Ordered list of faults to inject; the first matching rule applies. Thread safety: none.
class FaultRules {
 public:
  /// Replaces all rules with those in `json`, an object or an array of objects. If the input has
  /// errors, adds one finding per error and changes nothing.
  void Set(const std::string& json, Findings* findings);
  void Set(std::vector<FaultRule> rules) { rules_ = std::move(rules); }

  /// Returns the rule that applies to a request and decrements its remaining count, or a rule with
  /// mode `kNone` if none matches.
  FaultRule Match(const std::string& method, const std::string& key);

  /// True if a `kDown` rule without filters is set.
  bool closes_all_connections() const;
  /// Number of requests that matched a rule since the process started.
  uint64_t injected() const { return injected_; }

 private:
  std::vector<FaultRule> rules_;
  uint64_t injected_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_PLATFORM_FAULT_RULES_H_
