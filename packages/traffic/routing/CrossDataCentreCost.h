/** What bytes between data centres cost. */
#pragma once

#include <cstddef>

namespace boragetrack::traffic::routing {

/** Weighs the bytes that a call sends to another data centre against its chance to be on time. */
struct CrossDataCentreCost
{
    /** The bytes between data centres that cost as much as one answer on time is worth. The default
        lies between deployments where such bytes are dear, some 6 kB, and others, some 30 kB. */
    std::size_t bytesWorthACall = 12'000;

    /** Returns the cost of a call as a part of the worth of an answer on time. */
    double of(std::size_t bytes) const
    {
        return static_cast<double>(bytes) / static_cast<double>(bytesWorthACall);
    }
};

} // namespace boragetrack::traffic::routing
