#include "libnode/response_writer.h"

#include <utility>

namespace camphorhoist {

kj::Promise<NodeCallResult> RpcResponseWriter::WhenDone() {
  auto paf = kj::newPromiseAndFulfiller<NodeCallResult>();
  done_ = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

void RpcResponseWriter::Cancel() {
  if (cancelled_ || (finished_ && done_.get() == nullptr)) return;
  cancelled_ = true;
  chunks_.clear();
  buffered_bytes_ = 0;
  on_writable_ = nullptr;
  const auto callback = std::move(on_cancelled_);
  on_cancelled_ = nullptr;
  if (callback) callback();
}

void RpcResponseWriter::SetOnCancelled(std::function<void()> callback) {
  on_cancelled_ = std::move(callback);
}

void RpcResponseWriter::SendHead(int status, HttpHeaders headers) {
  status_ = status;
  headers_ = std::move(headers);
}

void RpcResponseWriter::SendChunk(std::string data) {
  if (cancelled_ || data.empty()) return;
  buffered_bytes_ += data.size();
  chunks_.push_back(std::move(data));
  if (!streaming_ && buffered_bytes_ > kMaxInlineBytes) StartStreaming();
  if (streaming_) SendNext();
}

void RpcResponseWriter::EndBody() {
  ended_ = true;
  if (streaming_) SendNext();
}

void RpcResponseWriter::Finish(NodeCallResult result) {
  if (cancelled_ || finished_) return;
  finished_ = true;
  result_ = std::move(result);
  if (streaming_) {
    SendNext();
    return;
  }
  if (ended_) {
    result_.inline_response = true;
    result_.status = status_;
    result_.headers = std::move(headers_);
    for (const std::string& it : chunks_) result_.body += it;
  }
  DeliverResult();
}

void RpcResponseWriter::StartStreaming() {
  streaming_ = true;
  auto request = sink_.headRequest();
  request.setStatus(static_cast<uint16_t>(status_));
  WriteHeaders(headers_, request.initHeaders(static_cast<unsigned>(headers_.size())));
  tasks_->add(request.send().ignoreResult());
}

void RpcResponseWriter::SendNext() {
  if (cancelled_ || sending_) return;
  if (chunks_.empty()) {
    if (ended_ && !end_sent_) {
      SendEnd();
    } else if (finished_) {
      DeliverResult();
    }
    return;
  }
  const std::string data = std::move(chunks_.front());
  chunks_.pop_front();
  auto request = sink_.chunkRequest();
  request.setData(kj::arrayPtr(reinterpret_cast<const kj::byte*>(data.data()), data.size()));
  const size_t size = data.size();
  AwaitSend(request.send().then([self = shared_from_this(), size] {
    if (!self->cancelled_) self->buffered_bytes_ -= size;
  }));
}

void RpcResponseWriter::SendEnd() {
  end_sent_ = true;
  AwaitSend(sink_.endRequest().send().ignoreResult());
}

// Limits the writer to one message at a time: the promise of a streaming call is fulfilled when the
// flow-control window has room for the next message. When the connection is lost, the RPC layer
// cancels the call.
void RpcResponseWriter::AwaitSend(kj::Promise<void> promise) {
  sending_ = true;
  tasks_->add(promise.then([self = shared_from_this()] {
    self->sending_ = false;
    self->SendNext();
    if (self->buffered_bytes_ == 0 && self->on_writable_) self->on_writable_();
  }));
}

void RpcResponseWriter::DeliverResult() {
  if (done_.get() == nullptr) return;
  auto done = kj::mv(done_);
  done->fulfill(std::move(result_));
}

}  // namespace camphorhoist
