/** Tests until when a node holds the duty. */
#include "HolderElectionTest.h"

using namespace boragetrack::tests::holderelection;

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
