/** A lease clock that moves on request. */
#pragma once

#include "control/usage/LeaseClock.h"

namespace boragetrack::tests {

/** Returns the time that the test sets. */
class ManualLeaseClock : public control::usage::LeaseClock
{
public:
    std::chrono::nanoseconds now() const override { return time; }

    std::chrono::nanoseconds time = std::chrono::seconds(1000);
};

} // namespace boragetrack::tests
