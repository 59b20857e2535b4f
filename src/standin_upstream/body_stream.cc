#include "standin_upstream/body_stream.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorhoist {

namespace {

constexpr int64_t kChunkBytes = 64 << 10;
// How often to check whether the socket has accepted all bytes, before breaking the connection.
constexpr std::chrono::milliseconds kFlushPollPeriod{1};

}  // namespace

BodyStream::BodyStream(event_base* base, std::shared_ptr<CallReply> reply, BodySpec spec,
                       std::function<void(const std::string&)> done)
    : reply_(std::move(reply)),
      spec_(std::move(spec)),
      done_(std::move(done)),
      send_timer_(base, [this] { SendMore(); }) {}

void BodyStream::Start(int status, HttpHeaders headers) {
  if (!spec_.chunked) headers.emplace_back("Content-Length", std::to_string(spec_.size));
  reply_->SetOnWritable([this] { send_timer_.StartOnce(std::chrono::microseconds(0)); });
  reply_->SetOnDisconnect([this] { send_timer_.StartOnce(std::chrono::microseconds(0)); });
  reply_->SendHead(status, headers);
  SendMore();
}

std::string BodyStream::NextChunk(int64_t limit) {
  const int64_t size = std::min(kChunkBytes, limit - offset_);
  const auto length = static_cast<int64_t>(spec_.pattern.size());
  std::string chunk;
  chunk.reserve(static_cast<size_t>(size));
  while (static_cast<int64_t>(chunk.size()) < size) {
    const int64_t pattern_offset = (offset_ + static_cast<int64_t>(chunk.size())) % length;
    const int64_t remaining = size - static_cast<int64_t>(chunk.size());
    chunk.append(spec_.pattern, static_cast<size_t>(pattern_offset),
                 static_cast<size_t>(remaining));
  }
  offset_ += size;
  return chunk;
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
  const int64_t size = spec_.head_only ? 0 : spec_.size;
  const int64_t limit = std::min(spec_.break_after.value_or(size), size);
  while (offset_ < limit && reply_->buffered_bytes() < CallReply::kHighWaterBytes) {
    reply_->SendChunk(NextChunk(limit));
  }
  if (offset_ < limit) return;
  if (!spec_.break_after) {
    reply_->Finish();
    End("done");
  } else if (reply_->buffered_bytes() > 0) {
    send_timer_.StartOnce(kFlushPollPeriod);
  } else {
    reply_->Abort();
    End("broken");
  }
}

void BodyStream::End(const std::string& state) {
  end_state_ = state;
  send_timer_.StartOnce(std::chrono::microseconds(0));
}

}  // namespace camphorhoist
