/** Does what daemon::service::ControlService does, with simulated time and messages. */
#include "emulator/restarts/NodeProcess.h"

#include "control/membership/RingNeighbours.h"
#include "control/moves/StandardMovePolicies.h"
#include "emulator/restarts/RestartRules.h"
#include "emulator/restarts/SimulatedMoveWriter.h"
#include "emulator/restarts/SimulatedRecordReader.h"

namespace boragetrack::emulator::restarts {

using control::distribution::ControlPlane;
using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using core::identity::NodeId;
using core::identity::Revision;
using core::identity::RouteName;
using core::identity::ServiceName;
using core::identity::VersionName;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds updatePeriod{200};
constexpr milliseconds announcementTimeout{3000};
constexpr int callsInEachInterval = 4;
// In tenths of the calls to the new version.
constexpr int failedTenths = 6;
constexpr milliseconds callLatency{20};

} // namespace

NodeProcess::NodeProcess(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , startedAt_(dependencies_.clock.now())
    , timers_(dependencies_.clock, [this]() { dependencies_.log.setNode(dependencies_.node); })
    , store_(dependencies_.store, dependencies_.clock, dependencies_.node, dependencies_.seed,
             [this]() { dependencies_.log.setNode(dependencies_.node); })
    , source_({store_, timers_, []() { return std::make_unique<SimulatedRecordReader>(); },
               std::make_unique<SimulatedMoveWriter>(), id(),
               SimulatedNetwork::addressOf(dependencies_.node), dependencies_.seed + 1})
    , announcements_(timers_, wallTime(), announcementTimeout)
{}

NodeProcess::~NodeProcess()
{
    timer_.reset();
    source_.detach();
}

void NodeProcess::start()
{
    run([this]() {
        ControlPlane::Dependencies plane;
        plane.self.id = id();
        plane.self.dataCentre = dependencies_.dataCentre;
        plane.self.peerAddress = SimulatedNetwork::addressOf(dependencies_.node);
        plane.self.version.generation = dependencies_.generation;
        plane.neighbours = std::make_unique<control::membership::RingNeighbours>();
        plane.movePolicies = std::make_unique<control::moves::StandardMovePolicies>();
        plane.wallClock = [this]() { return wallTime(); };
        plane.randomSeed = dependencies_.seed + 2;
        plane.replica = source_.makeReplica();
        control::distribution::PeerTransport &transport = *this;
        ControlPlane::Listener &planeListener = *this;
        plane_ = std::make_unique<ControlPlane>(std::move(plane), transport, timers_,
                                                planeListener);
        core::timing::TimerService::Listener &listener = *this;
        timer_.emplace(timers_, listener, updatePeriod);
        announcements_.start(*plane_, source_.departureKeeper(),
                             [this](const auto &upstream) { upstream_ = upstream; });
        plane_->start();
        source_.attach(*plane_);
    });
}

void NodeProcess::leave()
{
    run([this]() { plane_->leave(); });
}

void NodeProcess::disconnect(const core::identity::NetworkAddress &address)
{
    run([&]() { plane_->peerDisconnected(address); });
}

void NodeProcess::run(const std::function<void()> &task)
{
    dependencies_.log.setNode(dependencies_.node);
    task();
    announcements_.update();
}

void NodeProcess::announce(const transport::serving::UpstreamAnnouncement &announcement,
                           const daemon::service::AnnouncementProcessor::OutcomeSink &onProcessed)
{
    run([&]() { announcements_.announce(announcement, onProcessed); });
}

void NodeProcess::recordCalls()
{
    if (!hasIntent() || !upstream_ || !plane_->followsMoves())
        return;
    const bool isNew = upstream_->record.version == VersionName(newVersion);
    if (isNew && !mayServeNewVersion())
        return;
    run([&]() {
        for (int i = 0; i < callsInEachInterval; ++i) {
            control::moves::CallEvidence call;
            call.service = upstream_->record.service;
            call.version = upstream_->record.version;
            call.route = RouteName(routeName);
            call.isFailed = isNew && i * 10 < failedTenths * callsInEachInterval;
            call.latency = callLatency;
            plane_->callEnded(call);
        }
    });
}

//==============================================================================
std::string NodeProcess::servingInstance() const
{
    const bool isServing
            = upstream_ && upstream_->record.state == control::membership::UpstreamState::Serving;
    return isServing ? upstream_->instance : std::string();
}

bool NodeProcess::mayServeNewVersion() const
{
    const auto &intent = plane_->snapshot();
    if (intent->service(ServiceName(serviceName)) == nullptr)
        return false;
    const auto &route = intent->document().routes.front();
    return plane_->shareOf(route, route.service).mayServe(VersionName(newVersion));
}

std::string NodeProcess::describeIntent() const
{
    return "in force: " + std::to_string(revisionInForce_.number())
           + ", held: " + std::to_string(plane_->replica().revision().number());
}

void NodeProcess::reportViolation(const std::string &rule, const std::string &detail)
{
    if (!brokenRules_.insert(rule).second)
        return;
    const auto at = std::chrono::duration_cast<milliseconds>(dependencies_.clock.now()
                                                             - clock::EventClock::start);
    dependencies_.violations.push_back(
            Violation{at, rule, "node " + std::to_string(node()) + ": " + detail});
    dependencies_.log.setNode(node());
    dependencies_.log.add("VIOLATION " + rule + ": " + detail);
}

//==============================================================================
void NodeProcess::sendExchange(const PeerContact &peer, const Exchange &exchange)
{
    const auto sender = weak_from_this();
    dependencies_.network.call<Exchange>(
            *this, peer.address,
            [exchange, sender](NodeProcess &receiver) {
                receiver.load_.count(receiver.timers_.now(), false);
                receiver.recordContact(sender);
                receiver.logExchange(exchange);
                return receiver.plane_->exchangeReceived(exchange);
            },
            [peer, network = &dependencies_.network](NodeProcess &process,
                                                     const Exchange &response) {
                process.recordContact(network->processAt(peer.address));
                process.logExchange(response);
                process.plane_->exchangeResponseReceived(peer, response);
            },
            [peer](NodeProcess &process) { process.plane_->exchangeFailed(peer); });
}

void NodeProcess::pushIntent(const PeerContact &peer, const IntentTransfer &transfer)
{
    dependencies_.network.call<Revision>(
            *this, peer.address,
            [transfer, id = id()](NodeProcess &receiver) {
                return receiver.plane_->intentReceived({id, {}}, transfer);
            },
            [](NodeProcess &process, const Revision &revision) {
                process.plane_->pushResponseReceived(revision);
            },
            [](NodeProcess & /*process*/) {});
}

void NodeProcess::fetchIntent(const PeerContact &peer, Revision have)
{
    dependencies_.log.add("fetches the intent from " + peer.address.toString());
    dependencies_.network.call<IntentTransfer>(
            *this, peer.address,
            [have](NodeProcess &receiver) {
                receiver.load_.count(receiver.timers_.now(), true);
                return receiver.plane_->transferSince(have);
            },
            [peer](NodeProcess &process, const IntentTransfer &transfer) {
                process.plane_->intentReceived(peer, transfer);
            },
            [](NodeProcess & /*process*/) {});
}

void NodeProcess::fetchMembers(const PeerContact &peer, const MemberTable::BucketHashes &hashes)
{
    using Records = std::vector<MemberRecord>;
    dependencies_.network.call<Records>(
            *this, peer.address,
            [hashes](NodeProcess &receiver) {
                receiver.load_.count(receiver.timers_.now(), false);
                return receiver.plane_->membersDifferingFrom(hashes);
            },
            [](NodeProcess &process, const Records &records) {
                process.plane_->membersReceived(records);
            },
            [](NodeProcess & /*process*/) {});
}

//==============================================================================
void NodeProcess::intentInForce()
{
    const Revision revision = plane_->snapshot()->revision();
    if (revision < revisionInForce_)
        reportViolation(noRevertRule, std::to_string(revision.number()) + " after "
                                              + std::to_string(revisionInForce_.number()));
    revisionInForce_ = std::max(revisionInForce_, revision);
    dependencies_.log.add("has revision " + std::to_string(revision.number()) + " in force");
}

void NodeProcess::memberChanged(const MemberRecord *previous, const MemberRecord &record)
{
    static constexpr const char *names[] = {"alive", "suspect", "dead", "left"};
    if (previous == nullptr || previous->state != record.state)
        dependencies_.log.add("takes " + record.id.value() + " for "
                              + names[static_cast<int>(record.state)]);
}

void NodeProcess::moveStopped(const control::intent::MoveIntent & /*move*/,
                              const std::string &evidence)
{
    knowsVerdict_ = true;
    dependencies_.log.add("stops the move: " + evidence);
}

void NodeProcess::timerElapsed(MonotonicTime /*now*/)
{
    announcements_.update();
    if (plane_->followsMoves()) {
        const auto records = plane_->pendingMoveRecords();
        if (!records.empty())
            source_.recordMove(records.front());
    }
    source_.update();
}

//==============================================================================
NodeId NodeProcess::id() const
{
    return dependencies_.id;
}

core::timing::WallTime NodeProcess::wallTime() const
{
    return core::timing::WallTime(
            std::chrono::duration_cast<milliseconds>(dependencies_.clock.now().time_since_epoch()));
}

void NodeProcess::logExchange(const Exchange &exchange)
{
    if (!dependencies_.log.isKept())
        return;
    dependencies_.log.add(
            "hears from " + exchange.sender.value() + ", which holds revision "
            + std::to_string(exchange.revision.number()) + ", knew revision "
            + std::to_string(exchange.receiverMinimumRevision.number()) + " here, knew process "
            + std::to_string(exchange.receiverKnownSince) + " of "
            + std::to_string(dependencies_.generation)
            + (exchange.receiverDeparture ? " and a departure" : " and no departure"));
}

void NodeProcess::recordContact(const std::weak_ptr<NodeProcess> &other)
{
    const auto process = other.lock();
    const bool isNeeded = !hasIntent() && (!contact_ || contact_->source.expired());
    if (isNeeded && process && process->hasIntent())
        contact_ = Contact{other, dependencies_.clock.now()};
}

} // namespace boragetrack::emulator::restarts
