#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>

#include "camphorhoist/net_address.h"

namespace camphorhoist {

enum class UpstreamState { kWarming, kServing, kDraining };

/// Returns "warming", "serving" or "draining".
const char* ToString(UpstreamState state);

/// What an upstream announces about itself.
struct Announcement {
  std::string service;
  NetAddress address;
  /// Maximum number of concurrent requests.
  int slots = 0;
  /// Maximum number of connections that it accepts.
  int connections = 0;
  UpstreamState state = UpstreamState::kServing;
  /// Identifies the process instance; differs after a restart on the same address.
  std::string instance;
  /// Whether it accepts "POST /cancel?id=".
  bool accepts_cancel = false;

  friend bool operator==(const Announcement& a, const Announcement& b) {
    return std::tie(a.service, a.address, a.slots, a.connections, a.state, a.instance,
                    a.accepts_cancel) == std::tie(b.service, b.address, b.slots, b.connections,
                                                  b.state, b.instance, b.accepts_cancel);
  }
  friend bool operator!=(const Announcement& a, const Announcement& b) { return !(a == b); }
};

/// A warming or serving upstream is new or has changed its announcement.
struct UpstreamAnnounced {
  Announcement announcement;
};

/// A draining upstream accepts no new requests and finishes those that it has.
struct UpstreamDraining {
  Announcement announcement;
};

enum class LeaveReason {
  /// The upstream reported that it is leaving.
  kLeft,
  /// The announcement was not renewed in time.
  kExpired,
  /// Another process instance announced the same address.
  kReplaced,
};

/// An upstream is no longer available.
struct UpstreamLeft {
  Announcement announcement;
  LeaveReason reason = LeaveReason::kLeft;
};

/// Load reported by an upstream. The values lag behind and may be wrong.
struct UpstreamLoad {
  NetAddress address;
  std::string instance;
  /// Fraction of the capacity in use; 0 or above, may exceed 1.
  double load = 0;
  /// Number of running and queued requests; -1 if not reported.
  int64_t running = -1;
  int64_t queued = -1;
};

using UpstreamMessage =
    std::variant<UpstreamAnnounced, UpstreamDraining, UpstreamLeft, UpstreamLoad>;

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_
