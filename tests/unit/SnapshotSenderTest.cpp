/** Tests to which nodes counts are sent, and when they count as final there. */
#include "control/usage/SnapshotSender.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::OrganisationName;

namespace {

DutyHolder member(std::uint16_t number)
{
    return DutyHolder{NodeId("gw-" + std::to_string(number)), 1,
                      NetworkAddress{"127.0.0.1", number}};
}

UsageSnapshot snapshot(std::uint16_t number, std::uint64_t sequence)
{
    return UsageSnapshot{member(number).node,
                         1,
                         sequence,
                         {WindowCounts{UsageWindow(7), {{OrganisationName("pulo780"), 1}}, true}}};
}

/** The sender of node 9, and the messages that it sends. */
class SnapshotSenderTest : public testing::Test, protected UsageTransport
{
protected:
    /** One message. */
    struct Message
    {
        std::uint16_t peer;
        UsageSnapshot snapshot;
        Callback callback;
    };

    void sendUsage(const NetworkAddress &peer, const UsageSnapshot &snapshot,
                   Callback callback) override
    {
        messages_.push_back(Message{peer.port, snapshot, std::move(callback)});
    }

    // Sends the node's own snapshot and returns whether it is final to a target.
    bool sendsFinal(const std::vector<UsageSnapshot> &silent, std::uint16_t target)
    {
        messages_.clear();
        sender_.send(snapshot(9, ++sequence_), silent, {member(1), member(2)});
        const auto own = std::find_if(messages_.begin(), messages_.end(), [&](const Message &m) {
            return m.peer == target && m.snapshot.node == member(9).node;
        });
        return own != messages_.end() && own->snapshot.windows.front().isFinal;
    }

    void acknowledge(std::uint16_t peer)
    {
        for (const Message &message : messages_) {
            if (message.peer == peer)
                message.callback(UsageWindow(6));
        }
    }

    std::vector<Message> messages_;
    std::vector<UsageWindow> reported_;
    std::uint64_t sequence_ = 0;
    SnapshotSender sender_{*this, member(9),
                           [this](UsageWindow reported) { reported_.push_back(reported); }};
};

} // namespace

// Guards against counts that only the holder has, and against a node that sends to itself.
TEST_F(SnapshotSenderTest, sendsToTheHolderAndTheStandby)
{
    const std::vector<DutyHolder> order{member(1), member(2), member(3), member(9)};
    EXPECT_EQ(sender_.targets(member(3), order), (std::vector{member(3), member(1)}));
    EXPECT_EQ(sender_.targets(member(1), order), (std::vector{member(1), member(2)}));
    EXPECT_EQ(sender_.targets(std::nullopt, order), (std::vector{member(1), member(2)}));
    EXPECT_EQ(sender_.targets(member(9), order), std::vector{member(1)});
    EXPECT_TRUE(sender_.targets(member(9), {member(9)}).empty());
}

// Guards against a holder that reports a window without the counts of a process that ended, because
// those of all live nodes are final.
TEST_F(SnapshotSenderTest, isFinalOnlyWhereTheCountsOfEndedProcessesAreKnown)
{
    EXPECT_TRUE(sendsFinal({}, 1));
    const std::vector<UsageSnapshot> silent{snapshot(5, 30)};
    EXPECT_FALSE(sendsFinal(silent, 1));
    EXPECT_EQ(messages_.size(), 4U);
    EXPECT_FALSE(sendsFinal(silent, 1)) << "not acknowledged";
    acknowledge(1);
    EXPECT_TRUE(sendsFinal(silent, 1));
    EXPECT_FALSE(sendsFinal(silent, 2));
    EXPECT_EQ(messages_.size(), 3U) << "sent again to the first target";
    EXPECT_EQ(reported_, (std::vector<UsageWindow>(2, UsageWindow(6))));
}

// Guards against a holder that waits until the end for a node that is no member in one view and
// still counts.
TEST_F(SnapshotSenderTest, isFinalWhileALaterSnapshotOfAKnownProcessIsPassedOn)
{
    EXPECT_FALSE(sendsFinal({snapshot(5, 30)}, 1));
    acknowledge(1);
    EXPECT_TRUE(sendsFinal({snapshot(5, 31)}, 1));
    EXPECT_EQ(std::count_if(messages_.begin(), messages_.end(),
                            [](const Message &m) {
                                return m.peer == 1 && m.snapshot.node == member(5).node;
                            }),
              1);
}
