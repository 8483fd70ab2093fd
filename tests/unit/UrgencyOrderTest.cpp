/** Tests the order of the queue that serves urgent requests first. */
#include "traffic/admission/UrgencyOrder.h"
#include "traffic/admission/AdmissionQueue.h"
#include "traffic/admission/FixedConcurrency.h"
#include "traffic/calls/RunningCalls.h"

#include <gtest/gtest.h>

using namespace boragetrack::traffic::admission;
using boragetrack::core::identity::RouteName;
using boragetrack::core::timing::MonotonicTime;
using std::chrono::milliseconds;
using Ticket = AdmissionQueue::Ticket;

namespace {

const RouteName route("r");
constexpr milliseconds serviceTime(100);
constexpr milliseconds ample(5000);

/** A queue with one permit, which is in use, whose requests take 100 ms. */
class UrgencyOrderTest : public testing::Test
{
protected:
    static constexpr AdmissionLimits limits{1, 1, 5};

    UrgencyOrderTest()
        : queue_(std::make_unique<FixedConcurrency>(limits), limits,
                 std::make_unique<UrgencyOrder>())
    {
        for (int i = 0; i < 30; ++i) {
            EXPECT_EQ(arrive(0, 1), AdmissionDecision::Run);
            queue_.finishRequest({serviceTime, false, 1, route}, now_);
        }
        // The load that these requests offered is forgotten.
        now_ += std::chrono::seconds(20);
        EXPECT_EQ(arrive(0, 1), AdmissionDecision::Run);
    }

    AdmissionDecision arrive(Ticket ticket, int rank, milliseconds objective = ample,
                             milliseconds deadline = ample)
    {
        return queue_.arrive(Arrival{ticket, route, rank, now_ + objective, now_ + deadline}, now_);
    }

    AdmissionDecision arriveNested(Ticket ticket, int parentRank, milliseconds objective = ample,
                                   milliseconds deadline = ample)
    {
        return queue_.arrive(
                Arrival{ticket, route, 0, now_ + objective, now_ + deadline, {}, parentRank}, now_);
    }

    // Ends the running request and returns the one that runs next.
    Ticket finishOne()
    {
        queue_.releasePermit();
        const auto tickets = queue_.takeRunnable(now_);
        return tickets.size() == 1 ? tickets[0] : 0;
    }

    MonotonicTime now_{};
    AdmissionQueue queue_;
};

} // namespace

TEST_F(UrgencyOrderTest, anUrgentRequestDisplacesTheLastLessUrgentOneOfAFullQueue)
{
    for (const auto &[ticket, rank] : {std::pair{1, 2}, {2, 3}, {3, 3}, {4, 2}, {5, 1}})
        ASSERT_EQ(arrive(static_cast<Ticket>(ticket), rank), AdmissionDecision::Wait);
    EXPECT_EQ(arrive(6, 3), AdmissionDecision::Refuse) << "no less urgent one waits";
    EXPECT_EQ(arrive(7, 1), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{3});
    EXPECT_EQ(arrive(8, 2), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{2});
    EXPECT_EQ(arrive(9, 2), AdmissionDecision::Refuse);
    EXPECT_TRUE(queue_.takeRefused(now_).empty());
}

// Four late requests for each permit may wait; an urgent one that will be late must not be refused
// for their sake.
TEST_F(UrgencyOrderTest, anUrgentRequestDisplacesALessUrgentOneIfTooManyLateOnesWait)
{
    for (const Ticket ticket : {1, 2, 3, 4})
        ASSERT_EQ(arrive(ticket, 3, milliseconds(20)), AdmissionDecision::Wait);
    EXPECT_EQ(arrive(5, 3, milliseconds(20)), AdmissionDecision::Refuse);
    EXPECT_EQ(arrive(6, 2, milliseconds(20)), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{4});
}

// Displacing a nested call wastes what its parent already did.
TEST_F(UrgencyOrderTest, aNewRequestDisplacesNoNestedCallButOneDisplacesNewRequests)
{
    for (const Ticket ticket : {1, 2, 3})
        ASSERT_EQ(arriveNested(ticket, 3), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(4, 3), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(5, 2), AdmissionDecision::Wait);
    EXPECT_EQ(arriveNested(6, 3), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{4}) << "equal rank, but new";
    EXPECT_EQ(arriveNested(7, 3), AdmissionDecision::Refuse) << "the other new one is more urgent";
    EXPECT_EQ(arrive(8, 1), AdmissionDecision::Wait);
    EXPECT_EQ(queue_.takeRefused(now_), std::vector<Ticket>{5});
    EXPECT_EQ(arrive(9, 1), AdmissionDecision::Refuse) << "only nested calls are less urgent";
}

// Nested calls that always run first delay the urgent requests of the same service.
TEST_F(UrgencyOrderTest, aNestedCallRunsBeforeUrgentRequestsOnlyWhileTheseCanWait)
{
    ASSERT_EQ(arrive(1, 1, milliseconds(600)), AdmissionDecision::Wait);
    ASSERT_EQ(arriveNested(2, 3), AdmissionDecision::Wait);
    ASSERT_EQ(arriveNested(3, 3), AdmissionDecision::Wait);
    EXPECT_EQ(finishOne(), 2U);
    now_ += milliseconds(400);
    EXPECT_EQ(finishOne(), 1U);
    EXPECT_EQ(finishOne(), 3U);
}

TEST_F(UrgencyOrderTest, aNestedCallRunsBeforeNewRequestsOfTheSameRank)
{
    ASSERT_EQ(arrive(1, 2, milliseconds(250)), AdmissionDecision::Wait);
    ASSERT_EQ(arriveNested(2, 2, milliseconds(250)), AdmissionDecision::Wait);
    ASSERT_EQ(arriveNested(3, 1), AdmissionDecision::Wait);
    now_ += milliseconds(50);
    EXPECT_EQ(finishOne(), 2U) << "both are pressing";
    EXPECT_EQ(finishOne(), 1U) << "ticket 3 can wait";
}

// Without this, requests that were admitted wait in vain for as long as more urgent ones arrive.
TEST_F(UrgencyOrderTest, aLateRequestRunsAtTheLastMomentBeforeUrgentOnesThatCanWait)
{
    ASSERT_EQ(arrive(1, 3, milliseconds(50), milliseconds(700)), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(2, 1), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(3, 1), AdmissionDecision::Wait);
    EXPECT_EQ(finishOne(), 2U) << "the late one can wait";
    now_ += milliseconds(590);
    EXPECT_EQ(finishOne(), 1U);
    EXPECT_EQ(finishOne(), 3U);
}

TEST_F(UrgencyOrderTest, aLateRequestDoesNotDelayAnUrgentOneThatCanNotWait)
{
    ASSERT_EQ(arrive(1, 3, milliseconds(50), milliseconds(700)), AdmissionDecision::Wait);
    ASSERT_EQ(arrive(2, 1, milliseconds(800)), AdmissionDecision::Wait);
    now_ += milliseconds(590);
    EXPECT_EQ(finishOne(), 2U);
}

TEST(RunningCalls, knowsThePriorityOfRunningCalls)
{
    boragetrack::traffic::calls::RunningCalls calls;
    {
        const boragetrack::traffic::calls::RunningCalls::ScopedCall call(calls, "a", 1, {}, 3);
        EXPECT_EQ(calls.priorityOf("a"), 3);
        EXPECT_FALSE(calls.priorityOf("b"));
        EXPECT_FALSE(calls.priorityOf(""));
    }
    EXPECT_FALSE(calls.priorityOf("a"));
}
