/** The last contact of a node with the durable store. */
#pragma once

#include "core/identity/Revision.h"
#include "core/timing/MonotonicTime.h"

#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/** Combines this node's own contacts with those of its peers, which count as this node's as soon as
    it holds what the peer held. Contacts are dated back to the moment from which the store is known
    to have responded: that at which the call was sent. */
class StoreContact
{
public:
    /** Records that the store responded to this node. @param askedAt when the call was sent */
    void recordStore(core::timing::MonotonicTime askedAt);

    /** Records the last contact of a peer.
        @param revision the revision that the peer holds
        @param held the revision that this node holds */
    void recordPeer(core::identity::Revision revision, core::timing::MonotonicTime contactAt,
                    core::identity::Revision held);

    /** Records the revision that this node holds. */
    void recordRevision(core::identity::Revision held);

    /** Returns the time of the last contact; nothing before the first one. */
    std::optional<core::timing::MonotonicTime> last() const { return last_; }

private:
    // A contact of a peer that counts once this node holds the peer's revision.
    struct AwaitedContact
    {
        core::identity::Revision revision;
        core::timing::MonotonicTime at;
    };

    std::optional<core::timing::MonotonicTime> last_;
    // Invariant: all later than last_, with different revisions.
    std::vector<AwaitedContact> awaited_;
};

} // namespace boragetrack::control::distribution
