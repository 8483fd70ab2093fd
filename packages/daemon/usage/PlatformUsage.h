/** The usage reports of a node with the platform's interface. */
#pragma once

#include "platform/PlatformUsageReceiver.h"

#include "daemon/settings/UsageReportSettings.h"
#include "daemon/usage/BootTimeClock.h"
#include "daemon/usage/UsageService.h"

#include <vector>

namespace boragetrack::daemon::usage {

/** Owns the components of usage reports and connects them to the platform's usage interface. */
class PlatformUsage
{
public:
    /** Settings and collaborators; references outlive this object. */
    struct Dependencies
    {
        const settings::UsageReportSettings &settings;
        control::records::RecordStore &store;
        service::ControlThread &controlThread;
        UsageService::Executor trafficThread;
        core::counters::CounterRegistry &counters;
        /** This process. */
        control::usage::DutyHolder self;
    };

    explicit PlatformUsage(const Dependencies &dependencies)
        : receiver_({dependencies.settings.receiver, dependencies.trafficThread,
                     [&thread = dependencies.controlThread](std::function<void()> task) {
                         return thread.post(std::move(task));
                     },
                     clock_, dependencies.counters})
        , service_({dependencies.store, receiver_, clock_, dependencies.controlThread,
                    dependencies.trafficThread, dependencies.counters, dependencies.self,
                    dependencies.settings.timing})
    {}

    UsageService &service() { return service_; }

    /** Returns the components that run on the traffic thread. */
    std::vector<transport::links::LoopComponent *> loopComponents()
    {
        return {&receiver_, &service_.sampler()};
    }

private:
    BootTimeClock clock_;
    platform::PlatformUsageReceiver receiver_;
    UsageService service_;
};

} // namespace boragetrack::daemon::usage
