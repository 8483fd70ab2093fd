/** Tests when a node applies for the duty, and until when it holds it. */
#include "control/usage/HolderElection.h"
#include "ManualLeaseClock.h"
#include "PendingLeaseStore.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using control::records::Lease;
using control::records::RecordPage;
using control::records::RecordTable;
using control::records::StoreRecord;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using tests::respond;

namespace {

const std::string key = "duty/holder";
const std::string outcomeKey = "duty/report";
constexpr milliseconds leaseTime{3000};

DutyHolder member(const std::string &node)
{
    return DutyHolder{NodeId(node), 1, NetworkAddress{"127.0.0.1", 7001}};
}

/** The election at node "b", which is second in the order. */
class HolderElectionTest : public testing::Test, protected HolderElectionListener
{
protected:
    void SetUp() override
    {
        election_.setOrder({member("a"), self_, member("c")});
        clock_.time += seconds(10);
        changeRecord("", false);
        clock_.time += milliseconds(300);
    }

    void dutyGained(FencingToken token) override { gained_.push_back(token.number()); }
    void dutyLost(FencingToken /*token*/, const std::string &reason) override
    {
        losses_.push_back(reason);
    }

    // Changes the holder's record in the node's copy; the empty text removes it.
    void changeRecord(const std::string &text, bool exists = true)
    {
        revision_ = revision_.next();
        records_.merge(StoreRecord{key, revision_, text, !exists});
        records_.completeThrough(revision_);
        election_.recordsChanged(records_);
    }

    // Lets a time pass in steps as the owner does.
    void pass(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds(100)) {
            clock_.time += milliseconds(100);
            election_.update();
        }
    }

    void grant() { respond(store_.grants, absl::StatusOr<Lease>(Lease{++lease_, leaseTime})); }

    void commit(const absl::StatusOr<Revision> &response) { respond(store_.commits, response); }

    void list(const std::vector<StoreRecord> &records)
    {
        respond(store_.lists, absl::StatusOr<RecordPage>(RecordPage{records, revision_, false}));
    }

    // Lets the node win the election with a token.
    void win(std::uint64_t token)
    {
        election_.update();
        grant();
        revision_ = Revision(token);
        commit(Revision(token));
        ASSERT_TRUE(election_.token());
    }

    const DutyHolder self_ = member("b");
    tests::PendingLeaseStore store_;
    tests::ManualLeaseClock clock_;
    RecordTable records_;
    Revision revision_{100};
    std::uint64_t lease_ = 0;
    std::vector<std::uint64_t> gained_;
    std::vector<std::string> losses_;
    HolderElection election_{
            HolderElection::Dependencies{store_, clock_, *this, self_, key, outcomeKey, leaseTime}};
};

} // namespace

// Guards against a token that is not above those of earlier holders, and a write that replaces
// another holder's record.
TEST_F(HolderElectionTest, takesTheRevisionOfItsRecordForItsToken)
{
    election_.update();
    ASSERT_EQ(store_.grants.size(), 1U);
    EXPECT_EQ(store_.grants.front().first, leaseTime);
    grant();
    ASSERT_EQ(store_.commits.size(), 1U);
    const auto &write = store_.commits.front().first.front();
    EXPECT_EQ(write.expected, Revision{});
    EXPECT_EQ(write.lease.id, lease_);
    EXPECT_EQ(write.text, self_.toText());
    EXPECT_FALSE(election_.token());
    commit(Revision(150));
    EXPECT_EQ(election_.token(), FencingToken(150));
    EXPECT_EQ(gained_, std::vector<std::uint64_t>{150});
}

// Guards against applications of all nodes at once, each of which costs calls.
TEST_F(HolderElectionTest, waitsByItsPlaceInTheOrder)
{
    changeRecord("x");
    changeRecord("", false);
    election_.setOrder({member("a"), member("c"), self_});
    pass(milliseconds(500));
    EXPECT_TRUE(store_.grants.empty());
    pass(milliseconds(100));
    EXPECT_EQ(store_.grants.size(), 1U);
}

// Guards against applications of hundreds of nodes in a large fleet.
TEST_F(HolderElectionTest, appliesOnlyFromTheFirstFivePlaces)
{
    election_.setOrder({member("a"), member("c"), member("d"), member("e"), member("f"), self_});
    pass(seconds(30));
    EXPECT_TRUE(store_.grants.empty());
    election_.setOrder({member("a"), member("c"), member("d"), member("e"), self_});
    pass(milliseconds(100));
    EXPECT_EQ(store_.grants.size(), 1U);
}

