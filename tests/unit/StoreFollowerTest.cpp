/** Tests that a node follows the store and maintains its own record through outages and lost
    responses. */
#include "control/records/StoreFollower.h"
#include "PendingStore.h"
#include "control/records/LeasedRecord.h"
#include "control/records/NodeRecord.h"
#include "core/timing/ManualTimerService.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::records;
using core::identity::Revision;
using std::chrono::milliseconds;
using tests::PendingStore;
using tests::respond;

namespace {

StoreRecord record(const std::string &key, std::uint64_t revision, bool isRemoved = false)
{
    return StoreRecord{key, Revision(revision), isRemoved ? "" : "text", isRemoved};
}

class StoreFollowerTest : public testing::Test, public StoreFollower::Listener
{
protected:
    StoreFollowerTest() { follower_.start(); }

    void recordsListed(const std::vector<StoreRecord> &records, Revision revision) override
    {
        listed_ = records.size();
        revision_ = revision;
    }
    void recordsChanged(const RecordChanges &changes) override
    {
        changed_ += changes.changes.size();
        revision_ = changes.revision;
    }
    void storeUnavailable(const absl::Status & /*error*/) override { ++outages_; }
    void storeRecovered() override { ++recoveries_; }
    void proofMissing(const absl::Status & /*reason*/) override { ++missingProofs_; }
    std::optional<core::timing::MonotonicTime> sharedContact() const override
    {
        return sharedContact_;
    }

    PendingStore store_;
    core::timing::ManualTimerService timers_;
    std::size_t listed_ = 0;
    std::size_t changed_ = 0;
    Revision revision_;
    std::optional<core::timing::MonotonicTime> sharedContact_;
    int outages_ = 0;
    int recoveries_ = 0;
    int missingProofs_ = 0;
    StoreFollower follower_{store_, timers_, *this, 1};
};

} // namespace

// Guards against a node that takes a revision for known since a listing named it.
TEST_F(StoreFollowerTest, continuesFromTheLastChangeOfTheFirstPage)
{
    respond(store_.lists, absl::StatusOr<RecordPage>(
                                  RecordPage{{record("a", 3), record("b", 5)}, Revision(7), true}));
    EXPECT_EQ(store_.lists.front().first, "b");
    EXPECT_EQ(listed_, 0U);
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("c", 9)}, Revision(9), false}));
    EXPECT_EQ(listed_, 3U);
    EXPECT_EQ(revision_, Revision(5)) << "the read delivers what changed since, also in first page";
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches.front().first, Revision(5));
    EXPECT_EQ(store_.waits.back(), StoreFollower::readDuration);
    respond(store_.watches, absl::StatusOr<RecordChanges>(
                                    RecordChanges{{record("a", 7), record("c", 9)}, Revision(9)}));
    EXPECT_EQ(changed_, 2U);
    EXPECT_EQ(revision_, Revision(9));
    timers_.advance(StoreFollower::firstWatchDelay);
    EXPECT_EQ(store_.watches.front().first, Revision(9));
}

TEST_F(StoreFollowerTest, resumesFromItsRevisionAfterAnOutage)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    for (int failure = 0; failure < 6; ++failure) {
        respond(store_.watches, absl::StatusOr<RecordChanges>(absl::UnavailableError("out")));
        EXPECT_TRUE(store_.watches.empty());
        timers_.advance(StoreFollower::maximumBackoff);
        ASSERT_FALSE(store_.watches.empty());
        EXPECT_EQ(store_.watches.front().first, Revision(7));
    }
    EXPECT_EQ(outages_, 1);
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(recoveries_, 1);
    EXPECT_EQ(changed_, 1U);
    timers_.advance(StoreFollower::changeBatchDelay);
    EXPECT_EQ(store_.watches.front().first, Revision(8));
}

