/** Selection of the nodes that perform a task on behalf of all. */
#pragma once

#include "control/membership/MemberTable.h"

#include <functional>
#include <string>
#include <vector>

namespace boragetrack::control::membership {

/** Returns whether a member is eligible for a task. */
using MemberFilter = std::function<bool(const MemberRecord &)>;

/** Returns whether a node is among the live members with the highest rendezvous weights for a
    topic. While the views of nodes differ, a task may be performed twice or late, which must be
    harmless.
    @param self counts whether or not the filter accepts it
    @param count the number of members to select */
bool isAmongSelected(const MemberRecord &self, const MemberTable &members, const std::string &topic,
                     std::size_t count, const MemberFilter &filter);

/** Returns the live members with the highest rendezvous weights for a topic, in descending order of
    weight. */
std::vector<core::identity::NodeId> selectMembers(const MemberTable &members,
                                                  const std::string &topic, std::size_t count,
                                                  const MemberFilter &filter);

/** The number of nodes in each data centre that watch the platform's store. */
inline constexpr std::size_t watchersPerDataCentre = 2;

/** Returns whether a node is one of the watchers of its data centre. */
bool isWatcher(const MemberRecord &self, const MemberTable &members);

} // namespace boragetrack::control::membership
