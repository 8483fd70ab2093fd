/** Chooses the nodes that watch the platform. */
#pragma once

#include "control/membership/MemberTable.h"

namespace boragetrack::control::membership {

/** The number of nodes in each data centre that watch the platform. */
inline constexpr std::size_t watchersPerDataCentre = 2;

/** Returns whether a node is among the watchers of its data centre: the members alive there with
    the highest rendezvous weights. Views that differ for a while only add or delay a watcher. */
bool isWatcher(const MemberRecord &self, const MemberTable &members);

} // namespace boragetrack::control::membership
