/** Additive increase and multiplicative decrease of the concurrency limit, driven by overload
    outcomes and by the ratio of the recent to the baseline latency. */
#include "traffic/admission/AdaptiveConcurrency.h"

#include <algorithm>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {

constexpr double overloadFactor = 0.6;
constexpr double slownessFactor = 0.8;
// Requests that were in flight during a decrease must not cause another one when they end.
constexpr std::chrono::milliseconds decreaseInterval{200};
// The ratio of recent to baseline latency above which the upstream counts as slow.
constexpr double slownessRatio = 3.0;
constexpr double recentSmoothing = 0.1;
// The baseline follows improvements faster than slowdowns, but neither immediately: routes with
// different service times share an upstream.
constexpr double fallingSmoothing = 0.02;
constexpr double risingSmoothing = 0.01;
// While the upstream counts as slow, its slow responses must not soon become the baseline.
constexpr double slowSmoothing = 0.001;
// Consecutive successes after which the upstream no longer counts as cold.
constexpr int warmAfterSuccesses = 30;
// The limit rises only while this fraction of it is in use: responses of an idle upstream say
// nothing about its capacity.
constexpr double minimumUtilisation = 0.8;

double smooth(double average, double sample, double weight)
{
    return average == 0.0 ? sample : average + weight * (sample - average);
}

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(const AdmissionLimits &limits)
    : limits_(limits)
    , limit_(std::min(limits.start, limits.maximum))
{}

void AdaptiveConcurrency::setLimits(const AdmissionLimits &limits)
{
    const bool isAtStart = isCold_ && consecutiveSuccesses_ == 0;
    limits_ = limits;
    if (isAtStart)
        limit_ = limits.start;
    limit_ = std::clamp(limit_, 1.0, static_cast<double>(limits_.maximum));
}

void AdaptiveConcurrency::handleUpstreamStart()
{
    limit_ = std::clamp(limits_.start, 1, limits_.maximum);
    isCold_ = true;
    consecutiveSuccesses_ = 0;
    recentLatency_ = 0.0;
    baselineLatency_ = 0.0;
}

void AdaptiveConcurrency::recordRequest(const AdmissionSample &sample, MonotonicTime now)
{
    if (sample.isOverload) {
        consecutiveSuccesses_ = 0;
        decrease(overloadFactor, now);
        return;
    }
    const double seconds = std::chrono::duration<double>(sample.latency).count();
    recentLatency_ = smooth(recentLatency_, seconds, recentSmoothing);
    const double upwards = isSlow() ? slowSmoothing : risingSmoothing;
    const double baselineSmoothing = seconds < baselineLatency_ ? fallingSmoothing : upwards;
    baselineLatency_ = smooth(baselineLatency_, seconds, baselineSmoothing);
    if (isSlow()) {
        decrease(slownessFactor, now);
        return;
    }
    increase(sample);
}

int AdaptiveConcurrency::limit() const
{
    return static_cast<int>(limit_);
}

void AdaptiveConcurrency::increase(const AdmissionSample &sample)
{
    ++consecutiveSuccesses_;
    if (consecutiveSuccesses_ >= warmAfterSuccesses)
        isCold_ = false;
    // Compares with the integer part, since a fraction of the limit admits no further request.
    if (sample.inFlight < limit() * minimumUtilisation)
        return;
    // Adds one per as many successes as the limit, and half of that while the upstream is cold.
    limit_ += (isCold_ ? 0.5 : 1.0) / limit_;
    limit_ = std::min(limit_, static_cast<double>(limits_.maximum));
}

void AdaptiveConcurrency::decrease(double factor, MonotonicTime now)
{
    if (now - lastDecrease_ < decreaseInterval)
        return;
    lastDecrease_ = now;
    limit_ = std::max(1.0, limit_ * factor);
}

bool AdaptiveConcurrency::isSlow() const
{
    return recentLatency_ > slownessRatio * baselineLatency_;
}

} // namespace boragetrack::traffic::admission
