#include "libsidecar/dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "camphorhoist/caller_identity.h"
#include "libbase/log.h"
#include "libcaller/http_headers.h"
#include "platform/message_headers.h"

namespace camphorhoist {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kInternalError = 500;

// The name of the route is not part of the profile: routes of one service with the same method,
// kind, objective and priority are assumed to cause the same kind of work.
uint64_t ComputeProfile(const MeshRoute& route, const std::string& service,
                        const std::string& method) {
  const std::string text =
      service + "|" + method + "|" + std::to_string(static_cast<int>(route.kind)) + "|" +
      std::to_string(route.objective.count()) + "|" + std::to_string(route.priority);
  return XXH64(text.data(), text.size(), 0);
}

double Milliseconds(ProxyDuration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

Dispatcher::Dispatcher(event_base* base, const SidecarSettings* settings, uint64_t incarnation,
                       PeerDirectory* directory, LocalUpstream* local, PermitExchange* permits,
                       RolloutExchange* rollouts, SidecarMetrics* metrics)
    : base_(base),
      settings_(settings),
      incarnation_(incarnation),
      directory_(directory),
      local_(local),
      permits_(permits),
      rollouts_(rollouts),
      metrics_(metrics),
      budget_(settings->retry_budget),
      rng_(incarnation),
      local_results_(
          base, [this](CallResult result) { OnResult(directory_->self(), std::move(result)); }) {}

const std::string& Dispatcher::ChooseService(const MeshRoute& route) {
  double total = 0;
  for (const WeightedService& it : route.destinations) total += it.weight;
  double point = std::uniform_real_distribution<double>(0, total)(rng_);
  for (const WeightedService& it : route.destinations) {
    point -= it.weight;
    if (point < 0 && it.weight > 0) return it.service;
  }
  return route.destinations.back().service;
}

// Returns the time that the caller spent on earlier attempts. A caller that retries after a refusal
// sends the time it has left, while its latency objective counts from its first attempt. A caller
// that has much less time than others has set a shorter timeout: retries come sooner than the
// objective passes.
ProxyDuration Dispatcher::PreviousAttemptTime(const MeshRoute& route, uint64_t profile,
                                              ProxyDuration timeout) {
  constexpr size_t kMaxProfiles = 1024;
  if (longest_timeout_.size() > kMaxProfiles) longest_timeout_.clear();
  ProxyDuration& longest = longest_timeout_[profile];
  longest = std::max(longest, timeout);
  const ProxyDuration spent = longest - timeout;
  return spent < route.objective ? spent : ProxyDuration(0);
}

Dispatcher::Handle Dispatcher::Start(CallerRequest request, Callback callback) {
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  call->handle = next_handle_++;
  call->request = std::move(request);
  call->callback = std::move(callback);
  call->arrived_at = steady_clock::now();
  const Handle handle = call->handle;
  calls_.emplace(handle, std::move(owned));
  metrics_->Count("requests_total");

  const platform::CallerHeaders caller = platform::DecodeCallerHeaders(call->request.headers);
  platform::RemoveCallerKey(&call->request.headers);
  call->request_id = caller.request_id;
  call->nested = local_->IsRunningParentOf(call->request_id);
  call->deadline = call->arrived_at + kTimeoutWithoutConfig;
  if (config_ == nullptr) {
    Refuse(call, "no_configuration");
    return handle;
  }
  const std::string host = FindHeader(call->request.headers, "Host").value_or("");
  const MeshRoute* route = config_->Match(host, call->request.target);
  if (route == nullptr) {
    Fail(call, kNotFound, "no_route");
    return handle;
  }
  if (call->request_id.empty()) {
    Fail(call, kBadRequest, "no_request_id");
    return handle;
  }
  call->route = *route;
  if (!CheckKey(call, caller.key)) return handle;
  call->service = ChooseService(*route);
  call->profile = ComputeProfile(*route, call->service, call->request.method);
  ProxyDuration timeout = route->timeout;
  ProxyDuration spent(0);
  if (caller.timeout) {
    timeout = std::min<ProxyDuration>(timeout, *caller.timeout);
    spent = PreviousAttemptTime(*route, call->profile, *caller.timeout);
  }
  call->deadline = call->arrived_at + timeout;
  call->objective = call->arrived_at + route->objective - spent;
  // After a late response the parent call can still continue; a refusal wastes the work already
  // done for it.
  if (call->nested) call->objective = call->deadline;
  if (call->deadline > latest_deadline_) {
    Refuse(call, ToString(ResultReason::kStopping));
    return handle;
  }
  call->timer = std::make_unique<Timer>(base_, [this, handle] { OnDeadline(handle); });
  call->timer->StartOnce(timeout + kResultSlack);
  if (TakePermit(call)) StartPlacement(call);
  return handle;
}

void Dispatcher::StartPlacement(Call* call) {
  budget_.OnRequest(call->arrived_at, call->service);
  call->to_target_version = rollouts_->ChooseTarget(call->service);
  OfferToNextServer(call);
}

bool Dispatcher::TakePermit(Call* call) {
  if (call->organisation.empty() || call->nested || call->route.is_public) return true;
  const OrganisationLimiter::Result result =
      permits_->Acquire(call->organisation, call->handle, call->deadline);
  switch (result.outcome) {
    case OrganisationLimiter::Outcome::kPermitted:
      return true;
    case OrganisationLimiter::Outcome::kWaiting:
      call->waits_for_permit = true;
      return false;
    case OrganisationLimiter::Outcome::kRejected:
      RejectOverLimit(call, result.retry_after);
      return false;
  }
  return false;
}

void Dispatcher::OnPermit(Handle handle, const OrganisationLimiter::Result& result) {
  const auto it = calls_.find(handle);
  if (it == calls_.end() || !it->second->waits_for_permit) return;
  Call* call = it->second.get();
  call->waits_for_permit = false;
  if (result.outcome != OrganisationLimiter::Outcome::kPermitted) {
    return RejectOverLimit(call, result.retry_after);
  }
  if (call->may_have_run) return OfferToNextServer(call);
  StartPlacement(call);
}

void Dispatcher::Repeat(Call* call) {
  call->may_have_run = true;
  if (TakePermit(call)) OfferToNextServer(call);
}

void Dispatcher::RejectOverLimit(Call* call, ProxyDuration retry_after) {
  // 429 tells the caller that the request was not executed.
  if (call->may_have_run) return Fail(call, kBadGateway, "rate_limited");
  const auto delay = std::chrono::ceil<milliseconds>(retry_after);
  const auto held = steady_clock::now() - call->arrived_at;
  metrics_->Count("rate_limited_total");
  LogEvent(LogLevel::kInfo, "call", "rate_limited")
      .Add("request", call->request_id)
      .Add("organisation", call->organisation)
      .Add("held_ms", Milliseconds(duration_cast<ProxyDuration>(held)))
      .Add("retry_after_ms", delay.count());
  CallerResponse response;
  response.status = kTooManyRequests;
  platform::AddRetryAfter(delay, &response.headers);
  Finish(call, std::move(response));
}

bool Dispatcher::CheckKey(Call* call, const std::string& key) {
  const CallerIdentity identity =
      CallerIdentity::Decide(*config_, call->route, {key, call->request_id, call->nested},
                             duration_cast<ProxyDuration>(call->arrived_at - started_at_));
  switch (identity.verdict()) {
    case CallerIdentity::Verdict::kAccepted:
      call->organisation = identity.organisation();
      call->priority = identity.priority();
      return true;
    case CallerIdentity::Verdict::kMissingKey:
    case CallerIdentity::Verdict::kUnknownKey:
      Fail(call, kUnauthorized, ToString(identity.verdict()));
      return false;
    case CallerIdentity::Verdict::kUnknownParent:
      Refuse(call, ToString(identity.verdict()));
      return false;
  }
  return false;
}

ServerCandidates Dispatcher::Candidates(const Call& call) const {
  const auto now = steady_clock::now();
  ServerCandidates candidates;
  for (const auto& [node, peer] : directory_->peers()) {
    const UpstreamStatus& status = peer->status;
    if (!status.ready || status.service != call.service || !peer->usable()) continue;
    peer->candidate.warm_up = status.warm_up;
    // The sidecar beside the server sees the calls of all senders, this one sees failures on the
    // way.
    const double age = std::chrono::duration<double>(now - peer->candidate.load_time).count();
    const double decay_time = std::chrono::duration<double>(FailureShare::kDecayTime).count();
    peer->candidate.failure_share =
        std::max(peer->failure_share.Get(now),
                 peer->candidate.load.failure_share * std::exp(-age / decay_time));
    candidates.push_back(&peer->candidate);
  }
  // A retry would add to the share of the target version.
  rollouts_->Restrict(call.service, call.to_target_version && call.placement.offers() == 0,
                      &candidates);
  return candidates;
}

// Called when the caller has disconnected, or the call has expired, before the pending offer had a
// result.
void Dispatcher::RecordAbandonedOffer(const Call& call) {
  Peer* peer = directory_->Find(call.node);
  if (peer == nullptr || handles_by_offer_.count(call.offer_id) == 0) return;
  const auto waited = steady_clock::now() - call.offered_at;
  // The mean that the server reports includes the calls that it holds, so it is believed only as
  // far as servers differ for such calls.
  ProxyDuration expected = peer->candidate.load.service_time;
  const ProxyDuration typical = estimates_.Get(call.profile).service_time;
  if (typical.count() > 0) {
    const auto longest =
        ServerQueue::kMaxRelativeServiceTime * static_cast<double>(typical.count());
    expected = std::min(expected, ProxyDuration(static_cast<int64_t>(longest)));
  }
  if (waited <= kSlowOfferFactor * expected) return;
  peer->failure_share.Record(steady_clock::now(), true);
}

void Dispatcher::OfferToNextServer(Call* call) {
  const ServerCandidates candidates = Candidates(*call);
  CallEstimate estimate = estimates_.Get(call->profile);
  estimate.request_bytes = call->request.body.size();
  const std::optional<CallPlacement::Offer> offer = call->placement.NextOffer(
      steady_clock::now(), settings_->data_centre, estimate, candidates, &rng_);
  if (!offer) return Refuse(call, call->placement.overloaded() ? "overload" : "no_server");
  Offer(call, directory_->Find(candidates[offer->index]->node), offer->max_wait);
}

void Dispatcher::Offer(Call* call, Peer* peer, ProxyDuration max_wait) {
  ++peer->candidate.offers_since_report;
  call->offer_id = CallId(incarnation_, next_offer_++);
  call->offered_at = steady_clock::now();
  call->node = peer->node;
  call->node_incarnation = peer->incarnation;
  call->connection_lost = false;
  call->uses_bulk_link =
      call->route.kind == RequestKind::kBulk && !peer->local() && peer->bulk_link->up();
  handles_by_offer_[call->offer_id] = call->handle;
  if (!peer->local()) LinkOf(*call, peer)->AddOutstanding(1);
  SendOffer(call, peer, max_wait);
}

PeerLink* Dispatcher::LinkOf(const Call& call, Peer* peer) const {
  return call.uses_bulk_link ? peer->bulk_link.get() : peer->link.get();
}

void Dispatcher::SendOffer(Call* call, Peer* peer, ProxyDuration max_wait) {
  const auto now = steady_clock::now();
  CallOffer offer;
  offer.id = call->offer_id;
  offer.service = call->service;
  offer.instance = peer->status.instance;
  offer.request_id = call->request_id;
  offer.method = call->request.method;
  offer.target = call->request.target;
  offer.headers = call->request.headers;
  offer.body = call->request.body;
  offer.origin_service = settings_->service;
  offer.time_left = duration_cast<ProxyDuration>(call->deadline - now);
  offer.objective_left = duration_cast<ProxyDuration>(call->objective - now);
  offer.profile = call->profile;
  offer.priority = call->priority;
  offer.organisation = call->organisation;
  offer.route = rollouts_->RouteHash(call->route.name);
  offer.nested = call->nested;
  offer.idempotent = call->route.idempotent();
  offer.max_wait = max_wait;
  offer.bulk = call->route.kind == RequestKind::kBulk;
  offer.typical_service_time = estimates_.Get(call->profile).service_time;
  offer.objective_time = call->route.objective;
  if (!peer->local()) return LinkOf(*call, peer)->Send(std::move(offer));
  local_->Offer(std::move(offer), 0,
                [this](CallResult result) { local_results_.Post(std::move(result)); });
}

void Dispatcher::OnResult(Peer* peer, CallResult result) {
  directory_->UpdateLoad(peer, result.load);
  if (result.leaving) directory_->OnDeparture(peer->node, *result.leaving);
  const auto it = handles_by_offer_.find(result.id);
  if (it == handles_by_offer_.end()) return;
  Call* call = calls_.at(it->second).get();
  ReleaseOffer(call);
  if (result.reached_upstream) ++call->servers_reached;
  switch (result.kind) {
    case ResultKind::kNotRun:
      return OnNotRun(call, peer, result);
    case ResultKind::kUnknown:
      peer->failure_share.Record(steady_clock::now(), true);
      return OnUnknown(call, peer->node, result.reason);
    case ResultKind::kResponse:
      break;
  }
  const bool failed = result.status >= kInternalError;
  peer->failure_share.Record(steady_clock::now(), failed);
  if (failed) call->placement.OnFailed(peer->node);
  if (failed && call->route.idempotent() && MayRetry(call)) {
    LogEvent(LogLevel::kInfo, "call", "repeated")
        .Add("request", call->request_id)
        .Add("node", peer->node)
        .Add("status", result.status);
    return Repeat(call);
  }
  metrics_->Count("responses_total");
  const auto now = steady_clock::now();
  if (now > call->objective) {
    metrics_->Count("responses_late_total");
    LogEvent(LogLevel::kInfo, "call", "late")
        .Add("request", call->request_id)
        .Add("nested", call->nested)
        .Add("service", call->service)
        .Add("node", peer->node)
        .Add("status", result.status)
        .Add("offers", call->placement.offers())
        .Add("servers_reached", call->servers_reached)
        .Add("held_ms", Milliseconds(duration_cast<ProxyDuration>(now - call->arrived_at)));
  }
  if (!failed) estimates_.Record(call->profile, result.body.size(), result.service_time);
  Finish(call, {result.status, std::move(result.headers), std::move(result.body)});
}

void Dispatcher::OnNotRun(Call* call, Peer* peer, const CallResult& result) {
  metrics_->Count("offers_declined_total", ToString(result.reason));
  if (result.reason == ResultReason::kBusy) {
    call->placement.OnBusy(peer->node, result.load.expected_wait);
    return OfferToNextServer(call);
  }
  if (result.reason == ResultReason::kHopeless) {
    call->placement.OnHopeless(peer->node, result.load.expected_wait);
    return OfferToNextServer(call);
  }
  call->placement.OnFailed(peer->node);
  if (!result.reached_upstream) {
    // The peer's next status message reports when it accepts calls again. A stopping peer still
    // accepts calls that complete in time, until it reports otherwise.
    if (result.reason != ResultReason::kStopping) peer->status.ready = false;
    return OfferToNextServer(call);
  }
  peer->failure_share.Record(steady_clock::now(), true);
  if (!MayRetry(call)) return Refuse(call, ToString(result.reason));
  OfferToNextServer(call);
}

bool Dispatcher::MayRetry(Call* call) {
  const auto now = steady_clock::now();
  if (call->servers_reached >= call->route.max_servers) return false;
  if (call->deadline - now < kMinRetryTime) return false;
  if (!call->placement.HasAlternative(Candidates(*call))) return false;
  if (!budget_.TryTake(now, call->service, directory_->size())) {
    metrics_->Count("repeats_without_budget_total");
    return false;
  }
  metrics_->Count("repeats_total");
  return true;
}

void Dispatcher::OnUnknown(Call* call, const std::string& node, ResultReason reason) {
  call->placement.OnFailed(node);
  if (call->route.idempotent() && MayRetry(call)) {
    LogEvent(LogLevel::kInfo, "call", "repeated")
        .Add("request", call->request_id)
        .Add("node", node)
        .Add("reason", ToString(reason));
    return Repeat(call);
  }
  const bool expired = reason == ResultReason::kTimeout || steady_clock::now() >= call->deadline;
  Fail(call, expired ? kGatewayTimeout : kBadGateway, ToString(reason));
}

void Dispatcher::OnPeerUp(Peer* peer) {
  std::vector<Handle> handles;
  for (const auto& [handle, call] : calls_) {
    if (call->connection_lost && call->node == peer->node) handles.push_back(handle);
  }
  for (const Handle handle : handles) {
    const auto it = calls_.find(handle);
    if (it == calls_.end()) continue;
    Call* call = it->second.get();
    call->reconnect_timer.reset();
    if (call->node_incarnation == peer->incarnation) {
      ResendOffer(call, peer);
    } else {
      OnOfferLost(call);
    }
  }
}

void Dispatcher::OnPeerDown(Peer* peer, bool terminated) {
  std::vector<Handle> handles;
  for (const auto& [handle, call] : calls_) {
    if (call->node != peer->node || handles_by_offer_.count(call->offer_id) == 0) continue;
    if (!call->connection_lost && LinkOf(*call, peer)->up()) continue;
    handles.push_back(handle);
  }
  for (const Handle handle : handles) {
    const auto it = calls_.find(handle);
    if (it == calls_.end()) continue;
    Call* call = it->second.get();
    if (!call->connection_lost) LinkOf(*call, peer)->AddOutstanding(-1);
    if (terminated) {
      call->reconnect_timer.reset();
      OnOfferLost(call);
      continue;
    }
    if (call->connection_lost) continue;
    if (call->uses_bulk_link && peer->link->up()) {
      // The main connection is still up.
      ResendOffer(call, peer);
      continue;
    }
    call->connection_lost = true;
    call->reconnect_timer =
        std::make_unique<Timer>(base_, [this, handle] { OnReconnectTimeout(handle); });
    call->reconnect_timer->StartOnce(kReconnectTimeout);
  }
}

void Dispatcher::OnReconnectTimeout(Handle handle) {
  const auto it = calls_.find(handle);
  if (it == calls_.end() || !it->second->connection_lost) return;
  Call* call = it->second.get();
  OnOfferLost(call);
}

// The call may have run, and its result will not arrive.
void Dispatcher::OnOfferLost(Call* call) {
  call->connection_lost = false;
  handles_by_offer_.erase(call->offer_id);
  call->offer_id = CallId();
  ++call->servers_reached;
  OnUnknown(call, call->node, ResultReason::kConnectionLost);
}

// Sends the offer again with the same id, so that the peer does not run the call twice.
void Dispatcher::ResendOffer(Call* call, Peer* peer) {
  call->connection_lost = false;
  call->uses_bulk_link = false;
  peer->link->AddOutstanding(1);
  SendOffer(call, peer, CallPlacement::kUnlimitedWait);
}

// Discards the pending offer without notifying the peer.
void Dispatcher::ReleaseOffer(Call* call) {
  if (handles_by_offer_.erase(call->offer_id) == 0) return;
  Peer* peer = directory_->Find(call->node);
  if (peer != nullptr && !peer->local() && !call->connection_lost) {
    LinkOf(*call, peer)->AddOutstanding(-1);
  }
  call->connection_lost = false;
}

void Dispatcher::CancelOffer(Call* call) {
  if (handles_by_offer_.count(call->offer_id) == 0) return;
  Peer* peer = directory_->Find(call->node);
  if (peer != nullptr && peer->local()) {
    local_->Cancel(call->offer_id);
  } else if (peer != nullptr && !call->connection_lost) {
    LinkOf(*call, peer)->Send(CallCancel{call->offer_id});
  }
  ReleaseOffer(call);
}

void Dispatcher::Cancel(Handle handle) {
  const auto it = calls_.find(handle);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  LogEvent(LogLevel::kInfo, "call", "cancelled")
      .Add("request", call->request_id)
      .Add("nested", call->nested)
      .Add("service", call->service)
      .Add("node", call->node)
      .Add("offers", call->placement.offers())
      .Add("held_ms",
           Milliseconds(duration_cast<ProxyDuration>(steady_clock::now() - call->arrived_at)))
      .Add("offered_ms",
           Milliseconds(duration_cast<ProxyDuration>(steady_clock::now() - call->offered_at)));
  if (call->waits_for_permit) permits_->Cancel(call->organisation, handle);
  RecordAbandonedOffer(*call);
  CancelOffer(call);
  metrics_->Count("cancelled_total");
  calls_.erase(it);
}

void Dispatcher::OnDeadline(Handle handle) {
  const auto it = calls_.find(handle);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  RecordAbandonedOffer(*call);
  CancelOffer(call);
  Fail(call, kGatewayTimeout, "deadline");
}

void Dispatcher::Refuse(Call* call, const char* reason) {
  if (call->may_have_run) return Fail(call, kBadGateway, reason);
  const auto now = steady_clock::now();
  const ProxyDuration left =
      std::max(ProxyDuration(0), duration_cast<ProxyDuration>(call->deadline - now));
  const ProxyDuration delay = call->placement.RetryAfter(left);
  const std::optional<ProxyDuration> wait = call->placement.shortest_wait();
  metrics_->Count("refused_total", reason);
  LogEvent(LogLevel::kInfo, "call", "refused")
      .Add("request", call->request_id)
      .Add("nested", call->nested)
      .Add("service", call->service)
      .Add("reason", reason)
      .Add("offers", call->placement.offers())
      .Add("wait_ms", wait ? Milliseconds(*wait) : -1)
      .Add("held_ms", Milliseconds(duration_cast<ProxyDuration>(now - call->arrived_at)))
      .Add("retry_after_ms", Milliseconds(delay));
  CallerResponse response;
  response.status = kServiceUnavailable;
  platform::AddRetryAfter(duration_cast<milliseconds>(delay), &response.headers);
  Finish(call, std::move(response));
}

void Dispatcher::Fail(Call* call, int status, const char* reason) {
  metrics_->Count("failed_total", reason);
  LogEvent(LogLevel::kInfo, "call", "failed")
      .Add("request", call->request_id)
      .Add("nested", call->nested)
      .Add("service", call->service)
      .Add("status", status)
      .Add("reason", reason)
      .Add("node", call->node)
      .Add("offers", call->placement.offers())
      .Add("held_ms",
           Milliseconds(duration_cast<ProxyDuration>(steady_clock::now() - call->arrived_at)));
  CallerResponse response;
  response.status = status;
  Finish(call, std::move(response));
}

void Dispatcher::Finish(Call* call, CallerResponse response) {
  metrics_->ObserveLatency(duration_cast<ProxyDuration>(steady_clock::now() - call->arrived_at));
  const Callback callback = std::move(call->callback);
  calls_.erase(call->handle);
  callback(std::move(response));
}

}  // namespace camphorhoist
