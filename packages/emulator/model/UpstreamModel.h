/** An emulated upstream. */
#pragma once

#include "emulator/clock/EventClock.h"
#include "emulator/model/CallSink.h"
#include "emulator/plan/LoadPlan.h"

#include <deque>
#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Works on requests in its slots, queues some and turns the rest away. */
class UpstreamModel
{
public:
    /** Parts that outlive the upstream. */
    struct Parts
    {
        clock::EventClock &clock;
        const plan::LoadPlan &plan;
        const plan::ServicePlan &service;
        std::mt19937_64 &random;
        /** Takes the calls that requests make. */
        CallSink &calls;
    };

    UpstreamModel(const Parts &parts, double speed);

    /** Takes a request. @param done called once, unless the upstream ends before */
    void take(const traffic::calls::CallRequest &request, AnswerSink done);

    /** Ends the process: what it works on is lost, and callers see a broken connection. */
    void crash();

    /** Starts it again, cold. */
    void start();

    bool isRunning() const { return isRunning_; }

    /** Multiplies the work on requests that begin from here on. */
    void setSlowness(double factor) { slowness_ = factor; }

    /** Sets the share of requests that it turns away unserved. */
    void setShedShare(double share) { shedShare_ = share; }

private:
    struct Run;
    using RunPointer = std::shared_ptr<Run>;

    void begin(const RunPointer &run);
    void makeCalls(const RunPointer &run);
    void makeNextCall(const RunPointer &run);
    void callEnded(const RunPointer &run, const traffic::calls::CallResponse &answer);
    void finish(const RunPointer &run, int status);
    std::chrono::nanoseconds drawWork(const plan::KindPlan &kind);
    traffic::calls::CallRequest nestedCall(const Run &run, const plan::KindPlan &kind) const;

    Parts parts_;
    double speed_;
    double slowness_ = 1.0;
    double shedShare_ = 0.0;
    bool isRunning_ = true;
    core::timing::MonotonicTime coldUntil_{};
    // Invariant: at most the service's slots; runs of an earlier process are not among them.
    int working_ = 0;
    std::deque<RunPointer> queue_;
    std::vector<std::weak_ptr<Run>> runs_;
};

} // namespace boragetrack::emulator::model
