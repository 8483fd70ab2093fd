/** Chooses nodes for tasks that a few of them do for all. */
#pragma once

#include "control/membership/MemberTable.h"

#include <functional>
#include <string>
#include <vector>

namespace boragetrack::control::membership {

/** Selects the members that may be chosen for a task. */
using MemberFilter = std::function<bool(const MemberRecord &)>;

/** Returns whether a node is among the members alive with the highest rendezvous weights for a
    topic. Views that differ for a while only add or delay one; tasks given out so must bear that.
    @param self counts whether or not the filter selects it @param count the number chosen */
bool isAmongSelected(const MemberRecord &self, const MemberTable &members, const std::string &topic,
                     std::size_t count, const MemberFilter &filter);

/** Returns the members alive with the highest rendezvous weights for a topic, the highest first. */
std::vector<core::identity::NodeId> selectMembers(const MemberTable &members,
                                                  const std::string &topic, std::size_t count,
                                                  const MemberFilter &filter);

/** The number of nodes in each data centre that watch the platform. */
inline constexpr std::size_t watchersPerDataCentre = 2;

/** Returns whether a node is among the watchers of its data centre. */
bool isWatcher(const MemberRecord &self, const MemberTable &members);

} // namespace boragetrack::control::membership
