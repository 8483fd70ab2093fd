/** Interface of the schedules that shift traffic to a new version. */
#pragma once

namespace boragetrack::control::moves {

/** Determines the share of a route's calls that the new version gets during a move. */
class SharePolicy
{
public:
    virtual ~SharePolicy() = default;

    /** Returns the share in percent.
        @param elapsedFraction the fraction of the time from start to end that has passed:
        from 0 to 1 during the move, negative before its start, above 1 after its end
        @param hasSufficientEvidence whether enough good outcomes were recorded on the route */
    virtual double sharePercent(double elapsedFraction, bool hasSufficientEvidence) const = 0;
};

} // namespace boragetrack::control::moves
