/** Sequential test that detects when the rate of bad outcomes rises. */
#pragma once

#include <algorithm>
#include <cmath>

namespace boragetrack::control::moves {

/**
    Accumulates the log-likelihood ratio of the raised rate against the usual rate, clamped at zero
    (Page's CUSUM test). The clamp keeps a long run of good outcomes from delaying the detection of
    a later fault.

    At the usual rate, the sum reaches a threshold h at most once in about exp(h) restarts from
    zero. A threshold of h = ln(1/alpha) therefore bounds the false-alarm probability of one
    excursion by alpha.
*/
class CumulativeSumTest
{
public:
    /** Adds counts of bad and good outcomes.
        @param usualRate the rate of bad outcomes without a fault, strictly between 0 and 1
        @param raisedRate the rate to detect, strictly between 0 and 1 */
    void add(double bad, double good, double usualRate, double raisedRate)
    {
        const double badWeight = std::log(raisedRate / usualRate);
        const double goodWeight = std::log((1.0 - raisedRate) / (1.0 - usualRate));
        sum_ = std::max(0.0, sum_ + bad * badWeight + good * goodWeight);
    }

    /** Returns the accumulated log-likelihood ratio. */
    double sum() const { return sum_; }

private:
    // Invariant: not negative.
    double sum_ = 0.0;
};

} // namespace boragetrack::control::moves
