/** Tests copies of the store's records under random orders of listings, watches and transfers. */
#include "ReplicaNode.h"

#include <array>
#include <gtest/gtest.h>
#include <random>

using namespace boragetrack;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;
using tests::RecordHistory;
using tests::ReplicaNode;

namespace {

constexpr int nodeCount = 4;
constexpr int keyCount = 6;
constexpr int steps = 150;
constexpr int runs = 4000;

/** Several nodes that read one store and fetch from each other in a random order. */
class RandomReplicas
{
public:
    explicit RandomReplicas(std::uint64_t seed)
        : random_(seed)
    {
        for (auto &node : nodes_)
            node = std::make_unique<ReplicaNode>();
    }

    void step()
    {
        now_ += milliseconds(below(300));
        ReplicaNode &node = *nodes_[below(nodeCount)];
        switch (below(16)) {
        case 0:
        case 1:
            store_.put(anyKey());
            break;
        case 2:
            store_.remove(anyKey());
            break;
        case 3:
        case 4:
            node.listPage(store_, 2, now_);
            break;
        case 5:
            if (below(4) == 0)
                node.abandonListing();
            break;
        case 6:
            node.startWatch();
            break;
        case 7:
            node.answerWatch(store_);
            break;
        case 8:
            node.receiveWatch(now_);
            break;
        case 9:
        case 10:
            compareWithPeer(node);
            break;
        case 11:
            requestFromOldBase(node);
            break;
        case 12:
        case 13:
        case 14:
            deliver();
            break;
        default:
            if (below(12) == 0)
                restart();
        }
    }

    /** Returns the first key that a node holds older than its revision says, or an empty text. */
    std::string fault() const
    {
        for (const auto &node : nodes_) {
            if (auto found = store_.faultOf(node->table()); !found.empty())
                return found;
        }
        return {};
    }

private:
    struct Message
    {
        std::size_t receiver;
        std::size_t sender;
        IntentTransfer transfer;
    };

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    std::string anyKey() { return "key" + std::to_string(below(keyCount)); }

    static PeerContact contactOf(std::size_t place)
    {
        return {NodeId("n" + std::to_string(place)),
                NetworkAddress{"127.0.0.1", static_cast<std::uint16_t>(1 + place)}};
    }

    // The peer responds to the fetch at once; its response is delivered later, or never.
    void sendFetches(ReplicaNode &node)
    {
        for (const auto &fetch : node.takeFetches())
            respond(placeOf(node), static_cast<std::size_t>(fetch.peer.address.port) - 1,
                    fetch.have);
    }

    void respond(std::size_t receiver, std::size_t sender, Revision have)
    {
        messages_.push_back({receiver, sender, nodes_[sender]->replica().transferSince(have)});
    }

    std::size_t placeOf(const ReplicaNode &node) const
    {
        std::size_t place = 0;
        while (nodes_[place].get() != &node)
            ++place;
        return place;
    }

    void compareWithPeer(ReplicaNode &node)
    {
        const std::size_t peer = below(nodeCount);
        node.propagator().compareRevisions(contactOf(peer), nodes_[peer]->table().revision(), now_);
        sendFetches(node);
    }

    // As after a fetch that took long: the receiver has gone on since it sent its revision.
    void requestFromOldBase(const ReplicaNode &node)
    {
        const std::uint64_t held = node.table().revision().number();
        respond(placeOf(node), below(nodeCount), Revision(below(held + 1)));
    }

    // A message may arrive more than once, and before ones that were sent earlier.
    void deliver()
    {
        if (messages_.empty())
            return;
        const std::size_t index = below(messages_.size());
        const Message message = messages_[index];
        if (below(3) != 0)
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        ReplicaNode &receiver = *nodes_[message.receiver];
        receiver.propagator().offerFromPeer(contactOf(message.sender), message.transfer, now_);
        sendFetches(receiver);
    }

    // Messages to the earlier process may reach the new one at the same address.
    void restart() { nodes_[below(nodeCount)] = std::make_unique<ReplicaNode>(); }

    std::mt19937_64 random_;
    core::timing::MonotonicTime now_{milliseconds(1000)};
    RecordHistory store_;
    std::array<std::unique_ptr<ReplicaNode>, nodeCount> nodes_;
    std::vector<Message> messages_;
};

} // namespace

// Guards against a copy that claims a revision without holding each key as of that revision.
// StoreFollower requests only later changes, so the node would decide by the older record until its
// next listing.
TEST(RecordReplicaRandom, holdsEachKeyAtLeastAsOfItsRevision)
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        RandomReplicas replicas(seed);
        for (int i = 0; i < steps; ++i) {
            replicas.step();
            ASSERT_EQ(replicas.fault(), "") << "seed " << seed << ", step " << i;
        }
    }
}
