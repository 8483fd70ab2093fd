/** Tests that a node tells how long a change may have been in the store before it came into force.
 */
#include "ControlPlaneTest.h"
#include "RecordedEvents.h"
#include "TestIntent.h"
#include "control/distribution/RecordReplica.h"
#include "core/events/ScopedEventSink.h"
#include "daemon/service/ChangeLog.h"
#include "platform/PlatformIntentReader.h"

using namespace boragetrack;
using control::distribution::ControlPlane;
using control::distribution::Exchange;
using control::distribution::PeerContact;
using control::distribution::RecordReplica;
using control::records::ChangeOrigin;
using core::events::EventCode;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

const PeerContact peer{core::identity::NodeId("peer"), {"10.0.0.2", 7000}};

/** A node that has read revision 5 from the platform's store. */
class ChangeSinceProofTest : public tests::ControlPlaneTest
{
protected:
    ChangeSinceProofTest()
    {
        auto replica
                = std::make_unique<RecordReplica>(std::make_unique<platform::PlatformIntentReader>(
                        std::vector{core::identity::DataCentreId("ikeja")}));
        replica_ = replica.get();
        auto dependencies = tests::ControlPlaneTest::dependencies();
        dependencies.replica = std::move(replica);
        ControlPlane::Listener &listener = *this;
        node_ = std::make_unique<ControlPlane>(std::move(dependencies), transport_, timers_,
                                               listener);
        node_->storeFollowingChanged(true);
        storeResponded(5);
    }

    void intentInForce() override { log_.intentInForce(*node_, timers_.now()); }

    /** Handles a response of the store to a call that was sent just now. */
    void storeResponded(std::uint64_t revision)
    {
        const std::string text = R"({"version":"r)" + std::to_string(revision)
                                 + R"(","listeners":[],"clusters":[]})";
        node_->storeUpdateArrived();
        node_->storeContacted(timers_.now());
        node_->storeUpdateReceived(
                replica_->applyChanges(
                        {{{"op/config", Revision(revision), text, false}}, Revision(revision)}),
                ChangeOrigin::Watch);
    }

    std::string sinceProof() const
    {
        return events_.last(EventCode::IntentApplied).at("sinceProofMs");
    }

    tests::RecordedEvents events_;
    const core::events::ScopedEventSink sink_{events_};
    core::counters::CounterRegistry counters_;
    daemon::service::ChangeLog log_{counters_};
    RecordReplica *replica_ = nullptr;
    std::unique_ptr<ControlPlane> node_;
};

} // namespace

TEST_F(ChangeSinceProofTest, saysNothingOfTheFirstIntentOfAProcess)
{
    EXPECT_EQ(sinceProof(), "none");
    EXPECT_EQ(events_.count(EventCode::IntentMayBeLate), 0);
}

// Guards against a change that a whole fleet gets late, so that no node is behind another one.
TEST_F(ChangeSinceProofTest, countsFromTheProofBeforeTheChangeAndNotFromTheOneThatCameWithIt)
{
    timers_.advance(milliseconds(400));
    node_->storeContacted(timers_.now());
    timers_.advance(milliseconds(1000));
    storeResponded(6);
    EXPECT_EQ(sinceProof(), "1000");
    EXPECT_EQ(events_.count(EventCode::IntentMayBeLate), 0);
    timers_.advance(milliseconds(1001));
    storeResponded(7);
    EXPECT_EQ(sinceProof(), "1001");
    ASSERT_EQ(events_.count(EventCode::IntentMayBeLate), 1);
    EXPECT_EQ(events_.last(EventCode::IntentMayBeLate).at("intentNumber"), "7");
    EXPECT_EQ(counters_.counter("change_since_proof_ms_le_1000").value(), 1);
    EXPECT_EQ(counters_.counter("change_since_proof_ms_le_inf").value(), 2);
}

// Guards against a bound that leaves out the message's way or the wait for the control thread.
TEST_F(ChangeSinceProofTest, countsAPeersProofWithTheAgeThatItToldAndTheWaitSinceItArrived)
{
    timers_.advance(milliseconds(3000));
    Exchange response;
    response.sender = peer.id;
    response.revision = Revision(5);
    response.storeContactAge = milliseconds(700);
    response.arrivedAt = timers_.now() - milliseconds(80);
    node_->exchangeResponseReceived(peer, response);
    timers_.advance(milliseconds(100));
    storeResponded(6);
    EXPECT_EQ(sinceProof(), "880");
}

TEST_F(ChangeSinceProofTest, ignoresTheProofOfAPeerThatHoldsMore)
{
    timers_.advance(milliseconds(500));
    Exchange response;
    response.sender = peer.id;
    response.revision = Revision(6);
    response.storeContactAge = milliseconds(10);
    node_->exchangeResponseReceived(peer, response);
    timers_.advance(milliseconds(100));
    storeResponded(6);
    EXPECT_EQ(sinceProof(), "600");
}
