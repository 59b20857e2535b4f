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

/// Members whose latest update is still to be passed on a bounded number of times. The update
/// itself is read when it is sent, so that a newer one replaces an older one.
///
/// Thread safety: none.
class GossipQueue {
 public:
  /// Gives the current update of a member, or nothing if it is no longer known.
  using Source = std::function<std::optional<MemberUpdate>(const MemberId&)>;

  /// (Re)starts the passing on of a member's update; urgent ones go first.
  void Add(const MemberId& id, bool urgent = false);
  /// A peer sent an update that is already known: it needs to be passed on less often.
  void CountKnown(const MemberId& id, int limit);
  void Remove(const MemberId& id);
  void Clear();
  bool empty() const { return order_.empty(); }
  size_t size() const { return order_.size(); }

  /// Appends the updates sent least often so far, while they fit `budget` bytes, and counts them as
  /// sent. An update sent `limit` times is removed. Returns the bytes used.
  size_t Take(size_t budget, int limit, const Source& source, std::vector<MemberUpdate>* out);

 private:
  // Urgent updates start below zero so that they precede all others.
  static constexpr int kUrgentStart = -4;

  void SetCount(const MemberId& id, int count, int limit);

  std::map<MemberId, int> sent_;
  std::set<std::pair<int, MemberId>> order_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_GOSSIP_QUEUE_H_
