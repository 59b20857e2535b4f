#include "camphorhoist/election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace camphorhoist {

namespace {

uint64_t RendezvousHash(const char* role, const std::string& data_centre, const MemberId& member) {
  const std::string text = std::string(role) + '|' + data_centre + '|' + member.ToString();
  return XXH64(text.data(), text.size(), 0);
}

std::vector<MemberId> Elect(const char* role, const std::vector<MemberId>& members,
                            const std::string& data_centre, size_t count) {
  std::vector<std::pair<uint64_t, MemberId>> ranked;
  ranked.reserve(members.size());
  for (const MemberId& it : members) ranked.emplace_back(RendezvousHash(role, data_centre, it), it);
  const size_t n = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                    [](const auto& a, const auto& b) { return b < a; });
  std::vector<MemberId> chosen;
  for (size_t i = 0; i < n; ++i) chosen.push_back(ranked[i].second);
  return chosen;
}

}  // namespace

std::vector<MemberId> ElectWatchers(const std::vector<MemberId>& members,
                                    const std::string& data_centre, size_t count) {
  return Elect("watch", members, data_centre, count);
}

std::vector<MemberId> ElectBridges(const std::vector<MemberId>& members,
                                   const std::string& data_centre, size_t count) {
  return Elect("bridge", members, data_centre, count);
}

}  // namespace camphorhoist
