/** Model of an upstream process. */
#pragma once

#include "emulator/clock/EventClock.h"
#include "emulator/model/CallHandler.h"
#include "emulator/plan/LoadPlan.h"

#include <deque>
#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Serves requests in a fixed number of slots, queues a limited number and sheds the rest. */
class UpstreamModel
{
public:
    /** Referenced objects must outlive the model. */
    struct Dependencies
    {
        clock::EventClock &clock;
        const plan::LoadPlan &plan;
        const plan::ServicePlan &service;
        std::mt19937_64 &random;
        /** Handles nested calls. */
        CallHandler &calls;
    };

    /** @param speed relative speed; 2 is twice as fast as 1 */
    UpstreamModel(const Dependencies &dependencies, double speed);

    /** Handles a request. @param done called once, after this function has returned */
    void handle(const traffic::calls::CallRequest &request, ResponseCallback done);

    /** Stops the process. All its requests end with an unknown outcome, as after a lost connection.
     */
    void crash();

    /** Restarts the process, which is then cold for the service's cold duration. */
    void start();

    bool isRunning() const { return isRunning_; }

    /** Sets a factor on the service time of requests whose service starts from now on. */
    void setSlowdownFactor(double factor) { slowdownFactor_ = factor; }

    /** Sets the probability with which a request is shed, from 0 to 1. */
    void setShedShare(double share) { shedShare_ = share; }

private:
    struct Run;
    using RunPointer = std::shared_ptr<Run>;

    void startServing(const RunPointer &run);
    void startNestedCalls(const RunPointer &run);
    void startNextNestedCall(const RunPointer &run);
    void handleNestedResponse(const RunPointer &run, const traffic::calls::CallResponse &response);
    void finish(const RunPointer &run, int status);
    std::chrono::nanoseconds drawServiceTime(const plan::KindPlan &kind);
    traffic::calls::CallRequest makeNestedRequest(const Run &run, const plan::KindPlan &kind) const;

    Dependencies dependencies_;
    double speed_;
    double slowdownFactor_ = 1.0;
    double shedShare_ = 0.0;
    bool isRunning_ = true;
    core::timing::MonotonicTime coldUntil_{};
    // Invariant: at most the service's slots; does not count requests from before a crash.
    int activeCount_ = 0;
    // Requests that wait for a slot, oldest first.
    std::deque<RunPointer> queue_;
    // All queued and running requests, which fail in a crash. May contain expired pointers.
    std::vector<std::weak_ptr<Run>> runs_;
};

} // namespace boragetrack::emulator::model
