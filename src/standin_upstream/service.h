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

/// Behaviour set by `POST /control`.
struct StandinControl {
  /// Multiplies the service times.
  double slow_factor = 1;
  /// Requests are neither executed nor answered; their connections stay open.
  bool silent = false;
  /// All requests are shed with status 503.
  bool shed = false;
  /// Starts draining. It cannot be undone: setting it back to false has no effect.
  bool drain = false;
  /// If false, announcements stop without a leave message.
  bool announce = true;
  /// Load to report instead of the actual one.
  std::optional<double> false_load;
};

/// Executes up to `StandinSettings::slots` requests at a time and records them in the ledger.
///
/// All paths are served. Query arguments: `ms=` is the service time, `bytes=` the length of a
/// streamed body, `chunked=1` sends the body without Content-Length, and `break_after=` closes the
/// connection after this many bytes of the body. Reserved paths are `/ledger?after=&count=`,
/// `/control`, `/cancel?id=`, `/health` and `/load`.
///
/// Thread safety: none; use on the thread of the event loop.
class StandinService : public CallHandler {
 public:
  /// Multiplies the service times during the cold start.
  static constexpr double kColdSlowdown = 4;

  /// `on_drain` is called when a control message requests draining, `on_control` after each valid
  /// control message.
  StandinService(event_base* base, const StandinSettings& settings, std::string instance,
                 std::function<void()> on_drain, std::function<void()> on_control);
  ~StandinService() override;

  void OnCall(CallRequest request, std::shared_ptr<CallReply> reply) override;

  UpstreamState state() const;
  /// Share of the slots in use, or `StandinControl::false_load` if it is set.
  double ReportedLoad() const;
  size_t running() const { return running_.size(); }
  const StandinControl& control() const { return control_; }
  void StartDraining();

 private:
  struct RunningRequest;

  void Run(const CallRequest& request, std::shared_ptr<CallReply> reply);
  void SendResponse(uint64_t sequence);
  void OnDeadline(uint64_t sequence);
  void End(uint64_t sequence, const std::string& state);
  void Cancel(const CallRequest& request, CallReply* reply);
  void Control(const CallRequest& request, CallReply* reply);
  void SendLedger(const CallRequest& request, CallReply* reply);
  void SendLoad(const CallRequest& request, CallReply* reply);
  void SendHealth(const CallRequest& request, CallReply* reply);
  std::chrono::microseconds ServiceTime(const CallRequest& request);
  BodySpec MakeBodySpec(const RunningRequest& running) const;
  bool cold() const;

  using Handler = void (StandinService::*)(const CallRequest&, CallReply*);
  struct Route {
    const char* method;
    const char* path;
    Handler handler;
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
  std::map<uint64_t, std::unique_ptr<RunningRequest>> running_;
  /// Replies to requests received while silent; kept so that their connections stay open.
  std::vector<std::shared_ptr<CallReply>> silenced_replies_;
};

/// Applies the fields of a control message to `current` and returns the result. Adds all errors to
/// `findings`.
StandinControl ParseControl(const std::string& text, const StandinControl& current,
                            Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_SERVICE_H_
