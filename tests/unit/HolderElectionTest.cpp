/** Tests when a node applies for the duty, and what becomes of an application. */
#include "HolderElectionTest.h"

using namespace boragetrack::tests::holderelection;

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
