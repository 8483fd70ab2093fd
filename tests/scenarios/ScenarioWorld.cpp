/** Implements ScenarioWorld. */
#include "tests/scenarios/ScenarioWorld.h"

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
constexpr milliseconds refusalDelay{1};
constexpr milliseconds silenceDelay{1000};
constexpr milliseconds platformPeriod{100};
const core::timing::WallTime firstWallTime = *core::timing::parseWallTime("2026-12-04T10:00:00Z");

} // namespace

/** One node of the scenario, over all its processes. */
class ScenarioWorld::Node : public distribution::PeerTransport, public ControlPlane::Listener
{
public:
    Node(ScenarioWorld &world, std::string name, std::string dataCentre, std::uint16_t number)
        : world_(world)
        , name_(std::move(name))
        , dataCentre_(std::move(dataCentre))
        , number_(number)
    {}

    void start(const std::vector<NetworkAddress> &seeds)
    {
        ++generation_;
        ControlPlane::Dependencies parts;
        parts.self.id = NodeId(name_);
        parts.self.dataCentre = core::identity::DataCentreId(dataCentre_);
        parts.self.peerAddress = address();
        parts.self.version.generation = generation_;
        parts.seeds = seeds;
        parts.neighbours = std::make_unique<membership::RingNeighbours>();
        parts.movePolicies = std::make_unique<moves::StandardMovePolicies>();
        parts.wallClock = [this] { return world_.wallTime(); };
        parts.randomSeed = number_;
        plane_ = std::make_unique<ControlPlane>(std::move(parts), *this, world_.timers_, *this);
        plane_->start();
    }

    void stop()
    {
        plane_.reset();
        knownRevision_ = 0;
    }

    NetworkAddress address() const { return {"10.0.0.1", number_}; }
    ControlPlane *plane() { return plane_.get(); }
    const std::string &name() const { return name_; }
    const std::string &dataCentre() const { return dataCentre_; }
    std::uint64_t generation() const { return generation_; }

    bool isFrozen = false;
    std::uint64_t knownRevision_ = 0;

    void sendExchange(const PeerContact &peer, const Exchange &exchange) override
    {
        Node *target = targetOf(peer);
        if (target == nullptr)
            return fail(peer);
        request(*target, [=, this](ControlPlane &other) {
            const Exchange answer = other.exchangeReceived(exchange);
            reply(*target, [=](ControlPlane &own) { own.exchangeResponseReceived(peer, answer); });
        });
    }

    void pushIntent(const PeerContact &peer, const IntentTransfer &transfer) override
    {
        Node *target = targetOf(peer);
        if (target == nullptr)
            return;
        request(*target, [=, this](ControlPlane &other) {
            const Revision held = other.intentReceived({NodeId(name_), {}}, transfer);
            reply(*target, [=](ControlPlane &own) { own.pushResponseReceived(held); });
        });
    }

    void fetchIntent(const PeerContact &peer, Revision have) override
    {
        Node *target = targetOf(peer);
        if (target == nullptr)
            return;
        request(*target, [=, this](ControlPlane &other) {
            const IntentTransfer transfer = other.transferSince(have);
            reply(*target, [=](ControlPlane &own) { own.intentReceived(peer, transfer); });
        });
    }

    void fetchMembers(const PeerContact &peer,
                      const membership::MemberTable::BucketHashes &hashes) override
    {
        Node *target = targetOf(peer);
        if (target == nullptr)
            return;
        request(*target, [=, this](ControlPlane &other) {
            const auto records = other.membersDifferingFrom(hashes);
            reply(*target, [=](ControlPlane &own) { own.membersReceived(records); });
        });
    }

