/** Draws the fleet, then the disturbances with changes around each. */
#include "emulator/restarts/ChangePlanGenerator.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t minimumNodes = 6;
constexpr std::size_t maximumNodes = 20;
constexpr std::size_t minimumDataCentres = 2;
constexpr std::size_t maximumDataCentres = 5;
// The nodes have found each other and registered by then.
constexpr milliseconds earliestDisturbance{8000};
constexpr milliseconds latestDisturbance{10'000};
constexpr milliseconds recoveryTime{4000};
// A time longer than each plan.
constexpr milliseconds never{60'000};

constexpr RestartFaultKind kinds[] = {RestartFaultKind::RejectedFollowers,
                                      RestartFaultKind::SilentForFollowers,
                                      RestartFaultKind::RefusedWithLostWatches,
                                      RestartFaultKind::SilentWithLostWatches,
                                      RestartFaultKind::RefusedWithKeptWatches,
                                      RestartFaultKind::EarlyForFollowers,
                                      RestartFaultKind::KilledProber,
                                      RestartFaultKind::FrozenProber,
                                      RestartFaultKind::SilentConnectionsOfFollowers,
                                      RestartFaultKind::LateWatch,
                                      RestartFaultKind::DataCentresApart,
                                      RestartFaultKind::NodesApart,
                                      RestartFaultKind::SilentLinks,
                                      RestartFaultKind::SilentLinksOneWay,
                                      RestartFaultKind::Cut,
                                      RestartFaultKind::Kill,
                                      RestartFaultKind::SilentStore};

} // namespace

RestartPlan ChangePlanGenerator::draw()
{
    plan_.seed = seed_;
    plan_.nodeCount = std::uniform_int_distribution(minimumNodes, maximumNodes)(random_);
    plan_.dataCentreCount
            = std::uniform_int_distribution(minimumDataCentres, maximumDataCentres)(random_);
    milliseconds at = drawTime(earliestDisturbance, latestDisturbance);
    const std::size_t disturbances = random_() % 5 == 0 ? 0 : 1 + random_() % 2;
    for (std::size_t i = 0; i < disturbances; ++i) {
        addDisturbance(at);
        addChanges(at);
        at += random_() % 3 == 0 ? drawTime(milliseconds(0), milliseconds(20))
                                 : drawTime(milliseconds(100), milliseconds(3000));
    }
    if (disturbances == 0)
        addChanges(at);
    std::stable_sort(plan_.faults.begin(), plan_.faults.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const RestartFault &fault : plan_.faults) {
        const milliseconds lasting = std::min(fault.duration, milliseconds(6000));
        plan_.length = std::max(plan_.length, fault.at + lasting + recoveryTime);
    }
    return plan_;
}

void ChangePlanGenerator::addDisturbance(milliseconds at)
{
    const milliseconds lasting = drawTime(milliseconds(500), milliseconds(6000));
    const RestartFaultKind kind = kinds[random_() % std::size(kinds)];
    switch (kind) {
    case RestartFaultKind::LateWatch:
        add(kind, at, drawTime(milliseconds(300), milliseconds(1500)), drawNodes(1));
        break;
    case RestartFaultKind::DataCentresApart:
        add(kind, at, lasting, drawTwoDataCentres());
        break;
    case RestartFaultKind::SilentLinks:
    case RestartFaultKind::SilentLinksOneWay:
        add(kind, at, random_() % 2 == 0 ? lasting : never, drawNodes(1 + random_() % 3));
        break;
    case RestartFaultKind::SilentConnectionsOfFollowers:
        add(kind, at, {}, {});
        break;
    case RestartFaultKind::KilledProber:
    case RestartFaultKind::Kill:
        add(kind, at, drawTime(milliseconds(200), milliseconds(3000)),
            kind == RestartFaultKind::Kill ? drawNodes(1 + random_() % 3)
                                           : std::set<std::size_t>{});
        break;
    case RestartFaultKind::Cut:
    case RestartFaultKind::NodesApart:
    case RestartFaultKind::SilentStore:
        add(kind, at, lasting, drawNodes(1 + random_() % 3));
        break;
    default:
        add(kind, at, lasting, {});
        break;
    }
}

void ChangePlanGenerator::addChanges(milliseconds at)
{
    const milliseconds change = at + drawTime(milliseconds(-20), milliseconds(60));
    if (random_() % 2 == 0)
        add(RestartFaultKind::Change, change - drawTime(milliseconds(10), milliseconds(700)), {},
            {});
    add(RestartFaultKind::Change, change, {}, {});
    if (random_() % 2 == 0)
        add(RestartFaultKind::Change, change + drawTime(milliseconds(100), milliseconds(4000)), {},
            {});
}

milliseconds ChangePlanGenerator::drawTime(milliseconds from, milliseconds to)
{
    return milliseconds(std::uniform_int_distribution(from.count(), to.count())(random_));
}

std::set<std::size_t> ChangePlanGenerator::drawNodes(std::size_t count)
{
    std::set<std::size_t> nodes;
    while (nodes.size() < count)
        nodes.insert(random_() % plan_.nodeCount);
    return nodes;
}

std::set<std::size_t> ChangePlanGenerator::drawTwoDataCentres()
{
    const std::size_t first = random_() % plan_.dataCentreCount;
    const std::size_t second = (first + 1) % plan_.dataCentreCount;
    std::set<std::size_t> nodes;
    for (std::size_t node = 0; node < plan_.nodeCount; ++node) {
        const std::size_t dataCentre = node % plan_.dataCentreCount;
        if (dataCentre == first || dataCentre == second)
            nodes.insert(node);
    }
    return nodes;
}

void ChangePlanGenerator::add(RestartFaultKind kind, milliseconds at, milliseconds duration,
                              std::set<std::size_t> nodes)
{
    plan_.faults.push_back(RestartFault{kind, at, duration, std::move(nodes)});
}

} // namespace boragetrack::emulator::restarts
