/** In-memory transport and platform of a scenario. In each step of 1 ms timers run first, then due
    messages are delivered, then the platform is polled if its period has passed. Messages carry the
    generation of the receiving process: a restarted one does not get those of its predecessor. */
#include "tests/scenarios/ScenarioFleet.h"

#include "control/membership/RingNeighbours.h"
#include "control/moves/MoveRecording.h"
#include "control/moves/StandardMovePolicies.h"

#include <algorithm>

namespace boragetrack::tests {

using namespace control;
using control::distribution::ControlPlane;
using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds messageDelay{2};
constexpr milliseconds connectionRefusedDelay{1};
constexpr milliseconds connectionTimeout{1000};
constexpr milliseconds platformPeriod{100};
const core::timing::WallTime firstWallTime = *core::timing::parseWallTime("2026-12-04T10:00:00Z");

} // namespace

/** One node of the scenario: its identity across restarts and its current process, if any. */
class ScenarioFleet::Node : public distribution::PeerTransport, public ControlPlane::Listener
{
public:
    Node(ScenarioFleet &fleet, std::string name, std::string dataCentre, std::uint16_t number)
        : fleet_(fleet)
        , name_(std::move(name))
        , dataCentre_(std::move(dataCentre))
        , number_(number)
    {}

    void start(const std::vector<NetworkAddress> &seeds)
    {
        ++generation_;
        ControlPlane::Dependencies dependencies;
        dependencies.self.id = NodeId(name_);
        dependencies.self.dataCentre = core::identity::DataCentreId(dataCentre_);
        dependencies.self.peerAddress = address();
        dependencies.self.version.generation = generation_;
        dependencies.seeds = seeds;
        dependencies.neighbours = std::make_unique<membership::RingNeighbours>();
        dependencies.movePolicies = std::make_unique<moves::StandardMovePolicies>();
        dependencies.wallClock = [this] { return fleet_.wallTime(); };
        dependencies.randomSeed = number_;
        plane_ = std::make_unique<ControlPlane>(std::move(dependencies), *this, fleet_.timers_,
                                                *this);
        plane_->start();
    }

    void stop()
    {
        plane_.reset();
        knownRevision = 0;
    }

    NetworkAddress address() const { return {"10.0.0.1", number_}; }
    ControlPlane *controlPlane() { return plane_.get(); }
    const std::string &name() const { return name_; }
    const std::string &dataCentre() const { return dataCentre_; }
    std::uint64_t generation() const { return generation_; }

    bool isFrozen = false;
    std::uint64_t knownRevision = 0;

    void sendExchange(const PeerContact &peer, const Exchange &exchange) override
    {
        Node *target = findReachableNode(peer);
        if (target == nullptr)
            return reportFailure(peer);
        sendRequest(*target, [=, this](ControlPlane &other) {
            const Exchange response = other.exchangeReceived(exchange);
            sendResponse(*target, [=](ControlPlane &plane) {
                plane.exchangeResponseReceived(peer, response);
            });
        });
    }

    void pushIntent(const PeerContact &peer, const IntentTransfer &transfer) override
    {
        Node *target = findReachableNode(peer);
        if (target == nullptr)
            return;
        sendRequest(*target, [=, this](ControlPlane &other) {
            const Revision current = other.intentReceived({NodeId(name_), {}}, transfer);
            sendResponse(*target,
                         [=](ControlPlane &plane) { plane.pushResponseReceived(current); });
        });
    }

    void fetchIntent(const PeerContact &peer, Revision have) override
    {
        Node *target = findReachableNode(peer);
        if (target == nullptr)
            return;
        sendRequest(*target, [=, this](ControlPlane &other) {
            const IntentTransfer transfer = other.transferSince(have);
            sendResponse(*target,
                         [=](ControlPlane &plane) { plane.intentReceived(peer, transfer); });
        });
    }

    void fetchMembers(const PeerContact &peer,
                      const membership::MemberTable::BucketHashes &hashes) override
    {
        Node *target = findReachableNode(peer);
        if (target == nullptr)
            return;
        sendRequest(*target, [=, this](ControlPlane &other) {
            const auto records = other.membersDifferingFrom(hashes);
            sendResponse(*target, [=](ControlPlane &plane) { plane.membersReceived(records); });
        });
    }

