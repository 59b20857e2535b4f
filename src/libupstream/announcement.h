#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>

#include "camphorhoist/net_address.h"

namespace camphorhoist {

enum class UpstreamState { kWarming, kServing, kDraining };

/// "warming", "serving" or "draining".
const char* ToString(UpstreamState state);

/// What an upstream says of itself.
struct Announcement {
  std::string service;
  NetAddress address;
  /// Requests that it runs at the same time.
  int slots = 0;
  /// Connections that it accepts.
  int connections = 0;
  UpstreamState state = UpstreamState::kServing;
  /// Differs between runs of the process on the same address.
  std::string instance;
  /// It accepts "POST /cancel?id=".
  bool accepts_cancel = false;

  friend bool operator==(const Announcement& a, const Announcement& b) {
    return std::tie(a.service, a.address, a.slots, a.connections, a.state, a.instance,
                    a.accepts_cancel) == std::tie(b.service, b.address, b.slots, b.connections,
                                                  b.state, b.instance, b.accepts_cancel);
  }
  friend bool operator!=(const Announcement& a, const Announcement& b) { return !(a == b); }
};

/// An upstream is new or has changed anything but its state to draining.
struct UpstreamAnnounced {
  Announcement announcement;
};

/// An upstream takes no new work; it finishes what it has.
struct UpstreamDraining {
  Announcement announcement;
};

enum class LeaveReason {
  /// It said so.
  kLeft,
  /// Its announcement was not renewed in time.
  kLapsed,
  /// Another process run announced the same address.
  kReplaced,
};

/// An upstream has gone.
struct UpstreamLeft {
  Announcement announcement;
  LeaveReason reason = LeaveReason::kLeft;
};

/// Load as an upstream reports it. It lags behind and may be false.
struct UpstreamLoad {
  NetAddress address;
  std::string instance;
  /// Share of its capacity in use; 0 or above.
  double load = 0;
  /// Requests running and waiting; -1 if not reported.
  int64_t running = -1;
  int64_t queued = -1;
};

using UpstreamMessage =
    std::variant<UpstreamAnnounced, UpstreamDraining, UpstreamLeft, UpstreamLoad>;

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_H_
