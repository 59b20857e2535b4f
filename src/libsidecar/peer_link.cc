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
      retry_timer_(base, [this] { Connect(); }) {
  Connect();
}

void PeerLink::Connect() {
  connected_ = false;
  FrameStream::Handlers handlers;
  handlers.on_connected = [this] {
    connected_ = true;
    stream_->Send(handlers_.hello());
    // The peer answers with its own hello; a frozen process does not.
    watched_since_ = steady_clock::now();
  };
  handlers.on_message = [this](PeerMessage message) { OnMessage(std::move(message)); };
  handlers.on_closed = [this](const std::string& reason) { OnClosed(reason); };
  stream_ = std::make_unique<FrameStream>(base_, address_, kConnectTimeout, std::move(handlers));
}

void PeerLink::OnMessage(PeerMessage message) {
  if (std::holds_alternative<PeerPong>(message)) return;
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    up_ = true;
    retry_ = kMinRetry;
    return handlers_.on_up(*hello);
  }
  if (!up_) return;
  if (const auto* part = std::get_if<ResultPart>(&message)) return OnPart(*part);
  auto* result = std::get_if<CallResult>(&message);
  if (result == nullptr || result->parted_bytes == 0) {
    return handlers_.on_message(std::move(message));
  }
  result->body.reserve(std::min(result->parted_bytes, kMaxFrameBytes));
  parted_[result->id] = std::move(*result);
}

// Parts of a cancelled call may still come.
void PeerLink::OnPart(const ResultPart& part) {
  const auto it = parted_.find(part.id);
  if (it == parted_.end()) return;
  CallResult& result = it->second;
  const bool fits = result.body.size() + part.body.size() <= result.parted_bytes;
  if (fits) result.body += part.body;
  if (fits && !part.last) return;
  const bool whole = fits && result.body.size() == result.parted_bytes;
  CallResult complete = std::move(result);
  parted_.erase(it);
  complete.parted_bytes = 0;
  if (!whole) {
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
  parted_.clear();
  retry_timer_.StartOnce(retry_);
  retry_ = std::min(retry_ * 2, kMaxRetry);
  handlers_.on_down(refused, reason);
}

steady_clock::duration PeerLink::Silence() const {
  return steady_clock::now() - std::max(watched_since_, stream_->last_read());
}

void PeerLink::CheckSilence() {
  if (!connected_ || (up_ && outstanding_ == 0)) return;
  const auto silence = Silence();
  if (silence >= silence_limit_) {
    stream_->Close();
    return OnClosed("silent");
  }
  if (up_ && silence >= kPingInterval) stream_->Send(PeerPing{});
}

void PeerLink::Send(PeerMessage message) {
  if (const auto* cancel = std::get_if<CallCancel>(&message)) parted_.erase(cancel->id);
  if (up_) stream_->Send(std::move(message));
}

bool PeerLink::suspect() const { return outstanding_ > 0 && Silence() >= kSuspicion; }

void PeerLink::AddOutstanding(int change) {
  if (outstanding_ == 0) watched_since_ = steady_clock::now();
  outstanding_ += change;
}

void PeerLink::RetryNow() {
  if (retry_timer_.pending()) retry_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
