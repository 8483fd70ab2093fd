/** The interface of policies that decide about retries. */
#pragma once

#include "core/identity/ServiceName.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/retry/RetryContext.h"
#include "traffic/retry/RetryLimits.h"

namespace boragetrack::traffic::retry {

/** Decides about the retries of all calls that a node's callers make. */
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /** Sets the limits; policies without a budget ignore them. */
    virtual void setLimits(const RetryLimits & /*limits*/) {}

    /** Records the first attempt of a call to a service. */
    virtual void recordFirstAttempt(const core::identity::ServiceName &service,
                                    core::timing::MonotonicTime now)
            = 0;

    /** Returns whether the call may be retried, and then takes the retry from the budget. */
    virtual bool mayRetry(const RetryContext &context, core::timing::MonotonicTime now) = 0;
};

} // namespace boragetrack::traffic::retry
