/** Estimates the expected value of sending the call to each candidate, draws a few candidates at
    random and takes the best of them. */
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

// A load report loses weight linearly with its age and is ignored after this time.
constexpr nanoseconds reportLife = std::chrono::milliseconds(1000);
// The round trip to another data centre, with some margin.
constexpr nanoseconds remoteRoundTrip = std::chrono::milliseconds(5);
// The standard deviation of the logarithm of the service times of one route; values between 0.4 and
// 0.8 lead to equally good choices.
constexpr double serviceTimeSpread = 0.6;
// The value of a response between objective and deadline, relative to one within its objective.
constexpr double lateValue = 0.3;
// The candidates drawn from the local data centre, and those drawn from the others. Two give much
// better results than one; with three, nodes overload the least loaded endpoint of a large
// deployment.
constexpr std::size_t drawsPerSide = 2;
// The size of a call of a route that this node has not called yet, in bytes.
constexpr std::size_t defaultCallBytes = 2000;
// The upper bound of the cost, so that size alone never excludes the only endpoint that can respond
// in time.
constexpr double maximumCrossDataCentreCost = 0.5;

// A call that must not run twice relies on an old estimate for this many half-lives longer than one
// that may: after a probe that ends late, its caller doesn't know whether it ran.
constexpr double unsafeProbePatience = 1.0;

struct Option
{
    // The position among the candidates.
    std::size_t index = 0;
    nanoseconds wait{0};
    // The response time if the service takes no longer than is certain.
    nanoseconds earliestFinish{0};
    // The expected value of the response, relative to one within its objective.
    double value = 0.0;
    bool isLocal = false;
};

nanoseconds expectedWait(const Candidate &candidate, int rank, nanoseconds serviceTime)
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
    // This node's calls beyond the limit add their share of a service time each to the wait.
    const int excess = std::max(0, inUse - limit + 1);
    const int localExcess
            = std::min(excess, isFresh ? load.startedSinceReport : load.localInFlight);
    return reported + serviceTime * localExcess / limit;
}

// Returns the weighted mean of the known service times, which stands in for unknown ones.
nanoseconds meanServiceTime(std::span<const Candidate> candidates)
{
    std::chrono::duration<double, std::nano> sum{0};
    double weights = 0.0;
    for (const Candidate &candidate : candidates) {
        const nanoseconds average = candidate.load.serviceTime.average();
        if (average.count() == 0)
            continue;
        const double weight = candidate.load.serviceTime.comparisonWeight();
        sum += average * weight;
        weights += weight;
    }
    return weights > 0.0 ? duration_cast<nanoseconds>(sum / weights) : nanoseconds::zero();
}

// Returns the service time of an endpoint for the comparison with others. One that was slow is
// tried again in time, as its estimate approaches the mean.
nanoseconds comparedServiceTime(const EndpointLoad &load, nanoseconds meanTime)
{
    const nanoseconds average = load.serviceTime.average();
    if (average.count() == 0)
        return meanTime;
    return meanTime
           + duration_cast<nanoseconds>((average - meanTime) * load.serviceTime.comparisonWeight());
}

