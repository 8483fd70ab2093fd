/** The load of the busiest process in a simulation of restarts. */
#pragma once

#include <algorithm>

namespace boragetrack::emulator::restarts {

/** Holds the highest numbers within one second. */
struct PeakLoad
{
    int messagesReceived = 0;
    int intentsSent = 0;

    /** Raises the numbers to those of another process or second. */
    void include(const PeakLoad &other)
    {
        messagesReceived = std::max(messagesReceived, other.messagesReceived);
        intentsSent = std::max(intentsSent, other.intentsSent);
    }
};

} // namespace boragetrack::emulator::restarts
