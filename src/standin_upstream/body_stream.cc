#include "standin_upstream/body_stream.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorhoist {

namespace {

constexpr int64_t kPartBytes = 64 << 10;
// Time between checks whether the socket has taken the bytes that precede a break.
constexpr std::chrono::milliseconds kFlushPoll{1};

}  // namespace

BodyStream::BodyStream(event_base* base, std::shared_ptr<CallReply> reply, BodyPlan plan,
                       std::function<void(const std::string&)> done)
    : reply_(std::move(reply)),
      plan_(std::move(plan)),
      done_(std::move(done)),
      step_(base, [this] { SendMore(); }) {}

void BodyStream::Start(int status, HttpHeaders headers) {
  if (!plan_.chunked) headers.emplace_back("Content-Length", std::to_string(plan_.size));
  reply_->SetOnWritable([this] { step_.StartOnce(std::chrono::microseconds(0)); });
  reply_->SetOnDisconnect([this] { step_.StartOnce(std::chrono::microseconds(0)); });
  reply_->SendHead(status, headers);
  SendMore();
}

std::string BodyStream::NextPart(int64_t limit) {
  const int64_t size = std::min(kPartBytes, limit - offset_);
  const auto length = static_cast<int64_t>(plan_.pattern.size());
  std::string part;
  part.reserve(static_cast<size_t>(size));
  while (static_cast<int64_t>(part.size()) < size) {
    const int64_t at = (offset_ + static_cast<int64_t>(part.size())) % length;
    const int64_t left = size - static_cast<int64_t>(part.size());
    part.append(plan_.pattern, static_cast<size_t>(at), static_cast<size_t>(left));
  }
  offset_ += size;
  return part;
}

void BodyStream::SendMore() {
  if (!end_state_.empty()) {
    const std::function<void(const std::string&)> done = std::move(done_);
    done(end_state_);  // destroys this object
    return;
  }
  if (reply_->closed()) {
    End("abandoned");
    return;
  }
  const int64_t size = plan_.head_only ? 0 : plan_.size;
  const int64_t limit = std::min(plan_.break_after.value_or(size), size);
  while (offset_ < limit && reply_->buffered_bytes() < CallReply::kHighWaterBytes) {
    reply_->SendChunk(NextPart(limit));
  }
  if (offset_ < limit) return;
  if (!plan_.break_after) {
    reply_->Finish();
    End("done");
  } else if (reply_->buffered_bytes() > 0) {
    step_.StartOnce(kFlushPoll);
  } else {
    reply_->Abort();
    End("broken");
  }
}

void BodyStream::End(const std::string& state) {
  end_state_ = state;
  step_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