TEST_F(StoreFollowerTest, startsWithAShortWatchAfterAFailure)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchDuration);
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::UnknownError("no response")));
    timers_.advance(StoreFollower::maximumBackoff);
    EXPECT_EQ(store_.waits.back(), StoreFollower::recoveryWatchDuration);
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(7)}));
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchDuration);
}

// A silent store accepts the watch and forgets it; the node would get no updates until the watch
// times out.
TEST_F(StoreFollowerTest, abandonsAWatchThatTheStoreMayHaveForgotten)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    const auto forgotten = store_.watches.front().second;
    store_.watches.clear();
    respond(store_.probes, absl::StatusOr<Revision>(absl::UnknownError("no response in time")));
    timers_.advance(StoreFollower::maximumBackoff);
    ASSERT_EQ(store_.watches.size(), 1U);
    forgotten(RecordChanges{{record("a", 8)}, Revision(8)});
    EXPECT_EQ(changed_, 0U) << "the next watch delivers it";
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    respond(store_.probes, absl::StatusOr<Revision>(absl::UnknownError("late")));
    EXPECT_EQ(outages_, 1) << "the probe of a completed watch is ignored";
}

TEST_F(StoreFollowerTest, listsAgainWhenTheHistoryIsCompacted)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    ASSERT_FALSE(store_.lists.empty());
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 20)}, Revision(20), false}));
    EXPECT_EQ(listed_, 1U);
    timers_.advance(StoreFollower::firstWatchDelay);
    EXPECT_EQ(store_.watches.front().first, Revision(20));
}

// Another writer may leave so much that the changes do not fit one response; the same watch would
// fail for ever.
TEST_F(StoreFollowerTest, listsWhenTheChangesCanNotBeRead)
{
    for (const absl::Status &error :
         {absl::OutOfRangeError("too large"), absl::DataLossError("not JSON")}) {
        respond(store_.lists,
                absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
        timers_.advance(StoreFollower::firstWatchDelay);
        respond(store_.watches, absl::StatusOr<RecordChanges>(error));
        ASSERT_FALSE(store_.lists.empty());
    }
}

TEST_F(StoreFollowerTest, isIdleWhileInactiveAndResumesFromTheKnownRevision)
{
    follower_.setActive(false, Revision(0));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    EXPECT_TRUE(store_.watches.empty()) << "a watch is a charged call";
    EXPECT_FALSE(follower_.isFollowing());
    follower_.setActive(true, Revision(12));
    EXPECT_EQ(store_.watches.front().first, Revision(12));
    EXPECT_FALSE(follower_.isFollowing()) << "the store has not confirmed what is held";
    respond(store_.probes, absl::StatusOr<Revision>(Revision(12)));
    EXPECT_TRUE(follower_.isFollowing());
}

TEST_F(StoreFollowerTest, becomesIdleAfterTheCurrentWatch)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    follower_.setActive(false, Revision(7));
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    timers_.advance(StoreFollower::changeBatchDelay * 3);
    EXPECT_TRUE(store_.watches.empty());
}

// The peers that poll this node may not rely on it before the store has told it what it missed.
TEST_F(StoreFollowerTest, isNotFollowingAfterAPauseUntilTheStoreHasResponded)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    const auto abandoned = store_.watches.front().second;
    store_.watches.clear();
    EXPECT_TRUE(follower_.isFollowing());
    follower_.resumeAfterPause();
    EXPECT_FALSE(follower_.isFollowing());
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.waits.back(), StoreFollower::recoveryWatchDuration);
    abandoned(RecordChanges{{}, Revision(7)});
    EXPECT_FALSE(follower_.isFollowing());
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_TRUE(follower_.isFollowing());
    EXPECT_EQ(changed_, 1U);
}

