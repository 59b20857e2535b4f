#ifndef CAMPHORHOIST_LIBNODE_RESPONSE_WRITER_H_
#define CAMPHORHOIST_LIBNODE_RESPONSE_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "libnode/node_server.h"

namespace camphorhoist {

/// `ResponseWriter` that sends the response through an RPC sink capability.
class RpcResponseWriter final : public ResponseWriter,
                                public std::enable_shared_from_this<RpcResponseWriter> {
 public:
  /// Precondition: `tasks` lives until the call has finished or `Cancel` was called.
  RpcResponseWriter(kj::TaskSet* tasks, rpc::AnswerSink::Client sink)
      : tasks_(tasks), sink_(kj::mv(sink)) {}
  ~RpcResponseWriter() noexcept override = default;
  KJ_DISALLOW_COPY(RpcResponseWriter);

  /// Result of the RPC call; fulfilled once the streamed response, if any, is sent. Call once.
  kj::Promise<NodeCallResult> WhenDone();
  /// To be called when the peer has dropped the call.
  void Cancel();

  void SendHead(int status, HttpHeaders headers) override;
  void SendChunk(std::string data) override;
  void EndBody() override;
  void Finish(NodeCallResult result) override;
  size_t buffered_bytes() const override { return buffered_bytes_; }
  void SetOnWritable(std::function<void()> callback) override {
    on_writable_ = std::move(callback);
  }
  void SetOnCancelled(std::function<void()> callback) override;

 private:
  /// Responses up to this size are sent together with the result in one message.
  static constexpr size_t kMaxInlineBytes = 16 << 10;

  void StartStreaming();
  void SendNext();
  void SendEnd();
  void DeliverResult();
  void AwaitSend(kj::Promise<void> promise);

  kj::TaskSet* tasks_;
  rpc::AnswerSink::Client sink_;
  kj::Own<kj::PromiseFulfiller<NodeCallResult>> done_;
  NodeCallResult result_;
  int status_ = 0;
  HttpHeaders headers_;
  std::deque<std::string> chunks_;
  size_t buffered_bytes_ = 0;
  bool streaming_ = false;
  bool sending_ = false;
  bool ended_ = false;
  bool end_sent_ = false;
  bool finished_ = false;
  bool cancelled_ = false;
  std::function<void()> on_writable_;
  std::function<void()> on_cancelled_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_RESPONSE_WRITER_H_
