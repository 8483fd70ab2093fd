/** More than two disturbances are held to changeLimit only. */
#include "emulator/restarts/ChangeDelay.h"

#include "emulator/restarts/RestartRules.h"

namespace boragetrack::emulator::restarts {

bool exceedsReserve(const ChangeDelay &change)
{
    switch (change.disturbances.size()) {
    case 0:
    case 1:
        return change.delay > changeReserveLimit;
    case 2:
        return change.delay > changeReserveLimitOfTwo;
    default:
        return false;
    }
}

} // namespace boragetrack::emulator::restarts