    void viewChanged() override {}
    void intentInForce() override
    {
        const std::uint64_t revision = plane_->snapshot()->revision().number();
        if (revision < highestServedRevision_)
            ++fleet_.revertCount_;
        highestServedRevision_ = std::max(highestServedRevision_, revision);
        fleet_.report(name_ + " serves revision " + std::to_string(revision));
    }
    void intentRefused() override
    {
        fleet_.report(name_ + " refuses: " + plane_->replica().refusal());
    }
    void memberChanged(const membership::MemberRecord *previous,
                       const membership::MemberRecord &record) override
    {
        if (previous == nullptr || previous->state == record.state)
            return;
        static constexpr const char *names[] = {"alive", "suspect", "dead", "left"};
        fleet_.report(name_ + " takes " + record.id.value() + " for "
                      + names[static_cast<int>(record.state)]);
    }
    void dataCentreSilent(const core::identity::DataCentreId &dataCentre) override
    {
        fleet_.report(name_ + " finds data centre " + dataCentre.value() + " silent");
    }
    void moveStopped(const intent::MoveIntent &move, const std::string &evidence) override
    {
        fleet_.report(name_ + " stops move " + move.id + ": " + evidence);
    }

private:
    Node *findReachableNode(const PeerContact &peer)
    {
        Node *target = fleet_.findRunningNode(peer.address);
        const bool isCut
                = target != nullptr && !fleet_.isReachable(dataCentre_, target->dataCentre_);
        return isCut ? nullptr : target;
    }

    void reportFailure(const PeerContact &peer)
    {
        const bool isStopped = fleet_.findRunningNode(peer.address) == nullptr;
        schedule(isStopped ? connectionRefusedDelay : connectionTimeout,
                 [=](ControlPlane &plane) { plane.exchangeFailed(peer); });
    }

    // Runs an action on this node after a delay, unless by then its process was stopped, restarted
    // or suspended.
    void schedule(milliseconds delay, std::function<void(ControlPlane &)> action)
    {
        const std::uint64_t generation = generation_;
        fleet_.send(delay, [this, generation, action = std::move(action)] {
            if (plane_ && generation_ == generation && !isFrozen)
                action(*plane_);
        });
    }

    void sendRequest(Node &target, std::function<void(ControlPlane &)> action)
    {
        target.schedule(messageDelay, std::move(action));
    }

    void sendResponse(Node &target, std::function<void(ControlPlane &)> action)
    {
        if (fleet_.isReachable(dataCentre_, target.dataCentre_))
            schedule(messageDelay, std::move(action));
    }

    ScenarioFleet &fleet_;
    std::string name_;
    std::string dataCentre_;
    std::uint16_t number_;
    std::uint64_t generation_ = 0;
    // The highest revision served by any process of this node, to count reverts across restarts.
    std::uint64_t highestServedRevision_ = 0;
    std::unique_ptr<ControlPlane> plane_;
};

ScenarioFleet::ScenarioFleet() = default;
ScenarioFleet::~ScenarioFleet() = default;

void ScenarioFleet::addNode(const std::string &name, const std::string &dataCentre)
{
    const auto number = static_cast<std::uint16_t>(nodes_.size() + 1);
    nodes_[name] = std::make_unique<Node>(*this, name, dataCentre, number);
    nodeNames_.push_back(name);
}

void ScenarioFleet::start(const std::string &name)
{
    std::vector<NetworkAddress> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(2, nodeNames_.size()); ++i)
        seeds.push_back(nodes_.at(nodeNames_[i])->address());
    nodes_.at(name)->start(seeds);
}

void ScenarioFleet::kill(const std::string &name)
{
    nodes_.at(name)->stop();
}

void ScenarioFleet::leave(const std::string &name)
{
    nodes_.at(name)->controlPlane()->leave();
    advance(milliseconds(100));
    kill(name);
}

void ScenarioFleet::setFrozen(const std::string &name, bool isFrozen)
{
    nodes_.at(name)->isFrozen = isFrozen;
}

void ScenarioFleet::setCut(const std::string &first, const std::string &second, bool isCut)
{
    for (const auto &pair : {std::pair(first, second), std::pair(second, first)}) {
        if (isCut)
            cuts_.insert(pair);
        else
            cuts_.erase(pair);
    }
}

