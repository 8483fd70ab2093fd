/** The admission beside an emulated upstream. */
#pragma once

#include "emulator/model/UpstreamModel.h"
#include "emulator/policies/PolicySet.h"
#include "traffic/admission/AdmissionQueue.h"

#include <map>

namespace boragetrack::emulator::model {

/** Lets an AdmissionQueue decide, as the admission desk of a node does, in emulated time. */
class GateModel
{
public:
    /** Takes parts that outlive the gate. */
    GateModel(clock::EventClock &clock, const plan::ServicePlan &service,
              const policies::PolicySet &policies, UpstreamModel &upstream);

    /** Takes a call. @param done called once */
    void serve(const traffic::calls::CallRequest &request, AnswerSink done);

    /** Notes that the upstream is back and cold. */
    void upstreamStarted();

private:
    struct Wait
    {
        traffic::calls::CallRequest request;
        AnswerSink done;
        core::timing::MonotonicTime arrivedAt;
    };

    void send(const Wait &wait);
    void turnAway(const Wait &wait, const std::string &reason);
    void pump();
    void lookLater();

    clock::EventClock &clock_;
    const plan::ServicePlan &service_;
    const policies::PolicySet &policies_;
    UpstreamModel &upstream_;
    traffic::admission::AdmissionQueue queue_;
    // Invariant: one element for each request that waits in queue_.
    std::map<traffic::admission::AdmissionQueue::Ticket, Wait> waits_;
    traffic::admission::AdmissionQueue::Ticket lastTicket_ = 0;
    bool isLookPlanned_ = false;
};

} // namespace boragetrack::emulator::model