namespace {

/** Starts with one watch pending after revision 7, whose first probe has been served. */
class WatchLossTest : public StoreFollowerTest
{
protected:
    WatchLossTest()
    {
        respond(store_.lists,
                absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
        timers_.advance(StoreFollower::firstWatchDelay);
        respondToProbe(Revision(7));
    }

    void respondToProbe(const absl::StatusOr<Revision> &response)
    {
        respond(store_.probes, response);
    }

    void respondToNextProbe(const absl::StatusOr<Revision> &response)
    {
        timers_.advance(WatchMonitor::probePeriod);
        respondToProbe(response);
    }

    std::size_t watchesAfterBackoff()
    {
        timers_.advance(StoreFollower::maximumBackoff);
        return store_.watches.size();
    }
};

} // namespace

// The store falls silent long after the watch began; nothing but a probe shows it.
TEST_F(WatchLossTest, abandonsAWatchWhenTheStoreFallsSilentLater)
{
    for (int probe = 0; probe < 5; ++probe)
        respondToNextProbe(Revision(7));
    EXPECT_TRUE(follower_.isFollowing());
    respondToNextProbe(absl::UnknownError("no response in time"));
    EXPECT_FALSE(follower_.isFollowing()) << "its peers would wait for changes from it";
    EXPECT_EQ(outages_, 1);
    EXPECT_EQ(watchesAfterBackoff(), 2U);
    EXPECT_EQ(store_.waits.back(), StoreFollower::recoveryWatchDuration);
}

// Only the response to the watch was lost: probes on other connections are served.
TEST_F(WatchLossTest, abandonsAWatchThatDoesNotDeliverAChangeThatAProbeHasShown)
{
    respondToNextProbe(Revision(9));
    timers_.advance(WatchMonitor::probedDeliveryTime - milliseconds(1));
    EXPECT_TRUE(follower_.isFollowing()) << "the change may be on its way";
    EXPECT_EQ(store_.watches.size(), 1U);
    timers_.advance(milliseconds(1));
    EXPECT_FALSE(follower_.isFollowing());
    EXPECT_EQ(store_.watches.size(), 2U) << "a change is missing, so the next attempt is immediate";
    EXPECT_EQ(store_.watches.back().first, Revision(7));
    EXPECT_EQ(store_.waits.back(), StoreFollower::recoveryWatchDuration);
}

// Guards against charged reads, one after the other, until the watch has delivered a known change.
TEST_F(WatchLossTest, sendsNoFurtherProbeWhileItWaitsForAKnownChange)
{
    while (store_.probes.empty())
        timers_.advance(milliseconds(1));
    respondToProbe(Revision(9));
    timers_.advance(WatchMonitor::deliveryTime - milliseconds(1));
    EXPECT_TRUE(store_.probes.empty());
}

TEST_F(WatchLossTest, noticesALostWatchInTimeAlthoughStaleReadsShowNoChange)
{
    const auto changedAt = timers_.now();
    while (follower_.isFollowing() && timers_.now() - changedAt < std::chrono::seconds(10)) {
        timers_.advance(milliseconds(10));
        while (follower_.isFollowing() && !store_.probes.empty()) {
            const bool isStale = store_.consistencies.back() == ReadConsistency::MayBeStale;
            respondToProbe(Revision(isStale ? 7 : 9));
        }
    }
    EXPECT_LE(timers_.now() - changedAt, WatchMonitor::probePeriod + WatchMonitor::deliveryTime);
}

// Guards against a follower that relies on its watch although its peers hold a later change.
TEST_F(WatchLossTest, abandonsAWatchThatMissesWhatAnotherNodeHolds)
{
    follower_.recordRevision(Revision(7));
    timers_.advance(WatchMonitor::deliveryTime);
    EXPECT_TRUE(follower_.isFollowing());
    const int missingBefore = missingProofs_;
    follower_.recordRevision(Revision(8));
    follower_.recordRevision(Revision(9));
    timers_.advance(WatchMonitor::promptDeliveryTime);
    EXPECT_EQ(missingProofs_, missingBefore + 1) << "it is fetched from the other node";
    EXPECT_TRUE(follower_.isFollowing());
    timers_.advance(WatchMonitor::deliveryTime - WatchMonitor::promptDeliveryTime);
    EXPECT_FALSE(follower_.isFollowing());
    EXPECT_EQ(store_.watches.size(), 2U);
}

// Guards against a silent store that is noticed only when a probe times out.
TEST_F(WatchLossTest, reportsAMissingProofBeforeTheProbeTimesOut)
{
    while (store_.probes.empty())
        timers_.advance(milliseconds(1));
    timers_.advance(WatchMonitor::overdueTime - milliseconds(1));
    EXPECT_EQ(missingProofs_, 0);
    timers_.advance(milliseconds(1));
    EXPECT_EQ(missingProofs_, 1);
    EXPECT_TRUE(follower_.isFollowing()) << "the store may be slow";
}

// Guards against a rejected follower that relies on its watch until the store serves it again.
TEST_F(WatchLossTest, givesUpItsWatchWhenTheStoreRefusesItAndServesOthers)
{
    while (store_.probes.empty())
        timers_.advance(milliseconds(1));
    respond(store_.probes, absl::StatusOr<Revision>(absl::UnavailableError("refused")));
    EXPECT_EQ(missingProofs_, 1);
    timers_.advance(WatchMonitor::probePeriod / 2);
    EXPECT_TRUE(follower_.isFollowing()) << "the store may be out for all nodes";
    sharedContact_ = timers_.now();
    timers_.advance(WatchMonitor::probePeriod);
    EXPECT_FALSE(follower_.isFollowing());
}

TEST_F(StoreFollowerTest, readsTheChangesOnceForOthersWhileItIsIdle)
{
    follower_.setActive(false, Revision(0));
    follower_.readChanges();
    EXPECT_TRUE(store_.watches.empty()) << "it has not listed the records";
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    const auto askedAt = timers_.now();
    follower_.readChanges();
    follower_.readChanges();
    ASSERT_EQ(store_.watches.size(), 1U) << "each read is charged";
    EXPECT_EQ(store_.watches.front().first, Revision(7));
    timers_.advance(milliseconds(20));
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    EXPECT_EQ(follower_.lastContact(), askedAt);
    EXPECT_FALSE(follower_.isFollowing());
    timers_.advance(std::chrono::seconds(5));
    EXPECT_TRUE(store_.watches.empty());
}

// Guards against an idle node that can read for nobody once the store has compacted its revision.
TEST_F(StoreFollowerTest, listsForOthersWhenTheHistoryIsCompacted)
{
    follower_.setActive(false, Revision(0));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    follower_.readChanges();
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 20)}, Revision(20), false}));
    EXPECT_EQ(listed_, 1U);
    timers_.advance(std::chrono::seconds(5));
    EXPECT_TRUE(store_.watches.empty());
}

