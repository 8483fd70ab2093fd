/** Tests how a node goes on after a listing that names a later revision than its records show. */
#include "PendingStore.h"
#include "control/records/StoreFollower.h"
#include "core/timing/ManualTimerService.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::records;
using core::identity::Revision;
using tests::PendingStore;
using tests::respond;

namespace {

StoreRecord record(const std::string &key, std::uint64_t revision)
{
    return StoreRecord{key, Revision(revision), "text", false};
}

class EarlyListingTest : public testing::Test, public StoreFollower::Listener
{
protected:
    EarlyListingTest() { follower_.start(); }

    void recordsListed(const std::vector<StoreRecord> & /*records*/, Revision revision) override
    {
        revision_ = revision;
    }
    void recordsChanged(const RecordChanges &changes) override { revision_ = changes.revision; }
    void storeUnavailable(const absl::Status & /*error*/) override {}
    void storeRecovered() override {}

    PendingStore store_;
    core::timing::ManualTimerService timers_;
    Revision revision_;
    StoreFollower follower_{store_, timers_, *this, 1};
};

} // namespace

// Guards against calls after each listing, which all nodes of a fleet would send when it starts.
TEST_F(EarlyListingTest, readsNothingAfterAListingThatCarriesWhatItNames)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 7)}, Revision(7), false}));
    EXPECT_TRUE(store_.watches.empty());
}

// Guards against a node that stays behind for ever since the last change was a removal.
TEST_F(EarlyListingTest, reachesTheNamedRevisionByAReadThatFindsNoChange)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 5)}, Revision(7), false}));
    EXPECT_EQ(revision_, Revision(5));
    respond(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(9)}));
    EXPECT_EQ(revision_, Revision(7)) << "the read was sent once 7 was known, and before 9 was";
}

// Guards against listings without end when the store has no history of what a listing left out.
TEST_F(EarlyListingTest, believesASecondListingUpToTheRevisionThatTheFirstNamed)
{
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 5)}, Revision(7), false}));
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    timers_.advance(StoreFollower::firstWatchDelay);
    respond(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 5)}, Revision(7), false}));
    EXPECT_EQ(revision_, Revision(7));
    EXPECT_TRUE(store_.watches.empty());
    EXPECT_TRUE(store_.lists.empty());
}

// Guards against a node that goes back to what it held before when it lists the records again.
TEST_F(EarlyListingTest, watchesFromAKnownRevisionAfterAnEarlyListing)
{
    follower_.setActive(true, Revision(8));
    respond(store_.lists,
            absl::StatusOr<RecordPage>(RecordPage{{record("a", 5)}, Revision(7), false}));
    EXPECT_TRUE(store_.watches.empty()) << "a peer has told what the listing names";
    timers_.advance(StoreFollower::firstWatchDelay);
    EXPECT_EQ(store_.watches.front().first, Revision(8));
}
