#include "camphorhoist_load/generator.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "camphorhoist_load/body_check.h"
#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

// Separates the random choices of the mix from those of the arrivals.
constexpr uint64_t kMixSeedOffset = 0x9e3779b97f4a7c15ULL;

std::vector<double> Weights(const std::vector<RequestShape>& mix) {
  std::vector<double> weights;
  weights.reserve(mix.size());
  for (const RequestShape& it : mix) weights.push_back(it.weight);
  return weights;
}

// Unique also between runs, since ledgers live longer than a run.
std::string KeyPrefix(uint64_t seed) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return "k" + std::to_string(seed) + "-" + std::to_string(ms) + "-" + std::to_string(getpid()) +
         "-";
}

}  // namespace

class Generator::Request : public ResponseSink {
 public:
  Request(Generator* owner, const RequestShape& shape, microseconds intended, RequestResult result)
      : owner_(owner),
        intended_(intended),
        result_(std::move(result)),
        check_(shape, result_.key) {}

  void OnHead(int status, HttpHeaders headers) override {
    result_.status = status;
    result_.outcome = FindHeader(headers, kOutcomeHeader).value_or("-");
    check_.TakeHead(status, headers);
  }
  void OnData(std::string data) override { check_.TakeData(data); }
  void OnEnd(UpstreamResult result, const std::string&) override {
    if (result == UpstreamResult::kWhole) {
      result_.fault = check_.Finish(result_.Answered());
    } else {
      result_.status = 0;
      result_.outcome = ToString(result);
    }
    owner_->Finish(this, std::move(result_));
  }
  RequestResult TakeUnfinished() {
    result_.status = 0;
    result_.outcome = "unfinished";
    return std::move(result_);
  }
  microseconds intended() const { return intended_; }

 private:
  Generator* owner_;
  microseconds intended_;
  RequestResult result_;
  BodyCheck check_;
};

Generator::Generator(event_base* base, const LoadSettings& settings, std::function<void()> done)
    : settings_(settings),
      done_(std::move(done)),
      key_prefix_(KeyPrefix(settings.seed)),
      schedule_(settings.steps, settings.seed),
      random_(settings.seed ^ kMixSeedOffset),
      targets_(0, settings.targets.size() - 1),
      send_timer_(base, [this] { SendDue(); }),
      drain_timer_(base, [this] { Stop(); }) {
  const std::vector<double> weights = Weights(settings.mix);
  shapes_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
  for (const NetAddress& it : settings.targets) {
    // The bound on outstanding requests bounds the connections; idle ones make room.
    clients_.push_back(std::make_unique<UpstreamClient>(base, it, settings.max_outstanding));
  }
}

Generator::~Generator() { clients_.clear(); }

microseconds Generator::Now() const {
  return std::chrono::duration_cast<microseconds>(steady_clock::now() - started_);
}

void Generator::Start() {
  started_ = steady_clock::now();
  next_ = schedule_.Next();
  SendDue();
}

void Generator::SendDue() {
  while (next_ && next_->at <= Now()) {
    Send(*next_);
    next_ = schedule_.Next();
  }
  if (next_) {
    send_timer_.StartOnce(std::max(next_->at - Now(), microseconds(0)));
    return;
  }
  drain_timer_.StartOnce(settings_.drain);
  NotifyIfDone();
}

void Generator::Send(const Arrival& arrival) {
  const size_t number = results_.size() + requests_.size() + 1;
  RequestResult result;
  result.key = key_prefix_ + std::to_string(number);
  result.shape = shapes_(random_);
  result.step = arrival.step;
  const size_t target = targets_(random_);
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
  auto owned = std::make_unique<Request>(this, shape, arrival.at, std::move(result));
  Request* sink = owned.get();
  requests_.emplace(sink, std::move(owned));
  clients_[target]->Start(std::move(request), sink);
}

void Generator::Finish(Request* request, RequestResult result) {
  result.latency = Now() - request->intended();
  results_.push_back(std::move(result));
  requests_.erase(request);
  elapsed_ = Now();
  NotifyIfDone();
}

void Generator::NotifyIfDone() {
  if (next_ || !requests_.empty() || !done_) return;
  drain_timer_.Stop();
  const std::function<void()> done = std::move(done_);
  done_ = nullptr;
  done();
}

void Generator::Stop() {
  next_.reset();
  send_timer_.Stop();
  clients_.clear();
  for (const auto& it : requests_) results_.push_back(it.second->TakeUnfinished());
  requests_.clear();
  elapsed_ = Now();
  NotifyIfDone();
}

}  // namespace camphorhoist
