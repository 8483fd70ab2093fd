/** Draws the fleet first, then the outage, and then the other events around the outage's start. */
#include "emulator/restarts/PlanGenerator.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t minimumNodes = 4;
constexpr std::size_t maximumNodes = 14;
constexpr std::size_t maximumDataCentres = 4;
// The nodes start together, have found each other by the first of these times, and have registered
// by the second one.
constexpr milliseconds earliestOutage{4000};
constexpr milliseconds latestOutage{10'000};
// The time after the last event in which the fleet has to recover.
constexpr milliseconds recoveryTime{4000};

} // namespace

RestartPlan PlanGenerator::draw()
{
    plan_.seed = seed_;
    plan_.nodeCount = std::uniform_int_distribution(minimumNodes, maximumNodes)(random_);
    plan_.dataCentreCount = std::uniform_int_distribution(
            std::size_t{1}, std::min(maximumDataCentres, plan_.nodeCount / 2))(random_);
    const milliseconds outageAt = drawTime(earliestOutage, latestOutage);
    if (drawChance(0.85))
        addOutage(outageAt);
    if (drawChance(0.6))
        add(RestartFaultKind::Change, outageAt + drawTime(milliseconds(-700), milliseconds(300)),
            {}, {});
    if (drawChance(0.25))
        add(RestartFaultKind::Cut, outageAt + drawTime(milliseconds(-1500), milliseconds(3000)),
            drawTime(milliseconds(500), milliseconds(5000)), drawDataCentre());
    if (drawChance(0.25))
        add(RestartFaultKind::BadMove, outageAt + drawTime(milliseconds(-3000), milliseconds(0)),
            {}, {});
    if (drawChance(0.4))
        add(RestartFaultKind::Departure,
            outageAt + drawTime(milliseconds(-2000), milliseconds(2500)),
            drawTime(milliseconds(500), milliseconds(4500)), drawNodes(0.2));
    addRestarts(outageAt);
    if (drawChance(0.4))
        addRejection(std::max(earliestOutage,
                              outageAt + drawTime(milliseconds(-3500), milliseconds(6000))));
    std::stable_sort(plan_.faults.begin(), plan_.faults.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const RestartFault &fault : plan_.faults)
        plan_.length = std::max(plan_.length, fault.at + fault.duration + recoveryTime);
    return plan_;
}

void PlanGenerator::addOutage(milliseconds at)
{
    static constexpr RestartFaultKind kinds[]
            = {RestartFaultKind::SilentStore, RestartFaultKind::BusyStore,
               RestartFaultKind::LossyStore};
    const RestartFaultKind kind = kinds[random_() % std::size(kinds)];
    const bool isPartial = drawChance(0.25);
    add(kind, at, drawTime(milliseconds(3000), milliseconds(10'000)),
        drawNodes(isPartial ? 0.6 : 1.0));
}

// A change right after the followers are rejected takes longest to reach the nodes.
void PlanGenerator::addRejection(milliseconds at)
{
    add(drawChance(0.5) ? RestartFaultKind::RejectedFollowers
                        : RestartFaultKind::SilentForFollowers,
        at, drawTime(milliseconds(2000), milliseconds(9000)), {});
    const int changes = std::uniform_int_distribution(1, 3)(random_);
    for (int i = 0; i < changes; ++i)
        add(RestartFaultKind::Change, at + drawTime(milliseconds(0), milliseconds(2500)), {}, {});
}

void PlanGenerator::addRestarts(milliseconds at)
{
    const int herds = drawChance(0.35) ? 2 : 1;
    milliseconds next = at + drawTime(milliseconds(50), milliseconds(3500));
    for (int i = 0; i < herds; ++i) {
        const double share = std::uniform_real_distribution(0.1, 1.0)(random_);
        const RestartFaultKind kind
                = drawChance(0.15) ? RestartFaultKind::Stop : RestartFaultKind::Kill;
        add(kind, next, drawTime(milliseconds(200), milliseconds(900)), drawNodes(share));
        next += drawTime(milliseconds(300), milliseconds(3000));
    }
}

milliseconds PlanGenerator::drawTime(milliseconds from, milliseconds to)
{
    return milliseconds(std::uniform_int_distribution(from.count(), to.count())(random_));
}

bool PlanGenerator::drawChance(double probability)
{
    return std::bernoulli_distribution(probability)(random_);
}

std::set<std::size_t> PlanGenerator::drawNodes(double share)
{
    std::vector<std::size_t> all(plan_.nodeCount);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    std::shuffle(all.begin(), all.end(), random_);
    const auto wanted
            = static_cast<std::size_t>(std::lround(share * static_cast<double>(all.size())));
    all.resize(std::clamp<std::size_t>(wanted, 1, all.size()));
    return {all.begin(), all.end()};
}

std::set<std::size_t> PlanGenerator::drawDataCentre()
{
    const std::size_t dataCentre = random_() % plan_.dataCentreCount;
    std::set<std::size_t> nodes;
    for (std::size_t i = dataCentre; i < plan_.nodeCount; i += plan_.dataCentreCount)
        nodes.insert(i);
    return nodes;
}

void PlanGenerator::add(RestartFaultKind kind, milliseconds at, milliseconds duration,
                        std::set<std::size_t> nodes)
{
    plan_.faults.push_back(RestartFault{kind, at, duration, std::move(nodes)});
}

} // namespace boragetrack::emulator::restarts
