/** Tests that an upstream that departed is not used again by the node's next process, which learns
    of the departure from the store or its peers. */
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
using transport::serving::AnnouncementOutcome;
using transport::serving::UpstreamAnnouncement;
using transport::serving::UpstreamStatus;

namespace {

constexpr std::uint64_t earlierGeneration = 1000;
constexpr std::uint64_t ownGeneration = 2000;

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
    DepartureMemory memory(NodeId("self"), ownGeneration);
    memory.rememberFrom({memberWith(stamp("i-1", 5, 100))}, MonotonicTime{});
    memory.rememberFrom({memberWith(std::nullopt)}, MonotonicTime{});
    EXPECT_EQ(memory.departureAt(NodeId("peer")), stamp("i-1", 5, 100));
    memory.rememberFrom({memberWith(stamp("i-0", 7, 50))}, MonotonicTime{});
    EXPECT_EQ(memory.departureAt(NodeId("peer")), stamp("i-1", 5, 100)) << "an older one";
    memory.removeExpired(MonotonicTime{} + DepartureMemory::retention);
    EXPECT_FALSE(memory.departureAt(NodeId("peer")));
}

TEST(DepartureMemory, isCompleteOnceEnoughPeersThatKnewAnEarlierProcessWereHeardFrom)
{
    DepartureMemory memory(NodeId("self"), ownGeneration);
    const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
    memory.start(start);
    const MonotonicTime later = start + DepartureMemory::storeWait;
    EXPECT_FALSE(memory.isComplete(0, later));
    memory.recordPeer(NodeId("a"), std::nullopt, earlierGeneration);
    EXPECT_FALSE(memory.isComplete(1, start)) << "the store may respond yet";
    EXPECT_TRUE(memory.isComplete(1, later)) << "it is the only one";
    EXPECT_FALSE(memory.isComplete(9, later));
    memory.recordPeer(NodeId("b"), stamp("i-1", 5, 100), earlierGeneration);
    EXPECT_TRUE(memory.isComplete(9, later));
    EXPECT_EQ(memory.ownDeparture(), stamp("i-1", 5, 100));
}

// After a kill of all nodes, the peers of a new process have forgotten what it has.
TEST(DepartureMemory, isNotCompleteByPeersThatStartedWithTheProcess)
{
    DepartureMemory memory(NodeId("self"), ownGeneration);
    memory.start(MonotonicTime{});
    const MonotonicTime later = MonotonicTime{} + DepartureMemory::maximumWait;
    memory.recordPeer(NodeId("a"), std::nullopt, 0);
    memory.recordPeer(NodeId("b"), std::nullopt, ownGeneration);
    EXPECT_FALSE(memory.isComplete(2, later));
    memory.recordStore({stamp("i-1", 5, 100), stamp("i-0", 9, 50)});
    EXPECT_TRUE(memory.isComplete(2, MonotonicTime{}));
    EXPECT_EQ(memory.ownDeparture(), stamp("i-1", 5, 100));
}

TEST(DepartureMemory, tellsARestartedNodeSinceWhenItWasKnown)
{
    DepartureMemory memory(NodeId("self"), ownGeneration);
    EXPECT_EQ(memory.knownSince(NodeId("peer"), 70), 70U);
    memory.recordRestart(NodeId("peer"), 70, MonotonicTime{});
    memory.recordRestart(NodeId("peer"), 80, MonotonicTime{});
    EXPECT_EQ(memory.knownSince(NodeId("peer"), 90), 70U);
    memory.removeExpired(MonotonicTime{} + DepartureMemory::retention);
    EXPECT_EQ(memory.knownSince(NodeId("peer"), 90), 90U);
}

//==============================================================================
namespace {

/** Keeps departures once the test says so. */
class ManualDepartureKeeper : public control::membership::DepartureKeeper
{
public:
    void keep(const AnnouncementStamp &departure) override { requested.push_back(departure); }
    bool isKept(const AnnouncementStamp & /*departure*/) const override { return isStoreReachable; }

