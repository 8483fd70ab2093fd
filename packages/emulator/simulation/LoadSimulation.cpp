/** Generates requests as Poisson processes, applies the plan's faults and updates the routing
    snapshots after changes of membership. */
#include "emulator/simulation/LoadSimulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace boragetrack::emulator::simulation {

using core::identity::DataCentreId;
using core::identity::NodeId;
using core::identity::RouteName;
using core::identity::ServiceName;
using core::identity::VersionName;
using model::NodeModel;
using plan::FaultKind;
using plan::FaultPlan;
using traffic::routing::RoutingSnapshot;

namespace {

// Time until nodes detect that an upstream stopped or started: one heartbeat and one exchange.
constexpr std::chrono::milliseconds membershipUpdateDelay{500};

const VersionName &singleVersion()
{
    static const VersionName version("v1");
    return version;
}

control::intent::IntentDocument makeDocument(const plan::LoadPlan &plan)
{
    control::intent::IntentDocument document;
    for (const auto &service : plan.services) {
        document.services.push_back({ServiceName(service.name), singleVersion()});
        document.services.back().coldRate = service.coldRate;
    }
    for (const auto &kind : plan.kinds) {
        control::intent::Route route;
        route.name = RouteName(kind.name);
        route.pathPrefix = "/" + kind.name;
        route.service = ServiceName(kind.service);
        route.isIdempotent = kind.isIdempotent;
        route.priority = kind.priority;
        route.latencyObjective = kind.objective;
        document.routes.push_back(route);
    }
    return document;
}

} // namespace

LoadSimulation::LoadSimulation(const plan::LoadPlan &plan, const policies::PolicySet &policies,
                               std::uint64_t seed)
    : plan_(plan)
    , policies_(policies)
    , random_(seed)
{
    makeNodes();
    makeSnapshots();
    for (const auto &each : plan_.dataCentres) {
        const std::string &name = each.name;
        callers_.push_back(std::make_unique<model::CallerModel>(model::CallerModel::Dependencies{
                clock_, results_,
                [this, name]() -> model::CallHandler & { return randomNodeIn(name); }, name}));
    }
}

LoadSimulation::~LoadSimulation() = default;

const results::LoadResults &LoadSimulation::run()
{
    for (std::size_t i = 0; i < plan_.dataCentres.size(); ++i)
        scheduleArrival(i);
    for (const FaultPlan &fault : plan_.faults)
        scheduleFault(fault);
    // Requests that arrive at the end of the plan still run until their deadlines.
    std::chrono::milliseconds longestDeadline{0};
    for (const auto &kind : plan_.kinds)
        longestDeadline = std::max(longestDeadline, kind.deadline);
    clock_.runUntil(clock::EventClock::start + plan_.duration + longestDeadline + longestDeadline);
    return results_;
}

//==============================================================================
std::shared_ptr<const RoutingSnapshot>
LoadSimulation::snapshotFor(const std::string &dataCentre) const
{
    return snapshots_.at(dataCentre);
}

NodeModel &LoadSimulation::node(const NodeId &id)
{
    return *nodes_.at(std::stoul(id.value()));
}

void LoadSimulation::makeNodes()
{
    for (const auto &service : plan_.services) {
        for (int i = 0; i < service.upstreams; ++i) {
            const auto &dataCentre = plan_.dataCentres[nodes_.size() % plan_.dataCentres.size()];
            const double speed
                    = service.speeds[static_cast<std::size_t>(i) % service.speeds.size()];
            nodes_.push_back(std::make_unique<NodeModel>(
                    NodeModel::Dependencies{clock_, plan_, service, policies_, random_, *this,
                                            results_},
                    dataCentre.name, speed));
        }
    }
}

void LoadSimulation::makeSnapshots()
{
    for (const auto &dataCentre : plan_.dataCentres)
        snapshots_[dataCentre.name] = makeSnapshot(dataCentre.name);
}

std::shared_ptr<const RoutingSnapshot>
LoadSimulation::makeSnapshot(const std::string &dataCentre) const
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->intent = std::make_shared<control::intent::IntentSnapshot>(
            core::identity::Revision(1), makeDocument(plan_), DataCentreId(dataCentre),
            core::timing::WallTime{});
    snapshot->dataCentre = DataCentreId(dataCentre);
    snapshot->isServing = true;
    for (const auto &entry : snapshot->intent->routes())
        snapshot->targets.push_back({entry, {singleVersion(), {}, 0.0}});
    auto members = std::make_shared<traffic::routing::RoutableMembers>();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        NodeModel &node = *nodes_[i];
        const NodeId id(std::to_string(i));
        const DataCentreId nodeDataCentre(node.dataCentre());
        members->registrars.push_back({id, id, {}, nodeDataCentre});
        if (node.upstream().isRunning())
            members->endpoints[ServiceName(node.service().name)].push_back(
                    {id, {}, nodeDataCentre, singleVersion(), node.service().slots, 1.0, false});
    }
    snapshot->members = std::move(members);
    return snapshot;
}

