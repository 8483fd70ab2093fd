/** Decides how many requests an upstream is given at once. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/admission/AdmissionLimits.h"
#include "traffic/admission/AdmissionSample.h"

namespace boragetrack::traffic::admission {

/** Sets the number of requests at once from the outcomes of requests. */
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /** Takes new bounds. */
    virtual void setLimits(const AdmissionLimits &limits) = 0;

    /** Notes that the upstream started anew and is cold. */
    virtual void upstreamStarted() = 0;

    /** Learns from a request that ended. */
    virtual void recordRequest(const AdmissionSample &sample, core::timing::MonotonicTime now) = 0;

    /** Returns the requests at once that are allowed now. */
    virtual int limit() const = 0;

    /** Returns whether the upstream still proves what it bears after a start. */
    virtual bool isCold() const = 0;
};

} // namespace boragetrack::traffic::admission