    std::vector<AnnouncementStamp> requested;
    bool isStoreReachable = false;
};

/** A node with one peer. */
class AnnouncementProcessorTest : public tests::ControlPlaneTest
{
protected:
    AnnouncementProcessorTest()
    {
        timers_.advance(std::chrono::hours(1));
        plane_.start();
        processor_.start(plane_, keeper_, [this](const auto &status) { upstream_ = status; });
        MemberRecord peer = memberWith(std::nullopt);
        peer.dataCentre = core::identity::DataCentreId("ikeja");
        plane_.membersReceived({peer});
    }

    // Handles a message of the peer, which knew an earlier process of this node.
    // @param remembered the departure that it keeps for this node
    void hearFromPeer(const std::optional<AnnouncementStamp> &remembered)
    {
        Exchange response;
        response.sender = NodeId("peer");
        response.receiverKnownSince = earlierGeneration;
        response.receiverDeparture = remembered;
        plane_.exchangeResponseReceived(PeerContact{NodeId("peer"), {}}, response);
        processor_.update();
    }

    // Handles the first listing of the store. @param kept the departures in it
    void readStore(const std::vector<AnnouncementStamp> &kept)
    {
        plane_.storedDeparturesReceived(kept);
        processor_.update();
    }

    void announceReady(std::uint64_t sequence,
                       std::optional<WallTime> startedAt = WallTime(milliseconds(100)))
    {
        UpstreamAnnouncement announcement;
        announcement.status.record.state = UpstreamState::Serving;
        announcement.status.instance = "i-1";
        announcement.stamp = {"i-1", sequence, startedAt};
        processor_.announce(announcement,
                            [this](AnnouncementOutcome outcome) { lastOutcome_ = outcome; });
    }

