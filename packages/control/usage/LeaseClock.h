/** The clock by which the validity of leases is measured. */
#pragma once

#include <chrono>

namespace boragetrack::control::usage {

/** Goes on while the VM is suspended, unlike the steady clock: a lease expires at the store
    meanwhile. */
class LeaseClock
{
public:
    virtual ~LeaseClock() = default;

    /** Returns the time since an arbitrary moment that stays the same for the process. */
    virtual std::chrono::nanoseconds now() const = 0;
};

} // namespace boragetrack::control::usage
