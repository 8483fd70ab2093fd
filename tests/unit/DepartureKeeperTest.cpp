/** Tests that the store keeps departures through failures of its calls, and that a new process
    reads them. */
#include "PendingStore.h"
#include "control/records/DepartureRecord.h"
#include "control/records/StoreDepartureKeeper.h"
#include "core/timing/ManualTimerService.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::records;
using control::membership::AnnouncementStamp;
using core::identity::NodeId;
using core::identity::Revision;
using core::timing::WallTime;
using std::chrono::milliseconds;
using tests::PendingStore;
using tests::respond;

namespace {

const NodeId node("gw-a-1");
const AnnouncementStamp departure{"i-1", 5, WallTime(milliseconds(100))};

/** A keeper of the departures at one node, and its store. */
class DepartureKeeperTest : public testing::Test
{
protected:
    // Returns the records of all writes that are pending, as a listing shows them once they are
    // executed.
    std::vector<StoreRecord> writtenRecords() const
    {
        std::vector<StoreRecord> records;
        for (const auto &[writes, callback] : store_.commits) {
            for (const RecordWrite &write : writes)
                records.push_back(StoreRecord{write.key, Revision(7), write.text, false});
        }
        return records;
    }

    PendingStore store_;
    core::timing::ManualTimerService timers_;
    StoreDepartureKeeper keeper_{store_, timers_, node};
};

} // namespace

TEST_F(DepartureKeeperTest, keepsADepartureOnceTheStoreHasWrittenIt)
{
    keeper_.keep(departure);
    EXPECT_FALSE(keeper_.isKept(departure));
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(departuresAt(node, writtenRecords()), std::vector{departure});
    EXPECT_TRUE(departuresAt(NodeId("gw-a-10"), writtenRecords()).empty());
    EXPECT_TRUE(departuresAt(NodeId("gw-a"), writtenRecords()).empty());
    EXPECT_NE(store_.commits.front().first.front().lease.id, 0U) << "it would stay for good";
    respond(store_.commits, absl::StatusOr<Revision>(Revision(7)));
    EXPECT_TRUE(keeper_.isKept(departure));
    AnnouncementStamp repeated = departure;
    repeated.sequence = 6;
    EXPECT_TRUE(keeper_.isKept(repeated));
    keeper_.keep(repeated);
    EXPECT_TRUE(store_.commits.empty());
    EXPECT_FALSE(keeper_.isKept({"i-1", 1, WallTime(milliseconds(200))})) << "the next start";
}

TEST_F(DepartureKeeperTest, writesAgainAfterFailures)
{
    store_.isLeaseRefused = true;
    keeper_.keep(departure);
    EXPECT_TRUE(store_.commits.empty());
    store_.isLeaseRefused = false;
    timers_.advance(StoreDepartureKeeper::initialBackoff);
    respond(store_.commits, absl::StatusOr<Revision>(absl::UnavailableError("out")));
    EXPECT_FALSE(keeper_.isKept(departure));
    timers_.advance(2 * StoreDepartureKeeper::initialBackoff);
    // The response to an earlier attempt was lost, and the store had executed it.
    respond(store_.commits, absl::StatusOr<Revision>(absl::AbortedError("exists")));
    EXPECT_TRUE(keeper_.isKept(departure));
    timers_.advance(std::chrono::minutes(1));
    EXPECT_TRUE(store_.commits.empty());
}

// A write that the store executes late must not replace the record of a later departure.
TEST_F(DepartureKeeperTest, givesEachStartOfAnUpstreamItsOwnRecord)
{
    const AnnouncementStamp later{"i-1", 2, WallTime(milliseconds(200))};
    keeper_.keep(departure);
    keeper_.keep(later);
    EXPECT_EQ(departuresAt(node, writtenRecords()), (std::vector{departure, later}));
    EXPECT_NE(departureRecordKey(node, departure), departureRecordKey(node, later));
    respond(store_.commits, absl::StatusOr<Revision>(Revision(7)));
    EXPECT_FALSE(keeper_.isKept(departure)) << "nobody waits for the first one any more";
    respond(store_.commits, absl::StatusOr<Revision>(Revision(8)));
    EXPECT_TRUE(keeper_.isKept(later));
}

TEST(DepartureRecord, readsNoDepartureFromOtherTexts)
{
    for (const char *text :
         {"", "[]", "{}", R"({"instance":7,"sequence":1})", R"({"instance":"i-1","sequence":-1})"})
        EXPECT_FALSE(readDepartureRecord(text)) << text;
    const AnnouncementStamp unstamped{"i-\xff", 0, std::nullopt};
    EXPECT_TRUE(readDepartureRecord(departureRecordText(unstamped)));
    const AnnouncementStamp longName{std::string(4000, 'x'), 0, std::nullopt};
    EXPECT_LE(departureRecordKey(node, longName).size(), 200U);
}
