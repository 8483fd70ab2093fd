/** Selection of the request that runs next and of the one that gives way to an arriving one. */
#pragma once

#include "traffic/admission/OrganisationDemand.h"
#include "traffic/admission/OrganisationLoad.h"
#include "traffic/admission/QueueOrder.h"

#include <memory>
#include <optional>
#include <span>

namespace boragetrack::traffic::admission {

/** Combines the order by ranks and objectives with the shares of organisations. */
class QueueSelection
{
public:
    /** The queue at one moment; the referenced objects outlive the call. */
    struct State
    {
        /** In the order of arrival. */
        std::span<const WaitingRequest> waiting;
        const OrganisationLoad &organisations;
        const OrganisationDemand &demand;
        /** As demand.fairShare() returns it. */
        double fairShare;
        core::timing::MonotonicTime now;

        /** Returns whether an organisation demands no more than its share of an upstream that can
            not meet the demand of all. */
        bool isWithinShare(const core::identity::OrganisationName &organisation) const;

        /** Returns whether an organisation demands more than its share. */
        bool isBeyondShare(const core::identity::OrganisationName &organisation) const;
    };

    /** Why the queue has no room for an arriving request. */
    enum class Shortage { QueueFull, TooManyLate };

    explicit QueueSelection(std::unique_ptr<QueueOrder> order)
        : order_(std::move(order))
    {}

    /** Returns the index of the request that runs next. @param state at least one request waits */
    std::size_t nextToRun(const State &state) const;

    /**
        Returns the index of the waiting request that gives way to an arriving one; nothing if the
        arriving one is to be refused.

        First one that it displaces by the order, then one of the organisation with the most
        requests; of several the one that would run last. A request of an organisation within its
        share gives way to none of an organisation beyond it.
    */
    std::optional<std::size_t> displacedBy(const WaitingRequest &arriving, const State &state,
                                           Shortage shortage) const;

private:
    QueuePosition positionOf(const WaitingRequest &request, const State &state) const;
    bool displacesByOrder(const WaitingRequest &arriving, const WaitingRequest &waiting,
                          const State &state, Shortage shortage) const;
    bool displacesByShare(const WaitingRequest &arriving, const WaitingRequest &waiting,
                          const State &state) const;

    std::unique_ptr<QueueOrder> order_;
};

} // namespace boragetrack::traffic::admission
