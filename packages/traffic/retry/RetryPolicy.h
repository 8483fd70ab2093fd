/** Decides whether a call may be tried again. */
#pragma once

#include "core/identity/ServiceName.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/retry/RetryContext.h"
#include "traffic/retry/RetryLimits.h"

namespace boragetrack::traffic::retry {

/** Decides about repeats of all calls of a node. */
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /** Takes new bounds; policies without bounds ignore them. */
    virtual void setLimits(const RetryLimits & /*limits*/) {}

    /** Notes the first attempt of a call. */
    virtual void recordFirstAttempt(const core::identity::ServiceName &service,
                                    core::timing::MonotonicTime now)
            = 0;

    /** Returns whether the call may be tried again; a "yes" spends from the budget. */
    virtual bool mayRetry(const RetryContext &question, core::timing::MonotonicTime now) = 0;
};

} // namespace boragetrack::traffic::retry
