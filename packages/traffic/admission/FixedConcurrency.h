/** The baseline admission policy, for comparison with the adaptive one. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"

namespace boragetrack::traffic::admission {

/** Always allows the maximum concurrency, regardless of outcomes and starts of the upstream. */
class FixedConcurrency : public AdmissionPolicy
{
public:
    explicit FixedConcurrency(const AdmissionLimits &limits)
        : limits_(limits)
    {}

    void setLimits(const AdmissionLimits &limits) override { limits_ = limits; }
    void handleUpstreamStart() override {}
    void recordRequest(const AdmissionSample & /*sample*/,
                       core::timing::MonotonicTime /*now*/) override
    {}
    int limit() const override { return limits_.maximum; }
    bool isCold() const override { return false; }

private:
    AdmissionLimits limits_;
};

} // namespace boragetrack::traffic::admission
