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

/// A server that calls can be offered to, i.e. the upstream on some VM, as this sidecar knows it.
struct ServerCandidate {
  /// Node of the sidecar that fronts the server.
  std::string node;
  /// Data centre of the node.
  std::string data_centre;
  /// Last load reported by that sidecar, and the time of the report.
  ServerLoad load;
  ProxyTime load_time{};
  /// Moving average of the running and queued calls over the reports.
  double mean_occupancy = 0;
  /// Number of calls that this sidecar offered to the server since `load_time`.
  uint32_t offers_since_report = 0;
  /// Time left of the server's warm-up at `load_time`.
  ProxyDuration warm_up{};
  /// Share of recent calls that failed, 0 to 1.
  double failure_share = 0;
};

/// What a sender knows or expects of a call before it is offered. Expectations are from earlier
/// calls of the same profile.
struct CallEstimate {
  size_t response_bytes = 0;
  /// Mean service time over the servers that ran such calls; 0 if there were none.
  ProxyDuration service_time{};
  /// Size of the body of this call's request.
  size_t request_bytes = 0;
};

/// Servers that a call can be offered to. The pointers are valid only during one decision.
using ServerCandidates = std::vector<const ServerCandidate*>;

/// Ranks the servers of a service by the expected completion time of a call. The estimate includes
/// the reported queue, the calls offered since the report, the service time of such calls on that
/// server and the data centre of the server. The mean service time of a server determines only how
/// fast its queue moves: a server that happens to run short calls would otherwise look fast to all
/// senders and attract the long ones, too. A report is as old as the last response of the server,
/// so the final decision is made by the sidecar on the server's VM, which rejects an offer whose
/// wait is longer than the sender accepts.
///
/// Thread safety: none; use from one thread.
class ServerPicker {
 public:
  /// Cost of a server in another data centre: one round trip, and a cost per byte of the request
  /// and response, since traffic between data centres is billed. A response of 100 KB is taken from
  /// another data centre only if that saves about 400 ms. With a fixed cost of many milliseconds,
  /// short calls would stay with a server nearby that fails or hangs.
  static constexpr ProxyDuration kCrossDataCentreCost{2000};
  static constexpr double kCrossDataCentreMicrosPerByte = 4;
  /// Part of that cost that is proportional to the service time. Estimates of the service time vary
  /// by as much between equal servers, so that a smaller difference is no reason to cross.
  static constexpr double kCrossDataCentreServiceShare = 0.5;
  /// Time within which the expected occupancy returns linearly from the reported value to the mean.
  static constexpr ProxyDuration kReportDecayTime{300000};
  /// Size from which the wait for the network link of the server's VM is added to the cost.
  static constexpr size_t kLargeResponseBytes = 32 << 10;
  /// Weight of a new report in the mean occupancy.
  static constexpr double kOccupancyEwmaWeight = 0.2;
  /// Maximum random cost, as a share of the service time. Prevents senders with equal reports from
  /// all choosing the same server.
  static constexpr double kJitterShare = 0.3;
  /// Factor on the service time during warm-up, the first seconds after the start of a server.
  static constexpr double kWarmUpSlowdown = 2.0;
  /// Increase of the service time when all slots are occupied, as a share of the service time;
  /// proportionally less at lower occupancy.
  static constexpr double kFullLoadSlowdownShare = 0.25;
  /// Surcharge for a server that fails all calls, as a multiple of its service time.
  static constexpr double kFailureCostFactor = 8.0;
  /// Lower bound on that surcharge: even a short call that fails takes from the retry budget.
  static constexpr ProxyDuration kMinFailureCost{50000};

  struct Choice {
    size_t index = 0;
    ProxyDuration cost{};
    /// Part of the cost that is the service time of the call.
    ProxyDuration service_time{};
  };

  /// Returns the best two of `candidates`, best first. `data_centre`: data centre of this sidecar.
  static std::vector<Choice> Rank(ProxyTime now, const std::string& data_centre,
                                  const CallEstimate& call, const ServerCandidates& candidates,
                                  std::mt19937_64* rng);
  /// Updates `candidate` with a new load report.
  static void UpdateLoad(ProxyTime now, const ServerLoad& load, ServerCandidate* candidate);
  /// Returns the expected cost of a call that is offered now and would run for `service_time`:
  /// queueing delay and service time, with surcharges for occupancy, warm-up and failures.
  static ProxyDuration ExpectedCompletion(ProxyTime now, ProxyDuration service_time,
                                          const ServerCandidate& candidate);
  /// Returns the time that is worth spending to keep `bytes` from crossing the border of a data
  /// centre.
  static ProxyDuration TransferCost(size_t bytes);
  /// Returns the expected service time of the call on the server of `candidate`.
  static ProxyDuration ExpectedServiceTime(const CallEstimate& call,
                                           const ServerCandidate& candidate);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SERVER_PICKER_H_