    void viewChanged() override {}
    void intentInForce() override
    {
        const std::uint64_t revision = plane_->snapshot()->revision().number();
        if (revision < highestServed_)
            ++world_.reverts_;
        highestServed_ = std::max(highestServed_, revision);
        world_.report(name_ + " serves revision " + std::to_string(revision));
    }
    void intentRefused() override
    {
        world_.report(name_ + " refuses: " + plane_->replica().refusal());
    }
    void memberChanged(const membership::MemberRecord *previous,
                       const membership::MemberRecord &record) override
    {
        if (previous == nullptr || previous->state == record.state)
            return;
        static constexpr const char *names[] = {"alive", "suspect", "dead", "left"};
        world_.report(name_ + " takes " + record.id.value() + " for "
                      + names[static_cast<int>(record.state)]);
    }
    void dataCentreSilent(const core::identity::DataCentreId &dataCentre) override
    {
        world_.report(name_ + " finds data centre " + dataCentre.value() + " silent");
    }
    void moveStopped(const intent::MoveIntent &move, const std::string &evidence) override
    {
        world_.report(name_ + " stops move " + move.id + ": " + evidence);
    }

private:
    Node *targetOf(const PeerContact &peer)
    {
        Node *target = world_.running(peer.address);
        const bool isCut
                = target != nullptr && !world_.isReachable(dataCentre_, target->dataCentre_);
        return isCut ? nullptr : target;
    }

    void fail(const PeerContact &peer)
    {
        const bool isGone = world_.running(peer.address) == nullptr;
        later(isGone ? refusalDelay : silenceDelay,
              [=](ControlPlane &own) { own.exchangeFailed(peer); });
    }

    // Runs an action on this node's present process after a delay.
    void later(milliseconds delay, std::function<void(ControlPlane &)> action)
    {
        const std::uint64_t generation = generation_;
        world_.send(delay, [this, generation, action = std::move(action)] {
            if (plane_ && generation_ == generation && !isFrozen)
                action(*plane_);
        });
    }

    void request(Node &target, std::function<void(ControlPlane &)> action)
    {
        target.later(messageDelay, std::move(action));
    }

    void reply(Node &target, std::function<void(ControlPlane &)> action)
    {
        if (world_.isReachable(dataCentre_, target.dataCentre_))
            later(messageDelay, std::move(action));
    }

    ScenarioWorld &world_;
    std::string name_;
    std::string dataCentre_;
    std::uint16_t number_;
    std::uint64_t generation_ = 0;
    // Over all processes of this VM.
    std::uint64_t highestServed_ = 0;
    std::unique_ptr<ControlPlane> plane_;
};

ScenarioWorld::ScenarioWorld() = default;
ScenarioWorld::~ScenarioWorld() = default;

void ScenarioWorld::addNode(const std::string &name, const std::string &dataCentre)
{
    const auto number = static_cast<std::uint16_t>(nodes_.size() + 1);
    nodes_[name] = std::make_unique<Node>(*this, name, dataCentre, number);
    order_.push_back(name);
}

void ScenarioWorld::start(const std::string &name)
{
    std::vector<NetworkAddress> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(2, order_.size()); ++i)
        seeds.push_back(nodes_.at(order_[i])->address());
    nodes_.at(name)->start(seeds);
}

void ScenarioWorld::kill(const std::string &name)
{
    nodes_.at(name)->stop();
}

void ScenarioWorld::leave(const std::string &name)
{
    nodes_.at(name)->plane()->leave();
    advance(milliseconds(100));
    kill(name);
}

void ScenarioWorld::setFrozen(const std::string &name, bool isFrozen)
{
    nodes_.at(name)->isFrozen = isFrozen;
}

void ScenarioWorld::setCut(const std::string &first, const std::string &second, bool isCut)
{
    for (const auto &pair : {std::pair(first, second), std::pair(second, first)}) {
        if (isCut)
            cuts_.insert(pair);
        else
            cuts_.erase(pair);
    }
}

void ScenarioWorld::storeIntent(std::uint64_t revision, const std::string &envelopeText)
{
    stored_ = envelopeText;
    storedRevision_ = revision;
}

