/** Model of the callers in one data centre. */
#pragma once

#include "emulator/clock/EventClock.h"
#include "emulator/model/CallHandler.h"
#include "emulator/results/LoadResults.h"

#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Sends requests, retries them according to their kind and records their outcomes. */
class CallerModel
{
public:
    /** Returns the node that receives the next attempt. */
    using NodeSelector = std::function<CallHandler &()>;

    /** Referenced objects must outlive the model. */
    struct Dependencies
    {
        clock::EventClock &clock;
        results::LoadResults &results;
        NodeSelector selectNode;
        std::string dataCentre;
    };

    explicit CallerModel(Dependencies dependencies)
        : dependencies_(std::move(dependencies))
    {}

    /** Starts a request.
        @param organisation the organisation of the caller; empty if there is none
        @param retries the maximum number of further attempts
        @param retriesImmediately whether retries ignore the delay that a response asks for */
    void request(const plan::KindPlan &kind, const core::identity::OrganisationName &organisation,
                 int retries, bool retriesImmediately);

private:
    struct Request;

    void attempt(const std::shared_ptr<Request> &request);
    void handleResponse(const std::shared_ptr<Request> &request,
                        const traffic::calls::CallResponse &response);
    void finish(const std::shared_ptr<Request> &request, results::RequestOutcome outcome);

    Dependencies dependencies_;
    std::uint64_t lastId_ = 0;
};

} // namespace boragetrack::emulator::model
