/** An election with a store whose calls stay pending. */
#pragma once

#include "ManualLeaseClock.h"
#include "PendingLeaseStore.h"
#include "control/usage/HolderElection.h"

#include <gtest/gtest.h>

namespace boragetrack::tests::holderelection {

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

const std::string key = "duty/holder";
const std::string outcomeKey = "duty/report";
constexpr milliseconds leaseTime{3000};

inline DutyHolder member(const std::string &node)
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

} // namespace boragetrack::tests::holderelection
