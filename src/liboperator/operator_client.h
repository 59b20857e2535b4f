#ifndef CAMPHORHOIST_LIBOPERATOR_OPERATOR_CLIENT_H_
#define CAMPHORHOIST_LIBOPERATOR_OPERATOR_CLIENT_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"
#include "camphorhoist/operator_api.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Client of the operator API over several nodes. A call goes to the node that answered last and
/// moves on to the next node when one is unavailable without effect; queries also when no answer
/// comes. An error of `kUnavailable` means that every node was tried.
///
/// Callbacks run exactly once on the event loop, never from inside the call that started them, and
/// not after destruction. Thread safety: none; use on the thread of the event loop.
class OperatorClient {
 public:
  /// Preconditions: `base` outlives the client; `nodes` is not empty.
  OperatorClient(event_base* base, std::vector<NetAddress> nodes);

  /// `timeout` bounds the attempt at one node. Each method reports the error of the last node, with
  /// findings where the type has them.

  /// A change that may have been sent and has no answer gives the outcome `kUnknown` without an
  /// error. `request.body` is sent as it is.
  void Apply(const ChangeRequest& request, std::chrono::milliseconds timeout,
             std::function<void(ChangeResult)> callback);
  void ChangeSetOutcome(const std::string& id, std::chrono::milliseconds timeout,
                        std::function<void(ChangeResult)> callback);
  void Records(const RecordsRequest& request, std::chrono::milliseconds timeout,
               std::function<void(RecordsResult)> callback);
  void Status(std::chrono::milliseconds timeout, std::function<void(StatusResult)> callback);
  void Dump(std::chrono::milliseconds timeout, std::function<void(DumpResult)> callback);
  /// Goes to the first node only, since a drain is meant for one node.
  void Drain(std::chrono::milliseconds timeout, std::function<void(DrainResult)> callback);

  /// Makes the next call start at the following node.
  void MoveToNextNode();
  const NetAddress& current_node() const { return nodes_[current_]; }

 private:
  using Callback = std::function<void(const HttpResponse&)>;

  void Send(const HttpRequest& request, std::chrono::milliseconds timeout, size_t nodes_left,
            Callback callback);
  template <typename Result>
  void Query(const std::string& target, std::chrono::milliseconds timeout,
             std::function<Result(const HttpResponse&)> read, std::function<void(Result)> callback);

  std::vector<NetAddress> nodes_;
  size_t current_ = 0;
  HttpClient http_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_CLIENT_H_
