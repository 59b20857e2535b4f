#ifndef CAMPHORHOIST_STANDIN_UPSTREAM_ANNOUNCER_H_
#define CAMPHORHOIST_STANDIN_UPSTREAM_ANNOUNCER_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/http_client.h"
#include "libupstream/announcement.h"

namespace camphorhoist {

/// Announces the upstream and reports its load every `kInterval` to the first node that responds.
///
/// Thread safety: none; use on the thread of the event loop.
class Announcer {
 public:
  static constexpr std::chrono::seconds kInterval{1};
  static constexpr std::chrono::milliseconds kTimeout{500};

  /// `announcement` and `load` return the current values. `nodes` are tried in order.
  Announcer(event_base* base, std::vector<NetAddress> nodes,
            std::function<Announcement()> announcement, std::function<double()> load);

  void Start();
  /// Announces immediately. `done` is called when a node has responded or all have failed.
  void AnnounceNow(std::function<void()> done);
  /// Stops announcing and tells all nodes that the upstream is leaving.
  void Leave(const std::function<void()>& done);
  /// Suspends or resumes announcements without notifying the nodes.
  void SetSuspended(bool suspended) { suspended_ = suspended; }

 private:
  void Announce(size_t node_index, std::function<void()> done);
  void ReportLoad(size_t node_index);

  std::vector<NetAddress> nodes_;
  std::function<Announcement()> announcement_;
  std::function<double()> load_;
  bool suspended_ = false;
  size_t pending_leaves_ = 0;
  Timer timer_;
  HttpClient client_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_STANDIN_UPSTREAM_ANNOUNCER_H_
