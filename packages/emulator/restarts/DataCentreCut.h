/** A cut between data centres. */
#pragma once

#include "emulator/restarts/NetworkCut.h"

#include <set>

namespace boragetrack::emulator::restarts {

/** Separates those of its nodes that are in different data centres; all others reach each node. */
class DataCentreCut : public NetworkCut
{
public:
    /** @param dataCentreCount node n is in data centre n modulo this number */
    DataCentreCut(std::set<std::size_t> nodes, std::size_t dataCentreCount)
        : nodes_(std::move(nodes))
        , dataCentreCount_(dataCentreCount)
    {}

    bool separates(std::size_t a, std::size_t b) const override
    {
        return nodes_.contains(a) && nodes_.contains(b)
               && a % dataCentreCount_ != b % dataCentreCount_;
    }

private:
    const std::set<std::size_t> nodes_;
    const std::size_t dataCentreCount_;
};

} // namespace boragetrack::emulator::restarts
