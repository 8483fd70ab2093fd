/** What a node knows of the durable store, through its own follower and through its peers. */
#pragma once

#include "control/distribution/ChangeHistory.h"
#include "control/distribution/Exchange.h"
#include "control/distribution/FollowerRole.h"
#include "control/distribution/StoreContact.h"
#include "control/distribution/StoreKnowledge.h"
#include "core/timing/TimerService.h"

namespace boragetrack::control::distribution {

/** Combines the node's role, its last contact with the store and what other nodes have reported. */
class StoreAwareness
{
public:
    /** @param members and @param timers must outlive this object */
    StoreAwareness(const membership::MembershipEngine &members, core::timing::TimerService &timers)
        : timers_(timers)
        , role_(members)
    {}

    /** Returns the node's role; it decides who follows the store. */
    FollowerRole &role() { return role_; }
    const FollowerRole &role() const { return role_; }

    /** Returns whether there is a durable store for nodes to follow. */
    bool hasStore() const { return hasStore_; }

    /** Returns whether this node follows the store and can reach it. */
    bool isFollowing() const { return isFollowing_; }

    /** Records whether this node follows the store and can reach it. */
    void setFollowing(bool isFollowing);

    /** Records that the store responded to this node. @param askedAt when the call was sent */
    void recordStore(core::timing::MonotonicTime askedAt)
    {
        contact_.recordStore(askedAt);
        proof_.recordStore(askedAt);
    }

    /** Records that the next call of recordHeld() is for an update that has just been received,
        before any contact that came with it is recorded. */
    void beginUpdate() { provenBefore_ = proof_.last(); }

    /** Records the revision that this node holds.
        @param source where its changes came from */
    void recordHeld(core::identity::Revision held, const ChangeSource &source);

    /** Records a response to an exchange that this node sent. */
    void recordResponse(const Exchange &response);

    /** Records the revision that another node has reported.
        @param age how long that node has held it; nothing if it did not tell */
    void recordReport(const core::identity::NodeId &node, core::identity::Revision revision,
                      std::optional<std::chrono::milliseconds> age);

    /** Returns when changes were known elsewhere and came here. */
    const ChangeHistory &changes() const { return changes_; }

    /** Returns when the store last confirmed what this node holds; nothing without any contact. */
    std::optional<core::timing::MonotonicTime> lastContact() const { return contact_.last(); }

    /** Returns the time since lastContact(), rounded up. */
    std::optional<std::chrono::milliseconds> contactAge() const;

    /** Returns a summary for logs and operators. */
    StoreKnowledge knowledge() const;

private:
    core::timing::TimerService &timers_;
    FollowerRole role_;
    StoreContact contact_;
    // As contact_, with responses dated back by their wait for this thread. No decision depends on
    // it.
    StoreContact proof_;
    // The proof before the update that is being handled, or the last one.
    std::optional<core::timing::MonotonicTime> provenBefore_;
    bool hasStore_ = false;
    // Invariant: false unless hasStore_.
    bool isFollowing_ = false;
    ChangeHistory changes_;
    // Invariant: neither decreases.
    core::identity::Revision held_;
    core::identity::Revision reported_;
};

} // namespace boragetrack::control::distribution
