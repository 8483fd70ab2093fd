/** A request that waits for a permit. */
#pragma once

#include "traffic/admission/Arrival.h"

#include <chrono>

namespace boragetrack::traffic::admission {

/** Contains what the order of the queue depends on. */
struct WaitingRequest
{
    /** The expected service time may vary by this factor: twice the mean covers 95 in 100 requests
        when service times are log-normal with the usual spread of 0.5. */
    static constexpr int serviceTimeMargin = 2;
    /** Added to the margin for the time until the next permit is free; the interval at which the
        queue is checked. */
    static constexpr std::chrono::milliseconds permitInterval{20};

    Arrival arrival;
    /** Expected, as of the arrival. */
    std::chrono::nanoseconds serviceTime{0};
    /** The part of it that is certain enough for a refusal. */
    std::chrono::nanoseconds assuredTime{0};

    /** Returns whether the request can end before a time if it starts at another. */
    bool canMeet(core::timing::MonotonicTime end, core::timing::MonotonicTime start) const
    {
        return start + assuredTime < end;
    }

    /** Returns whether the request can still meet its objective. */
    bool isInTime(core::timing::MonotonicTime now) const { return canMeet(arrival.objective, now); }

    /** Returns whether the request meets its objective, but probably not if it starts later. */
    bool isPressing(core::timing::MonotonicTime now) const
    {
        return isInTime(now)
               && now + serviceTime * serviceTimeMargin + permitInterval >= arrival.objective;
    }

    /** Returns whether the request is late and meets its deadline, but probably not if it starts
        later. */
    bool isLastChance(core::timing::MonotonicTime now) const
    {
        return !isInTime(now) && canMeet(arrival.deadline, now)
               && now + serviceTime + permitInterval >= arrival.deadline;
    }
};

} // namespace boragetrack::traffic::admission
