/** Tests how a node follows the store and keeps its own entry, through outages and lost answers. */
#include "control/records/StoreFollower.h"
#include "control/records/EntryKeeper.h"
#include "core/timing/ManualTimerService.h"

#include <deque>
#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::records;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

/** A store whose calls wait until the test answers them. */
class HeldStore : public RecordStore
{
public:
    void list(const std::string & /*prefix*/, const std::string &after, milliseconds /*timeout*/,
              Reply<RecordPage> reply) override
    {
        lists.push_back({after, std::move(reply)});
    }

    void watch(const std::string & /*prefix*/, Revision after, milliseconds wait,
               milliseconds /*timeout*/, Reply<RecordChanges> reply) override
    {
        waits.push_back(wait);
        watches.push_back({after, std::move(reply)});
    }

    void probe(milliseconds /*timeout*/, Reply<Revision> reply) override
    {
        probes.push_back({Revision(0), std::move(reply)});
    }

    void commit(const std::vector<RecordWrite> &writes, milliseconds /*timeout*/,
                Reply<Revision> reply) override
    {
        commits.push_back({writes, std::move(reply)});
    }

    void grantLease(std::chrono::milliseconds timeToLive, milliseconds /*timeout*/,
                    Reply<Lease> reply) override
    {
        ++leases;
        reply(Lease{leases, timeToLive});
    }

    void renewLease(const Lease &lease, milliseconds /*timeout*/, Reply<Lease> reply) override
    {
        reply(lease);
    }

    std::deque<std::pair<std::string, Reply<RecordPage>>> lists;
    std::deque<std::pair<Revision, Reply<RecordChanges>>> watches;
    std::deque<std::pair<Revision, Reply<Revision>>> probes;
    std::deque<std::pair<std::vector<RecordWrite>, Reply<Revision>>> commits;
    std::vector<milliseconds> waits;
    std::uint64_t leases = 0;
};

template <typename Call, typename Answer>
void answer(std::deque<Call> &calls, const Answer &answer)
{
    ASSERT_FALSE(calls.empty());
    const auto reply = calls.front().second;
    calls.pop_front();
    reply(answer);
}

OperatorRecord record(const std::string &key, std::uint64_t revision, bool isRemoved = false)
{
    return OperatorRecord{key, Revision(revision), isRemoved ? "" : "text", isRemoved};
}

class StoreFollowerTest : public testing::Test, public StoreFollower::Listener
{
protected:
    StoreFollowerTest() { follower_.start(); }

    void recordsListed(const std::vector<OperatorRecord> &records, Revision revision) override
    {
        listed_ = records.size();
        revision_ = revision;
    }
    void recordsChanged(const RecordChanges &changes) override
    {
        changed_ += changes.changes.size();
    }
    void storeLost(const absl::Status & /*error*/) override { ++lost_; }
    void storeRegained() override { ++regained_; }

    HeldStore store_;
    core::timing::ManualTimerService timers_;
    std::size_t listed_ = 0;
    std::size_t changed_ = 0;
    Revision revision_;
    int lost_ = 0;
    int regained_ = 0;
    StoreFollower follower_{store_, timers_, *this, 1};
};

} // namespace

TEST_F(StoreFollowerTest, watchesFromTheRevisionOfTheFirstPage)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(
                                 RecordPage{{record("a", 3), record("b", 5)}, Revision(7), true}));
    EXPECT_EQ(store_.lists.front().first, "b");
    EXPECT_EQ(listed_, 0U);
    answer(store_.lists,
           absl::StatusOr<RecordPage>(RecordPage{{record("c", 9)}, Revision(9), false}));
    EXPECT_EQ(listed_, 3U);
    EXPECT_EQ(revision_, Revision(7)) << "what changed between the pages comes by the watch";
    timers_.advance(StoreFollower::firstWatchPause);
    EXPECT_EQ(store_.watches.front().first, Revision(7));
}

TEST_F(StoreFollowerTest, goesOnFromItsRevisionAfterAnOutage)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    for (int failure = 0; failure < 6; ++failure) {
        answer(store_.watches, absl::StatusOr<RecordChanges>(absl::UnavailableError("out")));
        EXPECT_TRUE(store_.watches.empty());
        timers_.advance(StoreFollower::longestBackoff);
        ASSERT_FALSE(store_.watches.empty());
        EXPECT_EQ(store_.watches.front().first, Revision(7));
    }
    EXPECT_EQ(lost_, 1);
    answer(store_.watches,
           absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(regained_, 1);
    EXPECT_EQ(changed_, 1U);
    timers_.advance(StoreFollower::changePause);
    EXPECT_EQ(store_.watches.front().first, Revision(8));
}

TEST_F(StoreFollowerTest, triesAStoreThatFailedWithAShortWatchFirst)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchTime);
    answer(store_.watches, absl::StatusOr<RecordChanges>(absl::UnknownError("no response")));
    timers_.advance(StoreFollower::longestBackoff);
    EXPECT_EQ(store_.waits.back(), StoreFollower::trialWatchTime);
    answer(store_.watches, absl::StatusOr<RecordChanges>(RecordChanges{{}, Revision(7)}));
    EXPECT_EQ(store_.waits.back(), StoreFollower::watchTime);
}

