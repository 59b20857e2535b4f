#ifndef CAMPHORHOIST_CALL_TYPES_H_
#define CAMPHORHOIST_CALL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

#include "camphorhoist/locality.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Time stamp used by the call path. Its decision classes take the current time as an argument and
/// never read a clock.
using CallTime = std::chrono::steady_clock::time_point;
using CallDuration = std::chrono::steady_clock::duration;

/// Expected amount of work of a call. `WorkClassifier` derives it from the service time and
/// response size of earlier calls on the same route.
enum class WorkClass : uint8_t { kShort, kLong };

/// The upstream that an attempt is sent to, and the node through which it is reached.
///
/// Value type. Thread safety: distinct objects may be used from distinct threads.
struct CallEndpoint {
  std::string service;
  /// Address that the upstream announced.
  NetAddress upstream;
  /// Address of the only node that sends requests to the upstream.
  NetAddress node;
  /// Incarnation of that node; it refuses calls that are addressed to another incarnation.
  uint64_t node_incarnation = 0;

  friend bool operator==(const CallEndpoint& a, const CallEndpoint& b) {
    return std::tie(a.service, a.upstream, a.node, a.node_incarnation) ==
           std::tie(b.service, b.upstream, b.node, b.node_incarnation);
  }
  friend bool operator!=(const CallEndpoint& a, const CallEndpoint& b) { return !(a == b); }
  friend bool operator<(const CallEndpoint& a, const CallEndpoint& b) {
    return std::tie(a.service, a.upstream, a.node, a.node_incarnation) <
           std::tie(b.service, b.upstream, b.node, b.node_incarnation);
  }
};

/// Load of an upstream, as reported by its node with each response. It is out of date on arrival
/// and may be wrong.
struct LoadReport {
  /// Number of calls in the admission queue.
  uint32_t queue_length = 0;
  /// Number of calls running on the upstream.
  uint32_t running = 0;
  /// Current concurrency limit; 0 when unknown.
  uint32_t limit = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_TYPES_H_
