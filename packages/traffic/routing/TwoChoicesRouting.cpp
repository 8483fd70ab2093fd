/** Selects the best class of candidates by data centre and headroom, then the less loaded of two
    candidates drawn from it by weight. */
#include "traffic/routing/TwoChoicesRouting.h"

#include <algorithm>
#include <vector>

namespace boragetrack::traffic::routing {

namespace {

// Older load reports are ignored, and only this node's own calls count.
constexpr std::chrono::milliseconds reportLife{1000};

int capacityOf(const Candidate &candidate)
{
    const int reported = candidate.load.reported.limit;
    return std::max(1, reported > 0 ? reported : candidate.endpoint->slots);
}

// Returns the fraction of its capacity that an endpoint would use with one more call. The larger of
// the reported load and this node's calls counts: reports lag, and this node's calls leave out
// those of other nodes.
double loadOf(const Candidate &candidate)
{
    const bool isFresh = candidate.load.age <= reportLife;
    const int reported
            = isFresh ? candidate.load.reported.inFlight + candidate.load.reported.queued : 0;
    const int known = std::max(reported, candidate.load.localInFlight);
    return (known + 1.0) / capacityOf(candidate);
}

bool isUsable(const Candidate &candidate)
{
    return !candidate.load.isEjected && !candidate.endpoint->isSuspect;
}

bool hasHeadroom(const Candidate &candidate)
{
    return isUsable(candidate) && loadOf(candidate) <= 1.0;
}

// Returns the candidates of the first class that is not empty: local ones with headroom, any with
// headroom, any usable, all.
std::vector<std::size_t> bestClass(std::span<const Candidate> candidates, std::mt19937_64 &random)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> free;
    std::vector<std::size_t> usable;
    std::vector<std::size_t> all;
    double localWeight = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        all.push_back(i);
        if (isUsable(candidates[i]))
            usable.push_back(i);
        if (!hasHeadroom(candidates[i]))
            continue;
        free.push_back(i);
        if (candidates[i].isLocal) {
            local.push_back(i);
            localWeight = std::max(localWeight, candidates[i].endpoint->weight);
        }
    }
    // A data centre with a reduced weight, as during its ramp-up, keeps only that fraction of its
    // local calls.
    const bool staysLocal = std::uniform_real_distribution<>(0.0, 1.0)(random) < localWeight;
    if (!local.empty() && staysLocal)
        return local;
    if (!free.empty())
        return free;
    return usable.empty() ? all : usable;
}

std::size_t draw(std::span<const Candidate> candidates, const std::vector<std::size_t> &indices,
                 std::mt19937_64 &random)
{
    double total = 0.0;
    for (const std::size_t index : indices)
        total += candidates[index].endpoint->weight;
    double point = std::uniform_real_distribution<>(0.0, total)(random);
    for (const std::size_t index : indices) {
        point -= candidates[index].endpoint->weight;
        if (point <= 0.0)
            return index;
    }
    return indices.back();
}

} // namespace

RoutingChoice TwoChoicesRouting::choose(std::span<const Candidate> candidates,
                                        const CallRequirements & /*requirements*/,
                                        std::mt19937_64 &random)
{
    const std::vector<std::size_t> indices = bestClass(candidates, random);
    const std::size_t first = draw(candidates, indices, random);
    const std::size_t second = draw(candidates, indices, random);
    const bool isSecondLessLoaded = loadOf(candidates[second]) < loadOf(candidates[first]);
    return RoutingChoice{isSecondLessLoaded ? second : first, {}};
}

} // namespace boragetrack::traffic::routing
