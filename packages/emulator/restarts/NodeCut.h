/** A cut between single nodes and all others. */
#pragma once

#include "emulator/restarts/NetworkCut.h"

#include <set>

namespace boragetrack::emulator::restarts {

/** Separates each of its nodes from every other node. */
class NodeCut : public NetworkCut
{
public:
    explicit NodeCut(std::set<std::size_t> nodes)
        : nodes_(std::move(nodes))
    {}

    bool separates(std::size_t a, std::size_t b) const override
    {
        return a != b && (nodes_.contains(a) || nodes_.contains(b));
    }

private:
    const std::set<std::size_t> nodes_;
};

} // namespace boragetrack::emulator::restarts
