/** Emulated callers. */
#pragma once

#include "emulator/clock/EventClock.h"
#include "emulator/model/CallHandler.h"
#include "emulator/results/LoadResults.h"

#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Makes requests, retries them as their kind says, and accounts for how they outcome. */
class CallerModel
{
public:
    /** Returns the node that a new try goes to. */
    using NodeSelector = std::function<CallHandler &()>;

    /** Dependencies that outlive the callers. */
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

    /** Makes a request. @param retries how often it is tried again
        @param retriesImmediately whether it is tried again at once, whatever the response says */
    void request(const plan::KindPlan &kind, int retries, bool retriesImmediately);

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
