#ifndef CAMPHORHOIST_LIBOPERATOR_FAKE_BACKEND_H_
#define CAMPHORHOIST_LIBOPERATOR_FAKE_BACKEND_H_

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/operator_api.h"

namespace camphorhoist {

/// `OperatorBackend` for tests: returns the results that the test has set, or holds back the
/// callbacks of `Apply`.
class FakeBackend : public OperatorBackend {
 public:
  void Apply(ChangeRequest request, std::function<void(ChangeResult)> callback) override {
    applied.push_back(request);
    if (hold) return held.push_back(std::move(callback));
    ChangeResult result = change;
    if (!next_changes.empty()) {
      result = next_changes.front();
      next_changes.pop_front();
    }
    result.id = request.id;
    callback(std::move(result));
  }
  void ChangeSetOutcome(const std::string& id,
                        std::function<void(ChangeResult)> callback) override {
    ChangeResult result = change;
    result.id = id;
    callback(std::move(result));
  }
  void Records(const RecordsRequest& request,
               std::function<void(RecordsResult)> callback) override {
    records_request = request;
    callback(records);
  }
  void Status(std::function<void(StatusResult)> callback) override {
    ++status_calls;
    StatusResult result = status;
    if (!next_statuses.empty()) {
      result = next_statuses.front();
      next_statuses.pop_front();
    }
    callback(std::move(result));
  }
  void Dump(std::function<void(DumpResult)> callback) override { callback(dump); }
  void Drain(std::function<void(DrainResult)> callback) override {
    ++drain_calls;
    callback(drain);
  }

  /// Results to return; those in the queues are returned first.
  ChangeResult change;
  std::deque<ChangeResult> next_changes;
  RecordsResult records;
  StatusResult status;
  std::deque<StatusResult> next_statuses;
  DumpResult dump;
  DrainResult drain;
  /// If set, `Apply` stores its callbacks in `held` instead of running them.
  bool hold = false;
  std::vector<std::function<void(ChangeResult)>> held;

  std::vector<ChangeRequest> applied;
  RecordsRequest records_request;
  int status_calls = 0;
  int drain_calls = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_FAKE_BACKEND_H_
