/** Tests that a node which starts while the store is out learns from any peer that calls it. */
#include "ControlPlaneTest.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::Exchange;
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

TEST_F(RestartTest, tellsItsOwnAddress)
{
    Exchange request;
    request.sender = NodeId("survivor");
    EXPECT_EQ(plane_.exchangeReceived(request).senderAddress,
              plane_.membership().self().peerAddress);
    EXPECT_NE(plane_.membership().self().peerAddress.port, 0);
}
