/** The state of usage reports for operators. */
#pragma once

#include "control/usage/DutyHolder.h"
#include "control/usage/FencingToken.h"
#include "control/usage/UsageWindow.h"

#include <cstddef>
#include <optional>

namespace boragetrack::control::usage {

/** What one node knows of the duty and the reports. */
struct UsageStatus
{
    /** The holder by the store's records; nothing if there is none. */
    std::optional<DutyHolder> holder;
    /** This node's token; zero unless it holds the duty. */
    FencingToken token;
    /** The last window known as reported; zero if none is. */
    UsageWindow reportedThrough;
    /** The number of ended windows of which this node keeps counts. */
    std::size_t windowsWaiting = 0;
};

} // namespace boragetrack::control::usage
