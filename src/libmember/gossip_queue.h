#ifndef CAMPHORHOIST_LIBMEMBER_GOSSIP_QUEUE_H_
#define CAMPHORHOIST_LIBMEMBER_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "camphorhoist/member.h"
#include "camphorhoist/member_message.h"

namespace camphorhoist {

/// Queue of members whose latest update is to be sent a limited number of times. The update itself
/// is read when it is sent, so that a newer one replaces an older one.
///
/// Thread safety: none.
class GossipQueue {
 public:
  /// Returns the current update of a member, or nothing if the member is no longer known.
  using Source = std::function<std::optional<MemberUpdate>(const MemberId&)>;

  /// Queues a member's update with its send count reset; urgent updates are sent first.
  void Add(const MemberId& id, bool urgent = false);
  /// Called when a peer sends an update that is already known, which then has to be sent less
  /// often.
  void CountDuplicate(const MemberId& id, int limit);
  void Remove(const MemberId& id);
  void Clear();
  bool empty() const { return by_count_.empty(); }
  size_t size() const { return by_count_.size(); }

  /// Appends the updates with the lowest send counts that fit in `budget` bytes, and increments
  /// their counts. An update sent `limit` times is removed. Returns the number of bytes used.
  size_t Take(size_t budget, int limit, const Source& source, std::vector<MemberUpdate>* out);

 private:
  // Urgent updates start with a negative send count, so that they precede all others.
  static constexpr int kUrgentInitialCount = -4;

  void SetCount(const MemberId& id, int count, int limit);

  std::map<MemberId, int> counts_;
  std::set<std::pair<int, MemberId>> by_count_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_GOSSIP_QUEUE_H_
