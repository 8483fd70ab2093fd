/** Tests that a node which starts while the store is out learns from any peer that calls it. */
#include "ControlPlaneTest.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::Exchange;
using control::membership::MemberRecord;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

const NetworkAddress survivorAddress{"10.0.0.7", 7000};

/** A node that has just started, whose store is out. */
class RestartTest : public tests::ControlPlaneTest
{
protected:
    RestartTest()
    {
        timers_.advance(std::chrono::hours(1));
        plane_.start();
        plane_.storeFollowingChanged(false);
    }

    static MemberRecord member(std::uint16_t number)
    {
        MemberRecord record;
        record.id = NodeId("member-" + std::to_string(number));
        record.dataCentre = core::identity::DataCentreId("ikeja");
        record.peerAddress = {"10.0.1.1", number};
        record.version.generation = 1;
        return record;
    }

    // Handles an exchange of another node that started at the same time and knows nothing either.
    void hearFromNewcomer()
    {
        Exchange request;
        request.sender = NodeId("newcomer");
        request.senderAddress = {"10.0.0.8", 7000};
        request.memberDigest = 5;
        plane_.exchangeReceived(request);
    }

    void hearFromSurvivor()
    {
        Exchange request;
        request.sender = NodeId("survivor");
        request.senderAddress = survivorAddress;
        request.revision = Revision(8);
        request.memberDigest = 7;
        plane_.exchangeReceived(request);
    }
};

} // namespace

// Nodes that are killed together know the addresses of each other only, and were an island until
// the store was back.
TEST_F(RestartTest, fetchesIntentAndMembersFromAnUnknownNodeThatCallsIt)
{
    hearFromNewcomer();
    timers_.advance(milliseconds(200));
    EXPECT_TRUE(transport_.intentsFetchedFrom.empty()) << "it has none";
    hearFromSurvivor();
    EXPECT_EQ(transport_.intentsFetchedFrom, std::vector{survivorAddress});
    ASSERT_FALSE(transport_.membersFetchedFrom.empty());
    EXPECT_EQ(transport_.membersFetchedFrom.back(), survivorAddress);
}

// Only a few of the nodes that start together are called by others soon.
TEST_F(RestartTest, contactsAllMembersThatItLearnsOfWithinASecond)
{
    std::vector<MemberRecord> members;
    for (std::uint16_t i = 1; i <= 12; ++i)
        members.push_back(member(i));
    plane_.membersReceived(members);
    timers_.advance(milliseconds(1000));
    for (const MemberRecord &record : members)
        EXPECT_TRUE(transport_.contacted.contains(record.peerAddress)) << record.id.value();
}

// In a fleet that starts with the store, the contacts would cost bytes and links for nothing.
TEST_F(RestartTest, contactsFewMembersOnceItHasReadTheStore)
{
    plane_.storedDeparturesReceived({});
    std::vector<MemberRecord> members;
    for (std::uint16_t i = 1; i <= 40; ++i)
        members.push_back(member(i));
    plane_.peersDiscovered({}, {member(1).peerAddress, member(2).peerAddress});
    plane_.membersReceived(members);
    timers_.advance(milliseconds(1000));
    EXPECT_LT(transport_.contacted.size(), 5U) << "a neighbour, and polls of followers";
}

// After a kill of all nodes only the store has addresses, and some nodes can't read it.
TEST_F(RestartTest, contactsNodesThatOthersRegistered)
{
    const NetworkAddress registered{"10.0.0.9", 7000};
    plane_.peersDiscovered({registered}, {survivorAddress, plane_.membership().self().peerAddress});
    timers_.advance(milliseconds(1000));
    EXPECT_EQ(transport_.contacted, (std::set{registered, survivorAddress}));
}

// A process that ended may start again without knowing any other node.
TEST_F(RestartTest, contactsALostMemberUntilItResponds)
{
    plane_.membersReceived({member(1)});
    timers_.advance(std::chrono::minutes(1));
    plane_.peerDisconnected(member(1).peerAddress);
    for (int failed = 0; failed < 5; ++failed) {
        transport_.contacted.clear();
        timers_.advance(milliseconds(400));
        EXPECT_TRUE(transport_.contacted.contains(member(1).peerAddress));
        plane_.exchangeFailed({member(1).id, member(1).peerAddress});
    }
    Exchange response;
    response.sender = member(1).id;
    plane_.exchangeResponseReceived({member(1).id, member(1).peerAddress}, response);
    transport_.contacted.clear();
    timers_.advance(milliseconds(400));
    EXPECT_FALSE(transport_.contacted.contains(member(1).peerAddress));
}

TEST_F(RestartTest, tellsItsOwnAddress)
{
    Exchange request;
    request.sender = NodeId("survivor");
    EXPECT_EQ(plane_.exchangeReceived(request).senderAddress,
              plane_.membership().self().peerAddress);
    EXPECT_NE(plane_.membership().self().peerAddress.port, 0);
}
