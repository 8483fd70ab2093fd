/** Tests that log lines and the status report name the intent in force. */
#include "ControlPlaneTest.h"
#include "RecordedEvents.h"
#include "control/distribution/RecordReplica.h"
#include "core/events/ScopedEventSink.h"
#include "daemon/service/ChangeLog.h"
#include "daemon/service/StatusReport.h"
#include "daemon/service/StoreKnowledgeLog.h"
#include "platform/PlatformIntentReader.h"

using namespace boragetrack;
using control::distribution::ControlPlane;
using control::distribution::RecordReplica;
using control::records::ChangeOrigin;
using core::events::EventCode;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

/** A node whose records come from the platform's store. */
class IntentNumberLogTest : public tests::ControlPlaneTest
{
protected:
    IntentNumberLogTest()
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
    }

    void intentInForce() override { log_.intentInForce(*node_, timers_.now()); }

    void store(std::uint64_t revision, const std::string &version)
    {
        const std::string text = R"({"version":")" + version + R"(","listeners":[],"clusters":[]})";
        node_->storeUpdateReceived(
                replica_->applyChanges(
                        {{{"op/config", Revision(revision), text, false}}, Revision(revision)}),
                ChangeOrigin::Watch);
    }

    tests::RecordedEvents events_;
    const core::events::ScopedEventSink sink_{events_};
    core::counters::CounterRegistry counters_;
    daemon::service::ChangeLog log_{counters_};
    RecordReplica *replica_ = nullptr;
    std::unique_ptr<ControlPlane> node_;
};

} // namespace

// Guards against a configuration whose version no line tells.
TEST_F(IntentNumberLogTest, namesTheNumberInForceAndTheOneBefore)
{
    store(5, "r12");
    store(6, "r14");
    ASSERT_EQ(events_.count(EventCode::IntentApplied), 2);
    EXPECT_EQ(events_.last(EventCode::IntentApplied).at("revision"), "6");
    EXPECT_EQ(events_.last(EventCode::IntentApplied).at("intentNumber"), "14");
    EXPECT_EQ(events_.last(EventCode::IntentApplied).at("previousNumber"), "12");
}

TEST_F(IntentNumberLogTest, tellsForHowLongTheIntentHasBeenInForce)
{
    EXPECT_EQ(node_->inForce().age, std::nullopt);
    store(5, "r12");
    timers_.advance(milliseconds(700));
    daemon::service::logStoreKnowledge(node_->storeKnowledge());
    EXPECT_EQ(events_.last(EventCode::StoreKnowledge).at("intentNumber"), "12");
    EXPECT_EQ(events_.last(EventCode::StoreKnowledge).at("intentMs"), "700");
    const auto report = daemon::service::reportStatus(*node_, traffic::routing::RoutingSnapshot{});
    EXPECT_EQ(report.at("intentNumber"), 12);
    EXPECT_EQ(report.at("intentMs"), 700);
}

// Guards against a node that holds the latest revision and decides by an older intent unnoticed.
TEST_F(IntentNumberLogTest, warnsOnceOfALaterIntentOnAPeerWhateverTheRevisions)
{
    store(5, "r12");
    control::distribution::Exchange report;
    report.sender = core::identity::NodeId("peer");
    report.revision = Revision(5);
    report.intentNumber = core::identity::IntentNumber(13);
    EXPECT_EQ(node_->exchangeReceived(report).intentNumber, core::identity::IntentNumber(12));
    timers_.advance(milliseconds(400));
    log_.update(*node_, timers_.now());
    EXPECT_EQ(events_.count(EventCode::IntentOutdated), 0);
    timers_.advance(milliseconds(100));
    log_.update(*node_, timers_.now());
    log_.update(*node_, timers_.now());
    ASSERT_EQ(events_.count(EventCode::IntentOutdated), 1);
    const auto fields = events_.last(EventCode::IntentOutdated);
    EXPECT_EQ(fields.at("intentNumber"), "12");
    EXPECT_EQ(fields.at("reportedNumber"), "13");
    EXPECT_EQ(fields.at("reportedBy"), "peer");
    EXPECT_EQ(fields.at("held"), "5");
}
