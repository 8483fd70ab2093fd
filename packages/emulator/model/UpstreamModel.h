/** An emulated upstream. */
#pragma once

#include "emulator/clock/EventClock.h"
#include "emulator/model/CallHandler.h"
#include "emulator/plan/LoadPlan.h"

#include <deque>
#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Works on requests in its slots, queues some and turns the rest away. */
class UpstreamModel
{
public:
    /** Dependencies that outlive the upstream. */
    struct Dependencies
    {
        clock::EventClock &clock;
        const plan::LoadPlan &plan;
        const plan::ServicePlan &service;
        std::mt19937_64 &random;
        /** Takes the calls that requests make. */
        CallHandler &calls;
    };

    UpstreamModel(const Dependencies &dependencies, double speed);

    /** Takes a request. @param done called once, unless the upstream ends before */
    void handle(const traffic::calls::CallRequest &request, ResponseCallback done);

    /** Ends the process: what it works on is lost, and callers see a broken connection. */
    void crash();

    /** Starts it again, cold. */
    void start();

    bool isRunning() const { return isRunning_; }

    /** Multiplies the work on requests that startServing from here on. */
    void setSlowdownFactor(double factor) { slowdownFactor_ = factor; }

    /** Sets the share of requests that it turns away unserved. */
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
    // Invariant: at most the service's slots; runs of an earlier process are not among them.
    int activeCount_ = 0;
    std::deque<RunPointer> queue_;
    std::vector<std::weak_ptr<Run>> runs_;
};

} // namespace boragetrack::emulator::model
