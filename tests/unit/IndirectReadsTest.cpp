/** Tests whom a follower that the store does not serve asks to read it, and when. */
#include "control/distribution/IndirectReads.h"
#include "control/membership/RingNeighbours.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <set>

using namespace boragetrack::control;
using boragetrack::core::identity::DataCentreId;
using boragetrack::core::identity::NodeId;
using boragetrack::core::timing::MonotonicTime;
using distribution::FollowerRole;
using distribution::IndirectReads;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t members = 10;
const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);

membership::MemberRecord member(std::size_t number)
{
    membership::MemberRecord record;
    record.id = NodeId("n" + std::to_string(number));
    record.dataCentre = DataCentreId("dc" + std::to_string(number % 3));
    record.version.generation = 1;
    return record;
}

/** The reads of the node that probes for all followers. */
class IndirectReadsTest : public testing::Test, public membership::MembershipEngine::Listener
{
protected:
    IndirectReadsTest()
    {
        for (std::size_t number = 1; number < members; ++number)
            engine_.mergeRecords({member(number)}, start);
        reads_.recordMissingProof(start);
    }

    std::vector<NodeId> ask(milliseconds after)
    {
        return reads_.takeNodesToAsk(lastContact_, start + after);
    }

    void memberChanged(const membership::MemberRecord * /*previous*/,
                       const membership::MemberRecord & /*record*/) override
    {}
    void dataCentreSilent(const DataCentreId & /*name*/) override {}

    membership::MembershipEngine engine_{member(0), std::make_unique<membership::RingNeighbours>(),
                                         *this};
    FollowerRole role_{engine_};
    IndirectReads reads_{engine_, role_, 1};
    std::optional<MonotonicTime> lastContact_;
};

} // namespace

// Guards against reads through nodes that the store is as likely to reject as this one.
TEST_F(IndirectReadsTest, asksAllNodesThatDoNotFollowBeforeTheFollowers)
{
    std::vector<NodeId> asked;
    for (milliseconds at{0}; at < std::chrono::seconds(20) && asked.size() + 1 < members;
         at += IndirectReads::outageRoundPeriod) {
        const std::vector<NodeId> round = ask(at);
        asked.insert(asked.end(), round.begin(), round.end());
    }
    EXPECT_EQ(std::set<NodeId>(asked.begin(), asked.end()).size(), members - 1);
    const std::vector<NodeId> followers = role_.selectedFollowers();
    const auto isFollower = [&](const NodeId &node) {
        return std::find(followers.begin(), followers.end(), node) != followers.end();
    };
    EXPECT_TRUE(std::is_partitioned(asked.begin(), asked.end(), std::not_fn(isFollower)));
}

TEST_F(IndirectReadsTest, asksFurtherNodesUntilOneHasBeenInTouchWithTheStore)
{
    EXPECT_EQ(ask(milliseconds(0)).size(), IndirectReads::nodesPerRound);
    EXPECT_TRUE(ask(IndirectReads::roundPeriod / 2).empty());
    const std::vector<NodeId> second = ask(IndirectReads::roundPeriod);
    ASSERT_EQ(second.size(), IndirectReads::nodesPerRound);
    lastContact_ = start + IndirectReads::roundPeriod;
    reads_.recordContact(second.back(), *lastContact_);
    EXPECT_TRUE(ask(IndirectReads::roundPeriod * 2).empty());
    EXPECT_EQ(ask(IndirectReads::roundPeriod + role_.maximumProofAge(start)),
              std::vector{second.back()});
}

// Guards against charged reads of a rejected follower while others are in touch with the store.
TEST_F(IndirectReadsTest, asksNobodyWhileAnotherNodeIsInTouchWithTheStore)
{
    for (milliseconds at{0}; at < std::chrono::seconds(5); at += milliseconds(50)) {
        lastContact_ = start + at;
        EXPECT_TRUE(ask(at).empty());
    }
}

TEST_F(IndirectReadsTest, asksRarelyInAnOutage)
{
    std::size_t asked = 0;
    for (milliseconds at{0}; at < std::chrono::seconds(10); at += milliseconds(50))
        asked += ask(at).size();
    EXPECT_LE(asked, IndirectReads::roundsBeforeOutage * IndirectReads::nodesPerRound + 10);
}

TEST_F(IndirectReadsTest, asksNobodyOnceTheStoreServesTheNodeAgain)
{
    reads_.recordOwnContact(start - milliseconds(1));
    EXPECT_TRUE(reads_.isProofMissing()) << "the call was sent before the one that was not served";
    reads_.recordOwnContact(start + milliseconds(1));
    EXPECT_FALSE(reads_.isProofMissing());
    EXPECT_TRUE(ask(std::chrono::seconds(5)).empty());
}
