/** Implements AdaptiveConcurrency. */
#include "traffic/admission/AdaptiveConcurrency.h"

#include <algorithm>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {

constexpr double fallOnOverload = 0.6;
constexpr double fallOnSlowness = 0.8;
// Outcomes of requests that were under way at a fall must not cause another one.
constexpr std::chrono::milliseconds fallInterval{200};
// The recent latency at which the upstream counts as slowed down.
constexpr double slownessRatio = 3.0;
constexpr double recentSmoothing = 0.1;
// The usual latency follows improvements sooner than slowdowns, but neither at once: routes of
// different lengths share an upstream.
constexpr double fallingSmoothing = 0.02;
constexpr double risingSmoothing = 0.01;
// While the upstream counts as slow, its slow answers must not pass for usual soon.
constexpr double slowSmoothing = 0.001;
// Good answers in a row after which an upstream no longer counts as cold.
constexpr int warmAfter = 30;
// The limit rises only while it is in use, since an idle upstream proves nothing.
constexpr double usedShare = 0.8;

double smooth(double held, double value, double smoothing)
{
    return held == 0.0 ? value : held + smoothing * (value - held);
}

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(const AdmissionLimits &limits)
    : limits_(limits)
    , limit_(std::min(limits.start, limits.maximum))
{}

void AdaptiveConcurrency::setLimits(const AdmissionLimits &limits)
{
    const bool startRises = isCold_ && goodInRow_ == 0;
    limits_ = limits;
    if (startRises)
        limit_ = limits.start;
    limit_ = std::clamp(limit_, 1.0, static_cast<double>(limits_.maximum));
}

void AdaptiveConcurrency::upstreamStarted()
{
    limit_ = std::clamp(limits_.start, 1, limits_.maximum);
    isCold_ = true;
    goodInRow_ = 0;
    recentLatency_ = 0.0;
    usualLatency_ = 0.0;
}

void AdaptiveConcurrency::recordRequest(const AdmissionSample &sample, MonotonicTime now)
{
    if (sample.isOverload) {
        goodInRow_ = 0;
        fall(fallOnOverload, now);
        return;
    }
    const double seconds = std::chrono::duration<double>(sample.latency).count();
    recentLatency_ = smooth(recentLatency_, seconds, recentSmoothing);
    const double upwards = isSlow() ? slowSmoothing : risingSmoothing;
    const double usualRate = seconds < usualLatency_ ? fallingSmoothing : upwards;
    usualLatency_ = smooth(usualLatency_, seconds, usualRate);
    if (isSlow()) {
        fall(fallOnSlowness, now);
        return;
    }
    rise(sample);
}

int AdaptiveConcurrency::limit() const
{
    return static_cast<int>(limit_);
}

void AdaptiveConcurrency::rise(const AdmissionSample &sample)
{
    ++goodInRow_;
    if (goodInRow_ >= warmAfter)
        isCold_ = false;
    // The whole part counts: a request more is only given at the next whole number.
    if (sample.inFlight < limit() * usedShare)
        return;
    // One more for each full set of good answers; while cold, half as fast again.
    limit_ += (isCold_ ? 0.5 : 1.0) / limit_;
    limit_ = std::min(limit_, static_cast<double>(limits_.maximum));
}

void AdaptiveConcurrency::fall(double factor, MonotonicTime now)
{
    if (now - lastFall_ < fallInterval)
        return;
    lastFall_ = now;
    limit_ = std::max(1.0, limit_ * factor);
}

bool AdaptiveConcurrency::isSlow() const
{
    return recentLatency_ > slownessRatio * usualLatency_;
}

} // namespace boragetrack::traffic::admission
