#include "libsidecar/peer_link.h"

#include <algorithm>
#include <utility>

namespace camphorhoist {

using std::chrono::steady_clock;

PeerLink::PeerLink(event_base* base, NetAddress address, std::chrono::milliseconds silence_limit,
                   Handlers handlers)
    : base_(base),
      address_(std::move(address)),
      silence_limit_(silence_limit),
      handlers_(std::move(handlers)),
      retry_timer_(base, [this] { Connect(); }),
      ping_timer_(base, [this] { CheckSilence(); }) {
  Connect();
}

void PeerLink::Connect() {
  connected_ = false;
  FrameStream::Handlers handlers;
  handlers.on_connected = [this] {
    connected_ = true;
    stream_->Send(handlers_.hello());
    // The peer answers with its own hello; a frozen process does not.
    last_received_ = steady_clock::now();
    ping_timer_.StartPeriodic(kPingInterval);
  };
  handlers.on_message = [this](PeerMessage message) { OnMessage(std::move(message)); };
  handlers.on_closed = [this](const std::string& reason) { OnClosed(reason); };
  stream_ = std::make_unique<FrameStream>(base_, address_, kConnectTimeout, std::move(handlers));
}

void PeerLink::OnMessage(PeerMessage message) {
  last_received_ = steady_clock::now();
  if (std::holds_alternative<PeerPong>(message)) return;
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    up_ = true;
    retry_ = kMinRetry;
    if (outstanding_ == 0) ping_timer_.Stop();
    return handlers_.on_up(*hello);
  }
  if (up_) handlers_.on_message(std::move(message));
}

void PeerLink::OnClosed(const std::string& reason) {
  const bool refused = !connected_ && reason == "Connection refused";
  up_ = false;
  connected_ = false;
  ping_timer_.Stop();
  retry_timer_.StartOnce(retry_);
  retry_ = std::min(retry_ * 2, kMaxRetry);
  handlers_.on_down(refused, reason);
}

void PeerLink::CheckSilence() {
  if (up_ && outstanding_ == 0) return ping_timer_.Stop();
  const auto silence = steady_clock::now() - last_received_;
  if (silence >= silence_limit_) {
    stream_->Close();
    return OnClosed("silent");
  }
  if (up_ && silence >= kPingInterval) stream_->Send(PeerPing{});
}

void PeerLink::Send(PeerMessage message) {
  if (up_) stream_->Send(std::move(message));
}

bool PeerLink::suspect() const {
  return outstanding_ > 0 && steady_clock::now() - last_received_ >= kSuspicion;
}

void PeerLink::AddOutstanding(int change) {
  outstanding_ += change;
  if (!up_ || outstanding_ == 0 || ping_timer_.pending()) return;
  last_received_ = steady_clock::now();
  ping_timer_.StartPeriodic(kPingInterval);
}

void PeerLink::RetryNow() {
  if (retry_timer_.pending()) retry_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
