/** The cost of cross-data-centre traffic. */
#pragma once

#include <cstddef>

namespace boragetrack::traffic::routing {

/** Converts the bytes that a call transfers between data centres into the value of a response
    within its objective, so that routing can weigh one against the other. */
struct CrossDataCentreCost
{
    /** The bytes between data centres that cost as much as one response within its objective is
        worth. The default lies between the values for deployments where such bytes are expensive
        (about 6 kB) and for others (about 30 kB). */
    std::size_t bytesWorthACall = 12'000;

    /** Returns the cost of these bytes in units of one response within its objective. */
    double of(std::size_t bytes) const
    {
        return static_cast<double>(bytes) / static_cast<double>(bytesWorthACall);
    }
};

} // namespace boragetrack::traffic::routing
