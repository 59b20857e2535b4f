#ifndef CAMPHORHOIST_SERVER_PICKER_H_
#define CAMPHORHOIST_SERVER_PICKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// A server that can be offered calls.
struct ServerCandidate {
  /// Sidecar beside the server.
  std::string node;
  std::string zone;
  /// Last load that the sidecar reported.
  ServerLoad load;
  ProxyTime load_time{};
  /// Calls running and queued, averaged over the last reports.
  double usual_occupancy = 0;
  /// Own calls offered since `load_time` that have no result yet.
  uint32_t offers_since_report = 0;
  /// Time left of the slow phase after the server's start, at `load_time`.
  ProxyDuration warm_up{};
  /// Recent share of failed calls, 0 to 1.
  double failure_share = 0;
};

/// Servers that a call can be offered to. The pointers are valid for the time of one decision.
using ServerCandidates = std::vector<const ServerCandidate*>;

/// Chooses the server of a call by its expected completion: reported queue and own calls since the
/// report, speed of the server, distance. Reports are late by the time since the last response, so
/// the sidecar beside the server has the last word: it declines an offer whose wait is longer than
/// the sender expects elsewhere.
///
/// Thread safety: none; use from one thread.
class ServerPicker {
 public:
  /// Cost of leaving the zone: two network delays, and the bytes of the response, which are paid
  /// for. With this factor, a response of 100 KB leaves its zone only if that saves some 400 ms.
  static constexpr ProxyDuration kOtherZoneCost{2000};
  static constexpr double kOtherZoneMicrosPerByte = 4;
  /// Time in which the occupancy is expected to return from the reported to the usual one.
  static constexpr ProxyDuration kReportLifetime{300000};
  /// Responses from this size on wait for the link of the server's VM.
  static constexpr size_t kLargeResponse = 32 << 10;
  /// Weight of a new report in the usual occupancy.
  static constexpr double kOccupancyGain = 0.2;
  /// Random part of the cost, as a share of the service time: keeps senders with equal reports from
  /// choosing the same server.
  static constexpr double kJitterShare = 0.3;
  /// Servers are slow for some seconds after their start.
  static constexpr double kColdFactor = 2.0;
  /// Servers slow down as they fill up: a full one by this share of its service time.
  static constexpr double kFullSlowdown = 0.25;
  /// Cost of a server that fails all calls, in service times.
  static constexpr double kFailureCost = 8.0;

  struct Choice {
    size_t index = 0;
    ProxyDuration cost{};
  };

  /// Best two of `candidates`, best first. `zone`: the own one. `response_bytes`: expected size.
  static std::vector<Choice> Rank(ProxyTime now, const std::string& zone, size_t response_bytes,
                                  const ServerCandidates& candidates, std::mt19937_64* rng);
  /// Takes a new report of a server's load.
  static void UpdateLoad(ProxyTime now, const ServerLoad& load, ServerCandidate* candidate);
  /// Wait and service time that a call offered now is expected to have.
  static ProxyDuration ExpectedCompletion(ProxyTime now, const ServerCandidate& candidate);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SERVER_PICKER_H_
