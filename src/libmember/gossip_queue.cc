#include "libmember/gossip_queue.h"

namespace camphorhoist {

namespace {

// Updates that do not fit the rest of a message are passed over; this bounds the search.
constexpr int kMaxPassedOver = 4;
// A duplicate shows that the update is widespread. Without this, the updates of a restart of 471
// members still took 1.4 KB/s per member five minutes later.
constexpr int kKnownWeight = 2;

}  // namespace

void GossipQueue::Add(const MemberId& id, bool urgent) {
  Remove(id);
  const int start = urgent ? kUrgentStart : 0;
  sent_[id] = start;
  order_.emplace(start, id);
}

void GossipQueue::CountKnown(const MemberId& id, int limit) {
  const auto it = sent_.find(id);
  if (it != sent_.end()) SetCount(id, it->second + kKnownWeight, limit);
}

void GossipQueue::SetCount(const MemberId& id, int count, int limit) {
  Remove(id);
  if (count >= limit) return;
  sent_[id] = count;
  order_.emplace(count, id);
}

void GossipQueue::Remove(const MemberId& id) {
  const auto it = sent_.find(id);
  if (it == sent_.end()) return;
  order_.erase({it->second, id});
  sent_.erase(it);
}

void GossipQueue::Clear() {
  sent_.clear();
  order_.clear();
}

size_t GossipQueue::Take(size_t budget, int limit, const Source& source,
                         std::vector<MemberUpdate>* out) {
  size_t used = 0;
  int passed_over = 0;
  std::vector<std::pair<int, MemberId>> taken;
  std::vector<MemberId> gone;
  for (const auto& [count, id] : order_) {
    const auto update = source(id);
    if (!update) {
      gone.push_back(id);
      continue;
    }
    const size_t n = EstimateUpdateBytes(*update);
    if (used + n > budget) {
      if (++passed_over > kMaxPassedOver) break;
      continue;
    }
    used += n;
    out->push_back(*update);
    taken.emplace_back(count, id);
  }
  for (const MemberId& id : gone) Remove(id);
  for (const auto& [count, id] : taken) SetCount(id, count + 1, limit);
  return used;
}

}  // namespace camphorhoist
