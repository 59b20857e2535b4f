#include "camphorhoist/rollout_policy.h"

#include <algorithm>
#include <cmath>

namespace camphorhoist {

namespace {

using std::chrono::seconds;

double Seconds(ProxyTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Responses from which a server of the target version counts as one that gets requests.
constexpr double kMinServerResponses = 3;
// Number of time slices in which a single server has to be bad: the calls that fail when it crashes
// are all in one or two.
constexpr int kMinBadSlices = 3;

// Counts of a server that were reported twice, e.g. in another order, have no negative difference.
uint64_t Difference(uint64_t now, uint64_t before) { return now > before ? now - before : 0; }

}  // namespace

void ServerCounts::AddResponse(uint64_t route, bool failed, ProxyDuration service_time) {
  const auto with_route = [this](uint64_t wanted) {
    return std::find_if(routes.begin(), routes.end(),
                        [wanted](const RouteCounts& it) { return it.route == wanted; });
  };
  auto it = with_route(route);
  if (it == routes.end() && routes.size() + 1 >= kMaxRoutes) {
    route = 0;
    it = with_route(route);
  }
  if (it == routes.end()) {
    RouteCounts counts;
    counts.route = route;
    it = routes.insert(routes.end(), counts);
  }
  ++it->responses;
  if (failed) ++it->failures;
  if (failed || service_time.count() <= 0) return;
  const double log_time = std::log2(static_cast<double>(service_time.count()));
  ++it->timed;
  it->log_time_sum += log_time;
  it->log_time_squares += log_time * log_time;
}

void RolloutPolicy::Cell::Add(const Cell& other) {
  responses += other.responses;
  failures += other.failures;
  timed += other.timed;
  log_time_sum += other.log_time_sum;
  log_time_squares += other.log_time_squares;
}

void RolloutPolicy::Evidence::Add(const Evidence& other) {
  failures += other.failures;
  excess += other.excess;
  variance += other.variance;
  timed += other.timed;
  weight += other.weight;
  weighted_difference += other.weighted_difference;
  squares += other.squares;
  degrees += other.degrees;
  failing_slices += other.failing_slices;
  slow_slices += other.slow_slices;
}

void RolloutPolicy::ServerEvidence::Add(const ServerEvidence& other) {
  evidence.Add(other.evidence);
  responses += other.responses;
  failures += other.failures;
}

void RolloutPolicy::RouteEvidence::Add(const RouteEvidence& other) {
  evidence.Add(other.evidence);
  for (const auto& [node, server] : other.servers) servers[node].Add(server);
}

void RolloutPolicy::Comparison::Add(const Comparison& other) {
  for (const auto& [route, evidence] : other.routes) routes[route].Add(evidence);
  all_routes.Add(other.all_routes);
}

RolloutPolicy::RolloutPolicy(RolloutOrder order, RolloutBounds bounds, ProxyTime ordered_at,
                             ProxyTime started_at)
    : order_(std::move(order)), bounds_(bounds), ordered_at_(ordered_at), started_at_(started_at) {
  slice_.start = started_at;
}

ProxyDuration RolloutPolicy::ObservationTime(ProxyDuration period) {
  const ProxyDuration rest = std::clamp<ProxyDuration>(period * 15 / 100, seconds(4), seconds(12));
  return period - std::min(rest, period / 3);
}

void RolloutPolicy::SetServers(size_t target, size_t others) {
  target_servers_ = target;
  other_servers_ = others;
}

void RolloutPolicy::OnCounts(ProxyTime now, const std::string& node, const ServerCounts& counts) {
  CloseSlice(now);
  ServerCounts& before = counts_[node];
  if (before.version != counts.version || before.generation != counts.generation) before = {};
  const bool is_target = counts.version == order_.target_version;
  const uint64_t requests = Difference(counts.requests, before.requests);
  requests_ += requests;
  if (is_target) exposed_ += requests;
  for (const RouteCounts& it : counts.routes) {
    const auto known =
        std::find_if(before.routes.begin(), before.routes.end(),
                     [&it](const RouteCounts& other) { return other.route == it.route; });
    const RouteCounts last = known == before.routes.end() ? RouteCounts() : *known;
    if (it.responses <= last.responses) continue;
    Cell cell;
    cell.responses = static_cast<double>(it.responses - last.responses);
    cell.failures = static_cast<double>(Difference(it.failures, last.failures));
    cell.timed = static_cast<double>(Difference(it.timed, last.timed));
    cell.log_time_sum = it.log_time_sum - last.log_time_sum;
    cell.log_time_squares = it.log_time_squares - last.log_time_squares;
    if (is_target) {
      slice_.target[it.route][node].Add(cell);
    } else {
      slice_.control[it.route].Add(cell);
    }
  }
  before = counts;
}

void RolloutPolicy::CompareFailures(const Cell& target, const Cell& control, Evidence* evidence) {
  if (target.responses <= 0 || control.responses <= 0) return;
  const double n = target.responses + control.responses;
  const double failures = target.failures + control.failures;
  evidence->failures = target.failures;
  evidence->excess = target.failures - target.responses * failures / n;
  evidence->variance =
      target.responses * control.responses * failures * (n - failures) / (n * n * (n - 1));
}

void RolloutPolicy::CompareTimes(const Cell& target, const Cell& control, Evidence* evidence) {
  if (target.timed <= 0 || control.timed <= 0) return;
  const double target_mean = target.log_time_sum / target.timed;
  const double control_mean = control.log_time_sum / control.timed;
  evidence->timed = target.timed;
  evidence->weight = target.timed * control.timed / (target.timed + control.timed);
  evidence->weighted_difference = evidence->weight * (target_mean - control_mean);
  // Rounding may make the difference of the sums negative.
  evidence->squares =
      std::max(0.0, target.log_time_squares - target.timed * target_mean * target_mean) +
      std::max(0.0, control.log_time_squares - control.timed * control_mean * control_mean);
  evidence->degrees = target.timed + control.timed - 2;
}

void RolloutPolicy::CountSlices(Evidence* evidence) {
  const double slow = std::log2(kSlowFactor) * evidence->weight;
  evidence->failing_slices = evidence->excess > 0 ? 1 : 0;
  evidence->slow_slices = evidence->weighted_difference > slow ? 1 : 0;
}

RolloutPolicy::Comparison RolloutPolicy::Compare(const Slice& slice) {
  Comparison result;
  Cell all_target;
  Cell all_control;
  for (const auto& it : slice.control) all_control.Add(it.second);
  for (const auto& [route, servers] : slice.target) {
    const auto known = slice.control.find(route);
    const Cell control = known == slice.control.end() ? Cell() : known->second;
    RouteEvidence& compared = result.routes[route];
    Cell target;
    for (const auto& [node, cell] : servers) {
      target.Add(cell);
      ServerEvidence& server = compared.servers[node];
      server.responses = cell.responses;
      server.failures = cell.failures;
      CompareFailures(cell, control, &server.evidence);
      CompareTimes(cell, control, &server.evidence);
      CountSlices(&server.evidence);
      ServerEvidence& total = result.all_routes.servers[node];
      total.evidence.Add(server.evidence);
      total.responses += cell.responses;
      total.failures += cell.failures;
    }
    CompareFailures(target, control, &compared.evidence);
    CompareTimes(target, control, &compared.evidence);
    CountSlices(&compared.evidence);
    result.all_routes.evidence.Add(compared.evidence);
    all_target.Add(target);
  }
  CompareFailures(all_target, all_control, &result.all_routes.evidence);
  CountSlices(&result.all_routes.evidence);
  for (auto& it : result.all_routes.servers) CountSlices(&it.second.evidence);
  return result;
}

bool RolloutPolicy::IsFailing(const Evidence& evidence, const Thresholds& thresholds) {
  // Half a failure less corrects for the discrete distribution of few failures.
  return evidence.failing_slices >= thresholds.min_slices &&
         evidence.failures >= thresholds.min_failures &&
         evidence.excess - 0.5 > thresholds.failure_errors * std::sqrt(evidence.variance);
}

bool RolloutPolicy::IsSlow(const Evidence& evidence, const Thresholds& thresholds) {
  // Differences between equal servers are not smaller than this, even if a few samples are equal.
  constexpr double kMinDeviation = 0.3;
  if (evidence.slow_slices < thresholds.min_slices) return false;
  if (evidence.timed < thresholds.min_timed || evidence.degrees < 2) return false;
  const double difference = evidence.weighted_difference / evidence.weight;
  const double deviation = std::max(kMinDeviation, std::sqrt(evidence.squares / evidence.degrees));
  // An estimate from few samples is less certain, as in Student's distribution.
  const double error = (1 + 2 / evidence.degrees) * deviation / std::sqrt(evidence.weight);
  return difference > std::log2(kSlowFactor) && difference > thresholds.time_errors * error;
}

bool RolloutPolicy::IsFailingOnServers(const RouteEvidence& route, bool single_server,
                                       const Thresholds& thresholds) {
  int servers = 0;
  int slices = 0;
  for (const auto& it : route.servers) {
    if (it.second.failures >= thresholds.min_failures_per_server) ++servers;
    slices = std::max(slices, it.second.evidence.failing_slices);
  }
  return servers > 1 || (single_server && slices >= kMinBadSlices);
}

bool RolloutPolicy::IsSlowOnServers(const RouteEvidence& route, bool single_server) {
  // Half of the factor: what is compared here is less certain than the sum.
  const double slow = std::log2(kSlowFactor) / 2;
  int servers = 0;
  int slices = 0;
  for (const auto& it : route.servers) {
    const Evidence& evidence = it.second.evidence;
    if (evidence.weighted_difference > slow * evidence.weight) ++servers;
    slices = std::max(slices, it.second.evidence.slow_slices);
  }
  return servers > 1 || (single_server && slices >= kMinBadSlices);
}

const char* RolloutPolicy::Judge(const Comparison& comparison, const Thresholds& thresholds) {
  int servers = 0;
  for (const auto& it : comparison.all_routes.servers) {
    if (it.second.responses >= kMinServerResponses) ++servers;
  }
  const bool single = servers < 2;
  const auto judge = [single, &thresholds](const RouteEvidence& route) -> const char* {
    if (IsFailing(route.evidence, thresholds) && IsFailingOnServers(route, single, thresholds)) {
      return "failures";
    }
    return IsSlow(route.evidence, thresholds) && IsSlowOnServers(route, single) ? "slow" : nullptr;
  };
  for (const auto& it : comparison.routes) {
    if (const char* reason = judge(it.second)) return reason;
  }
  return judge(comparison.all_routes);
}

const char* RolloutPolicy::JudgeWindows(ProxyTime now, bool is_last) const {
  constexpr Thresholds kThresholds{kStandardErrors, kStandardErrors, kMinFailures, kMinTimed, 2, 2};
  constexpr Thresholds kFinalThresholds{
      kFinalFailureErrors, kFinalTimeErrors, kFinalMinFailures, kFinalMinTimed, 1, 1};
  Comparison window = Compare(slice_);
  Comparison total = window;
  total.Add(total_);
  if (const char* reason = Judge(total, is_last ? kFinalThresholds : kThresholds)) return reason;
  bool short_judged = false;
  for (auto it = recent_.rbegin(); it != recent_.rend(); ++it) {
    if (!short_judged && it->end + kShortWindow <= now) {
      short_judged = true;
      if (const char* reason = Judge(window, kThresholds)) return reason;
    }
    window.Add(it->comparison);
  }
  return Judge(window, kThresholds);
}

void RolloutPolicy::CloseSlice(ProxyTime now) {
  const auto age = now - slice_.start;
  // The first slice collects the counts of all servers.
  if (age < kMinSlice || now < started_at_ + kSettleTime) return;
  double control = 0;
  double target = 0;
  for (const auto& it : slice_.control) control += it.second.responses;
  for (const auto& route : slice_.target) {
    for (const auto& it : route.second) target += it.second.responses;
  }
  if (std::min(target, control) < kMinSliceResponses && age < kMaxSlice) return;
  const Comparison comparison = Compare(slice_);
  total_.Add(comparison);
  recent_.push_back({now, comparison});
  while (recent_.front().end + kLongWindow < now) recent_.pop_front();
  slice_ = Slice();
  slice_.start = now;
}

double RolloutPolicy::RequestRate(ProxyTime now) {
  constexpr seconds kWindow{4};
  rate_samples_.emplace_back(now, requests_);
  while (rate_samples_.size() > 2 && rate_samples_[1].first + kWindow <= now) {
    rate_samples_.pop_front();
  }
  const auto& first = rate_samples_.front();
  const double elapsed = Seconds(now - first.first);
  if (elapsed <= 0) return 1;
  return std::max(1.0, static_cast<double>(requests_ - first.second) / elapsed);
}

void RolloutPolicy::SetShare(ProxyTime now, RolloutDecision* decision) {
  const double rate = RequestRate(now);
  const double bound = bounds_.exposure_share;
  decision->share = std::min(kSmallestShare, bound);
  if (now < started_at_ + kSettleTime) return;
  const double observation = std::max(1.0, Seconds(ObservationTime(order_.period)));
  const double elapsed = Seconds(now - ordered_at_);
  const auto requests = static_cast<double>(requests_);
  const auto exposed = static_cast<double>(exposed_);
  const double planned_slack = kPlannedSlack * bounds_.exposure_slack;
  const double limit = (1 + kPlannedExposure) / 2 * bound * requests +
                       (1 + kPlannedSlack) / 2 * bounds_.exposure_slack;
  if (exposed > limit) {
    decision->share = 0;
    return;
  }
  // At low load the requests beyond the share give most of the samples.
  const double extra = std::min(kLargestBurst, planned_slack / observation / rate);
  const double small = std::min(kLargestBurst, kFirstStep * bound + extra);
  const double medium = std::min(kLargestBurst, kSecondStep * bound + extra);
  const bool first = elapsed < kFirstStepEnd * observation;
  decision->share = first ? small : medium;
  if (elapsed < kSecondStepEnd * observation) return;
  const auto servers =
      static_cast<double>(std::max<size_t>({target_servers_, other_servers_, size_t{1}}));
  const double burst = std::min(kLargestBurst, kMinServers / servers);
  const double left = std::max(0.0, Seconds(order_.period) - elapsed);
  const double planned =
      kPlannedExposure * bound * (requests + kExpectedRequests * rate * left) + planned_slack;
  if (burst <= kPlannedExposure * bound + extra) {
    decision->share = exposed < planned ? kPlannedExposure * bound + extra : small;
    return;
  }
  decision->share = small;
  const double cost = burst * rate * Seconds(kBurstTime + kReportDelay);
  if (now >= burst_end_ + kReportDelay && exposed + cost < planned) burst_end_ = now + kBurstTime;
  if (now >= burst_end_) return;
  decision->share = burst;
  decision->valid_for = std::chrono::duration_cast<ProxyDuration>(burst_end_ - now);
}

ProxyTime RolloutPolicy::ObservationEnd() const {
  const ProxyDuration observation = ObservationTime(order_.period);
  const ProxyTime end = ordered_at_ + observation;
  // Servers that this process knows from its start may have been compared by the previous writer.
  if (!target_since_ || *target_since_ <= started_at_ + kSettleTime) return end;
  const std::chrono::duration<double, std::micro> late = kLateObservation * observation;
  return std::max(end, *target_since_ + std::chrono::duration_cast<ProxyDuration>(late));
}

RolloutDecision RolloutPolicy::Decide(ProxyTime now) {
  if (decision_.verdict != RolloutVerdict::kNone) return decision_;
  if (target_servers_ > 0 && !target_since_) target_since_ = now;
  CloseSlice(now);
  const bool settled = now >= started_at_ + kSettleTime;
  const bool is_last = settled && now >= ObservationEnd();
  const char* reason = settled ? JudgeWindows(now, is_last) : nullptr;
  if (reason != nullptr) {
    decision_.verdict = RolloutVerdict::kBad;
    decision_.reason = reason;
    return decision_;
  }
  if (is_last && target_servers_ > 0) {
    decision_.verdict = RolloutVerdict::kGood;
    decision_.share = 1;
    return decision_;
  }
  RolloutDecision decision;
  SetShare(now, &decision);
  const auto servers = static_cast<double>(std::max(target_servers_, other_servers_));
  decision.servers =
      std::max(kMinServers, static_cast<uint32_t>(std::ceil(decision.share * servers)));
  return decision;
}

}  // namespace camphorhoist
