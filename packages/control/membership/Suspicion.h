/** The report of one observer that a member is unreachable. */
#pragma once

#include "control/membership/MemberVersion.h"
#include "core/identity/NodeId.h"

#include <compare>

namespace boragetrack::control::membership {

/** States that an observer failed to reach a member at a version of its record. */
struct Suspicion
{
    core::identity::NodeId subject;
    MemberVersion version;
    core::identity::NodeId observer;

    friend auto operator<=>(const Suspicion &, const Suspicion &) = default;
};

} // namespace boragetrack::control::membership
