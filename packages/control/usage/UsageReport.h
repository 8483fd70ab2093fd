/** The report of one window. */
#pragma once

#include "control/usage/FencingToken.h"
#include "control/usage/UsageCounts.h"
#include "control/usage/UsageWindow.h"

#include <optional>
#include <string>

namespace boragetrack::control::usage {

/** Is recorded in the store before it is sent; what was recorded is never sent with other counts.
 */
struct UsageReport
{
    UsageWindow window;
    UsageCounts counts;
    /** The token of the holder that recorded it. */
    FencingToken token;

    /** Returns the text that the store keeps; equal reports have equal texts. */
    std::string toText() const;

    /** Parses the text of a record. @returns nothing if it is not a report */
    static std::optional<UsageReport> fromText(const std::string &text);
};

} // namespace boragetrack::control::usage