// Guards against a charged read of each follower for what one of them knows already.
TEST_F(WatchLossTest, sendsNoProbeWhileAnotherNodeIsInTouchWithTheStore)
{
    for (int step = 0; step < 20; ++step) {
        sharedContact_ = timers_.now();
        timers_.advance(WatchMonitor::probePeriod / 2);
    }
    EXPECT_TRUE(store_.probes.empty());
    timers_.advance(WatchMonitor::probePeriod / 2 - milliseconds(1));
    EXPECT_TRUE(store_.probes.empty());
    timers_.advance(milliseconds(1));
    EXPECT_EQ(store_.probes.size(), 1U) << "a period after the last contact";
}

// Guards against a node that covers others by a watch of which nothing is known.
TEST_F(StoreFollowerTest, provesAWatchThatItBeginsForOthers)
{
    follower_.setActive(false, Revision(0));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    follower_.setActive(true, Revision(12));
    ASSERT_EQ(store_.consistencies.size(), 1U);
    EXPECT_EQ(store_.consistencies.back(), ReadConsistency::Linearizable);
}

// Guards against coverage by a node that has just read of a change that it lacks.
TEST_F(WatchLossTest, isNotFollowingWhenTheReadAfterAPauseShowsAMissingChange)
{
    follower_.setActive(false, Revision(7));
    follower_.setActive(true, Revision(7));
    respondToProbe(Revision(9));
    EXPECT_FALSE(follower_.isFollowing());
}

