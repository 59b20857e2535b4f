#include "libsidecar/peers/peer_link.h"

#include <algorithm>
#include <utility>

namespace camphorhoist {

using std::chrono::steady_clock;

PeerLink::PeerLink(event_base* base, NetAddress address, std::chrono::milliseconds no_data_timeout,
                   Handlers handlers)
    : base_(base),
      address_(std::move(address)),
      no_data_timeout_(no_data_timeout),
      handlers_(std::move(handlers)),
      retry_timer_(base, [this] { Connect(); }) {
  Connect();
}

void PeerLink::Connect() {
  connected_ = false;
  FrameStream::Handlers handlers;
  handlers.on_connected = [this] {
    connected_ = true;
    stream_->Send(handlers_.hello());
    // The peer responds with its own hello. A frozen process does not, so the time without data
    // counts from here.
    monitored_since_ = steady_clock::now();
  };
  handlers.on_message = [this](PeerMessage message) { OnMessage(std::move(message)); };
  handlers.on_closed = [this](const std::string& reason) { OnClosed(reason); };
  handlers.on_sent = handlers_.on_sent;
  stream_ = std::make_unique<FrameStream>(base_, address_, kConnectTimeout, std::move(handlers));
}

void PeerLink::OnMessage(PeerMessage message) {
  if (std::holds_alternative<PeerPong>(message)) return;
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    up_ = true;
    retry_delay_ = kMinRetryDelay;
    stream_->set_encoding(EncodingBetween(handlers_.hello(), *hello));
    return handlers_.on_up(*hello);
  }
  if (!up_) return;
  if (const auto* part = std::get_if<ResultPart>(&message)) return OnPart(*part);
  auto* result = std::get_if<CallResult>(&message);
  if (result == nullptr || result->body_bytes_in_parts == 0) {
    return handlers_.on_message(std::move(message));
  }
  result->body.reserve(std::min(result->body_bytes_in_parts, kMaxFrameBytes));
  incomplete_results_[result->id] = std::move(*result);
}

// Parts of a cancelled call may still arrive; they are ignored.
void PeerLink::OnPart(const ResultPart& part) {
  const auto it = incomplete_results_.find(part.id);
  if (it == incomplete_results_.end()) return;
  CallResult& result = it->second;
  const bool fits = result.body.size() + part.body.size() <= result.body_bytes_in_parts;
  if (fits) result.body += part.body;
  if (fits && !part.last) return;
  const bool complete_body = fits && result.body.size() == result.body_bytes_in_parts;
  CallResult complete = std::move(result);
  incomplete_results_.erase(it);
  complete.body_bytes_in_parts = 0;
  if (!complete_body) {
    complete.kind = ResultKind::kUnknown;
    complete.reason = ResultReason::kBrokenResponse;
    complete.body.clear();
  }
  handlers_.on_message(std::move(complete));
}

void PeerLink::OnClosed(const std::string& reason) {
  const bool refused = !connected_ && reason == "Connection refused";
  up_ = false;
  connected_ = false;
  incomplete_results_.clear();
  retry_timer_.StartOnce(retry_delay_);
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
  handlers_.on_down(refused, reason);
}

steady_clock::duration PeerLink::TimeWithoutData() const {
  return steady_clock::now() - std::max(monitored_since_, stream_->last_read());
}

bool PeerLink::ExpectsData() const {
  return outstanding_ > 0 || is_monitored_ || steady_clock::now() < probed_until_;
}

void PeerLink::CheckLiveness() {
  if (!connected_ || (up_ && !ExpectsData())) return;
  const auto time_without_data = TimeWithoutData();
  if (time_without_data >= no_data_timeout_) {
    stream_->Close();
    return OnClosed("silent");
  }
  const bool is_urgent = outstanding_ > 0 || steady_clock::now() < probed_until_;
  if (up_ && time_without_data >= (is_urgent ? kPingInterval : kMonitoredPingInterval)) {
    stream_->Send(PeerPing{});
  }
}

void PeerLink::Send(PeerMessage message) {
  if (const auto* cancel = std::get_if<CallCancel>(&message)) incomplete_results_.erase(cancel->id);
  if (up_) stream_->Send(std::move(message));
}

bool PeerLink::suspect() const { return outstanding_ > 0 && TimeWithoutData() >= kSuspectTimeout; }

void PeerLink::AddOutstanding(int delta) {
  if (!ExpectsData()) monitored_since_ = steady_clock::now();
  outstanding_ += delta;
}

void PeerLink::SetMonitored(bool monitored) {
  if (monitored && !ExpectsData()) monitored_since_ = steady_clock::now();
  is_monitored_ = monitored;
}

void PeerLink::Probe() {
  if (!ExpectsData()) monitored_since_ = steady_clock::now();
  probed_until_ = steady_clock::now() + no_data_timeout_ + 2 * kPingInterval;
}

void PeerLink::RetryNow() {
  if (retry_timer_.pending()) retry_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
