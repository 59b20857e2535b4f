#ifndef CAMPHORHOIST_LIBCALLER_EXCHANGE_H_
#define CAMPHORHOIST_LIBCALLER_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "libcaller/caller_server.h"

namespace camphorhoist {

/// One request and its response on a connection. Lives until the response is completely sent or the
/// connection is closed; the `Reply` passed to the handler may live longer.
class CallerServer::Exchange {
 public:
  Exchange(CallerServer* server, evhttp_request* req);

  void SendHead(int status, const HttpHeaders& headers);
  void SendChunk(std::string_view data);
  void Finish();
  void Abort();
  size_t buffered_bytes() const;

  /// To be called when the connection is being freed. Returns the callback of `SetOnDisconnect` if
  /// it has to run.
  std::function<void()> Detach();
  /// Prepares the connection for the next request once the response is sent.
  void RestoreConnection();

  evhttp_connection* connection() const { return connection_; }
  bool aborted() const { return aborted_; }

  Reply* reply = nullptr;
  std::function<void()> on_writable;
  std::function<void()> on_disconnect;

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
  bool aborted_ = false;
  bool over_high_water_ = false;
  bool close_delimited_ = false;
  std::optional<int64_t> content_length_;
  int64_t sent_bytes_ = 0;
};

/// The handler's interface to an exchange. The pointer to the exchange is cleared when the exchange
/// accepts no more calls.
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