// Guards against a store that is slow and gets a further watch for each change.
TEST_F(StoreFollowerTest, keepsAWatchOfASlowStoreUntilItsFirstReadHasResponded)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("z", 7)}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchDelay);
    follower_.recordRevision(Revision(8));
    timers_.advance(milliseconds(250));
    respond(store_.probes, absl::StatusOr<Revision>(Revision(7)));
    timers_.advance(WatchMonitor::deliveryTime - milliseconds(1));
    EXPECT_EQ(store_.watches.size(), 1U);
    timers_.advance(milliseconds(1));
    EXPECT_EQ(store_.watches.size(), 2U);
}

// Guards against more calls, and less coverage, because the limit of calls was exceeded.
TEST_F(WatchLossTest, keepsItsWatchWhenAReadExceedsTheRateLimit)
{
    respondToNextProbe(absl::ResourceExhaustedError("too many calls"));
    respondToNextProbe(Revision(7));
    EXPECT_TRUE(follower_.isFollowing());
    EXPECT_EQ(store_.watches.size(), 1U);
}

// Guards against a store that is probed again and again while it refuses calls.
TEST_F(WatchLossTest, waitsAPeriodAfterARefusedProbe)
{
    while (store_.probes.empty())
        timers_.advance(milliseconds(1));
    respondToProbe(absl::UnavailableError("out of service"));
    timers_.advance(WatchMonitor::probePeriod - milliseconds(1));
    EXPECT_TRUE(store_.probes.empty());
    timers_.advance(milliseconds(1));
    EXPECT_EQ(store_.probes.size(), 1U);
}

// Guards against an outage in which each refused read costs a whole call.
TEST_F(WatchLossTest, probesARefusingStoreByCheapReads)
{
    respondToNextProbe(absl::UnavailableError("out of service"));
    respondToNextProbe(absl::UnavailableError("out of service"));
    EXPECT_EQ(store_.consistencies.back(), ReadConsistency::MayBeStale);
}

// In an outage the nodes that rely on this one would all call the store, again and again.
TEST_F(WatchLossTest, keepsItsWatchWhileProbesAreRefused)
{
    respondToNextProbe(absl::UnavailableError("out of service"));
    EXPECT_TRUE(follower_.isFollowing());
    respondToNextProbe(absl::ResourceExhaustedError("refused"));
    EXPECT_TRUE(follower_.isFollowing());
    EXPECT_EQ(store_.watches.size(), 1U);
}

// A refused node may hold a watch that the store has dropped with the refusals.
TEST_F(WatchLossTest, replacesItsWatchOnceProbesAreServedAgain)
{
    respondToNextProbe(absl::UnavailableError("out of service"));
    respondToNextProbe(Revision(7));
    EXPECT_FALSE(follower_.isFollowing());
    EXPECT_EQ(watchesAfterBackoff(), 2U);
}

// A watch that another node's coverage made needless is not worth charged probes, and covers
// nobody.
TEST_F(WatchLossTest, probesOnlyWhileItIsActive)
{
    follower_.setActive(false, Revision(7));
    EXPECT_FALSE(follower_.isFollowing());
    timers_.advance(WatchMonitor::probePeriod * 5);
    EXPECT_TRUE(store_.probes.empty());
    follower_.setActive(true, Revision(7));
    EXPECT_FALSE(follower_.isFollowing()) << "the watch may have been lost meanwhile";
    respondToProbe(Revision(7));
    EXPECT_TRUE(follower_.isFollowing());
    EXPECT_EQ(store_.watches.size(), 1U);
}

