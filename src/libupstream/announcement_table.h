#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_TABLE_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_TABLE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libupstream/announcement.h"

namespace camphorhoist {

/// Decides which upstreams are announced, from announcements and a clock that the owner passes in.
///
/// An announcement sent earlier may arrive after a later one. Therefore a process run that is
/// draining does not serve again, and one that has left is not announced again.
///
/// Thread safety: none.
class AnnouncementTable {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Upstreams renew each second; five missed renewals take one out of rotation.
  static constexpr std::chrono::seconds kLapse{5};
  /// How long a process run that has left is remembered; far above the delay of an announcement.
  static constexpr std::chrono::seconds kLeftMemory{60};

  struct Outcome {
    bool accepted = false;
    /// Why it was not accepted.
    std::string reason;
    /// Changes to report, in order.
    std::vector<UpstreamMessage> messages;
  };

  /// A first, renewed or changed announcement. A renewal without a change has no messages.
  Outcome Announce(const Announcement& announcement, TimePoint now);
  Outcome Leave(const NetAddress& address, const std::string& instance, TimePoint now);
  Outcome Load(const UpstreamLoad& load);

  /// Removes what was not renewed for `kLapse`.
  std::vector<UpstreamMessage> Expire(TimePoint now);

  std::vector<Announcement> Entries() const;

 private:
  struct Entry {
    Announcement announcement;
    TimePoint renewed;
  };
  using Run = std::pair<NetAddress, std::string>;

  void Replace(const Announcement& announcement, TimePoint now, Outcome* outcome);

  std::map<NetAddress, Entry> entries_;
  std::map<Run, TimePoint> left_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_TABLE_H_
