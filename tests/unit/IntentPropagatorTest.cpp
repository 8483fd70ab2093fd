/** Tests that a node never reverts to an older intent, never applies one in part and never serves
    below the minimum revision. */
#include "control/distribution/IntentPropagator.h"
#include "tests/unit/TestIntent.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::distribution;
using core::identity::Revision;
using core::timing::MonotonicTime;

namespace {

class RecordingTransport : public PeerTransport
{
public:
    void sendExchange(const PeerContact & /*peer*/, const Exchange & /*exchange*/) override {}
    void pushIntent(const PeerContact & /*peer*/, const IntentTransfer &transfer) override
    {
        pushes.push_back(transfer);
    }
    void fetchIntent(const PeerContact &peer, Revision have) override
    {
        fetches.push_back(have);
        holders.push_back(peer.address);
    }
    void fetchMembers(const PeerContact & /*peer*/,
                      const control::membership::MemberTable::BucketHashes & /*hashes*/) override
    {}

    std::vector<IntentTransfer> pushes;
    std::vector<Revision> fetches;
    // The addresses that the fetches went to.
    std::vector<core::identity::NetworkAddress> holders;
};

class IntentPropagatorTest : public testing::Test, public IntentPropagator::Listener
{
protected:
    void intentInForce() override { served_.push_back(propagator_.servedRevision()); }
    void intentRefused() override { ++refusals_; }

    void confirm(std::uint64_t revision)
    {
        propagator_.recordPushResponse(Revision(revision), now_);
    }

    RecordingTransport transport_;
    std::vector<Revision> served_;
    int refusals_ = 0;
    MonotonicTime now_ = MonotonicTime{} + std::chrono::hours(1);
    IntentPropagator propagator_{
            transport_, *this, [] {
                return std::vector<PeerContact>{{core::identity::NodeId("p"), {}}};
            }};
};

} // namespace

TEST_F(IntentPropagatorTest, ignoresOlderAndReorderedUpdates)
{
    propagator_.raiseMinimumRevision(Revision(0), now_);
    for (const std::uint64_t revision : {3, 2, 5, 4, 5, 1}) {
        propagator_.offerFromStore(tests::envelopeText(revision), now_);
        confirm(revision);
    }
    EXPECT_EQ(served_, (std::vector<Revision>{Revision(3), Revision(5)}));
}

TEST_F(IntentPropagatorTest, refusesAnInvalidIntentAsAWholeAndKeepsThePreviousOne)
{
    propagator_.raiseMinimumRevision(Revision(0), now_);
    propagator_.offerFromStore(tests::envelopeText(1), now_);
    confirm(1);
    nlohmann::json invalid = tests::intentJson();
    invalid["defaults"]["callTimeoutMs"] = 777;
    invalid["routes"][0]["service"] = "nowhere";
    propagator_.offerFromStore(tests::envelopeText(2, invalid), now_);
    confirm(2);
    EXPECT_EQ(refusals_, 1);
    EXPECT_EQ(propagator_.servedRevision(), Revision(1));
    EXPECT_EQ(propagator_.replica().document().defaults.callTimeout.count(), 501);
    EXPECT_EQ(propagator_.replica().refusedRevision(), Revision(2));
}

// All followers of a data centre report a change at the same moment.
TEST_F(IntentPropagatorTest, fetchesAChangeOfTheStoreFromOnePeer)
{
    propagator_.setStoreReachable(false);
    for (int peer = 0; peer < 4; ++peer)
        propagator_.compareRevisions({}, Revision(5), now_);
    EXPECT_EQ(transport_.fetches.size(), 1U);
    propagator_.compareRevisions({}, Revision(6), now_);
    EXPECT_EQ(transport_.fetches.size(), 2U) << "a later change is not in the first response";
    propagator_.compareRevisions({}, Revision(6), now_ + IntentPropagator::fetchTimeout);
    EXPECT_EQ(transport_.fetches.size(), 3U) << "the first peer may have failed";
}

// Guards against repeated fetches over a silent link while another node holds the change.
TEST_F(IntentPropagatorTest, repeatsAFetchWithoutAResponseAtAnotherHolder)
{
    const PeerContact first{core::identity::NodeId("n1"), {"10.0.0.1", 7001}};
    const PeerContact second{core::identity::NodeId("n2"), {"10.0.0.1", 7002}};
    propagator_.setStoreReachable(false);
    propagator_.compareRevisions(first, Revision(5), now_);
    propagator_.compareRevisions(second, Revision(5), now_);
    propagator_.compareRevisions(first, Revision(5), now_);
    ASSERT_EQ(transport_.fetches.size(), 1U);
    propagator_.tick(now_ + IntentPropagator::fetchTimeout);
    ASSERT_EQ(transport_.fetches.size(), 2U);
    EXPECT_EQ(transport_.holders[0], first.address);
    EXPECT_EQ(transport_.holders[1], second.address);
}

// The store may accept a follower's watch and never respond to it.
TEST_F(IntentPropagatorTest, fetchesAChangeThatItsOwnWatchDoesNotDeliver)
{
    propagator_.setStoreReachable(true);
    propagator_.compareRevisions({}, Revision(5), now_);
    EXPECT_TRUE(transport_.fetches.empty()) << "the store is expected to deliver it";
    propagator_.tick(now_ + IntentPropagator::toleratedLag);
    EXPECT_EQ(transport_.fetches.size(), 1U);
}

TEST_F(IntentPropagatorTest, servesNothingBelowTheMinimumRevisionOfPeers)
{
    propagator_.start(now_);
    propagator_.raiseMinimumRevision(Revision(4), now_);
    propagator_.offerFromStore(tests::envelopeText(3), now_);
    confirm(3);
    propagator_.tick(now_ + std::chrono::hours(1));
    EXPECT_TRUE(served_.empty());
    propagator_.offerFromStore(tests::envelopeText(4), now_);
    confirm(4);
    EXPECT_EQ(served_, std::vector<Revision>{Revision(4)});
}

