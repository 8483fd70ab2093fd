/** A late watch lasts until the end of the plan; its duration is a delay. */
#include "emulator/restarts/DisturbancesAtChange.h"

#include "emulator/restarts/RestartRules.h"

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

namespace {

bool isDisturbance(RestartFaultKind kind)
{
    return kind != RestartFaultKind::Change && kind != RestartFaultKind::BadMove
           && kind != RestartFaultKind::Departure;
}

} // namespace

std::vector<RestartFaultKind> disturbancesBetween(const RestartPlan &plan, milliseconds from,
                                                  milliseconds to)
{
    std::vector<RestartFaultKind> kinds;
    for (const RestartFault &fault : plan.faults) {
        const milliseconds end = fault.kind == RestartFaultKind::LateWatch
                                         ? plan.length
                                         : fault.at + fault.duration;
        if (isDisturbance(fault.kind) && fault.at <= to && end + stableWindow >= from)
            kinds.push_back(fault.kind);
    }
    return kinds;
}

} // namespace boragetrack::emulator::restarts
