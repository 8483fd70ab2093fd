/** Plans the new version's share of traffic. */
#pragma once

namespace boragetrack::control::moves {

/** Gives the share of a route's calls that the new version gets in the course of a move. */
class SharePolicy
{
public:
    virtual ~SharePolicy() = default;

    /** Returns the share in percent.
        @param elapsed the part of the time between start and end that has passed, 0 to 1
        @param hasSufficientEvidence whether enough good outcomes were seen on the route */
    virtual double sharePercent(double elapsed, bool hasSufficientEvidence) const = 0;
};

} // namespace boragetrack::control::moves
