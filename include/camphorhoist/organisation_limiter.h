#ifndef CAMPHORHOIST_ORGANISATION_LIMITER_H_
#define CAMPHORHOIST_ORGANISATION_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/permit_issuer.h"

namespace camphorhoist {

/// Decides at the sender which requests of limited organisations may be sent, with permits that it
/// requests from the owner of the organisation.
///
/// After each call of another method, the caller sends `TakeRequests` and acts on `TakeDecisions`.
///
/// Reads no clock. Thread safety: none; use from one thread.
class OrganisationLimiter {
 public:
  /// Identifies a request that waits for a permit.
  using Ticket = uint64_t;

  /// Longest wait for a permit of an owner that has responded that it has too few.
  static constexpr std::chrono::milliseconds kMaxWait{100};
  /// Longest wait for the response of the owner, which covers one repeated request. An owner on a
  /// VM with a congested link responds late although it has permits. Also the longest wait while
  /// the owner is not known: a process that has just started knows it within this time.
  static constexpr std::chrono::milliseconds kMaxResponseWait{300};
  /// Demand of this time is requested in advance, which is a few messages per second.
  static constexpr std::chrono::milliseconds kPrefetchTime{500};
  /// Permits are requested when those left last for less than this time, a few round trips.
  static constexpr std::chrono::milliseconds kLowWaterTime{30};
  /// Bounds of the time until an owner without permits is asked again. The upper one bounds the
  /// time until this sender notices that there are permits, the lower one the number of messages.
  static constexpr std::chrono::milliseconds kMinRequestInterval{20};
  static constexpr std::chrono::milliseconds kMaxRequestInterval{250};
  /// The owner, or the connection to it, is assumed lost after this time.
  static constexpr std::chrono::milliseconds kReplyTimeout{150};
  /// Retry-After if the owner does not respond: the time in which a connection is found broken and
  /// another owner is asked.
  static constexpr std::chrono::milliseconds kNoReplyRetryAfter{1000};
  static constexpr std::chrono::milliseconds kMinRetryAfter{1};
  /// Upper bound of Retry-After for an organisation above its limit. It is longer than the timeout
  /// of most routes, so that callers of an organisation far above its limit give up at once.
  static constexpr std::chrono::milliseconds kMaxRetryAfter{3000};
  /// Bounds the memory of requests that wait for permits of one organisation.
  static constexpr size_t kMaxWaiting = 1000;

  enum class Outcome : uint8_t { kPermitted, kWaiting, kRejected };
  struct Result {
    Outcome outcome = Outcome::kPermitted;
    /// With `kRejected`: time until a request is expected to be permitted.
    ProxyDuration retry_after{};
  };
  /// Outcome for a request that has waited: permitted or rejected.
  struct Decision {
    Ticket ticket = 0;
    Result result;
  };

  /// Requests a permit for a request that is sent now. `deadline` of the request. With `kWaiting`,
  /// a decision follows, unless the ticket is cancelled.
  Result Acquire(ProxyTime now, const std::string& organisation, Ticket ticket, ProxyTime deadline);
  /// Discards a waiting request. Its permit, if it arrives, is used for others.
  void Cancel(const std::string& organisation, Ticket ticket);
  void OnGrant(ProxyTime now, const PermitGrant& grant);
  /// The request for permits of `organisation` or its response is lost; it is sent again.
  void OnRequestLost(ProxyTime now, const std::string& organisation);
  /// Rejects requests that have waited too long and repeats requests to the owner. To be called at
  /// `NextEvent`; earlier and later calls are harmless.
  void OnTimer(ProxyTime now);
  std::optional<ProxyTime> NextEvent() const;
  /// Forgets organisations that have no limit any more; their waiting requests are permitted.
  void SetLimits(const OrganisationLimits& limits);

  std::vector<PermitRequest> TakeRequests();
  std::vector<Decision> TakeDecisions();
  size_t waiting() const;

 private:
  struct Waiting {
    Ticket ticket = 0;
    ProxyTime since{};
    ProxyTime until{};
  };
  struct Permits {
    uint32_t count = 0;
    ProxyTime expires_at{};
  };
  struct State {
    std::deque<Waiting> waiting;
    std::deque<Permits> permits;
    uint32_t permits_left = 0;
    /// Requests per second, averaged over `kDemandSeconds`.
    double demand = 0;
    ProxyTime demand_at{};
    bool request_pending = false;
    ProxyTime requested_at{};
    ProxyTime replied_at{};
    uint32_t wanted = 0;
    uint32_t last_granted = 1;
    /// The owner has no permits until then.
    ProxyTime next_request_at{};
    /// The sidecar that was asked issues no permits: the owner has just started, or ended, or this
    /// sidecar does not see it yet.
    bool owner_unknown = false;
    /// Time at which the next permit is expected.
    ProxyTime retry_at{};
    /// The owner issues only a part of the rate until then.
    ProxyTime cautious_until{};
    /// Permits that arrived and requests that were rejected for lack of permits, both decaying with
    /// `kDemandSeconds`.
    double granted = 0;
    double rejected = 0;
    ProxyTime counted_at{};
  };

  static void RecordDemand(ProxyTime now, State* state);
  static void RemoveExpired(ProxyTime now, State* state);
  static void TakePermit(State* state);
  void MayRequest(ProxyTime now, const std::string& organisation, State* state);
  void RejectExpired(ProxyTime now, State* state);
  static void UpdateCounts(ProxyTime now, State* state);
  /// Counts a rejected request and returns its Retry-After: the time until the next permit is
  /// expected or, if that is longer, until as many permits have arrived as requests were rejected
  /// recently. With the time until the next permit only, all callers that were rejected meanwhile
  /// return for the same permit.
  static ProxyDuration RetryAfter(ProxyTime now, State* state);

  std::map<std::string, State> states_;
  std::vector<PermitRequest> requests_;
  std::vector<Decision> decisions_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ORGANISATION_LIMITER_H_
