/** What one process counted in one window. */
#pragma once

#include "control/usage/UsageCounts.h"
#include "control/usage/UsageWindow.h"

namespace boragetrack::control::usage {

/** The counts of a window up to a moment. */
struct WindowCounts
{
    UsageWindow window;
    UsageCounts counts;
    /** Whether the counts do not change any more. */
    bool isFinal = false;
};

} // namespace boragetrack::control::usage
