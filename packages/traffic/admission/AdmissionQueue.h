/** The queue in front of one upstream: which requests run, wait or are refused. */
#pragma once

#include "traffic/admission/AdmissionDecision.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/admission/Arrival.h"
#include "traffic/admission/ColdPacer.h"
#include "traffic/admission/ObjectiveOrder.h"
#include "traffic/admission/OfferedLoad.h"
#include "traffic/admission/QueueSelection.h"
#include "traffic/admission/ServiceTimeTable.h"
#include "traffic/calls/LoadReport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::traffic::admission {

/**
    Gives permits up to the policy's concurrency limit and queues further requests while they can
    still meet their deadline. A QueueSelection decides which of them runs next and which gives way
    to an arriving one.

    A request is refused on arrival when the requests ahead of it, including the expected arrivals
    of lower ranks, take too long for its deadline, and later as soon as the remaining time is
    shorter than the service time that recent requests of its route show.
*/
class AdmissionQueue
{
public:
    using Ticket = std::uint64_t;

    AdmissionQueue(std::unique_ptr<AdmissionPolicy> policy, const AdmissionLimits &limits,
                   std::unique_ptr<QueueOrder> order = std::make_unique<ObjectiveOrder>());

    //==============================================================================
    /** Sets the bounds on concurrency and queue length. */
    void setLimits(const AdmissionLimits &limits);

    /** Handles a start of the upstream's process: the policy and the service times start over. */
    void handleUpstreamStart();

    /** Sets until when the upstream is cold. @param rate requests per second that it can take until
        then; zero when not known */
    void setCold(core::timing::MonotonicTime until, double rate) { pacer_.setCold(until, rate); }

    /** Stops or resumes admission of new requests; running and waiting requests are unaffected. */
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    //==============================================================================
    /** Returns the decision on an arriving request, and queues it on Wait. */
    AdmissionDecision arrive(const Arrival &arrival, core::timing::MonotonicTime now);

    /** Returns the decision on an arriving request of rank 1 whose objective is its deadline. */
    AdmissionDecision arrive(Ticket ticket, core::timing::MonotonicTime deadline,
                             core::timing::MonotonicTime now);

    /** Releases the permit of a request that ran, and records how it ended. */
    void finishRequest(const AdmissionSample &sample, core::timing::MonotonicTime now);

    /** Releases the permit of a request that was not sent to the upstream.
        @param organisation that of the request */
    void releasePermit(const core::identity::OrganisationName &organisation = {});

    /** Removes and returns the waiting requests that get a permit now, in the order to run. */
    std::vector<Ticket> takeRunnable(core::timing::MonotonicTime now);

    /** Removes and returns the waiting requests that are refused: those that can no longer meet
        their deadline and those that an arriving request displaced. */
    std::vector<Ticket> takeRefused(core::timing::MonotonicTime now);

    /** Removes a waiting request whose caller disconnected. */
    void withdraw(Ticket ticket);

    /** Returns the time after which takeRunnable and takeRefused should be called again; nothing
        when no request waits. */
    std::optional<std::chrono::nanoseconds> timeUntilNextCheck(core::timing::MonotonicTime now);

    //==============================================================================
    /** Returns the expected queueing delay of a request of a rank that arrives now. */
    std::chrono::nanoseconds expectedWait(int rank, core::timing::MonotonicTime now);

    /** Returns the load report that is attached to responses. */
    calls::LoadReport load(core::timing::MonotonicTime now);

    /** Returns the policy that sets the concurrency limit. */
    const AdmissionPolicy &policy() const { return *policy_; }

private:
    struct Running
    {
        core::timing::MonotonicTime startedAt;
        // Expected, as of the arrival.
        std::chrono::nanoseconds serviceTime;
    };

    using Shortage = QueueSelection::Shortage;
    using WaitingIterator = std::vector<WaitingRequest>::iterator;

    bool hasFreePermit(core::timing::MonotonicTime now);
    void grantPermit(const WaitingRequest &request, core::timing::MonotonicTime now);
    bool hasTooManyLate(core::timing::MonotonicTime now) const;
    std::chrono::nanoseconds remainingServiceTime(core::timing::MonotonicTime now) const;
    std::chrono::nanoseconds expectedWait(const Arrival &arrival, core::timing::MonotonicTime now);
    std::chrono::nanoseconds waitBehind(const std::function<bool(const Arrival &)> &isAhead,
                                        double load, core::timing::MonotonicTime now);
    QueueSelection::State stateAt(core::timing::MonotonicTime now) const;
    bool makeRoomFor(const WaitingRequest &arriving, Shortage shortage,
                     core::timing::MonotonicTime now);
    WaitingIterator remove(WaitingIterator waiting);

    std::unique_ptr<AdmissionPolicy> policy_;
    AdmissionLimits limits_;
    bool isDraining_ = false;
    ServiceTimeTable serviceTimes_;
    OfferedLoad offeredLoad_;
    ColdPacer pacer_;
    QueueSelection selection_;
    // Invariant: one element for each permit in use, the earliest start first. Elements are not
    // matched to requests: a request that ends removes the first one.
    std::vector<Running> running_;
    // Invariant: in the order of arrival.
    std::vector<WaitingRequest> waiting_;
    // Invariant: counts the requests of running_ and waiting_.
    OrganisationLoad organisations_;
    OrganisationDemand organisationDemand_;
    // Requests that were displaced since the last call of takeRefused.
    std::vector<Ticket> displaced_;
};

} // namespace boragetrack::traffic::admission