void ScenarioFleet::storeIntent(std::uint64_t revision, const std::string &envelopeText)
{
    storedEnvelope_ = envelopeText;
    storedRevision_ = revision;
}

void ScenarioFleet::announce(const std::string &node, const std::string &service,
                             const std::string &version, membership::UpstreamState state)
{
    membership::UpstreamRecord record;
    record.service = core::identity::ServiceName(service);
    record.version = core::identity::VersionName(version);
    record.state = state;
    record.slots = 10;
    nodes_.at(node)->controlPlane()->upstreamAnnounced(record);
}

void ScenarioFleet::recordCalls(const std::string &node, const moves::CallEvidence &call, int count)
{
    for (int i = 0; i < count; ++i)
        nodes_.at(node)->controlPlane()->callEnded(call);
}

void ScenarioFleet::advance(milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += milliseconds(1)) {
        timers_.advance(milliseconds(1));
        deliverDue();
        const auto sinceStart = timers_.now().time_since_epoch();
        if (sinceStart % platformPeriod == sinceStart.zero())
            runPlatform();
    }
}

ControlPlane *ScenarioFleet::controlPlane(const std::string &name)
{
    return nodes_.at(name)->controlPlane();
}

std::vector<std::string> ScenarioFleet::nodeNames() const
{
    return nodeNames_;
}

std::vector<std::string> ScenarioFleet::takeReports()
{
    return std::exchange(reports_, {});
}

nlohmann::json ScenarioFleet::storedDocument() const
{
    return intent::IntentEnvelope::fromText(*storedEnvelope_)->document;
}

core::timing::WallTime ScenarioFleet::wallTime() const
{
    return firstWallTime
           + std::chrono::duration_cast<milliseconds>(timers_.now().time_since_epoch());
}

void ScenarioFleet::send(milliseconds delay, std::function<void()> deliver)
{
    messages_.push_back(Message{timers_.now() + delay, std::move(deliver)});
}

void ScenarioFleet::deliverDue()
{
    std::vector<Message> waiting;
    std::vector<Message> due;
    for (Message &message : std::exchange(messages_, {}))
        (message.at <= timers_.now() ? due : waiting).push_back(std::move(message));
    messages_ = std::move(waiting);
    for (const Message &message : due)
        message.deliver();
}

// Delivers each stored revision once to the watchers that can reach the platform, and records the
// outcomes of moves that nodes report.
void ScenarioFleet::runPlatform()
{
    if (isStoreUnavailable_ || !storedEnvelope_)
        return;
    for (const std::string &name : nodeNames_) {
        Node &node = *nodes_.at(name);
        if (node.controlPlane() == nullptr || node.isFrozen
            || cuts_.contains({node.dataCentre(), "platform"}))
            continue;
        if (node.controlPlane()->mustWatchIntentKey() && node.knownRevision != storedRevision_) {
            node.knownRevision = storedRevision_;
            node.controlPlane()->storeValueReceived(*storedEnvelope_);
        }
        recordMoves(node);
    }
}

void ScenarioFleet::recordMoves(Node &node)
{
    for (const auto &record : node.controlPlane()->pendingMoveRecords()) {
        auto envelope = *intent::IntentEnvelope::fromText(*storedEnvelope_);
        if (!moves::recordOutcome(envelope.document, record, wallTime()).ok())
            continue;
        envelope.revision = envelope.revision.next();
        storeIntent(envelope.revision.number(), envelope.toText());
        report(node.name() + " records move " + record.moveId + " as "
               + (record.state == intent::MoveState::Done ? "done" : "taken back") + ": "
               + record.evidence);
    }
}

bool ScenarioFleet::isReachable(const std::string &first, const std::string &second) const
{
    return !cuts_.contains({first, second});
}

ScenarioFleet::Node *ScenarioFleet::findRunningNode(const NetworkAddress &address)
{
    for (const auto &[name, node] : nodes_) {
        if (node->address() == address && node->controlPlane() != nullptr)
            return node.get();
    }
    return nullptr;
}

void ScenarioFleet::report(const std::string &line)
{
    const auto at = std::chrono::duration_cast<milliseconds>(timers_.now().time_since_epoch());
    reports_.push_back("  [" + std::to_string(at.count()) + " ms] " + line);
}

} // namespace boragetrack::tests
