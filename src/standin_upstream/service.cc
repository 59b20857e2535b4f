#include "standin_upstream/service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libcaller/http_headers.h"
#include "standin_upstream/query.h"

namespace camphorhoist {

namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Keeps a response of /ledger well below 4 MB, the response size limit of HttpClient.
constexpr int64_t kMaxLedgerRuns = 5000;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void ReplyJson(CallReply* reply, int status, const json& body) {
  SendWholeReply(reply, status, {{"Content-Type", "application/json"}}, Dump(body));
}

}  // namespace

struct StandinService::RunningRequest {
  RunningRequest(event_base* base, std::function<void()> complete, std::function<void()> deadline)
      : service_timer(base, std::move(complete)), deadline_timer(base, std::move(deadline)) {}

  CallRequest request;
  std::shared_ptr<CallReply> reply;
  uint64_t sequence = 0;
  Timer service_timer;
  Timer deadline_timer;
  std::unique_ptr<BodyStream> stream;
};

const StandinService::Route StandinService::kRoutes[] = {
    {"GET", "/ledger", &StandinService::SendLedger}, {"POST", "/control", &StandinService::Control},
    {"POST", "/cancel", &StandinService::Cancel},    {"GET", "/load", &StandinService::SendLoad},
    {"GET", "/health", &StandinService::SendHealth},
};

StandinService::StandinService(event_base* base, const StandinSettings& settings,
                               std::string instance, std::function<void()> on_drain,
                               std::function<void()> on_control)
    : base_(base),
      settings_(settings),
      instance_(std::move(instance)),
      on_drain_(std::move(on_drain)),
      on_control_(std::move(on_control)),
      started_(steady_clock::now()),
      ledger_(settings.ledger_file, instance_),
      random_(settings.seed) {}

StandinService::~StandinService() = default;

void StandinService::OnCall(CallRequest request, std::shared_ptr<CallReply> reply) {
  for (const Route& it : kRoutes) {
    if (request.method != it.method || request.path != it.path) continue;
    (this->*it.handler)(request, reply.get());
    return;
  }
  if (control_.silent) {
    silenced_replies_.push_back(std::move(reply));
    return;
  }
  if (control_.shed || running_.size() >= static_cast<size_t>(settings_.slots)) {
    ++shed_count_;
    SendWholeReply(reply.get(), 503, {{kShedHeader, "1"}}, "shed\n");
    return;
  }
  Run(request, std::move(reply));
}

void StandinService::Run(const CallRequest& request, std::shared_ptr<CallReply> reply) {
  LedgerRun run;
  run.call_id = FindHeader(request.headers, kCallIdHeader).value_or("");
  run.method = request.method;
  run.target = request.target;
  run.key = FindHeader(request.headers, kRequestKeyHeader).value_or("");
  const uint64_t sequence = ledger_.Start(std::move(run));
  auto running = std::make_unique<RunningRequest>(
      base_, [this, sequence] { SendResponse(sequence); },
      [this, sequence] { OnDeadline(sequence); });
  running->request = request;
  running->reply = std::move(reply);
  running->sequence = sequence;
  running->service_timer.StartOnce(ServiceTime(request));
  const auto remaining = ParseDecimal(FindHeader(request.headers, kTimeoutHeader).value_or(""));
  // A longer deadline is not useful, and its conversion to microseconds could overflow.
  constexpr int64_t kMaxDeadlineMs = 3600000;
  if (remaining && *remaining <= kMaxDeadlineMs) {
    running->deadline_timer.StartOnce(milliseconds(*remaining));
  }
  running_.emplace(sequence, std::move(running));
}

microseconds StandinService::ServiceTime(const CallRequest& request) {
  const int64_t base_ms =
      QueryNumber(request.target, "ms").value_or(settings_.service_time.count());
  std::uniform_real_distribution<double> jitter(1 - settings_.service_jitter,
                                                1 + settings_.service_jitter);
  const double factor = jitter(random_) * control_.slow_factor * (cold() ? kColdSlowdown : 1);
  constexpr double kMaxServiceUs = 3.6e9;
  const double time_us = static_cast<double>(base_ms) * 1000 * factor;
  return microseconds(static_cast<int64_t>(std::min(time_us, kMaxServiceUs)));
}

