/** The interface of policies that set an upstream's concurrency limit. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/admission/AdmissionLimits.h"
#include "traffic/admission/AdmissionSample.h"

namespace boragetrack::traffic::admission {

/** Derives the number of concurrent requests that an upstream may get from their outcomes. */
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /** Sets the bounds of the limit. */
    virtual void setLimits(const AdmissionLimits &limits) = 0;

    /** Handles a start of the upstream's process, which is cold from now on. */
    virtual void handleUpstreamStart() = 0;

    /** Records the outcome of a request that was sent to the upstream. */
    virtual void recordRequest(const AdmissionSample &sample, core::timing::MonotonicTime now) = 0;

    /** Returns the present concurrency limit, in requests. */
    virtual int limit() const = 0;

    /** Returns whether the upstream has not yet had enough successes after its start. */
    virtual bool isCold() const = 0;
};

} // namespace boragetrack::traffic::admission
