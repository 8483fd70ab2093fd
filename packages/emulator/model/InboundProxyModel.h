/** Model of the inbound proxy of a node. */
#pragma once

#include "emulator/model/UpstreamModel.h"
#include "emulator/policies/PolicySet.h"
#include "traffic/admission/AdmissionQueue.h"

#include <map>

namespace boragetrack::emulator::model {

/** Forwards calls to the node's upstream as an AdmissionQueue allows. The queue is the daemon's and
    runs in simulated time. */
class InboundProxyModel
{
public:
    /** All arguments must outlive the model. */
    InboundProxyModel(clock::EventClock &clock, const plan::ServicePlan &service,
                      const policies::PolicySet &policies, UpstreamModel &upstream);

    /** Handles a call. @param done called once; a refusal may be delivered within this function */
    void handle(const traffic::calls::CallRequest &request, ResponseCallback done);

    /** Resets admission after a restart of the upstream, which is cold. */
    void handleUpstreamStart();

private:
    struct WaitingCall
    {
        traffic::calls::CallRequest request;
        ResponseCallback done;
        core::timing::MonotonicTime arrivedAt;
        // As the queue counts it.
        core::identity::OrganisationName organisation;
    };

    void forward(const WaitingCall &call);
    void refuse(const WaitingCall &call, const std::string &reason);
    void processQueue();
    void scheduleQueueCheck();

    clock::EventClock &clock_;
    const plan::ServicePlan &service_;
    const policies::PolicySet &policies_;
    UpstreamModel &upstream_;
    traffic::admission::AdmissionQueue queue_;
    // Invariant: exactly the calls that wait in queue_.
    std::map<traffic::admission::AdmissionQueue::Ticket, WaitingCall> waitingCalls_;
    traffic::admission::AdmissionQueue::Ticket lastTicket_ = 0;
    bool isQueueCheckScheduled_ = false;
};

} // namespace boragetrack::emulator::model