BodySpec StandinService::MakeBodySpec(const RunningRequest& running) const {
  const std::string& target = running.request.target;
  const LedgerRun& run = ledger_.run(running.sequence);
  BodySpec spec;
  if (const auto bytes = QueryNumber(target, "bytes")) {
    spec.pattern = run.key + "\n";
    spec.size = *bytes;
  } else {
    spec.pattern = Dump({{"instance", instance_},
                         {"call_id", run.call_id},
                         {"method", run.method},
                         {"path", running.request.path},
                         {"key", run.key},
                         {"sequence", run.sequence}});
    spec.size = static_cast<int64_t>(spec.pattern.size());
  }
  spec.chunked = QueryNumber(target, "chunked").value_or(0) == 1;
  spec.head_only = run.method == "HEAD";
  spec.break_after = QueryNumber(target, "break_after");
  return spec;
}

void StandinService::SendResponse(uint64_t sequence) {
  RunningRequest& running = *running_.at(sequence);
  running.deadline_timer.Stop();
  const bool is_json = !QueryNumber(running.request.target, "bytes");
  HttpHeaders headers = {
      {"Content-Type", is_json ? "application/json" : "application/octet-stream"},
      {"X-Upstream-Instance", instance_}};
  const std::string& key = ledger_.run(sequence).key;
  if (!key.empty()) headers.emplace_back(kRequestKeyHeader, key);
  running.stream = std::make_unique<BodyStream>(
      base_, running.reply, MakeBodySpec(running),
      [this, sequence](const std::string& state) { End(sequence, state); });
  running.stream->Start(200, std::move(headers));
}

void StandinService::OnDeadline(uint64_t sequence) {
  const std::shared_ptr<CallReply> reply = running_.at(sequence)->reply;
  End(sequence, "deadline");
  SendWholeReply(reply.get(), 504, {}, "the remaining time has passed\n");
}

void StandinService::End(uint64_t sequence, const std::string& state) {
  ledger_.End(sequence, state);
  running_.erase(sequence);
}

void StandinService::Cancel(const CallRequest& request, CallReply* reply) {
  const std::string id = QueryText(request.target, "id").value_or("");
  const auto it = std::find_if(running_.begin(), running_.end(), [this, &id](const auto& entry) {
    return !id.empty() && ledger_.run(entry.first).call_id == id;
  });
  const bool found = it != running_.end();
  if (found) {
    const std::shared_ptr<CallReply> cancelled = it->second->reply;
    End(it->first, "cancelled");
    cancelled->Abort();
  }
  ReplyJson(reply, 200, {{"cancelled", found}});
}

void StandinService::Control(const CallRequest& request, CallReply* reply) {
  Findings findings;
  const StandinControl control = ParseControl(request.body, control_, &findings);
  if (!findings.empty()) {
    ReplyJson(reply, 400, {{"findings", findings.ToString()}});
    return;
  }
  control_ = control;
  ReplyJson(reply, 200, json::object());
  on_control_();
  if (control_.drain && draining_since_ms_ == 0) on_drain_();
}

void StandinService::SendLedger(const CallRequest& request, CallReply* reply) {
  const int64_t after = QueryNumber(request.target, "after").value_or(0);
  const int64_t count = QueryNumber(request.target, "count").value_or(kMaxLedgerRuns);
  ReplyJson(reply, 200,
            {{"instance", instance_},
             {"total", ledger_.size()},
             {"shed", shed_count_},
             {"draining_since_ms", draining_since_ms_},
             {"runs", ledger_.Runs(static_cast<uint64_t>(after),
                                   static_cast<size_t>(std::min(count, kMaxLedgerRuns)))}});
}

void StandinService::SendLoad(const CallRequest&, CallReply* reply) {
  ReplyJson(reply, 200, {{"load", ReportedLoad()}});
}

void StandinService::SendHealth(const CallRequest&, CallReply* reply) {
  ReplyJson(reply, 200, {{"state", ToString(state())}});
}

bool StandinService::cold() const { return steady_clock::now() - started_ < settings_.cold_start; }

UpstreamState StandinService::state() const {
  if (draining_since_ms_ != 0) return UpstreamState::kDraining;
  return cold() ? UpstreamState::kWarming : UpstreamState::kServing;
}

double StandinService::ReportedLoad() const {
  if (control_.false_load) return *control_.false_load;
  return static_cast<double>(running_.size()) / settings_.slots;
}

void StandinService::StartDraining() {
  if (draining_since_ms_ == 0) draining_since_ms_ = WallClockMs();
}

}  // namespace camphorhoist
