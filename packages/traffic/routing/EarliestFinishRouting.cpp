/** Implements EarliestFinishRouting. */
#include "traffic/routing/EarliestFinishRouting.h"

#include <algorithm>
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
// Expected times that differ by less are as good as the same; choosing among them at random keeps
// all nodes from sending to one endpoint.
constexpr nanoseconds sameTime = std::chrono::milliseconds(8);

nanoseconds expectedWait(const Candidate &candidate, int rank)
{
    const EndpointLoad &load = candidate.load;
    const double freshness = std::clamp(
            1.0 - static_cast<double>(load.age.count()) / reportLife.count(), 0.0, 1.0);
    const auto reported = duration_cast<nanoseconds>(load.reported.waitOf(rank) * freshness);
    const int limit = std::max(1, load.reported.limit > 0 ? load.reported.limit
                                                          : candidate.endpoint->slots);
    const bool isFresh = freshness > 0.0;
    const int inUse = isFresh ? load.reported.inFlight + load.begunSince : load.ownInFlight;
    // Calls that find no free place wait for a part of the usual work each.
    const int beyond = std::max(0, inUse - limit + 1);
    const int ownBeyond = std::min(beyond, isFresh ? load.begunSince : load.ownInFlight);
    return reported + load.work * ownBeyond / limit;
}

// What a failed call costs, in times of its objective: it loses that time, and often the call.
constexpr double failureCost = 2.0;

struct Option
{
    std::size_t index = 0;
    nanoseconds wait{0};
    nanoseconds finish{0};
    // The expected time, with what failures cost.
    nanoseconds cost{0};
    bool isLocal = false;
};

bool isUsable(const Candidate &candidate)
{
    return !candidate.load.isResting && !candidate.load.isSilent && !candidate.endpoint->isSuspect;
}

std::vector<Option> optionsAmong(std::span<const Candidate> candidates, const CallNeeds &needs,
                                 bool mustBeUsable, std::mt19937_64 &random)
{
    std::vector<Option> options;
    std::uniform_real_distribution<> chance(0.0, 1.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (mustBeUsable && !isUsable(candidate))
            continue;
        // A data centre that is coming back takes part in as many choices as its share says.
        if (candidate.endpoint->weight < 1.0 && chance(random) >= candidate.endpoint->weight)
            continue;
        Option option;
        option.index = i;
        option.isLocal = candidate.isLocal;
        option.wait = expectedWait(candidate, needs.rank);
        const nanoseconds trip = candidate.isLocal ? nanoseconds::zero() : remoteTrip;
        option.finish = option.wait + trip + candidate.load.work;
        const nanoseconds lost = std::max(microseconds::zero(), needs.objective);
        option.cost
                = option.finish
                  + duration_cast<nanoseconds>(lost * failureCost * candidate.load.failureShare);
        options.push_back(option);
    }
    return options;
}

// Returns the earliest of the options that a condition holds for, at random among equals.
template <typename Condition>
const Option *earliest(const std::vector<Option> &options, Condition holds, std::mt19937_64 &random)
{
    const Option *best = nullptr;
    for (const Option &option : options) {
        if (holds(option) && (best == nullptr || option.cost < best->cost))
            best = &option;
    }
    if (best == nullptr)
        return nullptr;
    std::vector<const Option *> equals;
    for (const Option &option : options) {
        if (holds(option) && option.cost <= best->cost + sameTime)
            equals.push_back(&option);
    }
    return equals[std::uniform_int_distribution<std::size_t>(0, equals.size() - 1)(random)];
}

} // namespace

RoutingChoice EarliestFinishRouting::choose(std::span<const Candidate> candidates,
                                            const CallNeeds &needs, std::mt19937_64 &random)
{
    std::vector<Option> options = optionsAmong(candidates, needs, true, random);
    // What can not be reached for sure is still better than nothing.
    if (options.empty())
        options = optionsAmong(candidates, needs, false, random);
    if (options.empty())
        return RoutingChoice{};
    const auto isOnTime = [&](const Option &option) { return option.cost <= needs.objective; };
    const auto isInTime = [&](const Option &option) { return option.finish <= needs.budget; };
    const auto isLocal = [](const Option &option) { return option.isLocal; };
    const Option *chosen = earliest(
            options, [&](const Option &o) { return isLocal(o) && isOnTime(o); }, random);
    if (chosen == nullptr)
        chosen = earliest(options, isOnTime, random);
    if (chosen == nullptr)
        chosen = earliest(
                options, [&](const Option &o) { return isLocal(o) && isInTime(o); }, random);
    if (chosen == nullptr)
        chosen = earliest(options, isInTime, random);
    RoutingChoice choice;
    if (chosen != nullptr)
        choice.index = chosen->index;
    const auto shortest
            = std::min_element(options.begin(), options.end(),
                               [](const Option &a, const Option &b) { return a.wait < b.wait; });
    choice.shortestWait = duration_cast<std::chrono::milliseconds>(shortest->wait);
    return choice;
}

} // namespace boragetrack::traffic::routing
