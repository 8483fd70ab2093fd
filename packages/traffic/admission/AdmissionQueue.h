/** The requests beside one upstream. */
#pragma once

#include "traffic/admission/AdmissionDecision.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/admission/Arrival.h"
#include "traffic/admission/ColdPacer.h"
#include "traffic/admission/OfferedLoad.h"
#include "traffic/admission/ServiceTimeTable.h"
#include "traffic/calls/LoadReport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::traffic::admission {

/**
    Admits requests up to the policy's limit and lets others wait while they can still be in time.

    Meant for loads above what the upstream bears. Among those that wait, requests that can still
    meet their objective go before those that can only meet their deadline, then lower ranks, then
    earlier arrivals. A request is refused on arrival when the work ahead of it, and that which will
    arrive meanwhile and go first, will take too long; and as soon as its own time has become too
    short. It never waits for a hopeless turn. In a full queue a call of a running request takes the
    place of the request that would go last.
*/
class AdmissionQueue
{
public:
    using Ticket = std::uint64_t;

    AdmissionQueue(std::unique_ptr<AdmissionPolicy> policy, const AdmissionLimits &limits);

    //==============================================================================
    /** Takes new bounds. */
    void setLimits(const AdmissionLimits &limits);

    /** Notes that the upstream started anew. */
    void upstreamStarted();

    /** Notes how long the upstream stays cold. @param rate requests a second that it then bears;
        zero when not known */
    void setCold(core::timing::MonotonicTime until, double rate) { pacer_.setCold(until, rate); }

    /** Stops or resumes admission; requests under way and waiting still run. */
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    //==============================================================================
    /** Decides about an arriving request. */
    AdmissionDecision arrive(const Arrival &arrival, core::timing::MonotonicTime now);

    /** Decides about an arriving request without an objective of its own. */
    AdmissionDecision arrive(Ticket ticket, core::timing::MonotonicTime deadline,
                             core::timing::MonotonicTime now);

    /** Ends a request that ran. */
    void finishRequest(const AdmissionSample &sample, core::timing::MonotonicTime now);

    /** Ends a request that was admitted but not sent to the upstream. */
    void releasePermit();

    /** Returns the waiting requests that may run now; they count as running. */
    std::vector<Ticket> takeRunnable(core::timing::MonotonicTime now);

    /** Returns the waiting requests that are refused: their time is too short now, or a more urgent
        one took their place. */
    std::vector<Ticket> takeRefused(core::timing::MonotonicTime now);

    /** Removes a waiting request whose caller went. */
    void withdraw(Ticket ticket);

    /** Returns how long until waiting requests should be looked at again, if any wait. */
    std::optional<std::chrono::nanoseconds> timeUntilNextCheck(core::timing::MonotonicTime now);

    //==============================================================================
    /** Returns how long a request of a rank that arrives now would wait. */
    std::chrono::nanoseconds expectedWait(int rank, core::timing::MonotonicTime now);

    /** Returns the load that answers carry back. */
    calls::LoadReport load(core::timing::MonotonicTime now);

    /** Returns the policy. */
    const AdmissionPolicy &policy() const { return *policy_; }

private:
    struct Waiting
    {
        Arrival arrival;
        std::chrono::nanoseconds work;
    };

    struct Running
    {
        core::timing::MonotonicTime begunAt;
        std::chrono::nanoseconds work;
    };

    bool canMeet(const Waiting &waiting, core::timing::MonotonicTime end,
                 core::timing::MonotonicTime now) const;
    bool hasFreePlace(core::timing::MonotonicTime now);
    void begin(std::chrono::nanoseconds work, core::timing::MonotonicTime now);
    std::size_t countLate(core::timing::MonotonicTime now) const;
    std::chrono::nanoseconds runningWork(core::timing::MonotonicTime now) const;
    bool goesBefore(const Waiting &a, const Waiting &b, core::timing::MonotonicTime now) const;
    std::vector<Waiting>::iterator nextToRun(core::timing::MonotonicTime now);
    bool makePlaceFor(const Waiting &arriving, core::timing::MonotonicTime now);

    std::unique_ptr<AdmissionPolicy> policy_;
    AdmissionLimits limits_;
    bool isDraining_ = false;
    ServiceTimeTable work_;
    OfferedLoad offered_;
    ColdPacer pacer_;
    // Invariant: one element for each request that was admitted and has not ended; which element
    // belongs to which request does not matter, so the earliest goes first.
    std::vector<Running> running_;
    // Invariant: in the order of arrival.
    std::vector<Waiting> waiting_;
    // Those that lost their place since takeRefused was last called.
    std::vector<Ticket> displaced_;
};

} // namespace boragetrack::traffic::admission
