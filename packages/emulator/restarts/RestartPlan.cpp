/** Formats restart plans. */
#include "emulator/restarts/RestartPlan.h"

namespace boragetrack::emulator::restarts {

std::string describe(const RestartPlan &plan)
{
    std::string text = "seed " + std::to_string(plan.seed) + ", " + std::to_string(plan.nodeCount)
                       + " nodes in " + std::to_string(plan.dataCentreCount) + " data centres, "
                       + std::to_string(plan.length.count()) + " ms\n";
    for (const RestartFault &fault : plan.faults) {
        text += "  " + std::to_string(fault.at.count()) + " ms: " + nameOf(fault.kind);
        if (fault.duration.count() > 0)
            text += " for " + std::to_string(fault.duration.count()) + " ms";
        if (!fault.nodes.empty())
            text += ", nodes";
        for (const std::size_t node : fault.nodes)
            text += " " + std::to_string(node);
        text += "\n";
    }
    return text;
}

} // namespace boragetrack::emulator::restarts
