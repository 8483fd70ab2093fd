/** Implements EmulatedDay. */
#include "emulator/day/EmulatedDay.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace boragetrack::emulator::day {

using core::identity::DataCentreId;
using core::identity::NodeId;
using core::identity::RouteName;
using core::identity::ServiceName;
using core::identity::VersionName;
using model::NodeModel;
using plan::TroubleKind;
using plan::TroublePlan;
using traffic::routing::RoutingSnapshot;

namespace {

// How long nodes take to see that an upstream is gone or back: a beat and an exchange.
constexpr std::chrono::milliseconds membershipDelay{500};

const VersionName &onlyVersion()
{
    static const VersionName version("v1");
    return version;
}

control::intent::IntentDocument documentOf(const plan::LoadPlan &plan)
{
    control::intent::IntentDocument document;
    for (const auto &service : plan.services) {
        document.services.push_back({ServiceName(service.name), onlyVersion()});
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

EmulatedDay::EmulatedDay(const plan::LoadPlan &plan, const policies::PolicySet &policies,
                         std::uint64_t seed)
    : plan_(plan)
    , policies_(policies)
    , random_(seed)
{
    makeNodes();
    makeSnapshots();
    for (const auto &each : plan_.dataCentres) {
        const std::string &name = each.name;
        callers_.push_back(std::make_unique<model::CallerModel>(model::CallerModel::Parts{
                clock_, account_, [this, name]() -> model::CallSink & { return anyNodeOf(name); },
                name}));
    }
}

EmulatedDay::~EmulatedDay() = default;

const account::CreditAccount &EmulatedDay::play()
{
    for (std::size_t i = 0; i < plan_.dataCentres.size(); ++i)
        arriveLater(i);
    for (const TroublePlan &trouble : plan_.troubles)
        plan(trouble);
    // The last requests need their time to end.
    std::chrono::milliseconds longest{0};
    for (const auto &kind : plan_.kinds)
        longest = std::max(longest, kind.deadline);
    clock_.runUntil(clock::EventClock::start + plan_.length + longest + longest);
    return account_;
}

//==============================================================================
std::shared_ptr<const RoutingSnapshot> EmulatedDay::snapshotFor(const std::string &dataCentre) const
{
    return snapshots_.at(dataCentre);
}

NodeModel &EmulatedDay::node(const NodeId &id)
{
    return *nodes_.at(std::stoul(id.value()));
}

void EmulatedDay::makeNodes()
{
    for (const auto &service : plan_.services) {
        for (int i = 0; i < service.upstreams; ++i) {
            const auto &dataCentre = plan_.dataCentres[nodes_.size() % plan_.dataCentres.size()];
            const double speed
                    = service.speeds[static_cast<std::size_t>(i) % service.speeds.size()];
            nodes_.push_back(std::make_unique<NodeModel>(
                    NodeModel::Parts{clock_, plan_, service, policies_, random_, *this, account_},
                    dataCentre.name, speed));
        }
    }
}

void EmulatedDay::makeSnapshots()
{
    for (const auto &dataCentre : plan_.dataCentres)
        snapshots_[dataCentre.name] = makeSnapshot(dataCentre.name);
}

std::shared_ptr<const RoutingSnapshot>
EmulatedDay::makeSnapshot(const std::string &dataCentre) const
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->intent = std::make_shared<control::intent::IntentSnapshot>(
            core::identity::Revision(1), documentOf(plan_), DataCentreId(dataCentre),
            core::timing::WallTime{});
    snapshot->dataCentre = DataCentreId(dataCentre);
    snapshot->isServing = true;
    for (const auto &entry : snapshot->intent->routes())
        snapshot->targets.push_back({entry, {onlyVersion(), {}, 0.0}});
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        NodeModel &node = *nodes_[i];
        const NodeId id(std::to_string(i));
        const DataCentreId where(node.dataCentre());
        snapshot->registrars.push_back({id, id, {}, where});
        if (node.upstream().isRunning())
            snapshot->endpoints[ServiceName(node.service().name)].push_back(
                    {id, {}, where, onlyVersion(), node.service().slots, 1.0, false});
    }
    return snapshot;
}

model::CallSink &EmulatedDay::anyNodeOf(const std::string &dataCentre)
{
    std::vector<NodeModel *> found;
    for (const auto &node : nodes_) {
        if (node->dataCentre() == dataCentre)
            found.push_back(node.get());
    }
    return *found[std::uniform_int_distribution<std::size_t>(0, found.size() - 1)(random_)];
}

//==============================================================================
void EmulatedDay::arriveLater(std::size_t dataCentre)
{
    const double rate = rateOf(plan_.dataCentres[dataCentre]);
    const std::chrono::duration<double> pause(std::exponential_distribution<>(rate)(random_));
    clock_.after(std::chrono::duration_cast<std::chrono::nanoseconds>(pause), [this, dataCentre]() {
        if (clock_.now() >= clock::EventClock::start + plan_.length)
            return;
        arrive(dataCentre);
        arriveLater(dataCentre);
    });
}

void EmulatedDay::arrive(std::size_t dataCentre)
{
    const auto &kind = drawKind(plan_.dataCentres[dataCentre]);
    std::size_t where = dataCentre;
    int repeats = kind.callerRepeats;
    bool isImpatient = false;
    for (const TroublePlan *trouble : ofCallers_) {
        if (!std::bernoulli_distribution(trouble->share)(random_))
            continue;
        if (trouble->kind == TroubleKind::Shift) {
            const auto found
                    = std::find_if(plan_.dataCentres.begin(), plan_.dataCentres.end(),
                                   [&](const auto &each) { return each.name == trouble->where; });
            where = static_cast<std::size_t>(found - plan_.dataCentres.begin());
        }
        if (trouble->kind == TroubleKind::Repeaters) {
            repeats = static_cast<int>(trouble->factor);
            isImpatient = true;
        }
    }
    callers_[where]->request(kind, repeats, isImpatient);
}

double EmulatedDay::rateOf(const plan::DataCentrePlan &dataCentre) const
{
    const std::chrono::duration<double> passed = clock_.now() - clock::EventClock::start;
    const double phase = 2.0 * std::numbers::pi * (passed / dataCentre.swingLength);
    double rate = dataCentre.rate * (1.0 + dataCentre.swing * std::sin(phase));
    for (const TroublePlan *trouble : ofCallers_) {
        if (trouble->kind == TroubleKind::Burst)
            rate *= trouble->factor;
    }
    return rate;
}

const plan::KindPlan &EmulatedDay::drawKind(const plan::DataCentrePlan &dataCentre)
{
    double total = 0.0;
    for (const auto &[kind, part] : dataCentre.mix)
        total += part;
    double point = std::uniform_real_distribution<>(0.0, total)(random_);
    for (const auto &[kind, part] : dataCentre.mix) {
        point -= part;
        if (point < 0.0)
            return *plan_.kind(kind);
    }
    return *plan_.kind(dataCentre.mix.rbegin()->first);
}

//==============================================================================
void EmulatedDay::plan(const TroublePlan &trouble)
{
    clock_.after(trouble.at, [this, &trouble]() {
        begin(trouble);
        clock_.after(trouble.length, [this, &trouble]() { end(trouble); });
    });
}

void EmulatedDay::begin(const TroublePlan &trouble)
{
    for (NodeModel *node : concerned(trouble)) {
        if (trouble.kind == TroubleKind::Slow)
            node->upstream().setSlowness(trouble.factor);
        if (trouble.kind == TroubleKind::Shed)
            node->upstream().setShedShare(trouble.requestShare);
        if (trouble.kind == TroubleKind::Crash)
            node->upstream().crash();
    }
    if (trouble.where.empty() || trouble.kind == TroubleKind::Shift)
        ofCallers_.push_back(&trouble);
    clock_.after(membershipDelay, [this]() { makeSnapshots(); });
}

void EmulatedDay::end(const TroublePlan &trouble)
{
    for (NodeModel *node : concerned(trouble)) {
        node->upstream().setSlowness(1.0);
        node->upstream().setShedShare(0.0);
        if (trouble.kind == TroubleKind::Crash) {
            node->upstream().start();
            node->gate().upstreamStarted();
        }
    }
    std::erase(ofCallers_, &trouble);
    clock_.after(membershipDelay, [this]() { makeSnapshots(); });
}

// The first upstreams of the service, as many as the trouble says.
std::vector<NodeModel *> EmulatedDay::concerned(const TroublePlan &trouble)
{
    std::vector<NodeModel *> found;
    for (const auto &node : nodes_) {
        if (node->service().name == trouble.where)
            found.push_back(node.get());
    }
    const double count = std::ceil(static_cast<double>(found.size()) * trouble.share);
    found.resize(std::min(found.size(), static_cast<std::size_t>(count)));
    return found;
}

} // namespace boragetrack::emulator::day