// A silent store takes the watch and forgets it; the node would be deaf until the watch times out.
TEST_F(StoreFollowerTest, givesUpAWatchThatTheStoreMayHaveForgotten)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    const auto forgotten = store_.watches.front().second;
    store_.watches.clear();
    answer(store_.probes, absl::StatusOr<Revision>(absl::UnknownError("no response in time")));
    timers_.advance(StoreFollower::longestBackoff);
    ASSERT_EQ(store_.watches.size(), 1U);
    forgotten(RecordChanges{{record("a", 8)}, Revision(8)});
    EXPECT_EQ(changed_, 0U) << "the next watch brings it";
    answer(store_.watches,
           absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    answer(store_.probes, absl::StatusOr<Revision>(absl::UnknownError("late")));
    EXPECT_EQ(lost_, 1) << "the probe of a watch that was answered says nothing";
}

TEST_F(StoreFollowerTest, listsAgainWhenTheHistoryIsGone)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    answer(store_.watches, absl::StatusOr<RecordChanges>(absl::OutOfRangeError("compacted")));
    ASSERT_FALSE(store_.lists.empty());
    answer(store_.lists,
           absl::StatusOr<RecordPage>(RecordPage{{record("a", 20)}, Revision(20), false}));
    EXPECT_EQ(listed_, 1U);
    timers_.advance(StoreFollower::firstWatchPause);
    EXPECT_EQ(store_.watches.front().first, Revision(20));
}

TEST_F(StoreFollowerTest, restsWhileItIsNotWantedAndGoesOnFromWhatIsKnown)
{
    follower_.setWanted(false, Revision(0));
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    EXPECT_TRUE(store_.watches.empty()) << "a watch is a priced call";
    EXPECT_FALSE(follower_.isFollowing());
    follower_.setWanted(true, Revision(12));
    EXPECT_EQ(store_.watches.front().first, Revision(12));
    EXPECT_TRUE(follower_.isFollowing());
}

TEST_F(StoreFollowerTest, endsWithTheWatchThatIsUnderWay)
{
    answer(store_.lists, absl::StatusOr<RecordPage>(RecordPage{{}, Revision(7), false}));
    timers_.advance(StoreFollower::firstWatchPause);
    follower_.setWanted(false, Revision(7));
    answer(store_.watches,
           absl::StatusOr<RecordChanges>(RecordChanges{{record("a", 8)}, Revision(8)}));
    EXPECT_EQ(changed_, 1U);
    timers_.advance(StoreFollower::changePause * 3);
    EXPECT_TRUE(store_.watches.empty());
}

namespace {

class EntryKeeperTest : public testing::Test
{
protected:
    const RecordWrite &write() { return store_.commits.front().first.at(0); }

    HeldStore store_;
    core::timing::ManualTimerService timers_;
    EntryKeeper keeper_{store_, timers_, "own", "text"};
};

} // namespace

TEST_F(EntryKeeperTest, writesItsEntryUnlessAFormerProcessLeftTheSame)
{
    keeper_.recordsListed({record("own", 4)});
    EXPECT_TRUE(store_.commits.empty());
    keeper_.recordChanged(record("own", 9, true));
    ASSERT_FALSE(store_.commits.empty());
    EXPECT_EQ(write().expected, Revision(0));
    EXPECT_NE(write().lease.id, 0U);
}

TEST_F(EntryKeeperTest, writesNothingUntilTheEntryIsWanted)
{
    keeper_.setWanted(false);
    keeper_.recordsListed({});
    keeper_.recordChanged(record("own", 9, true));
    EXPECT_TRUE(store_.commits.empty());
    keeper_.setWanted(true);
    EXPECT_FALSE(store_.commits.empty());
}

TEST_F(EntryKeeperTest, settlesAWriteWhoseAnswerWasLostByWhatTheWatchTells)
{
    keeper_.recordsListed({});
    answer(store_.commits, absl::StatusOr<Revision>(absl::UnknownError("lost")));
    keeper_.recordChanged(record("own", 5));
    timers_.advance(EntryKeeper::retryTime * 3);
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(EntryKeeperTest, triesAgainAfterAnOutage)
{
    keeper_.recordsListed({});
    answer(store_.commits, absl::StatusOr<Revision>(absl::UnavailableError("out")));
    timers_.advance(EntryKeeper::retryTime);
    ASSERT_FALSE(store_.commits.empty());
    answer(store_.commits, absl::StatusOr<Revision>(Revision(12)));
    timers_.advance(EntryKeeper::retryTime * 3);
    EXPECT_TRUE(store_.commits.empty());
}

TEST_F(EntryKeeperTest, takesANewLeaseWhenItsLeaseEnded)
{
    keeper_.recordsListed({});
    answer(store_.commits, absl::StatusOr<Revision>(absl::NotFoundError("lease")));
    timers_.advance(EntryKeeper::retryTime);
    ASSERT_FALSE(store_.commits.empty());
    EXPECT_EQ(store_.leases, 2U);
}
