#ifndef CAMPHORHOIST_FINDING_H_
#define CAMPHORHOIST_FINDING_H_

#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace camphorhoist {

/// One error found while an input was checked, with its position in the input.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Finding {
 public:
  /// `place` is the position in the input (file and record index, flag name or field path);
  /// `message` states what is wrong and what is allowed.
  Finding(std::string place, std::string message)
      : place_(std::move(place)), message_(std::move(message)) {}

  const std::string& place() const { return place_; }
  const std::string& message() const { return message_; }

  /// Formats the finding as one line, "place: message".
  std::string ToString() const { return place_ + ": " + message_; }

  friend bool operator==(const Finding& a, const Finding& b) {
    return std::tie(a.place_, a.message_) == std::tie(b.place_, b.message_);
  }
  friend bool operator!=(const Finding& a, const Finding& b) { return !(a == b); }
  friend bool operator<(const Finding& a, const Finding& b) {
    return std::tie(a.place_, a.message_) < std::tie(b.place_, b.message_);
  }

 private:
  std::string place_;
  std::string message_;
};

/// Collects findings so that all errors of an input are reported together.
///
/// Thread safety: none; use from one thread.
class Findings {
 public:
  void Add(std::string place, std::string message) {
    items_.emplace_back(std::move(place), std::move(message));
  }
  void Append(const Findings& other) {
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
  }

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  /// Formats the findings, one per line, without a trailing newline.
  std::string ToString() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_FINDING_H_
