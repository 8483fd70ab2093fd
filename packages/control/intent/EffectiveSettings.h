/** The settings that hold for one route on one node. */
#pragma once

#include <chrono>

namespace boragetrack::control::intent {

/** Holds the values that defaults and exceptions resolve to. */
struct EffectiveSettings
{
    /** Time from the caller's first byte to the answer. */
    std::chrono::milliseconds callTimeout{2000};
    /** Attempts for one call, the first one included. */
    int attemptLimit = 3;
    /** Retries allowed, as a percentage of first attempts. */
    int retryBudgetPercent = 20;
    /** Requests at once that one upstream is ever given. */
    int concurrencyLimit = 100;
    /** Requests at once that a freshly started upstream is given. */
    int startConcurrency = 2;
    /** Requests that may wait beside one upstream. */
    int queueLimit = 40;
};

} // namespace boragetrack::control::intent
