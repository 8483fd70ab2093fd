/** The events of a plan that a simulation plays. */
#include "emulator/restarts/DataCentreCut.h"
#include "emulator/restarts/IntentRecords.h"
#include "emulator/restarts/NodeCut.h"
#include "emulator/restarts/RestartSimulation.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

namespace {

// From the start of a process until it decides anything.
constexpr std::int64_t minimumStartTimeMs = 30;
constexpr std::int64_t maximumStartTimeMs = 150;
// How long a process in a planned stop goes on after its notice to peers.
constexpr milliseconds stopTime{1000};

} // namespace

void RestartSimulation::schedule(const RestartFault &fault)
{
    clock_.schedule(fault.at, [this, &fault]() { begin(fault); });
}

void RestartSimulation::begin(const RestartFault &fault)
{
    switch (fault.kind) {
    case RestartFaultKind::Kill:
        for (const std::size_t node : fault.nodes)
            kill(node, fault.duration);
        break;
    case RestartFaultKind::Stop:
        for (const std::size_t node : fault.nodes)
            stop(node, fault.duration);
        break;
    case RestartFaultKind::SilentStore:
        setStoreAccess(fault.nodes, fault.duration, StoreAccess::Silent);
        break;
    case RestartFaultKind::BusyStore:
        setStoreAccess(fault.nodes, fault.duration, StoreAccess::Busy);
        break;
    case RestartFaultKind::LossyStore:
        setStoreAccess(fault.nodes, fault.duration, StoreAccess::Lossy);
        break;
    case RestartFaultKind::SilentForFollowers:
        setStoreAccess(selectedFollowers(), fault.duration, StoreAccess::Silent);
        break;
    case RestartFaultKind::RejectedFollowers:
        setStoreAccess(selectedFollowers(), fault.duration, StoreAccess::Rejected);
        break;
    case RestartFaultKind::EarlyForFollowers:
        setStoreAccess(selectedFollowers(), fault.duration, StoreAccess::Early);
        break;
    case RestartFaultKind::RefusedWithLostWatches:
        setStoreAccess(endWatches(selectedFollowers()), fault.duration, StoreAccess::Rejected);
        break;
    case RestartFaultKind::SilentWithLostWatches:
        setStoreAccess(endWatches(selectedFollowers()), fault.duration, StoreAccess::Silent);
        break;
    case RestartFaultKind::RefusedWithKeptWatches:
        setStoreAccess(selectedFollowers(), fault.duration, StoreAccess::Refused);
        break;
    case RestartFaultKind::KilledProber:
        for (const std::size_t node : prober())
            kill(node, fault.duration);
        break;
    case RestartFaultKind::FrozenProber: {
        const std::set<std::size_t> frozen = prober();
        network_.addCut(std::make_shared<NodeCut>(frozen), fault.duration);
        setStoreAccess(frozen, fault.duration, StoreAccess::Silent);
        break;
    }
    case RestartFaultKind::Cut:
        network_.setCutOff(fault.nodes);
        setStoreAccess(fault.nodes, fault.duration, StoreAccess::Silent);
        clock_.schedule(fault.duration, [this]() { network_.setCutOff({}); });
        break;
    case RestartFaultKind::SilentConnections:
        silenceConnections(fault.nodes);
        break;
    case RestartFaultKind::SilentConnectionsOfFollowers:
        silenceConnections(selectedFollowers());
        break;
    case RestartFaultKind::LateWatch:
        delayWatch(fault);
        break;
    case RestartFaultKind::DataCentresApart:
        network_.addCut(std::make_shared<DataCentreCut>(fault.nodes, plan_.dataCentreCount),
                        fault.duration);
        break;
    case RestartFaultKind::NodesApart:
        network_.addCut(std::make_shared<NodeCut>(fault.nodes), fault.duration);
        break;
    case RestartFaultKind::SilentLinks:
    case RestartFaultKind::SilentLinksOneWay:
        recordDisturbance(network_.silenceLinks(
                fault.nodes, fault.kind == RestartFaultKind::SilentLinksOneWay, fault.duration));
        break;
    case RestartFaultKind::Change:
        changes_.push_back({store_.put(intentKey, std::to_string(++intentCount_)), fault.at});
        break;
    case RestartFaultKind::BadMove: {
        const auto now = std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch());
        store_.put(moveKey, std::to_string(now.count()));
        break;
    }
    case RestartFaultKind::Departure:
        for (const std::size_t node : fault.nodes)
            nodes_[node].upstream->depart(fault.duration);
        break;
    }
}

void RestartSimulation::setStoreAccess(const std::set<std::size_t> &nodes, milliseconds duration,
                                       StoreAccess access)
{
    for (const std::size_t node : nodes)
        store_.setAccess(node, access);
    clock_.schedule(duration, [this, nodes]() {
        for (const std::size_t node : nodes)
            store_.setAccess(node, StoreAccess::Served);
    });
}

void RestartSimulation::silenceConnections(const std::set<std::size_t> &nodes)
{
    for (const std::size_t node : nodes) {
        if (nodes_[node].process)
            nodes_[node].process->silenceStoreConnections();
    }
    recordDisturbance(nodes);
}

void RestartSimulation::delayWatch(const RestartFault &fault)
{
    const std::set<std::size_t> followers = selectedFollowers();
    if (followers.empty() || fault.nodes.empty())
        return;
    const std::size_t chosen = *fault.nodes.begin() % followers.size();
    store_.setWatchDelay(*std::next(followers.begin(), static_cast<std::ptrdiff_t>(chosen)),
                         fault.duration);
}

void RestartSimulation::recordDisturbance(const std::set<std::size_t> &nodes)
{
    for (const std::size_t node : nodes)
        nodes_[node].disturbedAt = clock_.now();
}

std::set<std::size_t> RestartSimulation::selectedFollowers() const
{
    std::set<std::size_t> followers;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].process && nodes_[i].process->isSelectedFollower())
            followers.insert(i);
    }
    return followers;
}

std::set<std::size_t> RestartSimulation::prober() const
{
    const std::set<std::size_t> followers = selectedFollowers();
    const auto first
            = std::min_element(followers.begin(), followers.end(),
                               [this](std::size_t a, std::size_t b) { return idOf(a) < idOf(b); });
    if (first == followers.end())
        return {};
    return {*first};
}

std::set<std::size_t> RestartSimulation::endWatches(std::set<std::size_t> nodes)
{
    for (const std::size_t node : nodes)
        store_.endWatches(node);
    return nodes;
}

void RestartSimulation::kill(std::size_t index, milliseconds downTime)
{
    endProcess(index);
    std::uniform_int_distribution<std::int64_t> startTime(minimumStartTimeMs, maximumStartTimeMs);
    const milliseconds untilStart = downTime + milliseconds(startTime(random_));
    nodes_[index].downUntil = std::max(nodes_[index].downUntil, clock_.now() + untilStart);
    clock_.schedule(nodes_[index].downUntil - clock_.now(), [this, index]() { startNode(index); });
}

void RestartSimulation::stop(std::size_t index, milliseconds downTime)
{
    const std::shared_ptr<NodeProcess> &process = nodes_[index].process;
    if (!process)
        return;
    process->leave();
    clock_.schedule(stopTime, [this, index, downTime, stopped = std::weak_ptr(process)]() {
        if (!stopped.expired())
            kill(index, downTime);
    });
}

} // namespace boragetrack::emulator::restarts
