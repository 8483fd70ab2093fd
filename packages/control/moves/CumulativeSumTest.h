/** A sequential test for a raised rate. */
#pragma once

#include <algorithm>
#include <cmath>

namespace boragetrack::control::moves {

/**
    Accumulates the log-likelihood ratio of a raised rate against the usual one, never below zero
    (Page's cumulative sum). Long good behaviour thus earns no credit against later badness.

    At the usual rate a sum reaches the threshold h at most once in about exp(h) restarts from zero,
    so h = ln(1/alpha) bounds the false alarms of one excursion by alpha.
*/
class CumulativeSumTest
{
public:
    /** Adds outcomes. @param usualRate and @param raisedRate lie strictly between 0 and 1 */
    void add(double bad, double good, double usualRate, double raisedRate)
    {
        const double badWeight = std::log(raisedRate / usualRate);
        const double goodWeight = std::log((1.0 - raisedRate) / (1.0 - usualRate));
        sum_ = std::max(0.0, sum_ + bad * badWeight + good * goodWeight);
    }

    /** Returns the accumulated evidence for the raised rate. */
    double sum() const { return sum_; }

private:
    // Invariant: not negative.
    double sum_ = 0.0;
};

} // namespace boragetrack::control::moves
