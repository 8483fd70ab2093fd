/** Draws a series of faults, each with a chance to begin together with the one before, and changes
    around each of them. */
#include "emulator/restarts/ConnectionPlanGenerator.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t nodeCount = 10;
constexpr std::size_t dataCentreCount = 3;
// The nodes have found each other and registered by then.
constexpr milliseconds earliestFault{6000};
constexpr milliseconds latestFault{9000};
constexpr milliseconds recoveryTime{5000};
constexpr int maximumFaults = 5;
// The kernel's limit for unacknowledged data, and a time longer than each plan.
constexpr milliseconds linkLimit{3000};
constexpr milliseconds never{60'000};

// With these names the selected followers are those at the ends of two of the rings.
std::string nameOf(std::size_t node)
{
    const char dataCentre = static_cast<char>('a' + node % dataCentreCount);
    return std::string("sidecar-gw-") + dataCentre + "-"
           + std::to_string(node / dataCentreCount + 1);
}

} // namespace

RestartPlan ConnectionPlanGenerator::draw()
{
    plan_.seed = seed_;
    plan_.nodeCount = nodeCount;
    plan_.dataCentreCount = dataCentreCount;
    for (std::size_t node = 0; node < nodeCount; ++node)
        plan_.names.push_back(nameOf(node));
    milliseconds at = drawTime(earliestFault, latestFault);
    const int faults = std::uniform_int_distribution(1, maximumFaults)(random_);
    for (int i = 0; i < faults; ++i) {
        addFault(at);
        addChanges(at);
        const bool isTogether = random_() % 3 == 0;
        at += isTogether ? drawTime(milliseconds(0), milliseconds(20))
                         : drawTime(milliseconds(100), milliseconds(4000));
    }
    std::stable_sort(plan_.faults.begin(), plan_.faults.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const RestartFault &fault : plan_.faults) {
        const milliseconds lasting = std::min(fault.duration, milliseconds(10'000));
        plan_.length = std::max(plan_.length, fault.at + lasting + recoveryTime);
    }
    return plan_;
}

void ConnectionPlanGenerator::addFault(milliseconds at)
{
    const milliseconds lasting = drawTime(milliseconds(500), milliseconds(7000));
    switch (random_() % 8) {
    case 0:
        add(RestartFaultKind::SilentConnections, at, {}, drawSomeNodes());
        break;
    case 1:
        add(RestartFaultKind::SilentConnectionsOfFollowers, at, {}, {});
        break;
    case 2:
        add(RestartFaultKind::LateWatch, at, drawTime(milliseconds(300), milliseconds(1500)),
            drawNodes(1));
        break;
    case 3:
        add(RestartFaultKind::DataCentresApart, at, lasting, drawTwoDataCentres());
        break;
    case 4:
        add(RestartFaultKind::NodesApart, at, lasting, drawNodes(random_() % 2 == 0 ? 1 : 3));
        break;
    case 5:
    case 6:
        add(random_() % 2 == 0 ? RestartFaultKind::SilentLinks
                               : RestartFaultKind::SilentLinksOneWay,
            at, random_() % 2 == 0 ? linkLimit : never, drawSomeNodes());
        break;
    default:
        addStoreFault(at);
        break;
    }
}

void ConnectionPlanGenerator::addStoreFault(milliseconds at)
{
    const milliseconds lasting = drawTime(milliseconds(500), milliseconds(7000));
    switch (random_() % 5) {
    case 0:
        add(RestartFaultKind::RejectedFollowers, at, lasting, {});
        break;
    case 1:
        add(RestartFaultKind::SilentForFollowers, at, lasting, {});
        break;
    case 2:
        add(RestartFaultKind::Kill, at, drawTime(milliseconds(200), milliseconds(900)),
            drawSomeNodes());
        break;
    case 3:
        add(RestartFaultKind::SilentStore, at, lasting, drawSomeNodes());
        break;
    default:
        add(RestartFaultKind::Cut, at, lasting, drawNodes(1));
        break;
    }
}

void ConnectionPlanGenerator::addChanges(milliseconds at)
{
    milliseconds next = at + drawTime(milliseconds(-800), milliseconds(3500));
    const int changes = std::uniform_int_distribution(1, 5)(random_);
    for (int i = 0; i < changes; ++i) {
        add(RestartFaultKind::Change, next, {}, {});
        next += drawTime(milliseconds(100), milliseconds(800));
    }
}

milliseconds ConnectionPlanGenerator::drawTime(milliseconds from, milliseconds to)
{
    return milliseconds(std::uniform_int_distribution(from.count(), to.count())(random_));
}

std::set<std::size_t> ConnectionPlanGenerator::drawNodes(std::size_t count)
{
    std::set<std::size_t> nodes;
    while (nodes.size() < count)
        nodes.insert(random_() % nodeCount);
    return nodes;
}

std::set<std::size_t> ConnectionPlanGenerator::drawSomeNodes()
{
    static constexpr std::size_t counts[] = {1, 1, 3, nodeCount};
    return drawNodes(counts[random_() % std::size(counts)]);
}

std::set<std::size_t> ConnectionPlanGenerator::drawTwoDataCentres()
{
    const std::size_t spared = random_() % dataCentreCount;
    std::set<std::size_t> nodes;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if (node % dataCentreCount != spared)
            nodes.insert(node);
    }
    return nodes;
}

void ConnectionPlanGenerator::add(RestartFaultKind kind, milliseconds at, milliseconds duration,
                                  std::set<std::size_t> nodes)
{
    plan_.faults.push_back(RestartFault{kind, at, duration, std::move(nodes)});
}

} // namespace boragetrack::emulator::restarts