void ScenarioWorld::announce(const std::string &node, const std::string &service,
                             const std::string &version, membership::UpstreamState state)
{
    membership::UpstreamRecord record;
    record.service = core::identity::ServiceName(service);
    record.version = core::identity::VersionName(version);
    record.state = state;
    record.slots = 10;
    nodes_.at(node)->plane()->upstreamAnnounced(record);
}

void ScenarioWorld::noteCalls(const std::string &node, const moves::CallEvidence &call, int count)
{
    for (int i = 0; i < count; ++i)
        nodes_.at(node)->plane()->callEnded(call);
}

void ScenarioWorld::advance(milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += milliseconds(1)) {
        timers_.advance(milliseconds(1));
        deliverDue();
        const auto sinceStart = timers_.now().time_since_epoch();
        if (sinceStart % platformPeriod == sinceStart.zero())
            runPlatform();
    }
}

ControlPlane *ScenarioWorld::plane(const std::string &name)
{
    return nodes_.at(name)->plane();
}

std::vector<std::string> ScenarioWorld::nodes() const
{
    return order_;
}

std::vector<std::string> ScenarioWorld::takeReport()
{
    return std::exchange(report_, {});
}

nlohmann::json ScenarioWorld::storedDocument() const
{
    return intent::IntentEnvelope::fromText(*stored_)->document;
}

core::timing::WallTime ScenarioWorld::wallTime() const
{
    return firstWallTime
           + std::chrono::duration_cast<milliseconds>(timers_.now().time_since_epoch());
}

void ScenarioWorld::send(milliseconds delay, std::function<void()> deliver)
{
    messages_.push_back(Message{timers_.now() + delay, std::move(deliver)});
}

void ScenarioWorld::deliverDue()
{
    std::vector<Message> waiting;
    std::vector<Message> due;
    for (Message &message : std::exchange(messages_, {}))
        (message.at <= timers_.now() ? due : waiting).push_back(std::move(message));
    messages_ = std::move(waiting);
    for (const Message &message : due)
        message.deliver();
}

// Watchers that reach the platform get its value when it is another one than they know.
void ScenarioWorld::runPlatform()
{
    if (isStoreOut_ || !stored_)
        return;
    for (const std::string &name : order_) {
        Node &node = *nodes_.at(name);
        if (node.plane() == nullptr || node.isFrozen
            || cuts_.contains({node.dataCentre(), "platform"}))
            continue;
        if (node.plane()->isWatcher() && node.knownRevision_ != storedRevision_) {
            node.knownRevision_ = storedRevision_;
            node.plane()->storeValueReceived(*stored_);
        }
        recordMoves(node);
    }
}

void ScenarioWorld::recordMoves(Node &node)
{
    for (const auto &record : node.plane()->pendingMoveRecords()) {
        auto envelope = *intent::IntentEnvelope::fromText(*stored_);
        if (!moves::recordOutcome(envelope.document, record, wallTime()).ok())
            continue;
        envelope.revision = envelope.revision.next();
        storeIntent(envelope.revision.number(), envelope.toText());
        report(node.name() + " records move " + record.moveId + " as "
               + (record.state == intent::MoveState::Done ? "done" : "taken back") + ": "
               + record.evidence);
    }
}

bool ScenarioWorld::isReachable(const std::string &first, const std::string &second) const
{
    return !cuts_.contains({first, second});
}

ScenarioWorld::Node *ScenarioWorld::running(const NetworkAddress &address)
{
    for (const auto &[name, node] : nodes_) {
        if (node->address() == address && node->plane() != nullptr)
            return node.get();
    }
    return nullptr;
}

void ScenarioWorld::report(const std::string &line)
{
    const auto at = std::chrono::duration_cast<milliseconds>(timers_.now().time_since_epoch());
    report_.push_back("  [" + std::to_string(at.count()) + " ms] " + line);
}

} // namespace boragetrack::tests
