#ifndef CAMPHORHOIST_ELECTION_H_
#define CAMPHORHOIST_ELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "camphorhoist/member.h"

namespace camphorhoist {

/// Number of members per data centre that watch the head, and that exchange with other data
/// centres.
constexpr size_t kWatchersPerDataCentre = 2;
constexpr size_t kBridgesPerDataCentre = 2;

/// The holders of the duty to watch the platform's head: the `count` members with the highest
/// rendezvous hash, highest first; fewer if there are fewer members. A pure function of its
/// arguments, independent of the order of `members`. `members` are the live ones of the data
/// centre. Thread safety: safe from any thread.
std::vector<MemberId> ElectWatchers(const std::vector<MemberId>& members,
                                    const std::string& data_centre, size_t count);

/// The same for the exchange with other data centres; drawn independently of the watchers.
std::vector<MemberId> ElectBridges(const std::vector<MemberId>& members,
                                   const std::string& data_centre, size_t count);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ELECTION_H_
