/** Tests the selection of followers and that a node without coverage follows the store itself. */
#include "control/distribution/FollowerRole.h"
#include "control/membership/RingNeighbours.h"

#include <gtest/gtest.h>
#include <memory>

using namespace boragetrack;
using namespace boragetrack::control;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using distribution::FollowerRole;

namespace {

const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);

membership::MemberRecord member(int number, const std::string &dataCentre)
{
    membership::MemberRecord record;
    record.id = NodeId("n" + std::to_string(number));
    record.dataCentre = core::identity::DataCentreId(dataCentre);
    record.version.generation = 1;
    return record;
}

/** One node among the members of its data centre. */
class Node : public membership::MembershipEngine::Listener
{
public:
    Node(int number, int members)
        : engine_(member(number, "x"), std::make_unique<membership::RingNeighbours>(), *this)
    {
        for (int i = 0; i < members; ++i)
            engine_.mergeRecords({member(i, "x"), member(1000 + i, "y")}, start);
    }

    FollowerRole &role() { return role_; }
    void memberChanged(const membership::MemberRecord * /*previous*/,
                       const membership::MemberRecord & /*record*/) override
    {}
    void dataCentreSilent(const core::identity::DataCentreId & /*name*/) override {}

private:
    membership::MembershipEngine engine_;
    FollowerRole role_{engine_};
};

int countFollowers(int members)
{
    int count = 0;
    for (int i = 0; i < members; ++i) {
        Node node(i, members);
        node.role().recordResponse(NodeId("any"), true, start);
        count += node.role().mustFollow(start);
    }
    return count;
}

} // namespace

// Guards against several nodes, or none, that read the store's revision for all followers.
TEST(FollowerRole, allNodesAgreeOnTheNodeThatProbes)
{
    const auto prober = Node(0, 40).role().prober();
    ASSERT_TRUE(prober);
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(Node(i, 40).role().prober(), prober);
}

TEST(FollowerRole, limitsTheFollowersOfEachDataCentre)
{
    EXPECT_EQ(countFollowers(3), 1);
    EXPECT_EQ(countFollowers(8), 1);
    EXPECT_EQ(countFollowers(17), 2);
    EXPECT_EQ(countFollowers(60), 2);
    EXPECT_EQ(countFollowers(114), 4);
}

TEST(FollowerRole, pollsAllFollowersInTurnUnlessItIsOne)
{
    constexpr int members = 17;
    int pollers = 0;
    for (int i = 0; i < members; ++i) {
        Node node(i, members);
        node.role().recordResponse(NodeId("any"), true, start);
        const bool isFollower = node.role().mustFollow(start);
        std::set<NodeId> polled;
        for (std::size_t turn = 0; turn < FollowerRole::minimumFollowers; ++turn) {
            if (const auto next = node.role().nextFollowerToPoll(start))
                polled.insert(*next);
        }
        EXPECT_EQ(polled.size(), isFollower ? 0 : FollowerRole::minimumFollowers);
        pollers += isFollower ? 0 : 1;
    }
    EXPECT_EQ(pollers, members - static_cast<int>(FollowerRole::minimumFollowers));
}

// A node that is cut off from its peers but not from the store must not miss a change.
TEST(FollowerRole, followsTheStoreInTimeWithoutCoverage)
{
    constexpr std::chrono::milliseconds changeDeadline{2000};
    for (int i = 0; i < 17; ++i) {
        Node node(i, 17);
        EXPECT_TRUE(node.role().mustFollow(start)) << "no follower has responded yet";
        node.role().recordResponse(NodeId("any"), true, start);
        EXPECT_TRUE(node.role().mustFollow(start + changeDeadline / 2 + FollowerRole::pollPeriod));
    }
}

TEST(FollowerRole, notifiesRecentPollersAndTheOtherFollowers)
{
    Node node(0, 17);
    const auto later = start + FollowerRole::pollPeriod * 3;
    node.role().recordResponse(NodeId("any"), true, later);
    const bool isFollower = node.role().mustFollow(later);
    node.role().recordPoll(NodeId("poller"), start);
    const auto receivers = node.role().updateReceivers(later);
    // Also the two followers of the other data centre.
    EXPECT_EQ(receivers.size(), 2 * FollowerRole::minimumFollowers + (isFollower ? 0 : 1));
    EXPECT_EQ(receivers.back(), NodeId("poller"));
    EXPECT_EQ(std::count(receivers.begin(), receivers.end(), NodeId("n0")), 0);
    const auto afterwards = node.role().updateReceivers(later + FollowerRole::pollPeriod);
    EXPECT_EQ(afterwards.size(), receivers.size() - 1) << "the node has stopped polling this one";
}

