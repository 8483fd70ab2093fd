/** Members that ended stay in the views of the others for four seconds, and changes of the store
    reach each node after a delay of its own. */
#include "UsageFleet.h"

namespace boragetrack::tests {

using namespace control::usage;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::OrganisationName;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds step{20};
constexpr milliseconds memberPeriod{500};
constexpr milliseconds detectionTime{4000};

} // namespace

UsageFleet::UsageFleet(std::size_t size, std::uint64_t seed, UsageSettings settings)
    : world(seed)
    , cuts(size)
    , settings_(settings)
    , nodes_(size)
    , lastSelf_(size)
    , seenUntil_(size, milliseconds(-1))
{
    store.onChange = [this]() { spreadRecords(); };
    for (std::size_t place = 0; place < size; ++place)
        start(place);
    updateMembers();
}

void UsageFleet::run(Milliseconds duration)
{
    const milliseconds end = world.now() + duration;
    while (world.now() < end) {
        world.advance(step);
        store.setTime(world.now());
        if (world.now() >= nextMembersAt_) {
            nextMembersAt_ = world.now() + memberPeriod;
            updateMembers();
        }
        if (hasLoad)
            countRequests();
        for (const auto &node : nodes_) {
            if (node)
                node->advance(step);
        }
    }
}

void UsageFleet::start(std::size_t place)
{
    const auto peerAt = [this](const NetworkAddress &address) -> UsageNode * {
        for (const auto &node : nodes_) {
            if (node && node->self().address == address)
                return node.get();
        }
        return nullptr;
    };
    const DutyHolder self{NodeId("gw-" + std::to_string(place)), ++lastGeneration_,
                          addressOf(place)};
    nodes_[place] = std::make_unique<UsageNode>(
            UsageNode::Surroundings{world, store, receiver, rules, faults, peerAt, settings_}, self,
            cuts[place]);
    lastSelf_[place] = self;
    nextMembersAt_ = world.now();
}

void UsageFleet::crash(std::size_t place)
{
    nodes_[place].reset();
}

std::optional<std::size_t> UsageFleet::awaitHolder()
{
    for (int i = 0; i < 600 && !holder(); ++i)
        run(milliseconds(100));
    return holder();
}

std::optional<std::size_t> UsageFleet::holder() const
{
    for (std::size_t place = 0; place < nodes_.size(); ++place) {
        if (nodes_[place] && nodes_[place]->isHolder())
            return place;
    }
    return std::nullopt;
}

std::string UsageFleet::faultText() const
{
    std::string text;
    for (const std::string &fault : receiver.faults)
        text += fault + "\n";
    for (const std::string &fault : rules.faults)
        text += fault + "\n";
    return text;
}

std::uint64_t UsageFleet::windowBefore(std::uint64_t windows) const
{
    return UsageWindow::at(UsageNode::wallTimeAt(world.now()), settings_.windowPeriod).number()
           - windows;
}

std::uint64_t UsageFleet::windowEndedBefore(Milliseconds age) const
{
    return UsageWindow::at(UsageNode::wallTimeAt(world.now() - age), settings_.windowPeriod)
                   .number()
           - 1;
}

UsageFleet::Milliseconds UsageFleet::endOf(std::uint64_t window) const
{
    return UsageWindow(window).endsAt(settings_.windowPeriod)
           - UsageNode::wallTimeAt(milliseconds(0));
}

NetworkAddress UsageFleet::addressOf(std::size_t place) const
{
    return NetworkAddress{"127.0.0.1", static_cast<std::uint16_t>(7000 + place)};
}

void UsageFleet::updateMembers()
{
    std::vector<DutyHolder> members;
    for (std::size_t place = 0; place < nodes_.size(); ++place) {
        if (nodes_[place] && !nodes_[place]->process().isPaused())
            seenUntil_[place] = world.now() + detectionTime;
        if (seenUntil_[place] >= world.now())
            members.push_back(lastSelf_[place]);
    }
    for (const auto &node : nodes_) {
        if (!node)
            continue;
        node->process().schedule(milliseconds(0), [target = node.get(), members]() {
            target->reporter().setMembers(members);
        });
        // Nodes also poll the followers, which repairs lost notices of changes.
        if (world.happens(0.25))
            node->synchronize();
    }
}

void UsageFleet::spreadRecords()
{
    for (std::size_t place = 0; place < nodes_.size(); ++place) {
        if (!nodes_[place])
            continue;
        world.schedule(world.between(milliseconds(20), milliseconds(800)),
                       [this, place, generation = nodes_[place]->self().generation]() {
                           if (nodes_[place] && nodes_[place]->self().generation == generation)
                               nodes_[place]->synchronize();
                       });
    }
}

void UsageFleet::countRequests()
{
    static const std::vector<std::string> organisations{"pulo780", "kabo51", "mito9"};
    for (const auto &node : nodes_) {
        if (!node || node->process().isPaused() || !world.happens(0.2))
            continue;
        const std::string &organisation = organisations[world.below(organisations.size())];
        node->countRequest(organisation);
        ++truth[windowBefore(0)][OrganisationName(organisation)];
    }
}

} // namespace boragetrack::tests
