#include "camphorhoist_load/arrivals.h"

#include <cstdlib>
#include <sstream>
#include <utility>

namespace camphorhoist {

namespace {

constexpr double kMaxRate = 1e6;
constexpr double kMaxSeconds = 86400;

std::optional<double> ParsePositive(const std::string& text, double max_value) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value > 0) || value > max_value) return std::nullopt;
  return value;
}

}  // namespace

std::vector<RateStep> ParseSteps(const std::string& text, const std::string& place,
                                 Findings* findings) {
  std::vector<RateStep> steps;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');) {
    const size_t colon = it.find(':');
    const auto rate = ParsePositive(it.substr(0, colon), kMaxRate);
    const auto seconds = colon == std::string::npos
                             ? std::nullopt
                             : ParsePositive(it.substr(colon + 1), kMaxSeconds);
    if (rate && seconds) {
      steps.push_back({*rate, *seconds});
    } else {
      findings->Add(
          place, "\"" + it +
                     "\" is not RATE:SECONDS with a rate of up to 1000000 and up to 86400 seconds");
    }
  }
  return steps;
}

ArrivalSchedule::ArrivalSchedule(std::vector<RateStep> steps, uint64_t seed)
    : steps_(std::move(steps)),
      random_(seed),
      step_end_(steps_.empty() ? 0 : steps_.front().seconds) {}

std::optional<Arrival> ArrivalSchedule::Next() {
  while (step_ < steps_.size()) {
    std::exponential_distribution<double> gap(steps_[step_].rate);
    const double next = now_ + gap(random_);
    if (next < step_end_) {
      now_ = next;
      return Arrival{std::chrono::microseconds(static_cast<int64_t>(now_ * 1e6)), step_};
    }
    // Exponential gaps are memoryless, so the gap is drawn again from the start of the next step.
    now_ = step_end_;
    ++step_;
    if (step_ < steps_.size()) step_end_ += steps_[step_].seconds;
  }
  return std::nullopt;
}

}  // namespace camphorhoist
