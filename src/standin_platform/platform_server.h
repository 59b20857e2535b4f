#ifndef CAMPHORHOIST_STANDIN_PLATFORM_PLATFORM_SERVER_H_
#define CAMPHORHOIST_STANDIN_PLATFORM_PLATFORM_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libplatform/http_listener.h"
#include "standin_platform/fault_rules.h"
#include "standin_platform/object_map.h"

namespace camphorhoist {

/// Counters of received requests by kind, and of bytes. A watch is counted once, however long it
/// lasts.
struct PlatformMeter {
  uint64_t get = 0;
  uint64_t put = 0;
  uint64_t del = 0;
  uint64_t list = 0;
  uint64_t watch = 0;
  /// Total sizes of the request and response bodies of the object API.
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
};

/// Stand-in for the platform's object API over HTTP. `GET /meter` returns request counters and
/// `POST /faults` sets the faults to inject; these two paths are exempt from fault injection.
///
/// Thread safety: none; use on the thread of the event loop.
class PlatformServer {
 public:
  explicit PlatformServer(event_base* base);

  std::error_code Listen(const NetAddress& address) { return listener_.Listen(address); }
  const NetAddress& address() const { return listener_.address(); }

  /// Stops listening and completes pending watches as timed out. Calls `done` when all responses
  /// have been sent, or after `kStopLimit`.
  void Stop(std::function<void()> done);

  ObjectMap& objects() { return objects_; }
  FaultRules& faults() { return faults_; }
  const PlatformMeter& meter() const { return meter_; }
  size_t waiting_watches() const { return watches_.size(); }

  static constexpr std::chrono::milliseconds kStopLimit{2000};

 private:
  using RequestId = HttpListener::RequestId;
  struct PendingWatch {
    std::string key;
    ObjectVersion after_version = 0;
    bool lose_answer = false;
    std::unique_ptr<Timer> timer;
  };

  void OnRequest(RequestId id, const ServerRequest& request);
  void OnObjectRequest(RequestId id, const ServerRequest& request);
  void CountRequest(const ServerRequest& request);
  void Delay(RequestId id, ServerRequest request, std::chrono::milliseconds delay);
  /// Applies a request and replies to it. With `lose_answer`, closes the connection after applying
  /// the request instead.
  void Process(RequestId id, const ServerRequest& request, bool lose_answer);
  void StartWatch(RequestId id, const ServerRequest& request, bool lose_answer);
  void FinishReadyWatches(const std::string& key);
  void FinishWatch(RequestId id, ServerReply reply);
  void CloseWatches();
  void Finish(RequestId id, ServerReply reply, bool lose_answer);
  ServerReply Get(const std::string& key) const;
  ServerReply Put(const std::string& key, const ServerRequest& request);
  ServerReply Delete(const std::string& key, const ServerRequest& request);
  ServerReply List(const std::string& prefix) const;
  ServerReply SetFaults(const std::string& body);
  ServerReply Meter() const;
  void CheckStopped();

  event_base* base_;
  ObjectMap objects_;
  FaultRules faults_;
  PlatformMeter meter_;
  std::map<RequestId, PendingWatch> watches_;
  std::map<RequestId, std::unique_ptr<Timer>> delayed_;
  std::function<void()> on_stopped_;
  std::chrono::steady_clock::time_point stop_deadline_;
  Timer stop_timer_;
  HttpListener listener_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_PLATFORM_PLATFORM_SERVER_H_