// The store may be silent for the only follower of a small data centre, whose watch then brings
// nothing, and which still covers the others.
TEST(FollowerRole, notifiesTheFollowersOfOtherDataCentres)
{
    Node node(0, 4);
    const auto receivers = node.role().updateReceivers(start);
    const auto remote = std::count_if(receivers.begin(), receivers.end(), [](const NodeId &id) {
        return std::stoi(id.value().substr(1)) >= 1000;
    });
    EXPECT_EQ(remote, 1);
}

namespace {

/** Returns a node of the data centre that is not a selected follower. */
std::unique_ptr<Node> poller(int members)
{
    for (int i = 0; i < members; ++i) {
        auto node = std::make_unique<Node>(i, members);
        if (!node->role().isSelected())
            return node;
    }
    return nullptr;
}

/** Returns the node with an id "nNUMBER". */
std::unique_ptr<Node> nodeOf(const NodeId &id, int members)
{
    return std::make_unique<Node>(std::stoi(id.value().substr(1)), members);
}

} // namespace

TEST(FollowerRole, replacesAFollowerThatDoesNotRespond)
{
    const auto node = poller(5);
    const auto failed = node->role().nextFollowerToPoll(start);
    ASSERT_TRUE(failed);
    node->role().recordFailure(*failed, start);
    const auto substitute = node->role().nextFollowerToPoll(start);
    ASSERT_TRUE(substitute);
    EXPECT_NE(*substitute, *failed);
    EXPECT_EQ(node->role().nextFollowerToPoll(start + FollowerRole::unavailableTime), failed);
    // The substitute follows the store as long as it is polled.
    const auto other = nodeOf(*substitute, 5);
    other->role().recordResponse(*failed, true, start);
    EXPECT_FALSE(other->role().mustFollow(start));
    other->role().recordPoll(NodeId("poller"), start);
    EXPECT_TRUE(other->role().mustFollow(start));
    const auto later = start + FollowerRole::pollPeriod * 3;
    other->role().recordResponse(*failed, true, later);
    EXPECT_FALSE(other->role().mustFollow(later));
}

// The store may turn some nodes away for long while it serves the others.
TEST(FollowerRole, replacesAFollowerThatTheStoreTurnsAway)
{
    const auto node = poller(5);
    const auto turnedAway = node->role().nextFollowerToPoll(start);
    ASSERT_TRUE(turnedAway);
    node->role().recordResponse(*turnedAway, false, start);
    EXPECT_EQ(node->role().nextFollowerToPoll(start), turnedAway)
            << "it may have begun to follow just now";
    node->role().recordResponse(*turnedAway, false, start);
    EXPECT_NE(node->role().nextFollowerToPoll(start), turnedAway);
}

TEST(FollowerRole, endsItsCoverageWhenTheFollowerThatGaveItFails)
{
    const auto node = poller(5);
    const auto follower = node->role().nextFollowerToPoll(start);
    ASSERT_TRUE(follower);
    node->role().recordResponse(*follower, true, start);
    EXPECT_FALSE(node->role().mustFollow(start));
    node->role().recordFailure(*follower, start + FollowerRole::pollPeriod);
    EXPECT_TRUE(node->role().mustFollow(start + FollowerRole::pollPeriod));
}

// A burst of changes leaves a node behind at each poll, although it catches up within milliseconds.
TEST(FollowerRole, isCoveredByAFollowerThatWasAheadOnceItHasCaughtUp)
{
    const core::identity::Revision first(8);
    const core::identity::Revision second(9);
    const auto node = poller(5);
    FollowerRole &role = node->role();
    role.recordResponseAhead(NodeId("any"), first, start);
    EXPECT_TRUE(role.mustFollow(start)) << "it lacks what the follower holds";
    const auto secondPoll = start + FollowerRole::pollPeriod;
    role.recordResponseAhead(NodeId("any"), second, secondPoll);
    role.recordRevision(first);
    EXPECT_FALSE(role.mustFollow(secondPoll));
    EXPECT_TRUE(role.mustFollow(start + FollowerRole::coverageLifetime))
            << "the coverage counts from the response";
    role.recordRevision(second);
    EXPECT_FALSE(role.mustFollow(start + FollowerRole::coverageLifetime));
}

TEST(FollowerRole, isNotCoveredByAFollowerThatFailedMeanwhile)
{
    const core::identity::Revision revision(8);
    const auto node = poller(5);
    FollowerRole &role = node->role();
    role.recordResponseAhead(NodeId("any"), revision, start);
    role.recordFailure(NodeId("any"), start + FollowerRole::pollPeriod);
    role.recordRevision(revision);
    EXPECT_TRUE(role.mustFollow(start + FollowerRole::pollPeriod));
}
