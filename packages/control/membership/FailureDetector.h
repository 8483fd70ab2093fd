/** Decides which members have failed. */
#pragma once

#include "control/membership/MemberTable.h"
#include "control/membership/Suspicion.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace boragetrack::control::membership {

/**
    Collects suspicions and decides from them.

    A member is suspect once any observer failed to reach it, and dead once two observers did and
    some seconds passed without a refutation. When half of a data centre is suspect at once, the
    cause is a cut or the loss of the data centre: its members then stay suspect, which keeps work
    away from them but forgets none of them.
*/
class FailureDetector
{
public:
    /** How long a suspect may refute before it counts as dead. */
    static constexpr std::chrono::milliseconds suspicionTimeout{4000};

    /** Notes a suspicion. @returns whether it is news */
    bool addSuspicion(const Suspicion &suspicion, core::timing::MonotonicTime now);

    /** Forgets the suspicions of a member, which was heard of or refuted them. */
    void clear(const core::identity::NodeId &subject);

    /** Returns the suspicions held against a member. */
    std::vector<Suspicion> suspicionsOf(const core::identity::NodeId &subject) const;

    /** Returns the members that now count as dead. Those of a silent data centre do not, and get
        the whole time to refute once it is heard of again. */
    std::vector<core::identity::NodeId> findDead(const MemberTable &members,
                                                 core::timing::MonotonicTime now);

    /** Returns the data centres of which half or more is suspect. */
    static std::set<core::identity::DataCentreId> findSilentDataCentres(const MemberTable &members);

private:
    struct SuspicionCase
    {
        core::timing::MonotonicTime since;
        std::set<core::identity::NodeId> observers;
        MemberVersion version;
    };

    std::map<core::identity::NodeId, SuspicionCase> cases_;
};

} // namespace boragetrack::control::membership
