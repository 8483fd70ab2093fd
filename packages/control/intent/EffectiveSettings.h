/** The settings of one route on one node. */
#pragma once

#include <chrono>

namespace boragetrack::control::intent {

/** Holds the values that result from the defaults, the route and the exceptions. */
struct EffectiveSettings
{
    /** Time from the first byte of the caller's request to the response. */
    std::chrono::milliseconds callTimeout{2000};
    /** Maximum number of attempts for a call, including the first one. */
    int attemptLimit = 3;
    /** Allowed retries, as a percentage of first attempts. */
    int retryBudgetPercent = 20;
    /** Maximum number of concurrent requests at one upstream. */
    int concurrencyLimit = 100;
    /** Initial concurrency limit of an upstream that has just started. */
    int startConcurrency = 2;
    /** Maximum number of requests that wait for one upstream. */
    int queueLimit = 40;
};

} // namespace boragetrack::control::intent
