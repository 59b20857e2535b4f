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

/// HTTP server for control traffic. Requests and replies have whole bodies, without streaming. The
/// handler may reply later; a reply to a connection that was closed meanwhile is dropped.
///
/// Thread safety: none; use on the thread of the event loop.
class HttpListener {
 public:
  using RequestId = uint64_t;
  using Handler = std::function<void(RequestId, ServerRequest)>;

  /// evhttp refuses a request body above `max_body_bytes` with 413 while it reads the body, without
  /// a call of `handler`.
  HttpListener(event_base* base, size_t max_body_bytes, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds and listens; port 0 lets the system choose.
  std::error_code Listen(const NetAddress& address);
  /// The bound address; empty before `Listen`.
  const NetAddress& address() const { return address_; }
  /// Stops accepting connections. Requests already received can still get a reply.
  void StopListening();

  /// Sends the reply to a request. Ignored if the id is unknown or already has a reply.
  void Reply(RequestId id, ServerReply reply);
  /// Closes the connection of a request without a reply, in a later iteration of the event loop.
  void Close(RequestId id);

  /// Number of requests without a reply.
  size_t pending_requests() const { return pending_requests_.size(); }
  /// Number of connections with a reply that is not fully written to the socket yet.
  size_t unsent_replies() const { return unsent_replies_.size(); }

 private:
  static void OnRequest(evhttp_request* req, void* arg);
  static void OnReplySent(evhttp_request* req, void* arg);
  static void OnConnectionClosed(evhttp_connection* connection, void* arg);
  void CloseConnection(RequestId id);

  Handler handler_;
  NetAddress address_;
  RequestId next_id_ = 1;
  std::map<RequestId, evhttp_request*> pending_requests_;
  /// Connections with a reply that is not fully written yet.
  std::set<evhttp_connection*> unsent_replies_;
  EvhttpPtr server_;
  evhttp_bound_socket* listening_socket_ = nullptr;
  Mailbox<RequestId> close_requests_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBPLATFORM_HTTP_LISTENER_H_
