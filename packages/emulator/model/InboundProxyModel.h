/** The admission beside an emulated upstream. */
#pragma once

#include "emulator/model/UpstreamModel.h"
#include "emulator/policies/PolicySet.h"
#include "traffic/admission/AdmissionQueue.h"

#include <map>

namespace boragetrack::emulator::model {

/** Lets an AdmissionQueue decide, as the admission desk of a node does, in emulated time. */
class InboundProxyModel
{
public:
    /** Takes dependencies that outlive the gate. */
    InboundProxyModel(clock::EventClock &clock, const plan::ServicePlan &service,
                      const policies::PolicySet &policies, UpstreamModel &upstream);

    /** Takes a call. @param done called once */
    void handle(const traffic::calls::CallRequest &request, ResponseCallback done);

    /** Notes that the upstream is back and cold. */
    void handleUpstreamStart();

private:
    struct WaitingCall
    {
        traffic::calls::CallRequest request;
        ResponseCallback done;
        core::timing::MonotonicTime arrivedAt;
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
    // Invariant: one element for each request that waits in queue_.
    std::map<traffic::admission::AdmissionQueue::Ticket, WaitingCall> waitingCalls_;
    traffic::admission::AdmissionQueue::Ticket lastTicket_ = 0;
    bool isQueueCheckScheduled_ = false;
};

} // namespace boragetrack::emulator::model
