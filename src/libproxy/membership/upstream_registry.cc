#include "camphorhoist/upstream_registry.h"

#include <algorithm>

namespace camphorhoist {

namespace {

bool SameIncarnation(const UpstreamReport& a, const UpstreamReport& b) {
  return a.instance == b.instance && a.started_ms == b.started_ms;
}

}  // namespace

bool AddDeparture(const UpstreamDeparture& departure, std::deque<UpstreamDeparture>* departures) {
  if (std::find(departures->begin(), departures->end(), departure) != departures->end()) {
    return false;
  }
  departures->push_back(departure);
  if (departures->size() <= UpstreamRegistry::kMaxDepartures) return true;
  // The added one is kept whatever its start: clocks may have been set back.
  departures->erase(std::min_element(departures->begin(), departures->end() - 1,
                                     [](const UpstreamDeparture& a, const UpstreamDeparture& b) {
                                       return a.started_ms < b.started_ms;
                                     }));
  return true;
}

bool UpstreamRegistry::HasDeparted(const UpstreamReport& report) const {
  return std::any_of(departures_.begin(), departures_.end(),
                     [&report](const UpstreamDeparture& it) {
                       if (it.instance != report.instance) return false;
                       if (it.started_ms && report.started_ms) {
                         return *it.started_ms == *report.started_ms;
                       }
                       return report.sequence > kMaxRestartSequence;
                     });
}

bool UpstreamRegistry::IsFromEarlierIncarnation(const UpstreamReport& report) const {
  if (!current_ || !current_->started_ms || !report.started_ms) return false;
  return *report.started_ms < *current_->started_ms;
}

void UpstreamRegistry::RecordDeparture(const UpstreamReport& report) {
  AddDeparture({report.instance, report.started_ms}, &departures_);
}

void UpstreamRegistry::Restore(const UpstreamDeparture& departure) {
  UpstreamReport report;
  report.instance = departure.instance;
  report.started_ms = departure.started_ms;
  RecordDeparture(report);
  const bool is_ready = current_ && current_->state == UpstreamState::kReady;
  if (is_ready && HasDeparted(*current_)) current_->state = UpstreamState::kDraining;
}

UpstreamRegistry::Change UpstreamRegistry::Apply(ProxyTime now, const UpstreamReport& report) {
  if (report.state == UpstreamState::kLeft) {
    // A deregistration need not contain the start time.
    const bool is_current = current_ && current_->instance == report.instance &&
                            (!report.started_ms || report.started_ms == current_->started_ms);
    if (!is_current) {
      RecordDeparture(report);
      return Change::kIgnored;
    }
    RecordDeparture(*current_);
    const bool was_ready = current_->state == UpstreamState::kReady;
    current_->state = UpstreamState::kLeft;
    return was_ready ? Change::kDeactivated : Change::kIgnored;
  }
  if (IsFromEarlierIncarnation(report)) return Change::kIgnored;
  const bool same_incarnation = current_ && SameIncarnation(*current_, report);
  if (same_incarnation && report.sequence <= current_->sequence) return Change::kIgnored;
  if (report.state == UpstreamState::kDraining) {
    const bool was_ready = !same_incarnation || current_->state == UpstreamState::kReady;
    const bool had_left = same_incarnation && current_->state == UpstreamState::kLeft;
    RecordDeparture(report);
    if (had_left) return Change::kIgnored;
    current_ = report;
    last_report_ = now;
    return was_ready ? Change::kDeactivated : Change::kRefreshed;
  }
  if (HasDeparted(report)) return Change::kIgnored;
  const bool was_ready = same_incarnation && ready(now);
  current_ = report;
  last_report_ = now;
  reachable_ = true;
  return was_ready ? Change::kRefreshed : Change::kActivated;
}

bool UpstreamRegistry::ready(ProxyTime now) const {
  return current_ && current_->state == UpstreamState::kReady && reachable_ && now < expiry();
}

bool UpstreamRegistry::Accepts(ProxyTime now, const std::string& service,
                               const std::string& instance) const {
  return ready(now) && current_->service == service &&
         (instance.empty() || current_->instance == instance);
}

ProxyDuration UpstreamRegistry::warm_up_left(ProxyTime now) const {
  if (!current_) return ProxyDuration(0);
  const auto passed = std::chrono::duration_cast<ProxyDuration>(now - last_report_);
  return std::max(ProxyDuration(0), current_->warm_up - passed);
}

}  // namespace camphorhoist
