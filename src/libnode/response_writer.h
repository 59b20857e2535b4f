#ifndef CAMPHORHOIST_LIBNODE_RESPONSE_WRITER_H_
#define CAMPHORHOIST_LIBNODE_RESPONSE_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "libnode/node_server.h"

namespace camphorhoist {

/// `ResponseWriter` over an RPC sink capability.
class RpcResponseWriter final : public ResponseWriter,
                                public std::enable_shared_from_this<RpcResponseWriter> {
 public:
  /// Precondition: `tasks` outlives the call; it may go once `Cancel` was called.
  RpcResponseWriter(kj::TaskSet* tasks, rpc::AnswerSink::Client sink)
      : tasks_(tasks), sink_(kj::mv(sink)) {}
  ~RpcResponseWriter() noexcept override = default;
  KJ_DISALLOW_COPY(RpcResponseWriter);

  /// Result for the RPC call; fulfilled once the answer was passed on. Call once.
  kj::Promise<NodeCallResult> WhenDone();
  /// The peer dropped the call.
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
  /// Answers up to this size travel with the result in one message.
  static constexpr size_t kMaxInlineBytes = 16 << 10;

  void StartStreaming();
  void Pump();
  void SendEnd();
  void Complete();
  void Track(kj::Promise<void> promise);

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
