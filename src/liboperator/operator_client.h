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

/// Client of the operator API with failover between several nodes. A request goes to the node that
/// the previous request ended at. It fails over to the next node if a node is unavailable and the
/// request had no effect; a query also does if no response arrives. For `Apply`, the error
/// `kUnavailable` means that every node was tried. A query also fails with it, without failover, if
/// the response body is malformed or the status is unexpected and not 4xx.
///
/// Callbacks run exactly once on the event loop, never from inside the call that started them and
/// never after destruction.
///
/// Thread safety: none; use on the thread of the event loop.
class OperatorClient {
 public:
  /// Preconditions: `base` outlives the client; `nodes` is not empty.
  OperatorClient(event_base* base, std::vector<NetAddress> nodes);

  /// In all methods, `timeout` limits the attempt at one node. The result has the error of the last
  /// node that was tried, with its findings if the result type has them.

  /// Submits a change set; `request.body` is sent unchanged. If it may have been sent and no
  /// response arrives, the outcome is `kUnknown`, without an error.
  void Apply(const ChangeRequest& request, std::chrono::milliseconds timeout,
             std::function<void(ChangeResult)> callback);
  void ChangeSetOutcome(const std::string& id, std::chrono::milliseconds timeout,
                        std::function<void(ChangeResult)> callback);
  void Records(const RecordsRequest& request, std::chrono::milliseconds timeout,
               std::function<void(RecordsResult)> callback);
  void Status(std::chrono::milliseconds timeout, std::function<void(StatusResult)> callback);
  void Dump(std::chrono::milliseconds timeout, std::function<void(DumpResult)> callback);
  /// Sent to the first node only, without failover, because a drain is meant for one node.
  void Drain(std::chrono::milliseconds timeout, std::function<void(DrainResult)> callback);

  /// Makes the next request start at the following node, after the last one at the first.
  void MoveToNextNode();
  const NetAddress& current_node() const { return nodes_[current_index_]; }

 private:
  using Callback = std::function<void(const HttpResponse&)>;

  /// Sends to the current node and fails over; tries at most `attempts_left` nodes.
  void Send(const HttpRequest& request, std::chrono::milliseconds timeout, size_t attempts_left,
            Callback callback);
  template <typename Result>
  void Query(const std::string& target, std::chrono::milliseconds timeout,
             std::function<Result(const HttpResponse&)> decode,
             std::function<void(Result)> callback);

  std::vector<NetAddress> nodes_;
  size_t current_index_ = 0;
  HttpClient http_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_CLIENT_H_
