/** Tests that the load of one organisation does not make an upstream refuse or delay the requests
   of others. */
#include "traffic/admission/AdmissionQueue.h"
#include "traffic/admission/FixedConcurrency.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace boragetrack::traffic::admission;
using boragetrack::core::identity::OrganisationName;
using boragetrack::core::identity::RouteName;
using boragetrack::core::timing::MonotonicTime;
using std::chrono::milliseconds;
using Ticket = AdmissionQueue::Ticket;

namespace {

const OrganisationName large("large");
const OrganisationName small("small");
const RouteName route("r");
constexpr milliseconds serviceTime(100);
constexpr milliseconds ample(5000);

/** A queue with a few permits whose requests take 100 ms. */
class OrganisationSharesTest : public testing::Test
{
protected:
    static constexpr int permits = 4;
    static constexpr AdmissionLimits limits{permits, permits, 8};

    OrganisationSharesTest()
        : queue_(std::make_unique<FixedConcurrency>(limits), limits)
    {
        for (int i = 0; i < 30; ++i) {
            EXPECT_EQ(arrive(0, {}), AdmissionDecision::Run);
            queue_.finishRequest({serviceTime, false, 1, route}, now_);
        }
        // The load that these requests offered is forgotten.
        now_ += std::chrono::seconds(20);
    }

    AdmissionDecision arrive(Ticket ticket, const OrganisationName &organisation, int rank = 1,
                             milliseconds objective = ample)
    {
        return queue_.arrive(
                Arrival{ticket, route, rank, now_ + objective, now_ + ample, organisation}, now_);
    }

    // Fills all permits and the queue with requests of the large organisation.
    void flood(int rank = 1)
    {
        for (Ticket ticket = 1; ticket <= permits + limits.queue; ++ticket)
            ASSERT_NE(arrive(ticket, large, rank), AdmissionDecision::Refuse) << ticket;
    }

    // Ends a request and returns the one that runs next.
    Ticket finishOne(const OrganisationName &organisation)
    {
        queue_.finishRequest({serviceTime, false, 1, route, organisation}, now_);
        const auto tickets = queue_.takeRunnable(now_);
        return tickets.size() == 1 ? tickets[0] : 0;
    }

    MonotonicTime now_{};
    AdmissionQueue queue_;
};

} // namespace

// What the parent of a nested call has done already would be wasted.
TEST_F(OrganisationSharesTest, aNewRequestOfAnotherOrganisationDisplacesNoNestedCall)
{
    flood(0);
    EXPECT_EQ(arrive(101, small), AdmissionDecision::Refuse);
    EXPECT_TRUE(queue_.takeRefused(now_).empty());
}

TEST_F(OrganisationSharesTest, aFullQueueRefusesTheOrganisationWithTheMostRequests)
{
    flood();
    EXPECT_EQ(arrive(100, large), AdmissionDecision::Refuse);
    EXPECT_EQ(arrive(101, small), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{12}) << "the one that runs last";
}

TEST_F(OrganisationSharesTest, theOrganisationWithTheFewestRequestsRunsNext)
{
    flood();
    ASSERT_EQ(arrive(101, small), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(102, OrganisationName("middle")), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(103, OrganisationName("middle")), AdmissionDecision::Wait);
    EXPECT_EQ(finishOne(large), 101U);
    EXPECT_EQ(finishOne(large), 102U);
}

// The demand of a burst is small on average, and yet it fills the queue.
TEST_F(OrganisationSharesTest, aBurstThatFillsTheQueueKeepsNoOtherOrganisationOut)
{
    flood(1);
    EXPECT_EQ(arrive(101, small, 3), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{12});
}

// A rank that the flooding organisation may choose must not keep others from their share.
TEST_F(OrganisationSharesTest, anOrganisationWithinItsShareIsServedInTimeWhateverItsRank)
{
    flood(1);
    for (Ticket ticket = 13; ticket <= 60; ++ticket)
        arrive(ticket, large, 1);
    ASSERT_EQ(arrive(101, small, 3, milliseconds(350)), AdmissionDecision::Wait);
    EXPECT_NE(finishOne(large), 101U) << "it can wait";
    now_ += milliseconds(200);
    EXPECT_EQ(finishOne(large), 101U);
}

// Among organisations beyond their share, a less urgent request must not push out an urgent one.
TEST_F(OrganisationSharesTest, anOrganisationBeyondItsShareDisplacesNoMoreUrgentRequest)
{
    const OrganisationName second("second");
    flood(1);
    for (Ticket ticket = 101; ticket <= 160; ++ticket) {
        arrive(ticket, large, 1);
        arrive(ticket + 100, second, 2);
    }
    queue_.takeRefused(now_);
    EXPECT_EQ(arrive(300, second, 2), AdmissionDecision::Refuse);
    EXPECT_TRUE(queue_.takeRefused(now_).empty());
}

// Requests that were refused, withdrawn or never sent must not count for ever.
TEST_F(OrganisationSharesTest, countsRequestsUntilTheyEndInWhateverWay)
{
    flood();
    for (Ticket ticket = 5; ticket <= 8; ++ticket)
        queue_.withdraw(ticket);
    now_ += ample;
    EXPECT_EQ(queue_.takeRefused(now_).size(), 4U);
    for (int i = 0; i < permits; ++i)
        queue_.releasePermit(large);
    flood();
    EXPECT_EQ(arrive(101, small), AdmissionDecision::Wait) << "the large one has the most again";
}

TEST_F(OrganisationSharesTest, withoutOrganisationsAFullQueueRefusesArrivals)
{
    for (Ticket ticket = 1; ticket <= permits + limits.queue; ++ticket)
        ASSERT_NE(arrive(ticket, {}), AdmissionDecision::Refuse);
    EXPECT_EQ(arrive(100, {}), AdmissionDecision::Refuse);
    EXPECT_TRUE(queue_.takeRefused(now_).empty());
    EXPECT_EQ(finishOne({}), 5U);
}

TEST(OrganisationDemand, dividesPermitsByMaxMinFairness)
{
    const MonotonicTime now{};
    OrganisationDemand demand;
    EXPECT_TRUE(std::isinf(demand.fairShare(10, now)));
    demand.recordArrival(large, milliseconds(40'000), now);
    EXPECT_TRUE(std::isinf(demand.fairShare(10, now))) << "nobody to share with";
    demand.recordArrival(small, milliseconds(2000), now);
    EXPECT_DOUBLE_EQ(demand.of(small, now), 2.0);
    EXPECT_DOUBLE_EQ(demand.fairShare(10, now), 8.0) << "what the small one leaves";
    demand.recordArrival(OrganisationName("third"), milliseconds(6000), now);
    EXPECT_DOUBLE_EQ(demand.fairShare(10, now), 4.0);
    EXPECT_TRUE(std::isinf(demand.fairShare(48, now))) << "enough for all";
    EXPECT_LT(demand.of(large, now + std::chrono::seconds(10)), 0.01);
}