// Returns the probability that a request takes no longer than a time, with log-normally distributed
// service times.
double probabilityWithin(nanoseconds time, nanoseconds mean)
{
    if (time.count() <= 0)
        return 0.0;
    if (mean.count() == 0)
        return 1.0;
    const double ratio = static_cast<double>(time.count()) / static_cast<double>(mean.count());
    const double deviations
            = (std::log(ratio) + serviceTimeSpread * serviceTimeSpread / 2.0) / serviceTimeSpread;
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

Option optionOf(const Candidate &candidate, const CallRequirements &requirements,
                nanoseconds meanTime, const CrossDataCentreCost &crossDataCentreCost)
{
    const nanoseconds serviceTime = comparedServiceTime(candidate.load, meanTime);
    const nanoseconds roundTrip = candidate.isLocal ? nanoseconds::zero() : remoteRoundTrip;
    Option option;
    option.isLocal = candidate.isLocal;
    option.wait = expectedWait(candidate, requirements.rank, serviceTime);
    const double patience = requirements.isIdempotent ? 0.0 : unsafeProbePatience;
    option.earliestFinish = option.wait + roundTrip + candidate.load.serviceTime.assured(patience);
    const double withinObjective
            = probabilityWithin(requirements.objective - option.wait - roundTrip, serviceTime);
    const double withinDeadline
            = probabilityWithin(requirements.budget - option.wait - roundTrip, serviceTime);
    option.value = (withinObjective + lateValue * std::max(0.0, withinDeadline - withinObjective))
                   * (1.0 - candidate.load.failureRate);
    if (!option.isLocal) {
        const std::size_t bytes
                = candidate.load.bytes > 0 ? candidate.load.bytes : defaultCallBytes;
        option.value -= std::min(crossDataCentreCost.of(bytes), maximumCrossDataCentreCost);
    }
    return option;
}

bool isUsable(const Candidate &candidate)
{
    return !candidate.load.isEjected && !candidate.load.isUnresponsive
           && !candidate.endpoint->isSuspect;
}

// Which candidates become options. None includes a data centre that is cut off: a call there would
// only wait for its timeout before it is refused.
enum class Selection {
    // Usable candidates; one with a reduced weight, as during the ramp-up of its data centre, takes
    // part in that fraction of the choices.
    UsableByWeight,
    AllUsable,
    // Ejected, unresponsive and suspect ones too.
    All,
};

std::vector<Option> optionsAmong(std::span<const Candidate> candidates,
                                 const CallRequirements &requirements, Selection selection,
                                 const CrossDataCentreCost &crossDataCentreCost,
                                 std::mt19937_64 &random)
{
    const nanoseconds meanTime = meanServiceTime(candidates);
    std::vector<Option> options;
    std::uniform_real_distribution<> chance(0.0, 1.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (candidate.load.isCutOff || (selection != Selection::All && !isUsable(candidate)))
            continue;
        if (selection == Selection::UsableByWeight && candidate.endpoint->weight < 1.0
            && chance(random) >= candidate.endpoint->weight)
            continue;
        options.push_back(optionOf(candidate, requirements, meanTime, crossDataCentreCost));
        options.back().index = i;
    }
    return options;
}

// Returns the best of the first few options of each side that can respond in time, or null when
// none can. The options must be in random order.
const Option *bestOfDrawn(const std::vector<Option> &options, microseconds budget)
{
    const Option *best = nullptr;
    std::size_t drawnLocal = 0;
    std::size_t drawnRemote = 0;
    for (const Option &option : options) {
        if (option.earliestFinish > budget)
            continue;
        std::size_t &drawn = option.isLocal ? drawnLocal : drawnRemote;
        if (drawn == drawsPerSide)
            continue;
        ++drawn;
        if (best == nullptr || option.value > best->value)
            best = &option;
    }
    return best;
}

} // namespace

RoutingChoice OnTimeRouting::choose(std::span<const Candidate> candidates,
                                    const CallRequirements &requirements, std::mt19937_64 &random)
{
    std::vector<Option> options;
    for (const auto selection : {Selection::UsableByWeight, Selection::AllUsable, Selection::All}) {
        if (options.empty())
            options = optionsAmong(candidates, requirements, selection, crossDataCentreCost_,
                                   random);
    }
    if (options.empty())
        return RoutingChoice{};
    std::shuffle(options.begin(), options.end(), random);
    RoutingChoice choice;
    if (const Option *chosen = bestOfDrawn(options, requirements.budget))
        choice.index = chosen->index;
    const auto shortest
            = std::min_element(options.begin(), options.end(),
                               [](const Option &a, const Option &b) { return a.wait < b.wait; });
    choice.shortestWait = duration_cast<std::chrono::milliseconds>(shortest->wait);
    return choice;
}

} // namespace boragetrack::traffic::routing
