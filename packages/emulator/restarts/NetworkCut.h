/** A cut between simulated nodes. */
#pragma once

#include <cstddef>

namespace boragetrack::emulator::restarts {

/** Decides which nodes do not reach each other. */
class NetworkCut
{
public:
    virtual ~NetworkCut() = default;

    /** Returns whether two nodes do not reach each other. */
    virtual bool separates(std::size_t a, std::size_t b) const = 0;
};

} // namespace boragetrack::emulator::restarts