// Guards against an application by a node that does not know the store's records, or knows a
// holder.
TEST_F(HolderElectionTest, appliesOnlyForAVacantDuty)
{
    changeRecord(member("a").toText());
    pass(seconds(10));
    EXPECT_TRUE(store_.grants.empty());
    EXPECT_EQ(election_.holder(), member("a"));
    election_.recordsChanged(RecordTable{});
    pass(seconds(10));
    EXPECT_TRUE(store_.grants.empty()) << "nothing is known of the store";
    changeRecord("not a holder");
    pass(seconds(10));
    EXPECT_TRUE(store_.grants.empty()) << "the key exists";
}

// Guards against a holder whose lease ran out while the response to its grant was on its way.
TEST_F(HolderElectionTest, countsTheLeaseFromTheSendingOfItsGrant)
{
    election_.update();
    clock_.time += milliseconds(1400);
    grant();
    clock_.time += milliseconds(1300);
    commit(Revision(150));
    EXPECT_EQ(election_.token(), FencingToken(150));
    EXPECT_LE(election_.sendBefore(), clock_.now() + milliseconds(100));
    clock_.time += milliseconds(100);
    EXPECT_FALSE(election_.token());
    election_.update();
    EXPECT_EQ(losses_, std::vector<std::string>{"the lease expired"});
}

// Guards against a duty that is gained after the lease has ended, as after a pause.
TEST_F(HolderElectionTest, gainsNothingOnceTheLeaseHasEnded)
{
    election_.update();
    grant();
    clock_.time += seconds(3);
    commit(Revision(150));
    EXPECT_FALSE(election_.token());
    EXPECT_TRUE(gained_.empty());
}

// Guards against a lease that is taken for longer than the store granted it.
TEST_F(HolderElectionTest, takesAShorterLifetimeFromTheStore)
{
    election_.update();
    respond(store_.grants, absl::StatusOr<Lease>(Lease{1, milliseconds(1000)}));
    commit(Revision(150));
    clock_.time += milliseconds(800);
    EXPECT_FALSE(election_.token());
}

// Guards against a renewal that extends the lease from its response, which may be a second late.
TEST_F(HolderElectionTest, renewsOnceASecondAndCountsFromTheSending)
{
    win(150);
    pass(milliseconds(1000));
    ASSERT_EQ(store_.renewals.size(), 1U);
    const nanoseconds sentAt = clock_.now();
    pass(milliseconds(800));
    EXPECT_EQ(store_.renewals.size(), 1U);
    respond(store_.renewals, absl::StatusOr<Lease>(Lease{lease_, leaseTime}));
    pass(milliseconds(200));
    EXPECT_EQ(store_.renewals.size(), 1U) << "the second renewal";
    clock_.time = sentAt + milliseconds(2799);
    EXPECT_TRUE(election_.token());
    clock_.time = sentAt + milliseconds(2800);
    EXPECT_FALSE(election_.token());
}

// Guards against a holder that resumes after a suspension with the response to an old renewal.
TEST_F(HolderElectionTest, aRenewalDoesNotReviveAnExpiredLease)
{
    win(150);
    pass(milliseconds(1000));
    clock_.time += seconds(2);
    respond(store_.renewals, absl::StatusOr<Lease>(Lease{lease_, leaseTime}));
    EXPECT_FALSE(election_.token());
    EXPECT_EQ(losses_, std::vector<std::string>{"the lease expired"});
}

// Guards against a holder whose lease the store has lost in an outage.
TEST_F(HolderElectionTest, losesTheDutyWithItsLease)
{
    win(150);
    pass(milliseconds(1000));
    respond(store_.renewals, absl::StatusOr<Lease>(absl::NotFoundError("expired")));
    EXPECT_FALSE(election_.token());
    EXPECT_EQ(losses_.size(), 1U);
}

// Guards against an end of the duty because of a store that fails for a moment.
TEST_F(HolderElectionTest, keepsTheDutyWhileTheLeaseLasts)
{
    win(150);
    pass(milliseconds(1000));
    respond(store_.renewals, absl::StatusOr<Lease>(absl::UnavailableError("out")));
    pass(milliseconds(1000));
    respond(store_.renewals, absl::StatusOr<Lease>(absl::UnknownError("lost")));
    EXPECT_TRUE(election_.token());
    pass(milliseconds(800));
    EXPECT_FALSE(election_.token());
}

// Guards against a holder that ignores its successor, and one that gives up because of its own
// record or an older change.
TEST_F(HolderElectionTest, losesTheDutyToALaterRecord)
{
    election_.update();
    grant();
    revision_ = Revision(150);
    commit(Revision(150));
    records_.merge(StoreRecord{key, Revision(140), "", true});
    election_.recordsChanged(records_);
    EXPECT_TRUE(election_.token()) << "an older change";
    records_.merge(StoreRecord{key, Revision(150), self_.toText(), false});
    election_.recordsChanged(records_);
    EXPECT_TRUE(election_.token()) << "its own record";
    changeRecord(member("c").toText());
    EXPECT_FALSE(election_.token());
}