// Guards against two listings at once, whose mixed pages look like one that lacks records.
TEST_F(WatchLossTest, listsOnceWhenAReadAndAnAbandonedWatchFindNoHistory)
{
    follower_.setActive(false, Revision(7));
    follower_.resumeAfterPause();
    follower_.readChanges();
    ASSERT_EQ(store_.watches.size(), 2U);
    const auto read = store_.watches.back().second;
    read(absl::OutOfRangeError("compacted"));
    EXPECT_EQ(store_.lists.size(), 1U);
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    EXPECT_EQ(store_.lists.size(), 1U);
}

// Guards against a change that is skipped because a response named its revision without carrying
// it.
TEST_F(WatchLossTest, requestsAtOnceWhatAResponseNamedAndLeftOut)
{
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(9)}));
    EXPECT_EQ(revision_, Revision(8)) << "the copy would be marked complete through the change";
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches.front().first, Revision(8));
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("b", 9)}, Revision(9)}));
    EXPECT_EQ(revision_, Revision(9));
    EXPECT_EQ(changed_, 2U);
    timers_.advance(StoreFollower::changeBatchDelay);
    EXPECT_EQ(store_.watches.front().first, Revision(9));
}

TEST_F(WatchLossTest, requestsAtOnceWhatAnEmptyResponseNamed)
{
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(8)}));
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches.front().first, Revision(7));
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    EXPECT_EQ(revision_, Revision(8));
}

// Guards against a probe that confirms a revision whose change the node never got.
TEST_F(WatchLossTest, isNotProvenByAProbeOfARevisionThatAResponseOnlyNamed)
{
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(9)}));
    timers_.advance(StoreFollower::changeBatchDelay);
    const auto contact = follower_.lastContact();
    timers_.advance(WatchMonitor::probePeriod);
    respondToProbe(Revision(9));
    EXPECT_EQ(follower_.lastContact(), contact);
    timers_.advance(WatchMonitor::probedDeliveryTime);
    EXPECT_EQ(store_.watches.back().first, Revision(8));
}

TEST_F(WatchLossTest, readsAgainWhatAReadNamedAndLeftOut)
{
    follower_.readChanges();
    const auto read = store_.watches.back().second;
    read(RecordChanges{{record("a", 8)}, Revision(9)});
    EXPECT_EQ(revision_, Revision(8));
    follower_.readChanges();
    EXPECT_EQ(store_.watches.back().first, Revision(8));
    const auto emptyRead = store_.watches.back().second;
    emptyRead(RecordChanges{{}, Revision(9)});
    follower_.readChanges();
    EXPECT_EQ(store_.watches.back().first, Revision(8));
}

// Guards against calls one after the other to a store that counts changes no watch shows.
TEST_F(WatchLossTest, checksOnceForARevisionThatNoWatchShows)
{
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(9)}));
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.waits.back(), StoreFollower::recoveryWatchDuration);
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(10)}));
    ASSERT_EQ(store_.watches.size(), 1U);
    EXPECT_EQ(store_.watches.front().first, Revision(9)) << "known before the call, so complete";
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchDuration);
    EXPECT_TRUE(store_.lists.empty());
    EXPECT_EQ(outages_, 0);
}

// Guards against a further charged call after each change.
TEST_F(WatchLossTest, sendsNoFurtherCallForAResponseThatCarriesWhatItNames)
{
    const std::size_t watches = store_.waits.size();
    respond(store_.watches, absl::StatusOr<RecordChanges>(
                                    RecordChanges{{record("a", 8), record("b", 9)}, Revision(9)}));
    timers_.advance(StoreFollower::changeBatchDelay - milliseconds(1));
    EXPECT_EQ(store_.waits.size(), watches);
    timers_.advance(milliseconds(1));
    EXPECT_EQ(store_.waits.size(), watches + 1);
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchDuration);
    EXPECT_EQ(store_.watches.front().first, Revision(9));
}

