/** Connects the platform's store, heartbeats and readiness probes to the node. The node reports
    that it is not ready as soon as a shutdown starts. */
#include "daemon/environment/PlatformEnvironment.h"

#include "platform/MoveCodec.h"
#include "platform/PlatformIntentReader.h"

#include <algorithm>
#include <random>

namespace boragetrack::daemon::environment {

namespace {

// The platform probes readiness every second and sends callers elsewhere after two failed probes.
constexpr std::chrono::milliseconds readinessNoticePeriod{2500};
// The part of the grace period that is left for the exit of the process, and its upper bound.
constexpr int exitDivisor = 6;
constexpr std::chrono::milliseconds maximumExitTime{1000};

// The store's responses must reach all nodes well before the keys that they confirm expire: a node
// that doesn't follow the store hears of them up to half a second later, and the store itself may
// take a quarter of a second.
constexpr int probesPerLimit = 4;
constexpr std::chrono::milliseconds minimumProbePeriod{250};

std::chrono::milliseconds probePeriodFor(const traffic::access::KeyFreshnessLimits &freshness)
{
    using control::records::WatchMonitor;
    if (!freshness.isStrict)
        return WatchMonitor::probePeriod;
    return std::clamp(freshness.limit / probesPerLimit, minimumProbePeriod,
                      WatchMonitor::probePeriod);
}

} // namespace

PlatformEnvironment::PlatformEnvironment(const Dependencies &dependencies)
    : stopGracePeriod_(dependencies.settings.stopGracePeriod)
    , platformStore_(
              dependencies.settings.platform, dependencies.trafficThread,
              [&thread = dependencies.controlThread](platform::PlatformStore::Task task) {
                  return thread.post(std::move(task));
              },
              dependencies.counters)
    , store_(platformStore_)
    , usage_(makeUsage(dependencies, store_))
    , source_({store_, dependencies.controlThread,
               [dataCentres = dependencies.settings.dataCentres]() {
                   return std::make_unique<platform::PlatformIntentReader>(dataCentres);
               },
               std::make_unique<platform::PlatformMoveWriter>(), dependencies.settings.node,
               dependencies.settings.advertisedPeerAddress, std::random_device{}(),
               usage_ ? &usage_->service() : nullptr,
               probePeriodFor(dependencies.settings.keyFreshness),
               !dependencies.settings.keyFreshness.isStrict})
    , heartbeats_(dependencies.announcements)
    , readiness_(
              [this, isServing = dependencies.isServing]() { return !isStopping_ && isServing(); })
    , heartbeatListener_(dependencies.settings.announcements, heartbeats_)
    , readinessListener_(dependencies.settings.readiness, readiness_)
    , metrics_(dependencies.counters)
{
    if (dependencies.settings.metrics)
        metricsListener_.emplace(*dependencies.settings.metrics, metrics_);
}

std::vector<transport::links::LoopComponent *> PlatformEnvironment::loopComponents()
{
    std::vector<transport::links::LoopComponent *> loopComponents{
            &platformStore_, &heartbeatListener_, &readinessListener_};
    if (metricsListener_)
        loopComponents.push_back(&*metricsListener_);
    if (usage_) {
        const auto components = usage_->loopComponents();
        loopComponents.insert(loopComponents.end(), components.begin(), components.end());
    }
    return loopComponents;
}

std::unique_ptr<usage::PlatformUsage>
PlatformEnvironment::makeUsage(const Dependencies &dependencies,
                               control::records::RecordStore &store)
{
    const settings::NodeSettings &settings = dependencies.settings;
    if (!settings.usageReports)
        return nullptr;
    return std::make_unique<usage::PlatformUsage>(usage::PlatformUsage::Dependencies{
            *settings.usageReports,
            store,
            dependencies.controlThread,
            dependencies.trafficThread,
            dependencies.counters,
            {settings.node, dependencies.generation, settings.advertisedPeerAddress}});
}

ShutdownPlan PlatformEnvironment::shutdownPlan() const
{
    ShutdownPlan plan;
    plan.totalTimeout
            = stopGracePeriod_ - std::min(maximumExitTime, stopGracePeriod_ / exitDivisor);
    // Calls that are accepted last need time to end.
    plan.callerGracePeriod = std::min(readinessNoticePeriod, plan.totalTimeout / 2);
    return plan;
}

} // namespace boragetrack::daemon::environment
