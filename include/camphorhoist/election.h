#ifndef CAMPHORHOIST_ELECTION_H_
#define CAMPHORHOIST_ELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "camphorhoist/member.h"

namespace camphorhoist {

/// Number of members per data centre that watch the platform's head (watchers), and that exchange
/// membership changes with other data centres (bridges).
constexpr size_t kWatchersPerDataCentre = 2;
constexpr size_t kBridgesPerDataCentre = 2;

/// Elects the watchers of the platform's head by rendezvous hashing: the `count` members with the
/// highest hash, highest first, or all members if there are fewer. `members` are the live members
/// of the data centre, in any order. A pure function of its arguments, so that members with the
/// same view agree without communication. Thread safety: safe from any thread.
std::vector<MemberId> ElectWatchers(const std::vector<MemberId>& members,
                                    const std::string& data_centre, size_t count);

/// Elects the bridges in the same way, but with independent hashes, so that the roles spread over
/// the members.
std::vector<MemberId> ElectBridges(const std::vector<MemberId>& members,
                                   const std::string& data_centre, size_t count);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_ELECTION_H_