model::CallHandler &LoadSimulation::randomNodeIn(const std::string &dataCentre)
{
    std::vector<NodeModel *> found;
    for (const auto &node : nodes_) {
        if (node->dataCentre() == dataCentre)
            found.push_back(node.get());
    }
    return *found[std::uniform_int_distribution<std::size_t>(0, found.size() - 1)(random_)];
}

//==============================================================================
void LoadSimulation::scheduleArrival(std::size_t dataCentre)
{
    const double rate = currentRate(plan_.dataCentres[dataCentre]);
    const std::chrono::duration<double> delay(std::exponential_distribution<>(rate)(random_));
    clock_.schedule(std::chrono::duration_cast<std::chrono::nanoseconds>(delay),
                    [this, dataCentre]() {
                        if (clock_.now() >= clock::EventClock::start + plan_.duration)
                            return;
                        generateRequest(dataCentre);
                        scheduleArrival(dataCentre);
                    });
}

void LoadSimulation::generateRequest(std::size_t dataCentre)
{
    const auto &kind = drawKind(plan_.dataCentres[dataCentre]);
    std::size_t target = dataCentre;
    int retries = kind.callerRetries;
    bool retriesImmediately = false;
    for (const FaultPlan *fault : activeCallerFaults_) {
        if (!std::bernoulli_distribution(fault->share)(random_))
            continue;
        if (fault->kind == FaultKind::Shift) {
            const auto found
                    = std::find_if(plan_.dataCentres.begin(), plan_.dataCentres.end(),
                                   [&](const auto &each) { return each.name == fault->target; });
            target = static_cast<std::size_t>(found - plan_.dataCentres.begin());
        }
        if (fault->kind == FaultKind::RetryStorm) {
            retries = static_cast<int>(fault->factor);
            retriesImmediately = true;
        }
    }
    callers_[target]->request(kind, drawOrganisation(), retries, retriesImmediately);
}

double LoadSimulation::currentRate(const plan::DataCentrePlan &dataCentre) const
{
    const std::chrono::duration<double> elapsed = clock_.now() - clock::EventClock::start;
    const double phase = 2.0 * std::numbers::pi * (elapsed / dataCentre.ratePeriod);
    double rate = dataCentre.rate * (1.0 + dataCentre.rateAmplitude * std::sin(phase));
    for (const FaultPlan *fault : activeCallerFaults_) {
        if (fault->kind == FaultKind::Burst)
            rate *= fault->factor;
    }
    return rate;
}

const plan::KindPlan &LoadSimulation::drawKind(const plan::DataCentrePlan &dataCentre)
{
    double total = 0.0;
    for (const auto &[kind, weight] : dataCentre.mix)
        total += weight;
    double point = std::uniform_real_distribution<>(0.0, total)(random_);
    for (const auto &[kind, weight] : dataCentre.mix) {
        point -= weight;
        if (point < 0.0)
            return *plan_.findKind(kind);
    }
    return *plan_.findKind(dataCentre.mix.rbegin()->first);
}

core::identity::OrganisationName LoadSimulation::drawOrganisation()
{
    if (plan_.organisations.empty())
        return {};
    std::vector<double> weights;
    for (const auto &organisation : plan_.organisations)
        weights.push_back(organisation.weight);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return core::identity::OrganisationName(plan_.organisations[draw(random_)].name);
}

//==============================================================================
void LoadSimulation::scheduleFault(const FaultPlan &fault)
{
    clock_.schedule(fault.startOffset, [this, &fault]() {
        beginFault(fault);
        clock_.schedule(fault.duration, [this, &fault]() { endFault(fault); });
    });
}

void LoadSimulation::beginFault(const FaultPlan &fault)
{
    for (NodeModel *node : affectedNodes(fault)) {
        if (fault.kind == FaultKind::Slow)
            node->upstream().setSlowdownFactor(fault.factor);
        if (fault.kind == FaultKind::Shed)
            node->upstream().setShedShare(fault.requestShare);
        if (fault.kind == FaultKind::Crash)
            node->upstream().crash();
    }
    if (fault.target.empty() || fault.kind == FaultKind::Shift)
        activeCallerFaults_.push_back(&fault);
    clock_.schedule(membershipUpdateDelay, [this]() { makeSnapshots(); });
}

void LoadSimulation::endFault(const FaultPlan &fault)
{
    for (NodeModel *node : affectedNodes(fault)) {
        node->upstream().setSlowdownFactor(1.0);
        node->upstream().setShedShare(0.0);
        if (fault.kind == FaultKind::Crash) {
            node->upstream().start();
            node->inboundProxy().handleUpstreamStart();
        }
    }
    std::erase(activeCallerFaults_, &fault);
    clock_.schedule(membershipUpdateDelay, [this]() { makeSnapshots(); });
}

// Returns the first nodes of the fault's service, as many as the fault's share of them, rounded up.
std::vector<NodeModel *> LoadSimulation::affectedNodes(const FaultPlan &fault)
{
    std::vector<NodeModel *> found;
    for (const auto &node : nodes_) {
        if (node->service().name == fault.target)
            found.push_back(node.get());
    }
    const double count = std::ceil(static_cast<double>(found.size()) * fault.share);
    found.resize(std::min(found.size(), static_cast<std::size_t>(count)));
    return found;
}

} // namespace boragetrack::emulator::simulation
