#ifndef CAMPHORHOIST_LIBPLATFORM_HTTP_LISTENER_H_
#define CAMPHORHOIST_LIBPLATFORM_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/http_client.h"
#include "libbase/mailbox.h"

namespace camphorhoist {

/// A request as received by `HttpListener`.
struct ServerRequest {
  std::string method;
  /// Percent-decoded; empty if the target has no path.
  std::string path;
  HttpHeaders query;
  HttpHeaders headers;
  std::string body;

  /// Value of the first query parameter with this name, or an empty string.
  std::string Query(const std::string& name) const;
  bool HasQuery(const std::string& name) const;
  /// Value of the first header with this name (case-insensitive), or an empty string.
  std::string Header(const std::string& name) const;
};

struct ServerReply {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// HTTP server for control traffic with whole bodies, whose answers may come later than the
/// request. An answer for a connection that was closed meanwhile is dropped.
///
/// Thread safety: none; use on the thread of the event loop.
class HttpListener {
 public:
  using RequestId = uint64_t;
  using Handler = std::function<void(RequestId, ServerRequest)>;

  /// `max_body_bytes`: evhttp itself refuses a larger request body with 413 while reading it.
  HttpListener(event_base* base, size_t max_body_bytes, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds and listens; port 0 lets the system choose.
  std::error_code Listen(const NetAddress& address);
  /// The bound address; empty before `Listen`.
  const NetAddress& address() const { return address_; }
  /// Stops accepting connections. Requests already received can still be answered.
  void StopListening();

  /// Answers a request once. Unknown or already answered ids are ignored.
  void Reply(RequestId id, ServerReply reply);
  /// Closes the connection of a request without an answer, in a later turn of the loop.
  void Close(RequestId id);

  /// Number of requests that have no answer yet, and of answers not yet written to the socket.
  size_t pending_requests() const { return pending_.size(); }
  size_t unsent_replies() const { return unsent_.size(); }

 private:
  static void OnRequest(evhttp_request* req, void* arg);
  static void OnSent(evhttp_request* req, void* arg);
  static void OnClosed(evhttp_connection* connection, void* arg);
  void CloseNow(RequestId id);

  Handler handler_;
  NetAddress address_;
  RequestId next_id_ = 1;
  std::map<RequestId, evhttp_request*> pending_;
  /// Connections with an answer that is not written yet.
  std::set<evhttp_connection*> unsent_;
  EvhttpPtr server_;
  evhttp_bound_socket* socket_ = nullptr;
  Mailbox<RequestId> to_close_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_HTTP_LISTENER_H_
