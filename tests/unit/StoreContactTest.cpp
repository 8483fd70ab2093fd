/** Tests that a node knows when the store last confirmed what it holds, and never believes in a
   later time than the true one. */
#include "control/distribution/StoreContact.h"
#include "ControlPlaneTest.h"
#include "PendingStore.h"
#include "control/records/StoreFollower.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::Exchange;
using control::distribution::StoreContact;
using control::records::ReadConsistency;
using control::records::RecordChanges;
using control::records::RecordPage;
using control::records::StoreFollower;
using control::records::StoreRecord;
using control::records::WatchMonitor;
using core::identity::NodeId;
using core::identity::Revision;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;
using tests::respond;

namespace {

const MonotonicTime start(std::chrono::hours(1));

/** A follower whose listing was served and whose watch after revision 7 is pending. */
class FollowerContactTest : public testing::Test, public StoreFollower::Listener
{
protected:
    FollowerContactTest()
    {
        follower_.start();
        listedAt_ = timers_.now();
        timers_.advance(milliseconds(100));
        respond(store_.lists, absl::StatusOr<RecordPage>(RecordPage{
                                      {{"z", Revision(7), "text", false}}, Revision(7), false}));
        timers_.advance(StoreFollower::firstWatchDelay);
    }

    void recordsListed(const std::vector<StoreRecord> & /*records*/, Revision /*rev*/) override {}
    void recordsChanged(const RecordChanges & /*changes*/) override {}
    void storeUnavailable(const absl::Status & /*error*/) override {}
    void storeRecovered() override {}

    tests::PendingStore store_;
    core::timing::ManualTimerService timers_;
    MonotonicTime listedAt_;
    StoreFollower follower_{store_, timers_, *this, 1, milliseconds(500)};
};

using ControlPlaneContactTest = tests::ControlPlaneTest;

Exchange responseOf(const char *node, std::uint64_t revision,
                    std::optional<milliseconds> contactAge)
{
    Exchange response;
    response.sender = NodeId(node);
    response.revision = Revision(revision);
    response.storeContactAge = contactAge;
    return response;
}

} // namespace

// A peer's contact with the store says nothing of changes that the peer has and this node lacks.
TEST(StoreContactTest, countsContactsOfPeersOnceTheirRevisionIsHeld)
{
    StoreContact contact;
    EXPECT_EQ(contact.last(), std::nullopt);
    contact.recordPeer(Revision(9), start, Revision(8));
    EXPECT_EQ(contact.last(), std::nullopt);
    contact.recordRevision(Revision(8));
    EXPECT_EQ(contact.last(), std::nullopt);
    contact.recordRevision(Revision(9));
    EXPECT_EQ(contact.last(), start);
    contact.recordPeer(Revision(9), start + milliseconds(10), Revision(9));
    EXPECT_EQ(contact.last(), start + milliseconds(10));
}

// Responses arrive in any order; an old one must not hide a later contact, nor revive an old one.
TEST(StoreContactTest, keepsTheLatestContact)
{
    StoreContact contact;
    contact.recordStore(start + milliseconds(50));
    contact.recordStore(start);
    contact.recordPeer(Revision(9), start + milliseconds(20), Revision(8));
    contact.recordRevision(Revision(9));
    EXPECT_EQ(contact.last(), start + milliseconds(50));
    contact.recordPeer(Revision(11), start + milliseconds(70), Revision(9));
    contact.recordPeer(Revision(11), start + milliseconds(60), Revision(9));
    contact.recordPeer(Revision(12), start + milliseconds(80), Revision(9));
    contact.recordRevision(Revision(11));
    EXPECT_EQ(contact.last(), start + milliseconds(70));
}