// The node served revision 4 before its restart; all others that held it have ended, and the store
// does not respond. The node refused its callers until the store was back.
TEST_F(IntentPropagatorTest, servesAnOlderIntentOfItsPeersWhenNoLiveNodeHoldsTheMinimum)
{
    propagator_.start(now_);
    propagator_.setStoreReachable(false);
    propagator_.raiseMinimumRevision(Revision(4), now_);
    EnvelopeReplica peer;
    peer.offer(tests::envelopeText(3));
    propagator_.offerFromPeer({core::identity::NodeId("p"), {}}, peer.transferSince(Revision(0)),
                              now_);
    propagator_.tick(now_ + std::chrono::milliseconds(200));
    EXPECT_TRUE(served_.empty()) << "a node that holds it may be found";
    propagator_.tick(now_ + std::chrono::seconds(1));
    EXPECT_EQ(served_, std::vector<Revision>{Revision(3)});
}

// Operators had no line that told why a node refuses all its callers.
TEST_F(IntentPropagatorTest, tellsWhyNoIntentIsServed)
{
    const auto reason = [this]() { return propagator_.waitAt(now_)->reason; };
    propagator_.start(now_);
    propagator_.setStoreReachable(false);
    EXPECT_EQ(reason(), IntentWaitReason::NothingHeard);
    propagator_.raiseMinimumRevision(Revision(4), now_, core::identity::NodeId("p"));
    EXPECT_EQ(reason(), IntentWaitReason::NothingHeld);
    const PeerContact contact{core::identity::NodeId("p"), {"10.0.0.2", 7000}};
    propagator_.compareRevisions(contact, Revision(3), now_);
    EnvelopeReplica peer;
    peer.offer(tests::envelopeText(3));
    propagator_.offerFromPeer(contact, peer.transferSince(Revision(0)), now_);
    EXPECT_EQ(reason(), IntentWaitReason::BelowMinimum);
    const auto wait = propagator_.waitAt(now_);
    EXPECT_EQ(wait->held, Revision(3));
    EXPECT_EQ(wait->minimum, Revision(4));
    EXPECT_EQ(wait->minimumReportedBy.value(), "p");
    EXPECT_EQ(wait->fetches, 1);
    EXPECT_EQ(wait->lastFetchFrom, contact.address);
    now_ += IntentPropagator::minimumWait;
    propagator_.tick(now_);
    EXPECT_FALSE(propagator_.waitAt(now_)) << "served";
}

TEST_F(IntentPropagatorTest, servesNothingOlderThanThisProcessHasServed)
{
    propagator_.start(now_);
    propagator_.setStoreReachable(false);
    propagator_.raiseMinimumRevision(Revision(4), now_);
    for (const std::uint64_t revision : {4, 3}) {
        EnvelopeReplica peer;
        peer.offer(tests::envelopeText(revision));
        propagator_.offerFromPeer({core::identity::NodeId("p"), {}},
                                  peer.transferSince(Revision(0)), now_);
        propagator_.tick(now_ + std::chrono::hours(1));
    }
    EXPECT_EQ(served_, std::vector<Revision>{Revision(4)});
}

TEST_F(IntentPropagatorTest, servesTheStoresIntentOnlyOnceAPeerHoldsItOrNoneResponds)
{
    propagator_.start(now_);
    propagator_.raiseMinimumRevision(Revision(0), now_);
    propagator_.offerFromStore(tests::envelopeText(1), now_);
    propagator_.tick(now_ + std::chrono::milliseconds(100));
    EXPECT_TRUE(served_.empty());
    propagator_.tick(now_ + IntentPropagator::isolationTimeout);
    EXPECT_EQ(served_.size(), 1U);
}

TEST_F(IntentPropagatorTest, pushesPatchesThatAPeerWithTheBaseCanApply)
{
    propagator_.raiseMinimumRevision(Revision(0), now_);
    EnvelopeReplica peer;
    peer.offer(tests::envelopeText(1));
    propagator_.offerFromStore(tests::envelopeText(1), now_);
    propagator_.offerFromStore(tests::envelopeText(2), now_);
    const IntentTransfer &transfer = transport_.pushes.back();
    EXPECT_EQ(transfer.base, Revision(1));
    EXPECT_LT(transfer.payload.size(), tests::envelopeText(2).size());
    const auto text = peer.unpack(transfer);
    ASSERT_TRUE(text);
    EXPECT_EQ(peer.offer(*text), OfferResult::Accepted);
    EXPECT_EQ(peer.revision(), Revision(2));
}

TEST_F(IntentPropagatorTest, fetchesTheWholeIntentWhenAPatchDoesNotApply)
{
    EnvelopeReplica source;
    source.offer(tests::envelopeText(1));
    source.offer(tests::envelopeText(2));
    propagator_.offerFromPeer({core::identity::NodeId("p"), {}}, source.transferSince(Revision(1)),
                              now_);
    EXPECT_EQ(transport_.fetches, std::vector<Revision>{Revision(0)});
    EXPECT_EQ(propagator_.replica().revision(), Revision(0));
}

TEST(EnvelopeReplica, refusesATransferWhoseContentDoesNotMatchItsHash)
{
    EnvelopeReplica source;
    source.offer(tests::envelopeText(1));
    IntentTransfer transfer = source.transferSince(Revision(0));
    transfer.payload[transfer.payload.size() / 2] ^= 1;
    EXPECT_FALSE(EnvelopeReplica().unpack(transfer));
}
