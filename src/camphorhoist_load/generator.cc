#include "camphorhoist_load/generator.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorhoist_load/body_check.h"
#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

// XORed with the seed, so that the random choices of the mix are independent of the arrival times.
constexpr uint64_t kMixSeedMask = 0x9e3779b97f4a7c15ULL;

std::vector<double> Weights(const std::vector<RequestShape>& mix) {
  std::vector<double> weights;
  weights.reserve(mix.size());
  for (const RequestShape& it : mix) weights.push_back(it.weight);
  return weights;
}

// Unique across runs of the tool, because the ledgers of the upstreams outlive one run.
std::string KeyPrefix(uint64_t seed) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return "k" + std::to_string(seed) + "-" + std::to_string(ms) + "-" + std::to_string(getpid()) +
         "-";
}

/// The body of an outcome is short; other bodies have no reason.
constexpr size_t kMaxReasonBytes = 1024;

std::string ReadReason(const std::string& body) {
  const nlohmann::json outcome = nlohmann::json::parse(body, nullptr, false);
  if (!outcome.is_object()) return {};
  const auto it = outcome.find("reason");
  return it != outcome.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}  // namespace

class Generator::Request : public ResponseSink {
 public:
  Request(Generator* owner, const RequestShape& shape, microseconds scheduled, RequestResult result)
      : owner_(owner),
        scheduled_(scheduled),
        result_(std::move(result)),
        body_check_(shape, result_.key) {}

  void OnHead(int status, HttpHeaders headers) override {
    result_.status = status;
    result_.outcome = FindHeader(headers, kOutcomeHeader).value_or("-");
    body_check_.OnHead(status, headers);
  }
  void OnData(std::string data) override {
    body_check_.OnData(data);
    const bool has_reason = !result_.Answered() && body_.size() < kMaxReasonBytes;
    if (has_reason) body_ += data;
  }
  void OnEnd(UpstreamResult result, const std::string&) override {
    if (result == UpstreamResult::kWhole) {
      result_.mismatch = body_check_.Finish(result_.Answered());
      result_.reason = ReadReason(body_);
    } else {
      result_.status = 0;
      result_.outcome = ToString(result);
    }
    owner_->Finish(this, std::move(result_));
  }
  RequestResult TakeUnfinishedResult() {
    result_.status = 0;
    result_.outcome = "unfinished";
    return std::move(result_);
  }
  microseconds scheduled() const { return scheduled_; }

 private:
  Generator* owner_;
  microseconds scheduled_;
  RequestResult result_;
  BodyCheck body_check_;
  /// Start of the body of a response that is no answer.
  std::string body_;
};

Generator::Generator(event_base* base, const LoadSettings& settings, std::function<void()> done)
    : settings_(settings),
      done_(std::move(done)),
      key_prefix_(KeyPrefix(settings.seed)),
      schedule_(settings.steps, settings.seed),
      mix_random_(settings.seed ^ kMixSeedMask),
      target_distribution_(0, settings.targets.size() - 1),
      send_timer_(base, [this] { SendDueRequests(); }),
      drain_timer_(base, [this] { Stop(); }) {
  const std::vector<double> weights = Weights(settings.mix);
  shape_distribution_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
  for (const NetAddress& it : settings.targets) {
    // The limit on outstanding requests also limits the connections; idle ones are replaced.
    clients_.push_back(std::make_unique<UpstreamClient>(base, it, settings.max_outstanding));
  }
}

Generator::~Generator() { clients_.clear(); }

microseconds Generator::Now() const {
  return std::chrono::duration_cast<microseconds>(steady_clock::now() - started_);
}

void Generator::Start() {
  started_ = steady_clock::now();
  next_arrival_ = schedule_.Next();
  SendDueRequests();
}

void Generator::SendDueRequests() {
  while (next_arrival_ && next_arrival_->at <= Now()) {
    Send(*next_arrival_);
    next_arrival_ = schedule_.Next();
  }
  if (next_arrival_) {
    send_timer_.StartOnce(std::max(next_arrival_->at - Now(), microseconds(0)));
    return;
  }
  drain_timer_.StartOnce(settings_.drain_timeout);
  NotifyIfDone();
}

void Generator::Send(const Arrival& arrival) {
  const size_t number = results_.size() + requests_.size() + 1;
  RequestResult result;
  result.key = key_prefix_ + std::to_string(number);
  result.shape = shape_distribution_(mix_random_);
  result.step = arrival.step;
  const size_t target = target_distribution_(mix_random_);
  const RequestShape& shape = settings_.mix[result.shape];
  result.method = shape.method;
  if (requests_.size() >= settings_.max_outstanding) {
    result.outcome = "dropped";
    results_.push_back(std::move(result));
    return;
  }
  UpstreamRequest request;
  request.method = shape.method;
  request.target = shape.Target();
  request.headers = {{"X-Request-Key", result.key}};
  request.body = std::string(static_cast<size_t>(shape.body_bytes), 'b');
  request.timeout =
      shape.timeout_ms ? std::chrono::milliseconds(*shape.timeout_ms) : settings_.timeout;
  auto owned_sink = std::make_unique<Request>(this, shape, arrival.at, std::move(result));
  Request* sink = owned_sink.get();
  requests_.emplace(sink, std::move(owned_sink));
  clients_[target]->Start(std::move(request), sink);
}

void Generator::Finish(Request* request, RequestResult result) {
  result.latency = Now() - request->scheduled();
  results_.push_back(std::move(result));
  requests_.erase(request);
  elapsed_ = Now();
  NotifyIfDone();
}

void Generator::NotifyIfDone() {
  if (next_arrival_ || !requests_.empty() || !done_) return;
  drain_timer_.Stop();
  const std::function<void()> done = std::move(done_);
  done_ = nullptr;
  done();
}

void Generator::Stop() {
  next_arrival_.reset();
  send_timer_.Stop();
  clients_.clear();
  for (const auto& it : requests_) results_.push_back(it.second->TakeUnfinishedResult());
  requests_.clear();
  elapsed_ = Now();
  NotifyIfDone();
}

}  // namespace camphorhoist
