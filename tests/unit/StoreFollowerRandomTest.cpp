/** Tests the copies of nodes that follow a store whose responses name later revisions than their
    events reach. */
#include "FollowingNode.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <random>

using namespace boragetrack;
using control::distribution::IntentTransfer;
using core::identity::Revision;
using std::chrono::milliseconds;
using tests::FollowingNode;
using tests::RecordHistory;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr std::size_t keyCount = 6;
constexpr int steps = 200;
constexpr std::uint64_t runs = 4000;

/** Several nodes with overlapping listings, watches, reads and transfers in a random order. */
class RandomFollowers
{
public:
    explicit RandomFollowers(std::uint64_t seed)
        : random_(seed)
    {
        for (auto &node : nodes_)
            node = std::make_unique<FollowingNode>(seed);
    }

    void step()
    {
        FollowingNode &node = *nodes_[below(nodeCount)];
        switch (below(20)) {
        case 0:
        case 1:
        case 2:
            history_.put(anyKey());
            break;
        case 3:
            history_.remove(anyKey());
            break;
        case 4:
        case 5:
            node.answerList(history_, 2);
            break;
        case 6:
        case 7:
            node.receivePage();
            break;
        case 8:
        case 9:
            node.collectEvents(history_, below(4), below(4) == 0);
            break;
        case 10:
        case 11:
            node.readRevision(history_);
            break;
        case 12:
        case 13:
            node.receiveChanges();
            break;
        case 14:
            node.answerProbe(history_);
            break;
        case 15:
            node.follower().readChanges();
            break;
        case 16:
            node.follower().setActive(below(3) != 0, node.table().revision());
            break;
        case 17:
            sendTransfer(node);
            break;
        case 18:
            deliverTransfer();
            break;
        default:
            disturb(node);
        }
        for (const auto &each : nodes_)
            each->advance(milliseconds(below(200)));
    }

    /** Serves every call without further changes, then returns whether a node lacks a change. */
    bool isChangeMissing()
    {
        for (const auto &node : nodes_)
            node->follower().setActive(true, node->table().revision());
        for (int round = 0; round < settlingRounds; ++round) {
            for (const auto &node : nodes_) {
                node->answerList(history_, keyCount);
                node->receivePage();
                node->readRevision(history_);
                node->receiveChanges();
                node->collectEvents(history_, below(4), false);
                node->answerProbe(history_);
                node->advance(milliseconds(100));
            }
        }
        return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto &node) {
            return node->table().revision() < history_.revision();
        });
    }

    /** Returns the first key that a node holds older than its revision says, or an empty text. */
    std::string fault() const
    {
        for (const auto &node : nodes_) {
            if (auto found = history_.faultOf(node->table()); !found.empty())
                return found;
        }
        return {};
    }

private:
    // Many times the delays between two calls of a follower.
    static constexpr int settlingRounds = 100;

    struct Message
    {
        std::size_t receiver;
        IntentTransfer transfer;
    };

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    std::string anyKey() { return "key" + std::to_string(below(keyCount)); }

    // The sender responds to a node that held an earlier revision than it does now.
    void sendTransfer(FollowingNode &sender)
    {
        const std::size_t receiver = below(nodeCount);
        const std::uint64_t held = nodes_[receiver]->table().revision().number();
        messages_.push_back({receiver, sender.replica().transferSince(Revision(below(held + 1)))});
    }

    void deliverTransfer()
    {
        if (messages_.empty())
            return;
        const std::size_t index = below(messages_.size());
        const Message message = messages_[index];
        if (below(3) != 0)
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        auto &replica = nodes_[message.receiver]->replica();
        if (const auto text = replica.unpack(message.transfer))
            replica.offer(*text);
    }

    void disturb(FollowingNode &node)
    {
        switch (below(4)) {
        case 0:
            node.failWatch(absl::OutOfRangeError("compacted"));
            break;
        case 1:
            node.failWatch(absl::UnavailableError("out"));
            break;
        case 2:
            node.follower().resumeAfterPause();
            break;
        default:
            // Messages to the earlier process may reach the new one.
            if (below(8) == 0)
                nodes_[below(nodeCount)] = std::make_unique<FollowingNode>(random_());
        }
    }

    std::mt19937_64 random_;
    RecordHistory history_;
    std::array<std::unique_ptr<FollowingNode>, nodeCount> nodes_;
    std::vector<Message> messages_;
};

} // namespace

// Guards against a node that is complete through a revision by name and lacks a change before it.
TEST(StoreFollowerRandom, holdsEachKeyAtLeastAsOfItsRevision)
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        RandomFollowers followers(seed);
        for (int i = 0; i < steps; ++i) {
            followers.step();
            ASSERT_EQ(followers.fault(), "") << "seed " << seed << ", step " << i;
        }
        ASSERT_FALSE(followers.isChangeMissing()) << "seed " << seed;
        ASSERT_EQ(followers.fault(), "") << "seed " << seed << ", at the end";
    }
}
