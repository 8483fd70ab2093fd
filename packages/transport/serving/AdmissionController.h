/** Hands out the places beside the upstream. */
#pragma once

#include "traffic/admission/AdmissionQueue.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <kj/async.h>
#include <kj/timer.h>
#include <map>

namespace boragetrack::transport::serving {

/** Carries out what an AdmissionQueue decides: lets requests wait, run or go. */
class AdmissionController : private kj::TaskSet::ErrorHandler
{
public:
    /** One place beside the upstream, given back when it is destroyed. */
    class ScopedPermit;

    /** A place, or nothing when there was none. A null kj::Own will not do: a promise takes it for
        a missing value and ends the process. */
    using OptionalPermit = kj::Maybe<kj::Own<ScopedPermit>>;

    /** @param timer outlives the desk */
    AdmissionController(std::unique_ptr<traffic::admission::AdmissionPolicy> policy,
                        kj::Timer &timer);
    ~AdmissionController() noexcept;
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /** Returns the queue, to tell it of the upstream. */
    traffic::admission::AdmissionQueue &queue() { return queue_; }

    /** Returns a place once there is one, or nothing when the request can not be in time. Dropping
        the promise withdraws the request. */
    kj::Promise<OptionalPermit> admit(const traffic::calls::CallRequest &request);

    /** Returns the load that answers carry back. */
    traffic::calls::LoadReport load();

private:
    class ScopedWait;
    using Ticket = traffic::admission::AdmissionQueue::Ticket;

    void pump();
    void answerRefused();
    void lookLater();
    void decide(Ticket ticket, OptionalPermit place);
    void taskFailed(kj::Exception &&exception) override;

    traffic::admission::AdmissionQueue queue_;
    kj::Timer &timer_;
    Ticket lastTicket_ = 0;
    // Invariant: one element for each request that waits in queue_.
    std::map<Ticket, ScopedWait *> waits_;
    bool isLookPlanned_ = false;
    kj::TaskSet tasks_;
};

/** One place beside the upstream. */
class AdmissionController::ScopedPermit
{
public:
    explicit ScopedPermit(AdmissionController &desk);
    ~ScopedPermit() noexcept;
    ScopedPermit(const ScopedPermit &) = delete;
    ScopedPermit &operator=(const ScopedPermit &) = delete;

    /** Notes how the request ended; without it, the request was never sent to the upstream. */
    void end(const core::identity::RouteName &route, const traffic::calls::CallResponse &answer,
             std::chrono::nanoseconds latency);

private:
    AdmissionController &desk_;
    int inFlight_;
    bool isEnded_ = false;
};

} // namespace boragetrack::transport::serving
