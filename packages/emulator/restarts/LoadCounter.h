/** Counts the messages and transfers of a simulated process. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "emulator/restarts/PeakLoad.h"

namespace boragetrack::emulator::restarts {

/** Counts in intervals of a second, and transfers of the intent in total. */
class LoadCounter
{
public:
    /** Counts a message that the process got.
        @param isIntentSent whether the response carries the intent */
    void count(core::timing::MonotonicTime now, bool isIntentSent);

    /** Returns the load of the busiest second since the last call. */
    PeakLoad takePeak();

    /** Returns how many transfers of the intent the process has sent. */
    int intentsSent() const { return intentsSent_; }

private:
    // The load of the second that since_ begins, and the highest of the earlier ones.
    PeakLoad current_;
    core::timing::MonotonicTime since_{};
    PeakLoad peak_;
    int intentsSent_ = 0;
};

} // namespace boragetrack::emulator::restarts
