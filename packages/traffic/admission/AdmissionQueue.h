/** The requests beside one upstream. */
#pragma once

#include "traffic/admission/AdmissionDecision.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/calls/LoadReport.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace boragetrack::traffic::admission {

/** Admits requests up to the policy's limit and lets a few wait as long as their deadlines allow.
 */
class AdmissionQueue
{
public:
    using Ticket = std::uint64_t;

    AdmissionQueue(std::unique_ptr<AdmissionPolicy> policy, const AdmissionLimits &limits);

    /** Takes new bounds. */
    void setLimits(const AdmissionLimits &limits);

    /** Notes that the upstream started anew. */
    void upstreamStarted() { policy_->upstreamStarted(); }

    /** Stops or resumes admission; requests under way and waiting still run. */
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    /** Decides about an arriving request. */
    AdmissionDecision arrive(Ticket ticket, core::timing::MonotonicTime deadline,
                             core::timing::MonotonicTime now);

    /** Ends a request that ran. */
    void ended(const AdmissionSample &sample, core::timing::MonotonicTime now);

    /** Ends a request that was admitted but not sent to the upstream. */
    void abandoned();

    /** Returns the waiting requests that may run now; they count as running. */
    std::vector<Ticket> takeRunnable(core::timing::MonotonicTime now);

    /** Returns the waiting requests whose time is too short now; they are refused. */
    std::vector<Ticket> takeExpired(core::timing::MonotonicTime now);

    /** Removes a waiting request whose caller went. */
    void withdraw(Ticket ticket);

    /** Returns the load that answers carry back. */
    calls::LoadReport load() const;

    /** Returns the policy. */
    const AdmissionPolicy &policy() const { return *policy_; }

private:
    struct Waiting
    {
        Ticket ticket;
        core::timing::MonotonicTime deadline;
    };

    bool canFinish(core::timing::MonotonicTime deadline, std::size_t ahead,
                   core::timing::MonotonicTime now) const;

    std::unique_ptr<AdmissionPolicy> policy_;
    AdmissionLimits limits_;
    bool isDraining_ = false;
    // Invariant: requests that were admitted and have not ended.
    int inFlight_ = 0;
    std::deque<Waiting> waiting_;
    std::chrono::nanoseconds typicalLatency_{0};
};

} // namespace boragetrack::traffic::admission
