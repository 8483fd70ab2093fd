/** Implements OnTimeRouting. */
#include "traffic/routing/OnTimeRouting.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace boragetrack::traffic::routing {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::nanoseconds;

// A report says less the older it is, and nothing after this time.
constexpr nanoseconds reportLife = std::chrono::milliseconds(1000);
// The trip to another data centre and back, with some margin.
constexpr nanoseconds remoteTrip = std::chrono::milliseconds(5);
// The standard deviation of the logarithm of the work on requests of one route; between 0.4 and 0.8
// the emulator shows no difference.
constexpr double workSpread = 0.6;
// What a late answer is worth beside one on time.
constexpr double lateWorth = 0.3;
// Endpoints that are drawn of each side, the own data centre and the others. Two go far beyond one;
// with three, nodes flood the freest endpoint of a large deployment.
constexpr std::size_t drawnOfEachSide = 2;
// The bytes of a call of a route that this node has not called yet.
constexpr std::size_t usualBytes = 2000;
// Bytes do not keep a call from the only place that can answer it.
constexpr double highestCrossingCost = 0.5;

struct Option
{
    std::size_t index = 0;
    nanoseconds wait{0};
    nanoseconds finish{0};
    // The expected worth of the answer, as a part of that of one on time.
    double worth = 0.0;
    bool isLocal = false;
};

nanoseconds expectedWait(const Candidate &candidate, int rank, nanoseconds work)
{
    const EndpointLoad &load = candidate.load;
    const double freshness = std::clamp(
            1.0 - static_cast<double>(load.age.count()) / reportLife.count(), 0.0, 1.0);
    const auto reported = duration_cast<nanoseconds>(load.reported.waitOf(rank) * freshness);
    const int limit = std::max(1, load.reported.limit > 0 ? load.reported.limit
                                                          : candidate.endpoint->slots);
    const bool isFresh = freshness > 0.0;
    const int inUse
            = isFresh ? load.reported.inFlight + load.startedSinceReport : load.localInFlight;
    // Calls that find no free place wait for a part of the usual work each.
    const int beyond = std::max(0, inUse - limit + 1);
    const int ownBeyond = std::min(beyond, isFresh ? load.startedSinceReport : load.localInFlight);
    return reported + work * ownBeyond / limit;
}

// The usual work at the endpoints that this node knows, for those that it does not.
nanoseconds meanWork(std::span<const Candidate> candidates)
{
    nanoseconds sum{0};
    int known = 0;
    for (const Candidate &candidate : candidates) {
        if (candidate.load.work.count() == 0)
            continue;
        sum += candidate.load.work;
        ++known;
    }
    return known == 0 ? sum : sum / known;
}

// The share of requests that take no longer than a time, from a log-normal distribution.
double chanceWithin(nanoseconds time, nanoseconds mean)
{
    if (time.count() <= 0)
        return 0.0;
    if (mean.count() == 0)
        return 1.0;
    const double ratio = static_cast<double>(time.count()) / static_cast<double>(mean.count());
    const double deviations = (std::log(ratio) + workSpread * workSpread / 2.0) / workSpread;
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

Option optionOf(const Candidate &candidate, const CallRequirements &needs, nanoseconds usualWork,
                const CrossDataCentreCost &crossingCost)
{
    const nanoseconds work = candidate.load.work.count() > 0 ? candidate.load.work : usualWork;
    const nanoseconds trip = candidate.isLocal ? nanoseconds::zero() : remoteTrip;
    Option option;
    option.isLocal = candidate.isLocal;
    option.wait = expectedWait(candidate, needs.rank, work);
    option.finish = option.wait + trip + work;
    const double onTime = chanceWithin(needs.objective - option.wait - trip, work);
    const double inTime = chanceWithin(needs.budget - option.wait - trip, work);
    option.worth = (onTime + lateWorth * std::max(0.0, inTime - onTime))
                   * (1.0 - candidate.load.failureRate);
    if (!option.isLocal) {
        const std::size_t bytes = candidate.load.bytes > 0 ? candidate.load.bytes : usualBytes;
        option.worth -= std::min(crossingCost.of(bytes), highestCrossingCost);
    }
    return option;
}

bool isUsable(const Candidate &candidate)
{
    return !candidate.load.isEjected && !candidate.load.isUnresponsive
           && !candidate.endpoint->isSuspect;
}

std::vector<Option> optionsAmong(std::span<const Candidate> candidates,
                                 const CallRequirements &needs, bool mustBeUsable,
                                 const CrossDataCentreCost &crossingCost, std::mt19937_64 &random)
{
    const nanoseconds usualWork = meanWork(candidates);
    std::vector<Option> options;
    std::uniform_real_distribution<> chance(0.0, 1.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (candidate.load.isCutOff || (mustBeUsable && !isUsable(candidate)))
            continue;
        // A data centre that is coming back takes part in as many choices as its share says.
        if (candidate.endpoint->weight < 1.0 && chance(random) >= candidate.endpoint->weight)
            continue;
        options.push_back(optionOf(candidate, needs, usualWork, crossingCost));
        options.back().index = i;
    }
    return options;
}

// Returns the best of a few options that can still be in time, or null when none can.
const Option *bestOfDrawn(const std::vector<Option> &options, microseconds budget)
{
    const Option *best = nullptr;
    std::size_t drawnLocal = 0;
    std::size_t drawnRemote = 0;
    for (const Option &option : options) {
        if (option.finish > budget)
            continue;
        std::size_t &drawn = option.isLocal ? drawnLocal : drawnRemote;
        if (drawn == drawnOfEachSide)
            continue;
        ++drawn;
        if (best == nullptr || option.worth > best->worth)
            best = &option;
    }
    return best;
}

} // namespace

RoutingChoice OnTimeRouting::choose(std::span<const Candidate> candidates,
                                    const CallRequirements &needs, std::mt19937_64 &random)
{
    std::vector<Option> options = optionsAmong(candidates, needs, true, crossingCost_, random);
    // What can not be reached for sure is still better than nothing. A data centre that is cut off
    // is no hope: a call to it would only wait, and be told at the end what is known now.
    if (options.empty())
        options = optionsAmong(candidates, needs, false, crossingCost_, random);
    if (options.empty())
        return RoutingChoice{};
    std::shuffle(options.begin(), options.end(), random);
    RoutingChoice choice;
    if (const Option *chosen = bestOfDrawn(options, needs.budget))
        choice.index = chosen->index;
    const auto shortest
            = std::min_element(options.begin(), options.end(),
                               [](const Option &a, const Option &b) { return a.wait < b.wait; });
    choice.shortestWait = duration_cast<std::chrono::milliseconds>(shortest->wait);
    return choice;
}

} // namespace boragetrack::traffic::routing
