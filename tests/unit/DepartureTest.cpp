/** Tests that an upstream that departed is not used again by the node's next process, which learns
    of the departure from its peers. */
#include "ControlPlaneTest.h"
#include "control/distribution/DepartureMemory.h"
#include "daemon/service/AnnouncementProcessor.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::ControlPlane;
using control::distribution::DepartureMemory;
using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::AnnouncementFilter;
using control::membership::AnnouncementStamp;
using control::membership::MemberRecord;
using control::membership::UpstreamState;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using core::timing::WallTime;
using daemon::service::AnnouncementProcessor;
using std::chrono::milliseconds;
using transport::serving::UpstreamAnnouncement;
using transport::serving::UpstreamStatus;

namespace {

AnnouncementStamp stamp(const std::string &instance, std::uint64_t sequence, int startedAt)
{
    return {instance, sequence, WallTime(milliseconds(startedAt))};
}

MemberRecord memberWith(const std::optional<AnnouncementStamp> &departure)
{
    MemberRecord record;
    record.id = NodeId("peer");
    record.upstream.departure = departure;
    return record;
}

} // namespace

//==============================================================================
TEST(AnnouncementFilter, refusesTheUpstreamWhoseDepartureAnEarlierProcessAcknowledged)
{
    AnnouncementFilter filter;
    EXPECT_TRUE(filter.restoreDeparture(stamp("i-1", 5, 100)));
    EXPECT_FALSE(filter.accept(stamp("i-1", 4, 100), false));
    EXPECT_FALSE(filter.accept(stamp("i-1", 9, 100), false));
    EXPECT_TRUE(filter.accept(stamp("i-1", 1, 200), false)) << "its successor under the same name";
    EXPECT_FALSE(filter.isLeaving());
}

TEST(AnnouncementFilter, endsTheUpstreamThatALateAnnouncementHadBroughtBack)
{
    AnnouncementFilter filter;
    EXPECT_TRUE(filter.accept(stamp("i-1", 4, 100), false));
    EXPECT_TRUE(filter.restoreDeparture(stamp("i-1", 5, 100)));
    EXPECT_TRUE(filter.isLeaving());
    EXPECT_FALSE(filter.restoreDeparture(stamp("i-1", 5, 100))) << "known already";
}

TEST(AnnouncementFilter, keepsTheSuccessorOfAnUpstreamWhoseDepartureIsRestored)
{
    AnnouncementFilter filter;
    EXPECT_TRUE(filter.accept(stamp("i-2", 1, 200), false));
    EXPECT_FALSE(filter.restoreDeparture(stamp("i-1", 5, 100)));
    EXPECT_FALSE(filter.isLeaving());
    EXPECT_FALSE(filter.accept({"i-1", 9, std::nullopt}, false));
}

//==============================================================================
TEST(DepartureMemory, keepsADepartureWhenTheNextProcessPublishesNone)
{
    DepartureMemory memory(NodeId("self"));
    memory.rememberFrom({memberWith(stamp("i-1", 5, 100))}, MonotonicTime{});
    memory.rememberFrom({memberWith(std::nullopt)}, MonotonicTime{});
    EXPECT_EQ(memory.departureAt(NodeId("peer")), stamp("i-1", 5, 100));
    memory.rememberFrom({memberWith(stamp("i-0", 7, 50))}, MonotonicTime{});
    EXPECT_EQ(memory.departureAt(NodeId("peer")), stamp("i-1", 5, 100)) << "an older one";
    memory.removeExpired(MonotonicTime{} + DepartureMemory::retention);
    EXPECT_FALSE(memory.departureAt(NodeId("peer")));
}

TEST(DepartureMemory, isCompleteOnceEnoughPeersWereHeardFromOrNoneIsFound)
{
    DepartureMemory memory(NodeId("self"));
    const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
    memory.start(start);
    EXPECT_FALSE(memory.isComplete(0, start));
    memory.recordPeer(NodeId("a"), std::nullopt);
    EXPECT_TRUE(memory.isComplete(1, start)) << "it is the only one";
    EXPECT_FALSE(memory.isComplete(9, start));
    memory.recordPeer(NodeId("b"), stamp("i-1", 5, 100));
    EXPECT_TRUE(memory.isComplete(9, start));
    EXPECT_EQ(memory.ownDeparture(), stamp("i-1", 5, 100));
    DepartureMemory alone(NodeId("self"));
    alone.start(start);
    EXPECT_TRUE(alone.isComplete(0, start + DepartureMemory::maximumWait));
}

