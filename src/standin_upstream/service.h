#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_SERVICE_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "libcaller/call_handler.h"
#include "libupstream/announcement.h"
#include "standin_upstream/body_stream.h"
#include "standin_upstream/ledger.h"
#include "standin_upstream/settings.h"

namespace camphorhoist {

/// Behaviour that `POST /control` changes.
struct StandinControl {
  double slow_factor = 1;
  /// Requests are neither run nor answered.
  bool silent = false;
  bool shed = false;
  bool drain = false;
  /// Announcements stop without notice.
  bool announce = true;
  /// Reported instead of the real load.
  std::optional<double> false_load;
};

/// Runs requests in slots and keeps the ledger.
///
/// Any path is served. Query: `ms=` service time, `bytes=` length of a streamed body, `chunked=1`
/// to stream it without Content-Length, `break_after=` bytes after which the connection closes. The
/// service's own paths are `/ledger?after=&count=`, `/control`, `/cancel?id=`, `/health` and
/// `/load`.
///
/// Thread safety: none; use on the thread of the event loop.
class StandinService : public CallHandler {
 public:
  /// A cold process is this much slower.
  static constexpr double kColdFactor = 4;

  /// `on_drain` runs when a control message asks to drain, `on_control` after each message.
  StandinService(event_base* base, const StandinSettings& settings, std::string instance,
                 std::function<void()> on_drain, std::function<void()> on_control);
  ~StandinService() override;

  void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) override;

  UpstreamState state() const;
  /// The real or false load, as a share of the slots.
  double ReportedLoad() const;
  size_t running() const { return running_.size(); }
  const StandinControl& control() const { return control_; }
  void StartDraining();

 private:
  struct Running;

  void Run(const CallRequest& request, std::shared_ptr<CallReply> reply);
  void Complete(uint64_t sequence);
  void PassDeadline(uint64_t sequence);
  void End(uint64_t sequence, const std::string& state);
  void Cancel(const CallRequest& request, CallReply* reply);
  void Control(const CallRequest& request, CallReply* reply);
  void SendLedger(const CallRequest& request, CallReply* reply);
  void SendLoad(const CallRequest& request, CallReply* reply);
  void SendHealth(const CallRequest& request, CallReply* reply);
  std::chrono::microseconds ServiceTime(const CallRequest& request);
  BodyPlan PlanBody(const Running& running) const;
  bool cold() const;

  using Endpoint = void (StandinService::*)(const CallRequest&, CallReply*);
  struct Route {
    const char* method;
    const char* path;
    Endpoint endpoint;
  };
  static const Route kRoutes[];

  event_base* base_;
  StandinSettings settings_;
  std::string instance_;
  std::function<void()> on_drain_;
  std::function<void()> on_control_;
  std::chrono::steady_clock::time_point started_;
  int64_t draining_since_ms_ = 0;
  uint64_t shed_count_ = 0;
  StandinControl control_;
  Ledger ledger_;
  std::mt19937_64 random_;
  std::map<uint64_t, std::unique_ptr<Running>> running_;
  /// Requests taken while silent; held so that their connections stay open.
  std::vector<std::shared_ptr<CallReply>> unanswered_;
};

/// Reads a control message over the current values; adds all faults to `findings`.
StandinControl ParseControl(const std::string& text, const StandinControl& current,
                            Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_SERVICE_H_
