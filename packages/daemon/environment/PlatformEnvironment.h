/** The interface of the users' platform. */
#pragma once

#include "platform/HeartbeatHandler.h"
#include "platform/PlatformDialect.h"
#include "platform/PlatformStore.h"
#include "platform/ReadinessHandler.h"

#include "control/records/EraAwareStore.h"
#include "core/counters/CounterRegistry.h"
#include "daemon/environment/NodeEnvironment.h"
#include "daemon/service/ControlThread.h"
#include "daemon/service/RecordSource.h"
#include "daemon/settings/NodeSettings.h"
#include "daemon/usage/PlatformUsage.h"
#include "transport/http/ListenerComponent.h"
#include "transport/http/MetricsHandler.h"

#include <atomic>
#include <functional>
#include <optional>

namespace boragetrack::daemon::environment {

/** Implements the interface of docs/PLATFORM.md. Its store client and listeners run on the traffic
    thread. */
class PlatformEnvironment : public NodeEnvironment
{
public:
    /** Settings and collaborators of the environment; references outlive it. */
    struct Dependencies
    {
        const settings::NodeSettings &settings;
        core::counters::CounterRegistry &counters;
        service::ControlThread &controlThread;
        platform::PlatformStore::Executor trafficThread;
        platform::HeartbeatHandler::Sink announcements;
        /** Returns whether the node can serve callers; called on the traffic thread. */
        std::function<bool()> isServing;
        /** The generation of this process. */
        std::uint64_t generation = 0;
    };

    explicit PlatformEnvironment(const Dependencies &dependencies);
    ~PlatformEnvironment() noexcept override = default;

    const transport::dialect::CallDialect &dialect() const override { return dialect_; }
    service::IntentSource &source() override { return source_; }
    std::vector<transport::links::LoopComponent *> loopComponents() override;
    usage::UsageService *usage() override { return usage_ ? &usage_->service() : nullptr; }
    void start() override {}
    void requestStop() override { isStopping_ = true; }
    ShutdownPlan shutdownPlan() const override;
    bool stop() override { return true; }

private:
    static std::unique_ptr<usage::PlatformUsage> makeUsage(const Dependencies &dependencies,
                                                           control::records::RecordStore &store);

    std::chrono::milliseconds stopGracePeriod_;
    platform::PlatformDialect dialect_;
    platform::PlatformStore platformStore_;
    // Calls platformStore_.
    control::records::EraAwareStore store_;
    // Null without usage reports.
    std::unique_ptr<usage::PlatformUsage> usage_;
    service::RecordSource source_;
    std::atomic<bool> isStopping_{false};
    platform::HeartbeatHandler heartbeats_;
    platform::ReadinessHandler readiness_;
    transport::http::ListenerComponent heartbeatListener_;
    transport::http::ListenerComponent readinessListener_;
    transport::http::MetricsHandler metrics_;
    std::optional<transport::http::ListenerComponent> metricsListener_;
};

} // namespace boragetrack::daemon::environment
