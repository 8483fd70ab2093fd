/** Implements PlatformEnvironment. */
#include "daemon/environment/PlatformEnvironment.h"

#include "platform/MoveCodec.h"
#include "platform/PlatformIntentReader.h"

namespace boragetrack::daemon::environment {

namespace {

// The platform asks for readiness each second and sends callers elsewhere after two misses.
constexpr std::chrono::milliseconds noticeTime{2500};
// The platform kills a process 6 s after it told it to stop; the rest is for the way out.
constexpr std::chrono::milliseconds stopTime{5000};

} // namespace

PlatformEnvironment::PlatformEnvironment(const Dependencies &parts)
    : store_(
            parts.settings.platform, parts.trafficThread,
            [&thread = parts.controlThread](platform::PlatformStore::Task task) {
                return thread.post(std::move(task));
            },
            parts.counters.counter("store_calls"))
    , source_({store_, parts.controlThread,
               [dataCentres = parts.settings.dataCentres]() {
                   return std::make_unique<platform::PlatformIntentReader>(dataCentres);
               },
               std::make_unique<platform::PlatformMoveWriter>(), parts.settings.node,
               parts.settings.advertisedPeerAddress})
    , heartbeats_(parts.announcements)
    , readiness_([this, isServing = parts.isServing]() { return !isStopping_ && isServing(); })
    , heartbeatListener_(parts.settings.announcements, heartbeats_)
    , readinessListener_(parts.settings.readiness, readiness_)
    , metrics_(parts.counters)
{
    if (parts.settings.metrics)
        metricsListener_.emplace(*parts.settings.metrics, metrics_);
}

std::vector<transport::links::LoopComponent *> PlatformEnvironment::loopComponents()
{
    std::vector<transport::links::LoopComponent *> loopComponents{&store_, &heartbeatListener_,
                                                                  &readinessListener_};
    if (metricsListener_)
        loopComponents.push_back(&*metricsListener_);
    return loopComponents;
}

ShutdownPlan PlatformEnvironment::shutdownPlan() const
{
    ShutdownPlan plan;
    plan.callerGracePeriod = noticeTime;
    plan.totalTimeout = stopTime;
    return plan;
}

} // namespace boragetrack::daemon::environment
