/** The load that each organisation offers to one upstream. */
#pragma once

#include "core/identity/OrganisationName.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>

namespace boragetrack::traffic::admission {

/**
    Measures, for each organisation, the service time that its arriving requests need per second,
    which is the number of permits that they would keep in use, and divides the permits fairly.

    Load addressed: one organisation sends more than its share of what the upstream can take. The
    requests that wait are no measure of demand, because the load of others makes them wait.
*/
class OrganisationDemand
{
public:
    using Name = core::identity::OrganisationName;

    /** The time constant of the decay. */
    static constexpr std::chrono::milliseconds decayTime{1000};

    /** Records an arriving request and its expected service time. */
    void recordArrival(const Name &name, std::chrono::nanoseconds serviceTime,
                       core::timing::MonotonicTime now);

    /** Returns the demand of an organisation, in permits. */
    double of(const Name &name, core::timing::MonotonicTime now) const;

    /**
        Returns the max-min fair share of an organisation, in permits: demands up to this share can
        be met in full if no organisation gets more. It is at least an equal share. Infinite if the
        demand of all together can be met or only one organisation has any.
        @param permits the concurrency limit
    */
    double fairShare(int permits, core::timing::MonotonicTime now) const;

private:
    struct Sum
    {
        // The decaying sum of service times, in seconds, as of updatedAt.
        double seconds = 0.0;
        core::timing::MonotonicTime updatedAt{};

        double at(core::timing::MonotonicTime now) const;
    };

    void forgetIdle(core::timing::MonotonicTime now);

    std::map<Name, Sum> sums_;
    core::timing::MonotonicTime forgottenAt_{};
};

} // namespace boragetrack::traffic::admission
