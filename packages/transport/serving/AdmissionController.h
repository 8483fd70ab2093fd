/** Controls how many requests the node's upstream processes at the same time. */
#pragma once

#include "traffic/admission/AdmissionQueue.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/timing/PreciseTimer.h"

#include <kj/async.h>
#include <kj/timer.h>
#include <map>

namespace boragetrack::transport::serving {

/** Carries out the decisions of an AdmissionQueue: grants permits, makes requests wait and refuses
    them. Used on the traffic thread only. */
class AdmissionController : private kj::TaskSet::ErrorHandler
{
public:
    /** The right to have one request at the upstream, returned when it is destroyed. */
    class ScopedPermit;

    /** A permit, or nothing when the request is refused. A null kj::Own can not stand for that: a
        promise treats it as a missing value and terminates the process. */
    using OptionalPermit = kj::Maybe<kj::Own<ScopedPermit>>;

    /** @param timer outlives the controller */
    AdmissionController(std::unique_ptr<traffic::admission::AdmissionPolicy> policy,
                        timing::PreciseTimer &timer,
                        std::unique_ptr<traffic::admission::QueueOrder> order
                        = std::make_unique<traffic::admission::ObjectiveOrder>());
    ~AdmissionController() noexcept;
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /** Returns the queue, for updates of the upstream's limits and state. */
    traffic::admission::AdmissionQueue &queue() { return queue_; }

    /** Returns a permit once one is available, or nothing when the queue refuses the request or its
        time budget ends. Dropping the promise withdraws the request. */
    kj::Promise<OptionalPermit> admit(const traffic::calls::CallRequest &request);

    /** Returns the load to report in responses. */
    traffic::calls::LoadReport load();

private:
    class QueuedRequest;
    using Ticket = traffic::admission::AdmissionQueue::Ticket;

    void processQueue();
    void resolveRefused();
    void scheduleRecheck();
    void admitQueued(Ticket ticket);
    void resolve(Ticket ticket, OptionalPermit permit);
    void taskFailed(kj::Exception &&exception) override;

    traffic::admission::AdmissionQueue queue_;
    timing::PreciseTimer &timer_;
    Ticket lastTicket_ = 0;
    // Invariant: one element for each request that waits in queue_.
    std::map<Ticket, QueuedRequest *> queuedRequests_;
    bool isRecheckScheduled_ = false;
    kj::TaskSet tasks_;
};

/** Counts one admitted request in the queue until it is destroyed. */
class AdmissionController::ScopedPermit
{
public:
    /** @param organisation that of the request */
    ScopedPermit(AdmissionController &controller, core::identity::OrganisationName organisation);
    ~ScopedPermit() noexcept;
    ScopedPermit(const ScopedPermit &) = delete;
    ScopedPermit &operator=(const ScopedPermit &) = delete;

    /** Records the request's outcome and its latency at the upstream. A permit that is destroyed
        without an outcome counts as a request that was never sent. */
    void recordOutcome(const core::identity::RouteName &route,
                       const traffic::calls::CallResponse &response,
                       std::chrono::nanoseconds latency);

private:
    AdmissionController &controller_;
    core::identity::OrganisationName organisation_;
    // Requests at the upstream when the permit was granted, this one included.
    int inFlight_;
    bool hasOutcome_ = false;
};

} // namespace boragetrack::transport::serving
