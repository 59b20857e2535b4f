#ifndef CAMPHORHOIST_CALL_PLACEMENT_H_
#define CAMPHORHOIST_CALL_PLACEMENT_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/server_picker.h"

namespace camphorhoist {

/// Where one call is offered next, and when it is given up.
///
/// A sidecar knows the load of remote servers only from their last responses. It therefore offers a
/// call with the longest wait that it accepts, which is what the next best server seems to need;
/// the sidecar beside the server declines a longer one and tells its present load. Declined offers
/// reach no server, so they cost two network delays and none of the retry budget.
///
/// Answers surges and uneven servers: work goes where it completes first although reports are late.
///
/// Thread safety: none; use from one thread.
class CallPlacement {
 public:
  /// Offers before the call has to take the best server found so far.
  static constexpr int kMaxOffers = 4;
  /// Accepts any wait; whether the call is hopeless is decided beside the server.
  static constexpr ProxyDuration kUnlimitedWait = std::chrono::minutes(10);
  /// Least wait that is accepted, so that offers do not go round for a difference that the network
  /// delay makes up.
  static constexpr ProxyDuration kMinAcceptedWait{3000};
  /// Shortest Retry-After; a shorter one meets the same queue again.
  static constexpr ProxyDuration kMinRetryAfter{50000};
  /// Retry-After when no server is known. If servers have failed the call without being full, the
  /// next attempt may succeed at once, and waits for the least time only.
  static constexpr ProxyDuration kNoServerRetryAfter{300000};

  struct Offer {
    /// Index into the candidates.
    size_t index = 0;
    ProxyDuration max_wait{};
  };

  /// Next offer, or nothing if the call has to be refused. `candidates`: all servers of the service
  /// that take calls. `zone`: the own one. `response_bytes`: expected size of the response.
  std::optional<Offer> NextOffer(ProxyTime now, const std::string& zone, size_t response_bytes,
                                 const ServerCandidates& candidates, std::mt19937_64* rng);

  /// The server would have needed `wait` before it could start the call.
  void OnBusy(const std::string& node, ProxyDuration wait);
  /// The server does not take the call, or has failed it.
  void OnFailed(const std::string& node);

  /// Whether a server is left that has not failed the call.
  bool HasAlternative(const ServerCandidates& candidates) const;
  /// Whether the refusal is due to load.
  bool overloaded() const { return !busy_.empty(); }
  int offers() const { return offers_; }
  std::optional<ProxyDuration> shortest_wait() const { return shortest_wait_; }
  /// Time after which a refused caller should return. `left`: what its deadline leaves.
  ProxyDuration RetryAfter(ProxyDuration left) const;

 private:
  std::vector<size_t> Eligible(const ServerCandidates& candidates, bool with_busy) const;

  int offers_ = 0;
  /// The offer under way accepts any wait.
  bool final_ = false;
  std::set<std::string> busy_;
  std::set<std::string> failed_;
  std::optional<ProxyDuration> shortest_wait_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_PLACEMENT_H_
