/** The system's clock of the time since its start. */
#pragma once

#include "control/usage/LeaseClock.h"

#include <ctime>

namespace boragetrack::daemon::usage {

/** Reads CLOCK_BOOTTIME, which goes on while the VM is suspended. */
class BootTimeClock : public control::usage::LeaseClock
{
public:
    std::chrono::nanoseconds now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
};

} // namespace boragetrack::daemon::usage
