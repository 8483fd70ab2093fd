/** The nodes start together, then the plan's events take place; the guarantees are checked at short
    intervals. */
#include "emulator/restarts/RestartSimulation.h"

#include "core/events/ScopedEventSink.h"
#include "emulator/restarts/DisturbancesAtChange.h"
#include "emulator/restarts/IntentRecords.h"
#include "emulator/restarts/RestartRules.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using core::timing::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds checkPeriod{50};
// Changes are checked more often, as their delays are reported.
constexpr milliseconds changeCheckPeriod{10};
constexpr milliseconds callPeriod{100};
// The nodes of a fleet start within this time.
constexpr std::int64_t startSpreadMs = 300;

} // namespace

RestartSimulation::RestartSimulation(const RestartPlan &plan, bool isLogged)
    : plan_(plan)
    , log_(clock_, isLogged)
    , random_(plan.seed)
    , network_(clock_, plan.seed + 1)
    , nodes_(plan.nodeCount)
{}

RestartSimulation::~RestartSimulation() = default;

RestartResult RestartSimulation::run()
{
    const core::events::ScopedEventSink sink(log_);
    store_.put(intentKey, std::to_string(++intentCount_));
    std::uniform_int_distribution<std::int64_t> spread(0, startSpreadMs);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].upstream = std::make_unique<AnnouncingUpstream>(
                clock_, i, [this, i]() { return nodes_[i].process; });
        nodes_[i].upstream->start(milliseconds(startSpreadMs + spread(random_)));
        clock_.schedule(milliseconds(spread(random_)), [this, i]() { startNode(i); });
    }
    for (const RestartFault &fault : plan_.faults)
        schedule(fault);
    if (!plan_.faults.empty())
        clock_.schedule(plan_.faults.front().at, [this]() { discardPeakLoads(); });
    recordCallsRegularly();
    checkRegularly();
    checkChangesRegularly();
    clock_.runUntil(clock::EventClock::start + plan_.length);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        endProcess(i);
    for (const Change &change : changes_)
        result_.changeDelays.push_back(
                {change.delay, disturbancesBetween(plan_, change.at, change.at + change.delay)});
    return result_;
}

//==============================================================================
core::identity::NodeId RestartSimulation::idOf(std::size_t index) const
{
    return core::identity::NodeId(plan_.names.empty() ? "n" + std::to_string(index)
                                                      : plan_.names[index]);
}

void RestartSimulation::startNode(std::size_t index)
{
    Node &node = nodes_[index];
    if (node.process || clock_.now() < node.downUntil)
        return;
    ++node.generation;
    node.intentWait = node.verdictWait = milliseconds(0);
    node.isWaitRecorded = node.generation == 1;
    node.process = std::make_shared<NodeProcess>(NodeProcess::Dependencies{
            clock_, store_, network_, log_, result_.violations, index, idOf(index),
            core::identity::DataCentreId("dc" + std::to_string(index % plan_.dataCentreCount)),
            node.generation, random_()});
    log_.setNode(index);
    log_.add("starts");
    network_.attach(index, node.process);
    node.process->start();
}

void RestartSimulation::endProcess(std::size_t index)
{
    Node &node = nodes_[index];
    if (!node.process)
        return;
    result_.storeCalls += node.process->storeCalls();
    result_.intentFetches += node.process->load().intentsSent();
    result_.peakLoad.include(node.process->load().takePeak());
    log_.setNode(index);
    log_.add("ends");
    network_.detach(index);
    node.process.reset();
}

//==============================================================================
void RestartSimulation::discardPeakLoads()
{
    for (const Node &node : nodes_) {
        if (node.process)
            node.process->load().takePeak();
    }
}

void RestartSimulation::recordCallsRegularly()
{
    for (const Node &node : nodes_) {
        if (node.process)
            node.process->recordCalls();
    }
    clock_.schedule(callPeriod, [this]() { recordCallsRegularly(); });
}

void RestartSimulation::checkRegularly()
{
    for (Node &node : nodes_) {
        if (!node.process)
            continue;
        checkIntent(node);
        checkDeparture(node);
        checkVerdict(node);
    }
    clock_.schedule(checkPeriod, [this]() { checkRegularly(); });
}

