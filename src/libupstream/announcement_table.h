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

/// Keeps the current announcement of each upstream address. The owner passes in the messages and
/// the time.
///
/// Announcements may arrive out of order. Therefore a draining process instance cannot become
/// warming or serving again, and an instance that has left is rejected.
///
/// Thread safety: none.
class AnnouncementTable {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Upstreams renew every second; five missed renewals remove one from rotation.
  static constexpr std::chrono::seconds kAnnouncementTtl{5};
  /// How long an instance that has left is remembered; far above the delay of an announcement.
  static constexpr std::chrono::seconds kDepartedRetention{60};

  struct Outcome {
    bool accepted = false;
    /// Why the message was rejected.
    std::string reason;
    /// Messages to post, in order.
    std::vector<UpstreamMessage> messages;
  };

  /// Adds, renews or changes an announcement. A renewal without a change produces no messages.
  Outcome Announce(const Announcement& announcement, TimePoint now);
  Outcome Leave(const NetAddress& address, const std::string& instance, TimePoint now);
  Outcome ReportLoad(const UpstreamLoad& load);

  /// Removes announcements that were not renewed for `kAnnouncementTtl`.
  std::vector<UpstreamMessage> Expire(TimePoint now);

  std::vector<Announcement> Entries() const;

 private:
  struct Entry {
    Announcement announcement;
    TimePoint renewed_at;
  };
  using InstanceKey = std::pair<NetAddress, std::string>;

  void InsertOrReplace(const Announcement& announcement, TimePoint now, Outcome* outcome);

  std::map<NetAddress, Entry> entries_;
  std::map<InstanceKey, TimePoint> departed_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_TABLE_H_