TEST_F(WatchLossTest, sendsNoProbeOnceTheWatchHasEnded)
{
    respond(store_.watches,
            absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    timers_.advance(StoreFollower::changeBatchDelay / 2);
    EXPECT_TRUE(store_.probes.empty());
    EXPECT_TRUE(follower_.isFollowing());
}

namespace {

class LeasedRecordTest : public testing::Test, private control::records::RecordContent
{
protected:
    std::string text() const override { return "text"; }
    bool isCurrent(const std::string &stored) const override { return stored == text(); }

    const RecordWrite &write() { return store_.commits.front().first.at(0); }

    PendingStore store_;
    core::timing::ManualTimerService timers_;
    LeasedRecord leasedRecord_{store_, timers_, "own", *this};
};

} // namespace

TEST_F(LeasedRecordTest, writesItsRecordUnlessAPreviousProcessLeftTheSame)
{
    leasedRecord_.recordsListed({record("own", 4)});
    EXPECT_TRUE(store_.commits.empty());
    leasedRecord_.recordChanged(record("own", 9, true));
    ASSERT_FALSE(store_.commits.empty());
    EXPECT_EQ(write().expected, Revision(0));
    EXPECT_NE(write().lease.id, 0U);
}

TEST_F(LeasedRecordTest, writesNothingUntilActive)
{
    leasedRecord_.setActive(false);
    leasedRecord_.recordsListed({});
    leasedRecord_.recordChanged(record("own", 9, true));
    EXPECT_TRUE(store_.commits.empty());
    leasedRecord_.setActive(true);
    EXPECT_FALSE(store_.commits.empty());
}

TEST_F(LeasedRecordTest, acceptsTheWatchAsResultOfAWriteWhoseResponseWasLost)
{
    leasedRecord_.recordsListed({});
    respond(store_.commits, absl::StatusOr<Revision>(absl::UnknownError("lost")));
    leasedRecord_.recordChanged(record("own", 5));
    timers_.advance(LeasedRecord::retryDelay * 3);
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(LeasedRecordTest, retriesAfterAnOutage)
{
    leasedRecord_.recordsListed({});
    respond(store_.commits, absl::StatusOr<Revision>(absl::UnavailableError("out")));
    timers_.advance(LeasedRecord::retryDelay);
    ASSERT_FALSE(store_.commits.empty());
    respond(store_.commits, absl::StatusOr<Revision>(Revision(12)));
    timers_.advance(LeasedRecord::retryDelay * 3);
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(LeasedRecordTest, requestsANewLeaseWhenItsLeaseExpired)
{
    leasedRecord_.recordsListed({});
    respond(store_.commits, absl::StatusOr<Revision>(absl::NotFoundError("lease")));
    timers_.advance(LeasedRecord::retryDelay);
    ASSERT_FALSE(store_.commits.empty());
    EXPECT_EQ(store_.leases, 2U);
}

//==============================================================================
TEST(NodeRecord, holdsTheAddressesOfOtherNodes)
{
    const control::records::NodeRecord record{{"10.0.0.1", 7000},
                                              {{"10.0.0.2", 7001}, {"10.0.0.3", 7002}}};
    const auto read = control::records::readNodeRecord(control::records::nodeRecordText(record));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->peerAddress, record.peerAddress);
    EXPECT_EQ(read->knownNodes, record.knownNodes);
}

// Other releases write records without other nodes, and other writers odd ones.
TEST(NodeRecord, ignoresWhatItCanNotRead)
{
    using control::records::readNodeRecord;
    EXPECT_EQ(readNodeRecord(R"({"peers":"10.0.0.1:7000"})")->knownNodes.size(), 0U);
    EXPECT_EQ(
            readNodeRecord(R"({"peers":"10.0.0.1:7000","knownNodes":{"a":1}})")->knownNodes.size(),
            0U);
    EXPECT_EQ(readNodeRecord(R"({"peers":"10.0.0.1:7000","knownNodes":[1,"x","10.0.0.2:99999",
                                 "10.0.0.3:7000"]})")
                      ->knownNodes.size(),
              1U);
    EXPECT_FALSE(readNodeRecord(R"({"knownNodes":["10.0.0.3:7000"]})"));
    EXPECT_FALSE(readNodeRecord("["));
}
