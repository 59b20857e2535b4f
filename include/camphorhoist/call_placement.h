#ifndef CAMPHORHOIST_CALL_PLACEMENT_H_
#define CAMPHORHOIST_CALL_PLACEMENT_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/server_picker.h"

namespace camphorhoist {

/// Selects the servers that one call is offered to, and decides when the call is refused.
///
/// A sidecar knows the load of remote servers only from their last responses. In a large fleet a
/// pair of VMs exchanges less than one call a second, so that these reports say little about the
/// moment. The first offers of a call therefore look for a free slot: they accept only a wait that
/// is short compared with the round trip of one more offer. The sidecar on the server's VM rejects
/// an offer with a longer wait and returns the current load. A rejected offer reaches no server, so
/// it costs one round trip between sidecars and nothing of the retry budget. If several servers
/// were busy, the call goes to the one that is expected to complete it first, with any wait.
///
/// Keeps calls from waiting for one server while others are idle, under load peaks and with servers
/// of different speed, although load reports are out of date.
///
/// Thread safety: none; use from one thread.
class CallPlacement {
 public:
  /// Number of offers after which the call is offered once more, with an unlimited wait.
  static constexpr int kMaxOffers = 4;
  /// Longest wait for a last offer. Whether the call can still complete in time is decided by the
  /// queue of the server.
  static constexpr ProxyDuration kUnlimitedWait = std::chrono::minutes(10);
  /// Wait that every offer accepts. While other servers have not been tried, an offer accepts no
  /// longer one, unless the request is so large that another offer would cost more.
  static constexpr ProxyDuration kShortWait{15000};
  /// Shortest Retry-After. With a shorter one, the retry would find the same queue.
  static constexpr ProxyDuration kMinRetryAfter{50000};
  /// Retry-After if no server was found. If servers failed the call without being overloaded, the
  /// next attempt may succeed at once, so `kMinRetryAfter` is used instead.
  static constexpr ProxyDuration kNoServerRetryAfter{300000};

  struct Offer {
    /// Index into the candidates.
    size_t index = 0;
    ProxyDuration max_wait{};
  };

  /// Returns the next offer, or nothing if the call has to be refused. `candidates`: all servers of
  /// the service that accept calls. `data_centre`: data centre of this sidecar.
  std::optional<Offer> NextOffer(ProxyTime now, const std::string& data_centre,
                                 const CallEstimate& call, const ServerCandidates& candidates,
                                 std::mt19937_64* rng);

  /// Records that `node` rejected the offer because the call would have waited for `wait`.
  void OnBusy(const std::string& node, ProxyDuration wait);
  /// Records that `node` rejected the offer because the call cannot complete there in time,
  /// whatever wait its sender accepts. It is not offered to that server again. `wait`: as for
  /// `OnBusy`.
  void OnHopeless(const std::string& node, ProxyDuration wait);
  /// Records that the server at `node` does not accept the call or failed it.
  void OnFailed(const std::string& node);

  /// Returns whether there is a server that has not failed the call.
  bool HasAlternative(const ServerCandidates& candidates) const;
  /// Returns whether a server rejected the call because of its load.
  bool overloaded() const { return !busy_.empty() || !hopeless_.empty(); }
  int offers() const { return offers_; }
  /// Shortest wait among the rejected offers.
  std::optional<ProxyDuration> shortest_wait() const { return shortest_wait_; }
  /// Returns the time after which the caller of a refused call should retry. `left`: time until the
  /// deadline of the call.
  ProxyDuration RetryAfter(ProxyDuration left) const;

 private:
  std::vector<size_t> Eligible(const ServerCandidates& candidates, bool include_busy) const;

  int offers_ = 0;
  /// An offer with an unlimited wait was made, and no server has failed the call since.
  bool unlimited_offer_made_ = false;
  /// Nodes that rejected the call because of their load.
  std::set<std::string> busy_;
  std::set<std::string> hopeless_;
  std::set<std::string> failed_;
  std::optional<ProxyDuration> shortest_wait_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_PLACEMENT_H_
