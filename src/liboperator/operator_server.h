#ifndef CAMPHORHOIST_LIBOPERATOR_OPERATOR_SERVER_H_
#define CAMPHORHOIST_LIBOPERATOR_OPERATOR_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "camphorhoist/operator_api.h"
#include "libplatform/http_listener.h"

namespace camphorhoist {

/// HTTP server of the operator API. Passes requests to an `OperatorBackend` and encodes its results
/// as JSON, see docs/operators/cli.md. A result that arrives after the operator's connection is
/// closed, or after destruction, is dropped.
///
/// Thread safety: none; use on the thread of the event loop.
class OperatorServer {
 public:
  /// Precondition: `base` and `backend` outlive the server.
  OperatorServer(event_base* base, OperatorBackend* backend);

  /// Binds and listens. The default is a loopback address, because the API has no authentication,
  /// with a port that the system chooses.
  std::error_code Listen(const NetAddress& address = NetAddress("127.0.0.1", 0)) {
    return listener_.Listen(address);
  }
  const NetAddress& address() const { return listener_.address(); }
  /// Stops accepting connections. Requests already received still get a reply.
  void StopListening() { listener_.StopListening(); }
  /// True if every request has a reply that is fully written to its connection.
  bool idle() const { return listener_.pending_requests() == 0 && listener_.unsent_replies() == 0; }

 private:
  using RequestId = HttpListener::RequestId;
  using Handler = void (OperatorServer::*)(RequestId, const ServerRequest&);
  struct Route {
    const char* path;
    const char* method;
    Handler handler;
  };
  static const Route kRoutes[];

  void OnRequest(RequestId id, const ServerRequest& request);
  void OnApply(RequestId id, const ServerRequest& request);
  void OnOutcome(RequestId id, const ServerRequest& request);
  void OnRecords(RequestId id, const ServerRequest& request);
  void OnStatus(RequestId id, const ServerRequest& request);
  void OnDump(RequestId id, const ServerRequest& request);
  void OnDrain(RequestId id, const ServerRequest& request);
  void ReplyError(RequestId id, int status, const std::string& message, const Findings& findings);
  void ReplyJson(RequestId id, int status, std::string body);
  void ReplyChangeResult(RequestId id, const ChangeResult& result);
  /// Returns a callback that replies to request `id` with the result encoded by `encode`, or with
  /// its error.
  template <typename Result>
  std::function<void(Result)> MakeReplyCallback(RequestId id, std::string (*encode)(const Result&));

  OperatorBackend* backend_;
  /// Expires at destruction; the callbacks of the backend hold weak references.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  HttpListener listener_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_SERVER_H_
