#include "camphorhoistd/call_task.h"

#include <strings.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "camphorhoistd/proxied_call.h"

namespace camphorhoist {

namespace {

constexpr char kTimeoutHeader[] = "X-Camphorhoist-Timeout-Ms";
constexpr char kDepthHeader[] = "X-Camphorhoist-Depth";
constexpr int64_t kMaxHeaderTimeoutMs = 24LL * 60 * 60 * 1000;
constexpr int64_t kMaxDepth = 64;
/// Period at which the buffered response bytes are summed. A sum for each new call would take time
/// proportional to the number of calls in flight.
constexpr std::chrono::milliseconds kBufferSumPeriod{20};

CallTime Now() { return std::chrono::steady_clock::now(); }

/// Returns the value of a numeric header, limited to `max`, or `fallback` if the header is missing
/// or malformed.
int64_t ParseNumberHeader(const CallRequest& request, const char* name, int64_t max,
                          int64_t fallback) {
  const auto it = std::find_if(
      request.headers.begin(), request.headers.end(),
      [name](const auto& header) { return strcasecmp(header.first.c_str(), name) == 0; });
  if (it == request.headers.end() || it->second.empty() || it->second.size() > 12) return fallback;
  if (it->second.find_first_not_of("0123456789") != std::string::npos) return fallback;
  return std::min<int64_t>(std::stoll(it->second), max);
}

}  // namespace

CallTask::CallTask(event_base* base, Options options, std::mt19937_64* rng,
                   CallTransport* transport, const EndpointTable* endpoints)
    : base_(base),
      options_(std::move(options)),
      rng_(rng),
      transport_(transport),
      endpoints_(endpoints),
      balancer_(*Balancer::Create(options_.balancer)),
      id_origin_((*rng)()),
      free_timer_(base, [this] { finished_calls_.clear(); }),
      buffer_sum_timer_(base, [this] { SumBufferedBytes(); }) {
  buffer_sum_timer_.StartPeriodic(kBufferSumPeriod);
}

CallTask::~CallTask() {
  calls_.clear();
  finished_calls_.clear();
}

void CallTask::SetSnapshot(Snapshot::Ptr snapshot) {
  snapshot_ = std::move(snapshot);
  candidates_stale_ = true;
}

CallReason CallTask::AdmissionRefusal() const {
  if (draining_) return CallReason::kDraining;
  if (!snapshot_) return CallReason::kNoConfiguration;
  if (calls_.size() >= options_.max_calls) return CallReason::kOverloaded;
  return buffered_bytes_ > options_.max_buffered_bytes ? CallReason::kOverloaded
                                                       : CallReason::kNone;
}

void CallTask::SumBufferedBytes() {
  buffered_bytes_ = 0;
  for (const auto& it : calls_) buffered_bytes_ += it.first->buffered_bytes();
}

void CallTask::OnCall(CallRequest request, std::shared_ptr<CallReply> reply) {
  ++counters_.received;
  CallReason refusal = AdmissionRefusal();
  std::optional<RouteMatch> match;
  if (refusal == CallReason::kNone) {
    match = snapshot_->MatchRoute(request.method, request.host, request.path);
    if (!match) refusal = CallReason::kNoRoute;
  }
  if (refusal != CallReason::kNone) {
    ++counters_.not_run;
    SendOutcome(reply.get(), {Outcome::kNotRun, refusal});
    return;
  }
  RefreshCandidates();
  const Destination& destination = ChooseDestination(match->destinations());
  ProxiedCall::Params params;
  params.spec = MakeCallSpec(request, *match, destination);
  params.route = match->route->name();
  const ServiceSettings* service = snapshot_->FindService(destination.service);
  params.max_queue_ms = static_cast<uint32_t>(service->max_queue_ms);
  params.snapshot = snapshot_;
  params.request = std::move(request);
  params.reply = std::move(reply);
  auto call = std::make_unique<ProxiedCall>(this, std::move(params));
  ProxiedCall* raw = call.get();
  calls_.emplace(raw, std::move(call));
  raw->Start();
}

const Destination& CallTask::ChooseDestination(const std::vector<Destination>& destinations) {
  if (destinations.size() == 1) return destinations.front();
  int64_t total = 0;
  for (const Destination& it : destinations) total += it.weight;
  int64_t value = std::uniform_int_distribution<int64_t>(0, total - 1)(*rng_);
  for (const Destination& it : destinations) {
    if (value < it.weight) return it;
    value -= it.weight;
  }
  return destinations.back();
}

CallSpec CallTask::MakeCallSpec(const CallRequest& request, const RouteMatch& match,
                                const Destination& destination) {
  CallSpec spec;
  spec.service = destination.service;
  if (!destination.endpoint.empty()) {
    spec.pinned = snapshot_->FindEndpoint(destination.endpoint)->address;
  }
  spec.idempotent = match.idempotent;
  spec.work_class = classifier_.Classify(match.route->name());
  spec.depth = static_cast<uint32_t>(ParseNumberHeader(request, kDepthHeader, kMaxDepth, 0));
  const int64_t timeout =
      std::min(match.timeout_ms(),
               ParseNumberHeader(request, kTimeoutHeader, kMaxHeaderTimeoutMs, match.timeout_ms()));
  spec.deadline = Deadline::After(Now(), std::chrono::milliseconds(timeout));
  spec.hedge = options_.hedging && snapshot_->FindService(destination.service)->hedge;
  return spec;
}

// Adds candidates only for services of the snapshot, so that no route selects an endpoint that this
// node does not know.
void CallTask::RefreshCandidates() {
  if (!candidates_stale_) return;
  candidates_stale_ = false;
  std::vector<BalancerCandidate> candidates;
  for (const std::string& service : snapshot_->ServiceNames()) {
    for (const EndpointRef& it : *endpoints_->Find(service)) {
      const EndpointSettings* settings =
          snapshot_->FindEndpointByAddress(service, it.info.upstream);
      if (settings != nullptr && !settings->enabled) continue;
      BalancerCandidate candidate;
      candidate.endpoint = {service, it.info.upstream, it.node, it.incarnation};
      candidate.tier = it.tier;
      candidate.weight =
          static_cast<uint32_t>(settings != nullptr ? settings->weight : kDefaultEndpointWeight);
      candidate.slots = it.info.slots;
      candidates.push_back(std::move(candidate));
    }
  }
  balancer_.SetCandidates(candidates);
}

void CallTask::Remove(ProxiedCall* call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  // Destroyed later: the call may be on the stack.
  finished_calls_.push_back(std::move(it->second));
  calls_.erase(it);
  free_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
