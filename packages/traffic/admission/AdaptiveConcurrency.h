/** The default admission policy: a concurrency limit that follows the upstream's capacity. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"

namespace boragetrack::traffic::admission {

/**
    Starts at a low limit, raises it on successes while the limit is in use, and lowers it when the
    upstream sheds load, drops a connection, times out or slows down.

    The limit depends on the outcomes of requests alone: health checks and load reports lag behind
    or mislead. The slots that the upstream announces are only an upper bound.
*/
class AdaptiveConcurrency : public AdmissionPolicy
{
public:
    explicit AdaptiveConcurrency(const AdmissionLimits &limits);

    void setLimits(const AdmissionLimits &limits) override;
    void handleUpstreamStart() override;
    void recordRequest(const AdmissionSample &sample, core::timing::MonotonicTime now) override;
    int limit() const override;
    bool isCold() const override { return isCold_; }

private:
    void increase(const AdmissionSample &sample);
    void decrease(double factor, core::timing::MonotonicTime now);
    bool isSlow() const;

    AdmissionLimits limits_;
    // Invariant: between 1 and limits_.maximum.
    double limit_;
    bool isCold_ = true;
    int consecutiveSuccesses_ = 0;
    /** Moving averages of the latency over few and over many requests, in seconds; zero before the
        first request. */
    double recentLatency_ = 0.0;
    double baselineLatency_ = 0.0;
    core::timing::MonotonicTime lastDecrease_{};
};

} // namespace boragetrack::traffic::admission
