/** Admission that adapts to the upstream. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"

namespace boragetrack::traffic::admission {

/**
    Begins low, rises with good answers while the limit is in use, and falls when the upstream
   sheds, breaks off or slows down.

    Outcomes decide, not the upstream's health or load reports, which lag or mislead; the announced
    slots only bound the limit from above.
*/
class AdaptiveConcurrency : public AdmissionPolicy
{
public:
    explicit AdaptiveConcurrency(const AdmissionLimits &limits);

    void setLimits(const AdmissionLimits &limits) override;
    void upstreamStarted() override;
    void recordRequest(const AdmissionSample &sample, core::timing::MonotonicTime now) override;
    int limit() const override;
    bool isCold() const override { return isCold_; }

private:
    void rise(const AdmissionSample &sample);
    void fall(double factor, core::timing::MonotonicTime now);
    bool isSlow() const;

    AdmissionLimits limits_;
    // Invariant: between 1 and limits_.maximum.
    double limit_;
    bool isCold_ = true;
    int goodInRow_ = 0;
    /** Smoothed latency over the last few and over many requests, in seconds; zero before any. */
    double recentLatency_ = 0.0;
    double usualLatency_ = 0.0;
    core::timing::MonotonicTime lastFall_{};
};

} // namespace boragetrack::traffic::admission
