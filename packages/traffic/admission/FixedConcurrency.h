/** The baseline admission: a fixed limit. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"

namespace boragetrack::traffic::admission {

/** Allows the maximum at all times; serves as the baseline. */
class FixedConcurrency : public AdmissionPolicy
{
public:
    explicit FixedConcurrency(const AdmissionLimits &limits)
        : limits_(limits)
    {}

    void setLimits(const AdmissionLimits &limits) override { limits_ = limits; }
    void upstreamStarted() override {}
    void recordRequest(const AdmissionSample & /*sample*/,
                       core::timing::MonotonicTime /*now*/) override
    {}
    int limit() const override { return limits_.maximum; }
    bool isCold() const override { return false; }

private:
    AdmissionLimits limits_;
};

} // namespace boragetrack::traffic::admission