// Guards against a duty that nobody performs, as the response that granted it was lost.
TEST_F(HolderElectionTest, settlesAWriteWithoutResponseByListing)
{
    election_.update();
    grant();
    commit(absl::UnknownError("lost"));
    ASSERT_EQ(store_.lists.size(), 1U);
    list({StoreRecord{key, Revision(150), self_.toText(), false}});
    EXPECT_EQ(election_.token(), FencingToken(150));
}

// Guards against a process that takes the record of another one for its own.
TEST_F(HolderElectionTest, doesNotTakeARecordOfAnotherProcess)
{
    election_.update();
    grant();
    commit(absl::UnknownError("lost"));
    DutyHolder predecessor = self_;
    predecessor.generation = 0;
    list({StoreRecord{key, Revision(150), predecessor.toText(), false}});
    EXPECT_FALSE(election_.token());
}

// Guards against a token that this process had before: its old record may still exist when a
// renewal was executed late.
TEST_F(HolderElectionTest, doesNotTakeItsEarlierRecord)
{
    win(150);
    election_.resign("test", milliseconds(0));
    pass(seconds(5));
    grant();
    commit(absl::UnknownError("lost"));
    list({StoreRecord{key, Revision(150), self_.toText(), false}});
    EXPECT_FALSE(election_.token());
    EXPECT_EQ(gained_.size(), 1U);
}

// Guards against two leases of this process that can both carry the record: the write of an
// unsettled application may be executed until its lease has expired.
TEST_F(HolderElectionTest, appliesAgainOnlyAfterTheLeaseOfAnUnsettledWriteHasExpired)
{
    election_.update();
    clock_.time += milliseconds(500);
    grant();
    const nanoseconds grantedAt = clock_.now();
    commit(absl::UnknownError("lost"));
    list({});
    while (store_.grants.empty())
        pass(milliseconds(100));
    EXPECT_GE(clock_.now(), grantedAt + leaseTime);
}

// Guards against a node that is stuck because the store did not respond to the listing either.
TEST_F(HolderElectionTest, repeatsAFailedListingUntilTheLeaseHasEnded)
{
    election_.update();
    grant();
    commit(absl::UnknownError("lost"));
    respond(store_.lists, absl::StatusOr<RecordPage>(absl::UnavailableError("out")));
    pass(milliseconds(1000));
    ASSERT_EQ(store_.lists.size(), 1U);
    respond(store_.lists, absl::StatusOr<RecordPage>(absl::UnavailableError("out")));
    pass(seconds(6));
    EXPECT_EQ(store_.grants.size(), 1U) << "the next application";
}

// Guards against a storm of applications while the store refuses them or another node has won.
TEST_F(HolderElectionTest, pausesAfterAFailedApplication)
{
    election_.update();
    respond(store_.grants, absl::StatusOr<Lease>(absl::UnavailableError("out")));
    pass(milliseconds(900));
    EXPECT_TRUE(store_.grants.empty());
    pass(milliseconds(100));
    grant();
    commit(absl::AbortedError("exists"));
    pass(milliseconds(3900));
    EXPECT_TRUE(store_.grants.empty());
    pass(milliseconds(100));
    EXPECT_EQ(store_.grants.size(), 1U);
}

// Guards against holders A, B, A within the lifetime of a lease.
TEST_F(HolderElectionTest, restsAfterItHeldTheDuty)
{
    win(150);
    changeRecord("", false);
    EXPECT_FALSE(election_.token());
    pass(milliseconds(4400));
    EXPECT_TRUE(store_.grants.empty());
    pass(milliseconds(200));
    EXPECT_EQ(store_.grants.size(), 1U);
}

// Guards against the same across processes: a predecessor may have called just before it ended.
TEST_F(HolderElectionTest, restsAfterItsStartUnlessThereNeverWasAHolder)
{
    HolderElection started(
            HolderElection::Dependencies{store_, clock_, *this, self_, key, outcomeKey, leaseTime});
    started.setOrder({self_});
    started.recordsChanged(records_);
    clock_.time += milliseconds(3900);
    started.update();
    EXPECT_TRUE(store_.grants.empty());
    clock_.time += milliseconds(100);
    started.update();
    EXPECT_EQ(store_.grants.size(), 1U);
    HolderElection first(
            HolderElection::Dependencies{store_, clock_, *this, self_, key, outcomeKey, leaseTime});
    first.setOrder({self_});
    RecordTable fresh;
    fresh.completeThrough(Revision(1));
    first.recordsChanged(fresh);
    first.update();
    EXPECT_EQ(store_.grants.size(), 2U);
}

// Guards against a node that applies while it stops.
TEST_F(HolderElectionTest, doesNotApplyOnceItStops)
{
    election_.update();
    election_.stop();
    grant();
    EXPECT_TRUE(store_.commits.empty());
    pass(seconds(20));
    EXPECT_TRUE(store_.grants.empty());
}
