/** Tests that a node serves the intent with the highest number that its peers tell. */
#include "DurableIntent.h"
#include "platform/PlatformIntentReader.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::PeerContact;
using control::records::StoreRecord;
using core::identity::IntentNumber;
using core::identity::Revision;
using std::chrono::milliseconds;
using tests::DurableIntent;

namespace {

std::unique_ptr<platform::PlatformIntentReader> makeReader()
{
    return std::make_unique<platform::PlatformIntentReader>(
            std::vector{core::identity::DataCentreId("ikeja")});
}

StoreRecord configuration(std::uint64_t revision, std::uint64_t number)
{
    return StoreRecord{"op/config", Revision(revision),
                       R"({"version":"r)" + std::to_string(number) + R"("})", false};
}

const PeerContact peer{core::identity::NodeId("p"), {"10.0.0.2", 7000}};

class IntentNumberTest : public testing::Test
{
protected:
    std::uint64_t number() { return node_.replica().document().number.number(); }

    void tell(std::uint64_t revision, std::uint64_t number)
    {
        node_.propagator().compareNumbers(peer, Revision(revision), IntentNumber(number),
                                          node_.now());
        node_.propagator().raiseMinimumRevision(Revision(revision), node_.now(), peer.id);
    }

    DurableIntent node_{makeReader()};
};

} // namespace

// Guards against a node that keeps the store's older intent since its peers have no later revision.
TEST_F(IntentNumberTest, fetchesAHigherNumberThatNoLaterRevisionExplains)
{
    node_.apply({configuration(20, 8)}, 20);
    tell(20, 8);
    EXPECT_TRUE(node_.takeFetches().empty());
    tell(20, 9);
    tell(20, 9);
    EXPECT_EQ(node_.takeFetches(), std::vector{Revision(0)});
    DurableIntent other(makeReader());
    other.apply({configuration(10, 9)}, 10);
    other.apply({configuration(20, 8)}, 20);
    node_.propagator().offerFromPeer(peer, other.replica().transferSince(Revision(0)), node_.now());
    EXPECT_EQ(number(), 9U);
    EXPECT_EQ(node_.timesInForce(), 2);
    tell(20, 9);
    node_.advance(milliseconds(1000));
    EXPECT_TRUE(node_.takeFetches().empty());
}

// Guards against whole transfers to all nodes at each change.
TEST_F(IntentNumberTest, fetchesNothingForAChangeThatTheStoreDelivers)
{
    node_.apply({configuration(20, 8)}, 20);
    tell(25, 9);
    EXPECT_TRUE(node_.takeFetches().empty());
}

// Guards against a starting node that serves the store's older intent, though a peer told it of a
// newer one.
TEST_F(IntentNumberTest, servesNoOlderIntentThanItsFirstPeerToldItsProcess)
{
    node_.propagator().awaitPeers(node_.now());
    node_.apply({configuration(20, 8)}, 20);
    EXPECT_EQ(node_.timesInForce(), 0);
    tell(0, 0);
    EXPECT_EQ(node_.timesInForce(), 0) << "this peer holds no intent either";
    tell(20, 9);
    EXPECT_EQ(node_.timesInForce(), 0);
    DurableIntent other(makeReader());
    other.apply({configuration(10, 9)}, 10);
    other.apply({configuration(20, 8)}, 20);
    node_.propagator().offerFromPeer(peer, other.replica().transferSince(Revision(0)), node_.now());
    EXPECT_EQ(node_.timesInForce(), 1);
    EXPECT_EQ(number(), 9U);
}

// Guards against a node that refuses its callers since a peer ended before it passed its intent on.
TEST_F(IntentNumberTest, servesTheStoresIntentWhenNoPeerPassesOnANewerOne)
{
    node_.propagator().awaitPeers(node_.now());
    node_.apply({configuration(20, 8)}, 20);
    tell(20, 9);
    node_.advance(DurableIntent::Propagator::minimumWait - milliseconds(1));
    EXPECT_EQ(node_.timesInForce(), 0);
    node_.advance(milliseconds(1));
    EXPECT_EQ(node_.timesInForce(), 1);
}

// Guards against a node that refuses its callers since the nodes that the store lists have ended.
TEST_F(IntentNumberTest, servesTheStoresIntentWhenNoPeerResponds)
{
    node_.propagator().awaitPeers(node_.now());
    node_.apply({configuration(20, 8)}, 20);
    node_.advance(DurableIntent::Propagator::peerWait - milliseconds(1));
    EXPECT_EQ(node_.timesInForce(), 0);
    node_.advance(milliseconds(1));
    EXPECT_EQ(node_.timesInForce(), 1);
}

// Guards against a delay of each start.
TEST_F(IntentNumberTest, servesAtOnceWhenAPeerHoldsTheSameIntent)
{
    node_.propagator().awaitPeers(node_.now());
    node_.apply({configuration(20, 8)}, 20);
    tell(20, 8);
    EXPECT_EQ(node_.timesInForce(), 1);
}
