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

/// Maps the operator HTTP/JSON API onto an `OperatorBackend`, see docs/operators/cli.md. Answers
/// that arrive after the operator's connection is closed, or after destruction, are dropped.
///
/// Thread safety: none; use on the thread of the event loop.
class OperatorServer {
 public:
  /// Preconditions: `base` outlives the server; `backend` outlives it too.
  OperatorServer(event_base* base, OperatorBackend* backend);

  /// The API has no authentication, so that the default is loopback with a port chosen by the
  /// system.
  std::error_code Listen(const NetAddress& address = NetAddress("127.0.0.1", 0)) {
    return listener_.Listen(address);
  }
  const NetAddress& address() const { return listener_.address(); }
  /// Stops accepting connections; requests already received are still answered.
  void StopListening() { listener_.StopListening(); }
  /// True when every request is answered and the answers are written.
  bool idle() const { return listener_.pending_requests() == 0 && listener_.unsent_replies() == 0; }

 private:
  using RequestId = HttpListener::RequestId;
  using Method = void (OperatorServer::*)(RequestId, const ServerRequest&);
  struct Route {
    const char* path;
    const char* method;
    Method handler;
  };
  static const Route kRoutes[];

  void OnRequest(RequestId id, const ServerRequest& request);
  void OnApply(RequestId id, const ServerRequest& request);
  void OnOutcome(RequestId id, const ServerRequest& request);
  void OnRecords(RequestId id, const ServerRequest& request);
  void OnStatus(RequestId id, const ServerRequest& request);
  void OnDump(RequestId id, const ServerRequest& request);
  void OnDrain(RequestId id, const ServerRequest& request);
  void AnswerError(RequestId id, int status, const std::string& message, const Findings& findings);
  void AnswerJson(RequestId id, int status, std::string body);
  void AnswerChange(RequestId id, const ChangeResult& result);
  /// A callback that answers request `id` with the text of `write`, or with the error.
  template <typename Result>
  std::function<void(Result)> Answering(RequestId id, std::string (*write)(const Result&));

  OperatorBackend* backend_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  HttpListener listener_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_SERVER_H_
