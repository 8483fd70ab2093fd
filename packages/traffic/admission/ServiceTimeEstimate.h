/** An estimate of how long an upstream takes for a request. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragetrack::traffic::admission {

/**
    Joins an average with what limits its validity.

    Only requests that are sent correct an estimate. One that holds requests back would therefore
    stay as it is, so it loses weight with the time since the last request.
*/
class ServiceTimeEstimate
{
public:
    /** How long an estimate holds in full after the last request. */
    static constexpr std::chrono::milliseconds validity{2000};
    /** The time in which an estimate that is no longer valid loses half of its power to refuse
        requests. */
    static constexpr std::chrono::milliseconds refusalHalfLife{1000};
    /** The same for its weight in the comparison of upstreams, where an error costs less. */
    static constexpr std::chrono::milliseconds comparisonHalfLife{10'000};

    /** Creates an estimate without any request. */
    ServiceTimeEstimate() = default;

    /** Returns an estimate from requests of the same route.
        @param age the time since the last of them started or ended */
    static ServiceTimeEstimate ofRoute(std::chrono::nanoseconds average,
                                       std::chrono::nanoseconds age)
    {
        return {average, true, age};
    }

    /** Returns an estimate from requests of other routes, which say nothing certain. */
    static ServiceTimeEstimate ofOtherRoutes(std::chrono::nanoseconds average)
    {
        return {average, false, {}};
    }

    /** Returns the average of the requests; zero if there is none. */
    std::chrono::nanoseconds average() const { return average_; }

    /** Returns the time that a request of this route certainly needs: one that has less left may be
        refused.
        @param patience how many more half-lives must pass before the estimate gives way, for
        requests that should not be the ones to probe an upstream */
    std::chrono::nanoseconds assured(double patience = 0.0) const
    {
        if (!isOfRoute_)
            return std::chrono::nanoseconds::zero();
        const double remaining = std::exp2(patience - halfLivesOf(age_, refusalHalfLife));
        return std::chrono::duration_cast<std::chrono::nanoseconds>(average_
                                                                    * std::min(1.0, remaining));
    }

    /** Returns the weight of the average in a comparison with other upstreams, 0 to 1. */
    double comparisonWeight() const
    {
        return isOfRoute_ ? std::exp2(-halfLivesOf(age_, comparisonHalfLife)) : 1.0;
    }

    /** Returns the part of its power to refuse requests that an estimate has lost, 0 to 1.
        @param age the time since its last request */
    static double agedShare(std::chrono::nanoseconds age)
    {
        return 1.0 - std::exp2(-halfLivesOf(age, refusalHalfLife));
    }

private:
    ServiceTimeEstimate(std::chrono::nanoseconds average, bool isOfRoute,
                        std::chrono::nanoseconds age)
        : average_(average)
        , isOfRoute_(isOfRoute)
        , age_(age)
    {}

    // Returns how many half-lives have passed since an estimate was valid in full.
    static double halfLivesOf(std::chrono::nanoseconds age, std::chrono::duration<double> halfLife)
    {
        return std::max(0.0, std::chrono::duration<double>(age - validity) / halfLife);
    }

    std::chrono::nanoseconds average_{0};
    bool isOfRoute_ = false;
    std::chrono::nanoseconds age_{0};
};

} // namespace boragetrack::traffic::admission