//==============================================================================
namespace {

/** A node with one peer. */
class AnnouncementProcessorTest : public tests::ControlPlaneTest
{
protected:
    AnnouncementProcessorTest()
    {
        timers_.advance(std::chrono::hours(1));
        plane_.start();
        processor_.start(plane_, [this](const auto &status) { upstream_ = status; });
        MemberRecord peer = memberWith(std::nullopt);
        peer.dataCentre = core::identity::DataCentreId("ikeja");
        plane_.membersReceived({peer});
    }

    // Handles a message of the peer. @param remembered the departure that it keeps for this node
    void hearFromPeer(const std::optional<AnnouncementStamp> &remembered)
    {
        Exchange response;
        response.sender = NodeId("peer");
        response.receiverDeparture = remembered;
        plane_.exchangeResponseReceived(PeerContact{NodeId("peer"), {}}, response);
        processor_.update();
    }

    void announceReady(std::uint64_t sequence, WallTime startedAt = WallTime(milliseconds(100)))
    {
        UpstreamAnnouncement announcement;
        announcement.status.record.state = UpstreamState::Serving;
        announcement.status.instance = "i-1";
        announcement.stamp = {"i-1", sequence, startedAt};
        processor_.announce(announcement, [] {});
    }

    void announceDeparture()
    {
        UpstreamAnnouncement announcement;
        announcement.status.instance = "i-1";
        announcement.isDeparture = true;
        announcement.stamp = {"i-1", 0, WallTime(milliseconds(100))};
        processor_.announce(announcement, [this] { ++acknowledged_; });
    }

    void wait(milliseconds time)
    {
        timers_.advance(time);
        processor_.update();
    }

    bool isServing() const
    {
        return upstream_ && upstream_->record.state == UpstreamState::Serving;
    }

    // Later than the upstreams of the other tests.
    static constexpr WallTime processStart{std::chrono::seconds(60)};
    AnnouncementProcessor processor_{timers_, processStart, std::chrono::hours(1)};
    std::optional<UpstreamStatus> upstream_;
    int acknowledged_ = 0;
};

} // namespace

// Killed right after the acknowledgement, the node would leave no trace of the departure.
TEST_F(AnnouncementProcessorTest, acknowledgesADepartureOnceAPeerKeepsIt)
{
    hearFromPeer(std::nullopt);
    announceReady(4);
    EXPECT_TRUE(isServing());
    transport_.exchanges.clear();
    announceDeparture();
    EXPECT_FALSE(isServing()) << "in effect before the acknowledgement";
    EXPECT_EQ(acknowledged_, 0);
    ASSERT_FALSE(transport_.exchanges.empty()) << "sent at once";
    ASSERT_FALSE(transport_.exchanges.back().members.empty());
    const auto published = transport_.exchanges.back().members.back().upstream.departure;
    ASSERT_TRUE(published);
    hearFromPeer(std::nullopt);
    EXPECT_EQ(acknowledged_, 0) << "the response to an earlier message";
    hearFromPeer(published);
    EXPECT_EQ(acknowledged_, 1);
    announceDeparture();
    EXPECT_EQ(acknowledged_, 2) << "a repeated announcement needs no further message";
}

TEST_F(AnnouncementProcessorTest, acknowledgesADepartureInTimeAlthoughNoPeerResponds)
{
    hearFromPeer(std::nullopt);
    announceReady(4);
    announceDeparture();
    wait(AnnouncementProcessor::maximumReplicationTime);
    EXPECT_EQ(acknowledged_, 1);
}

// A late announcement may be the first message that a restarted node gets.
TEST_F(AnnouncementProcessorTest, usesNoUpstreamBeforeItKnowsTheEarlierDepartures)
{
    announceReady(4);
    EXPECT_FALSE(isServing());
    hearFromPeer(stamp("i-1", 4, 100));
    EXPECT_FALSE(isServing());
    announceReady(3);
    EXPECT_FALSE(isServing());
}

// All nodes of a fleet that starts would publish their upstreams in a second round of gossip.
TEST_F(AnnouncementProcessorTest, usesAnUpstreamThatStartedWithTheProcessAtOnce)
{
    announceReady(1, processStart - AnnouncementProcessor::startTolerance / 2);
    EXPECT_TRUE(isServing());
}

TEST_F(AnnouncementProcessorTest, usesAnUpstreamOnceItsPeersKeepNoDepartureOfIt)
{
    announceReady(4);
    EXPECT_FALSE(isServing());
    hearFromPeer(stamp("i-0", 9, 50));
    EXPECT_TRUE(isServing());
}

// The peer that kept the departure could not be reached at first.
TEST_F(AnnouncementProcessorTest, drainsAnUpstreamWhoseEarlierDepartureItLearnsLate)
{
    announceReady(4);
    wait(DepartureMemory::maximumWait);
    EXPECT_TRUE(isServing());
    hearFromPeer(stamp("i-1", 4, 100));
    EXPECT_FALSE(isServing());
}
