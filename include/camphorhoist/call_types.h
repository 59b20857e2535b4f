#ifndef CAMPHORHOIST_CALL_TYPES_H_
#define CAMPHORHOIST_CALL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

#include "camphorhoist/locality.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Point in time of the call path. The decision classes take it as an argument and read no clock.
using CallTime = std::chrono::steady_clock::time_point;
using CallDuration = std::chrono::steady_clock::duration;

/// Expected run time of a call compared with the other calls of the mesh.
enum class WorkClass : uint8_t { kShort, kLong };

/// The upstream that an attempt is sent to and the node through which it is reached.
///
/// Value type. Thread safety: distinct objects may be used from distinct threads.
struct CallEndpoint {
  std::string service;
  /// Address of the upstream, as it announced itself.
  NetAddress upstream;
  /// Address of the node that is the only sender to the upstream.
  NetAddress node;
  /// Incarnation of that node; calls to another incarnation are refused.
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

/// Load of the upstream side as carried on an answer. It is late and may be false.
struct LoadReport {
  /// Calls in the admission queue.
  uint32_t queue_length = 0;
  /// Calls running on the upstream.
  uint32_t running = 0;
  /// Current concurrency limit; 0 when unknown.
  uint32_t limit = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CALL_TYPES_H_
