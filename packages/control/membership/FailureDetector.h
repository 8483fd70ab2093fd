/** The rules by which a member that does not respond counts as suspect or dead. */
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
    Collects suspicions against members and decides from them.

    A member is suspect once any observer has failed to reach it, and dead once two observers have
    and suspicionTimeout has passed without a refutation. When half or more of a data centre's
    members are suspect at the same time, the cause is a network partition or the loss of the data
    centre: its members then stay suspect, so they get no traffic but are not removed.
*/
class FailureDetector
{
public:
    /** The time in which a suspect member may refute before it counts as dead. */
    static constexpr std::chrono::milliseconds suspicionTimeout{4000};

    /** Records a suspicion. @returns whether it is new */
    bool addSuspicion(const Suspicion &suspicion, core::timing::MonotonicTime now);

    /** Removes the suspicions against a member that responded or refuted them. */
    void clear(const core::identity::NodeId &subject);

    /** Returns the suspicions recorded against a member. */
    std::vector<Suspicion> suspicionsOf(const core::identity::NodeId &subject) const;

    /** Returns the members that now count as dead. Members of a silent data centre are left out and
        have the full time to refute once the data centre responds again. */
    std::vector<core::identity::NodeId> findDead(const MemberTable &members,
                                                 core::timing::MonotonicTime now);

    /** Returns the silent data centres: the ones with at least two suspects, which make up half or
        more of their live and suspect members. */
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
