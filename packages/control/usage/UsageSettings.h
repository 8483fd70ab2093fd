/** Parameters of usage reports. */
#pragma once

#include <chrono>

namespace boragetrack::control::usage {

/** Times of windows, reports and the holder's lease. */
struct UsageSettings
{
    /** The length of a window. */
    std::chrono::milliseconds windowPeriod{5000};
    /** How long after the end of a window its report is due. */
    std::chrono::milliseconds reportDelay{10'000};
    /** The lifetime of the holder's lease. */
    std::chrono::milliseconds leaseTime{3000};
    /** The least time between two calls to the receiver. */
    std::chrono::milliseconds callInterval{100};

    friend bool operator==(const UsageSettings &, const UsageSettings &) = default;
};

} // namespace boragetrack::control::usage