    void announceDeparture()
    {
        UpstreamAnnouncement announcement;
        announcement.status.instance = "i-1";
        announcement.isDeparture = true;
        announcement.stamp = {"i-1", 0, WallTime(milliseconds(100))};
        processor_.announce(announcement, [this](AnnouncementOutcome outcome) {
            ++(outcome == AnnouncementOutcome::Processed ? acknowledged_ : refused_);
        });
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
    ManualDepartureKeeper keeper_;
    AnnouncementOutcome lastOutcome_ = AnnouncementOutcome::Processed;
    int acknowledged_ = 0;
    int refused_ = 0;
};

} // namespace

// Killed right after the acknowledgement, the node would leave no trace of the departure.
TEST_F(AnnouncementProcessorTest, acknowledgesADepartureOnceItIsKept)
{
    readStore({});
    announceReady(4);
    EXPECT_TRUE(isServing());
    transport_.exchanges.clear();
    announceDeparture();
    EXPECT_FALSE(isServing()) << "in effect before the acknowledgement";
    EXPECT_EQ(acknowledged_, 0);
    ASSERT_EQ(keeper_.requested.size(), 1U);
    ASSERT_FALSE(transport_.exchanges.empty()) << "sent at once";
    ASSERT_FALSE(transport_.exchanges.back().members.empty());
    EXPECT_EQ(transport_.exchanges.back().members.back().upstream.departure,
              keeper_.requested.front());
    hearFromPeer(keeper_.requested.front());
    EXPECT_EQ(acknowledged_, 0) << "peers forget it when all are killed";
    keeper_.isStoreReachable = true;
    wait(milliseconds(100));
    EXPECT_EQ(acknowledged_, 1);
    announceDeparture();
    EXPECT_EQ(acknowledged_, 2) << "a repeated announcement needs no further write";
}

// An acknowledgement would promise what no later process of the node could know.
TEST_F(AnnouncementProcessorTest, refusesInTimeToAcknowledgeADepartureThatNothingKeeps)
{
    readStore({});
    announceReady(4);
    announceDeparture();
    wait(AnnouncementProcessor::maximumKeepingTime - milliseconds(1));
    EXPECT_EQ(refused_, 0);
    wait(milliseconds(1));
    EXPECT_EQ(acknowledged_, 0);
    EXPECT_EQ(refused_, 1);
    EXPECT_FALSE(isServing()) << "in effect all the same";
    keeper_.isStoreReachable = true;
    announceDeparture();
    EXPECT_EQ(acknowledged_, 1) << "the next announcement";
}

// review/8: the departure arrives between the stop of the node and its exit.
TEST_F(AnnouncementProcessorTest, publishesADepartureWhileTheNodeIsLeaving)
{
    readStore({});
    announceReady(4);
    plane_.leave();
    transport_.exchanges.clear();
    announceDeparture();
    ASSERT_FALSE(transport_.exchanges.empty());
    ASSERT_FALSE(transport_.exchanges.back().members.empty());
    const MemberRecord &published = transport_.exchanges.back().members.back();
    EXPECT_EQ(published.upstream.departure, stamp("i-1", 4, 100));
    EXPECT_EQ(published.state, control::membership::MemberState::Left);
}

// review/7: all nodes were killed, and only the store knows of the departure.
TEST_F(AnnouncementProcessorTest, refusesALateAnnouncementAfterAllNodesWereKilled)
{
    announceReady(4);
    readStore({stamp("i-1", 4, 100)});
    EXPECT_FALSE(isServing());
    announceReady(5);
    EXPECT_FALSE(isServing());
    announceReady(1, WallTime(milliseconds(200)));
    EXPECT_TRUE(isServing()) << "the next upstream under the same name";
}

// With a silent store and peers that were killed too, only a live upstream announces itself again.
TEST_F(AnnouncementProcessorTest, usesAnUpstreamThatAnnouncesItselfAgainIfNothingElseIsKnown)
{
    announceReady(4);
    wait(DepartureMemory::maximumWait);
    EXPECT_FALSE(isServing()) << "one announcement may be a late one";
    announceReady(4);
    wait(milliseconds(200));
    EXPECT_FALSE(isServing()) << "the same one again";
    announceReady(5);
    wait(milliseconds(200));
    EXPECT_TRUE(isServing());
}

// The start time is optional.
TEST_F(AnnouncementProcessorTest, usesAnUpstreamWithoutAStartTimeThatAnnouncesItselfAgain)
{
    announceReady(4, std::nullopt);
    wait(DepartureMemory::maximumWait);
    EXPECT_FALSE(isServing());
    announceReady(5, std::nullopt);
    wait(milliseconds(200));
    EXPECT_TRUE(isServing());
}

// A late announcement may be the first message that a restarted node gets.
TEST_F(AnnouncementProcessorTest, usesNoUpstreamBeforeItKnowsTheEarlierDepartures)
{
    wait(DepartureMemory::storeWait);
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

// A peer that knew an earlier process may have been cut off when the departure was published, or
// may have started again itself since then.
TEST_F(AnnouncementProcessorTest, doesNotTakePeersWithoutADepartureForProofThatThereWasNone)
{
    wait(DepartureMemory::storeWait);
    hearFromPeer(std::nullopt);
    announceReady(4);
    wait(DepartureMemory::maximumWait);
    EXPECT_FALSE(isServing()) << "a late announcement of an upstream that has departed";
}

TEST_F(AnnouncementProcessorTest, refusesAnAnnouncementOnceSoThatALiveUpstreamRepeatsIt)
{
    wait(DepartureMemory::storeWait);
    hearFromPeer(stamp("i-0", 9, 50));
    announceReady(4);
    EXPECT_EQ(lastOutcome_, AnnouncementOutcome::NotProven);
    EXPECT_FALSE(isServing());
    announceReady(5);
    EXPECT_EQ(lastOutcome_, AnnouncementOutcome::Processed);
    wait(milliseconds(0));
    EXPECT_TRUE(isServing());
    announceReady(6);
    EXPECT_EQ(lastOutcome_, AnnouncementOutcome::Processed) << "proven from now on";
    EXPECT_TRUE(isServing());
}

// The peer that kept the departure could not be reached at first.
TEST_F(AnnouncementProcessorTest, drainsAnUpstreamWhoseEarlierDepartureItLearnsLate)
{
    announceReady(3);
    announceReady(4);
    wait(DepartureMemory::maximumWait);
    EXPECT_TRUE(isServing());
    hearFromPeer(stamp("i-1", 4, 100));
    EXPECT_FALSE(isServing());
}