// A listing that took long, or whose response was held up, reflects the time when it was asked for.
TEST_F(FollowerContactTest, datesContactsBackToTheCall)
{
    EXPECT_EQ(follower_.lastContact(), listedAt_);
    respond(store_.probes, absl::StatusOr<Revision>(Revision(7)));
    timers_.advance(milliseconds(1));
    ASSERT_EQ(store_.probes.size(), 1U) << "the listing is older than the period given";
    const MonotonicTime probedAt = timers_.now();
    timers_.advance(milliseconds(300));
    respond(store_.probes, absl::StatusOr<Revision>(Revision(7)));
    EXPECT_EQ(follower_.lastContact(), probedAt);
    timers_.advance(milliseconds(199));
    EXPECT_EQ(store_.probes.size(), 0U);
    timers_.advance(milliseconds(1));
    EXPECT_EQ(store_.probes.size(), 1U) << "the next probe follows after the period given";
}

// Guards against keys that count as current because an old copy of the store lacks their removal.
TEST_F(FollowerContactTest, countsNoReadThatMayBeStale)
{
    ASSERT_EQ(store_.consistencies.back(), ReadConsistency::MayBeStale);
    respond(store_.probes, absl::StatusOr<Revision>(Revision(7)));
    EXPECT_EQ(follower_.lastContact(), listedAt_);
}

// The watch responds late or never if nothing changes; when it was sent proves nothing later.
TEST_F(FollowerContactTest, datesAWatchBackToItsBeginning)
{
    const MonotonicTime watchedAt = timers_.now();
    timers_.advance(milliseconds(2000));
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{
                                    {StoreRecord{"a", Revision(8), "text", false}}, Revision(8)}));
    EXPECT_EQ(follower_.lastContact(), watchedAt);
}

// A refused probe is no contact, and one with a newer revision shows that a change is missing.
TEST_F(FollowerContactTest, countsNoProbeThatWasRefusedOrShowsAMissingChange)
{
    respond(store_.probes, absl::StatusOr<Revision>(Revision(8)));
    EXPECT_EQ(follower_.lastContact(), listedAt_);
    timers_.advance(milliseconds(500));
    respond(store_.probes, absl::StatusOr<Revision>(absl::UnavailableError("out")));
    EXPECT_EQ(follower_.lastContact(), listedAt_);
}

// Guards against a node that relies for longer on a follower whose response was held up.
TEST_F(ControlPlaneContactTest, countsTheCoverageOfALateResponseFromItsRequest)
{
    plane_.storeFollowingChanged(false);
    auto response = responseOf("peer", 0, milliseconds(0));
    response.isFollower = true;
    response.roundTrip = milliseconds(950);
    plane_.exchangeResponseReceived({NodeId("peer"), {"10.0.0.2", 7000}}, response);
    EXPECT_EQ(plane_.storeKnowledge().coverageAge, milliseconds(950));
    response.roundTrip = milliseconds(20);
    plane_.exchangeResponseReceived({NodeId("peer"), {"10.0.0.2", 7000}}, response);
    EXPECT_EQ(plane_.storeKnowledge().coverageAge, milliseconds(20));
}

// Ages add up from node to node: a contact does not become younger on its way.
TEST_F(ControlPlaneContactTest, tellsPeersTheAgeOfTheLastContact)
{
    EXPECT_EQ(plane_.exchangeReceived(responseOf("peer", 0, milliseconds(0))).storeContactAge,
              std::nullopt)
            << "a request may have been on its way for any time";
    plane_.exchangeResponseReceived({NodeId("peer"), {"10.0.0.2", 7000}},
                                    responseOf("peer", 0, milliseconds(400)));
    EXPECT_EQ(plane_.lastStoreContact(), timers_.now() - milliseconds(400));
    timers_.advance(milliseconds(300));
    EXPECT_EQ(plane_.exchangeReceived(responseOf("other", 0, {})).storeContactAge,
              milliseconds(700));
    plane_.exchangeResponseReceived({NodeId("ahead"), {"10.0.0.3", 7000}},
                                    responseOf("ahead", 5, milliseconds(0)));
    EXPECT_EQ(plane_.lastStoreContact(), timers_.now() - milliseconds(700));
    plane_.storeContacted(timers_.now());
    EXPECT_EQ(plane_.lastStoreContact(), timers_.now());
}
