#include "camphorhoist/request_pipeline.h"

#include <algorithm>

namespace camphorhoist {

RequestPipeline::Delay RequestPipeline::DelayOf(bool idempotent,
                                                const Connection& connection) const {
  // The last response of a connection that is not kept alive closes it, so no request may be added
  // behind those in progress.
  if (closing_ || (!connection.keep_alive && !requests_.empty())) return Delay::kClosing;
  // A request that is not idempotent runs alone, so the last one tells about all in progress.
  if (!requests_.empty() && !(idempotent && requests_.back().idempotent)) return Delay::kOrder;
  if (running_ >= kMaxConcurrentRequests) return Delay::kConcurrency;
  if (buffered_bytes_ + connection.unsent_bytes > kMaxBufferedResponseBytes) {
    return Delay::kBufferedResponses;
  }
  return Delay::kNone;
}

RequestPipeline::RequestId RequestPipeline::Add(bool idempotent, bool closes) {
  const RequestId id = next_id_++;
  Request request;
  request.id = id;
  request.idempotent = idempotent;
  request.closes = closes;
  requests_.push_back(request);
  ++running_;
  closing_ = closing_ || closes;
  return id;
}

RequestPipeline::RequestId RequestPipeline::Start(bool idempotent, bool closes) {
  return Add(idempotent, closes);
}

std::optional<RequestPipeline::RequestId> RequestPipeline::Reject() {
  if (closing_) return std::nullopt;
  return Add(false, true);
}

void RequestPipeline::OnResponse(RequestId id, size_t bytes) {
  const auto it = std::find_if(requests_.begin(), requests_.end(),
                               [id](const Request& request) { return request.id == id; });
  if (it == requests_.end() || it->answered) return;
  it->answered = true;
  it->response_bytes = bytes + kResponseOverheadBytes;
  buffered_bytes_ += it->response_bytes;
  --running_;
}

std::optional<RequestPipeline::Response> RequestPipeline::NextResponse(bool keep_alive) {
  if (requests_.empty()) return std::nullopt;
  Request& first = requests_.front();
  if (!first.answered || first.sending) return std::nullopt;
  first.sending = true;
  buffered_bytes_ -= first.response_bytes;
  const bool closes = first.closes || (!keep_alive && requests_.size() == 1);
  closing_ = closing_ || closes;
  return Response{first.id, closes};
}

void RequestPipeline::OnSent() {
  if (!requests_.empty() && requests_.front().sending) requests_.pop_front();
}

const char* ToString(RequestPipeline::Delay delay) {
  switch (delay) {
    case RequestPipeline::Delay::kNone:
      return "none";
    case RequestPipeline::Delay::kOrder:
      return "order";
    case RequestPipeline::Delay::kConcurrency:
      return "concurrency";
    case RequestPipeline::Delay::kBufferedResponses:
      return "buffered_responses";
    case RequestPipeline::Delay::kClosing:
      return "closing";
  }
  return "none";
}

}  // namespace camphorhoist
