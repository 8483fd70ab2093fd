/** A second begins with the first message after the previous one. */
#include "emulator/restarts/LoadCounter.h"

#include <chrono>
#include <utility>

namespace boragetrack::emulator::restarts {

void LoadCounter::count(core::timing::MonotonicTime now, bool isIntentSent)
{
    if (now - since_ >= std::chrono::seconds(1)) {
        peak_.include(std::exchange(current_, PeakLoad{}));
        since_ = now;
    }
    ++current_.messagesReceived;
    current_.intentsSent += isIntentSent;
    intentsSent_ += isIntentSent;
}

PeakLoad LoadCounter::takePeak()
{
    peak_.include(std::exchange(current_, PeakLoad{}));
    return std::exchange(peak_, PeakLoad{});
}

} // namespace boragetrack::emulator::restarts