void RestartSimulation::checkChangesRegularly()
{
    recordDisturbances();
    for (Node &node : nodes_) {
        if (node.process)
            checkChanges(node);
    }
    clock_.schedule(changeCheckPeriod, [this]() { checkChangesRegularly(); });
}

template <typename Condition>
bool RestartSimulation::reachesProcess(const Node &node, Condition condition) const
{
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const Node &other) {
        return other.process && other.process != node.process
               && network_.isConnected(node.process->node(), other.process->node())
               && condition(*other.process);
    });
}

void RestartSimulation::checkIntent(Node &node)
{
    NodeProcess &process = *node.process;
    if (process.hasIntent()) {
        if (!std::exchange(node.isWaitRecorded, true))
            result_.intentWaits.push_back(node.intentWait);
        return;
    }
    if (reachesProcess(node, [](const NodeProcess &other) { return other.hasIntent(); }))
        node.intentWait += checkPeriod;
    if (!process.contact())
        return;
    const auto source = process.contact()->source.lock();
    if (!source || !network_.isConnected(process.node(), source->node()))
        process.forgetContact();
    else if (clock_.now() - process.contact()->at > intentLimit)
        process.reportViolation(intentRule, "no intent since the contact with node "
                                                    + std::to_string(source->node()) + " ("
                                                    + process.describeIntent() + "; there "
                                                    + source->describeIntent() + ")");
}

void RestartSimulation::recordDisturbances()
{
    const bool isServed = std::any_of(nodes_.begin(), nodes_.end(), [&](const Node &node) {
        return node.process && store_.accessOf(node.process->node()) == StoreAccess::Served;
    });
    if (!isServed)
        storeDisturbedAt_ = clock_.now();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const bool isReached = network_.isConnectedToAll(i, nodes_.size());
        if (!isReached || store_.accessOf(i) == StoreAccess::Lossy || !hasPathToStore(nodes_[i]))
            nodes_[i].disturbedAt = clock_.now();
    }
}

// A silent link is no cut: a new one to the same node would work.
bool RestartSimulation::hasPathToStore(const Node &node) const
{
    const auto isServed = [this](const NodeProcess &process) {
        return store_.accessOf(process.node()) == StoreAccess::Served;
    };
    return !node.process || isServed(*node.process) || reachesProcess(node, isServed);
}

bool RestartSimulation::isInTouch(const Node &node) const
{
    const auto isRecent = [&](const std::optional<MonotonicTime> &time) {
        return time && clock_.now() - *time <= stableWindow;
    };
    return !isRecent(node.process->startedAt()) && !isRecent(node.disturbedAt)
           && !isRecent(storeDisturbedAt_);
}

void RestartSimulation::checkChanges(Node &node)
{
    if (!isInTouch(node))
        return;
    for (Change &change : changes_) {
        if (!node.process->hasIntent() || node.process->revisionInForce() >= change.revision)
            continue;
        const auto delay
                = std::chrono::duration_cast<milliseconds>(clock_.now() - clock::EventClock::start)
                  - change.at;
        change.delay = std::max(change.delay, delay);
        result_.longestChangeDelay = std::max(result_.longestChangeDelay, delay);
        if (delay > changeLimit)
            node.process->reportViolation(
                    changeRule, "lacks revision " + std::to_string(change.revision.number()) + " ("
                                        + node.process->describeIntent() + ")");
    }
}

void RestartSimulation::checkDeparture(Node &node)
{
    const auto &acknowledgedAt = node.upstream->acknowledgedAt();
    const bool isBound = acknowledgedAt && clock_.now() - *acknowledgedAt > departureLimit;
    if (isBound && node.process->servingInstance() == node.upstream->instance())
        node.process->reportViolation(departureRule,
                                      "uses " + node.upstream->instance() + " again");
}

void RestartSimulation::checkVerdict(Node &node)
{
    NodeProcess &process = *node.process;
    const bool isUsed = process.hasIntent() && process.mayServeNewVersion();
    const bool isKnown = isUsed && reachesProcess(node, [](const NodeProcess &other) {
                             return other.knowsVerdict();
                         });
    node.verdictWait = isKnown ? node.verdictWait + checkPeriod : milliseconds(0);
    if (node.verdictWait > verdictLimit)
        process.reportViolation(verdictRule, "uses the new version");
}

} // namespace boragetrack::emulator::restarts
