#ifndef CAMPHORHOIST_LIBCALLER_EXCHANGE_H_
#define CAMPHORHOIST_LIBCALLER_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "libcaller/caller_server.h"

namespace camphorhoist {

/// One request with its answer on the connection. Lives until the answer is wholly sent or the
/// connection has gone; the `Reply` given to the handler may live longer.
class CallerServer::Exchange {
 public:
  Exchange(CallerServer* server, evhttp_request* req);

  void SendHead(int status, const HttpHeaders& headers);
  void SendChunk(std::string_view data);
  void Finish();
  void Abort();
  size_t buffered_bytes() const;

  /// The connection is being freed. Returns the handler's callback if it has to be told.
  std::function<void()> Detach();
  /// Readies the connection for the next request once the answer is sent.
  void RestoreConnection();

  evhttp_connection* connection() const { return connection_; }
  bool broken() const { return broken_; }

  Reply* reply = nullptr;
  std::function<void()> on_writable;
  std::function<void()> on_abandoned;

 private:
  static void OnWritten(evhttp_connection*, void* arg);
  static void OnComplete(evhttp_request*, void* arg);

  bool HasBody() const;
  void PrepareConnection();
  void ReleaseReply();

  CallerServer* server_;
  evhttp_request* req_;
  evhttp_connection* connection_;
  bufferevent* bufev_;
  int status_ = 0;
  bool finished_ = false;
  bool broken_ = false;
  bool over_high_water_ = false;
  bool close_delimited_ = false;
  std::optional<int64_t> length_;
  int64_t sent_ = 0;
};

/// The handler's side of an exchange. The pointer is cleared when the exchange accepts no more.
class CallerServer::Reply : public CallReply {
 public:
  explicit Reply(Exchange* exchange) : exchange_(exchange) { exchange->reply = this; }
  ~Reply() override;
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;

  void SendHead(int status, const HttpHeaders& headers) override;
  void SendChunk(std::string_view data) override;
  void Finish() override;
  void Abort() override;
  bool closed() const override { return exchange_ == nullptr; }
  size_t buffered_bytes() const override;
  void SetOnWritable(std::function<void()> callback) override;
  void SetOnDisconnect(std::function<void()> callback) override;

  void Release() { exchange_ = nullptr; }

 private:
  Exchange* exchange_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCALLER_EXCHANGE_H_
